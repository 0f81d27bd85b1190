//! The state machine that admits attempts to one endpoint.

use std::time::Duration;
use std::time::Instant;

use crate::collections::HashMap;
use crate::ids::AttemptId;
use crate::ids::Incarnation;

/// How long a tombstone is kept after the attempt's deadline.
///
/// Must exceed any message delay that [`LinkClock`](crate::gate::LinkClock) cannot
/// measure, so that no copy of the attempt can still arrive in time.
const TOMBSTONE_MARGIN: Duration = Duration::from_secs(10);

/// An attempt that an entry asks the agent to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Identifies the attempt; a retry has another identifier.
    pub attempt: AttemptId,
    /// The incarnation of the agent to which the entry sent it.
    pub meant_for: Incarnation,
    /// Time left until its deadline, minus the delay on the link.
    pub remaining: Duration,
    /// Whether its request is a poison suspect, because it ran on an endpoint that
    /// died. At most one suspect runs at a time, so that a second death identifies
    /// the cause.
    pub suspect: bool,
}

/// Why an attempt did not run and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The maximum number of attempts runs already, or the attempt is a poison
    /// suspect and another suspect runs.
    Busy,
    /// The agent is draining and admits no new attempts.
    Leaving,
    /// The endpoint does not respond.
    EndpointDown,
    /// The attempt's deadline has passed.
    DeadlinePassed,
    /// The attempt was sent to a former incarnation of the agent.
    OtherIncarnation,
    /// The attempt was cancelled before it arrived, or refused before.
    HasTombstone,
}

/// What the agent knows about an attempt that an entry cancels or recovers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunVerdict {
    /// It did not run and will not run.
    NotRun,
    /// It runs, it ran, or the agent has no evidence that it did not.
    MayHaveRun,
}

/// An event that the gate handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// An entry asks to run an attempt.
    Offer(Offer),
    /// An entry cancels an attempt.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptId,
        /// The incarnation of the agent to which the attempt was sent.
        meant_for: Incarnation,
        /// Time until the attempt's deadline.
        remaining: Duration,
    },
    /// An entry lost the link on which it sent an attempt, and asks for the response
    /// or for evidence that the attempt did not run.
    Recover {
        /// The attempt that was sent on the lost link.
        attempt: AttemptId,
        /// The incarnation of the agent to which the attempt was sent.
        meant_for: Incarnation,
        /// Time until the attempt's deadline.
        remaining: Duration,
    },
    /// An attempt ended at the endpoint.
    Finished(AttemptId),
    /// The agent drains: no new attempts are admitted from now on.
    Drain,
    /// The maximum number of attempts in flight changed.
    Limit(u32),
    /// Whether the endpoint responds.
    EndpointUp(bool),
    /// The time that [`Gate::next_deadline`] returned has passed.
    Tick,
}

/// An action that the gate requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the attempt to the endpoint.
    Start(AttemptId),
    /// Tell the entry that the attempt did not run and will not run.
    Refuse(AttemptId, Refusal),
    /// Stop the attempt at the endpoint.
    Abort(AttemptId),
    /// Reply to a cancellation or a recovery.
    Verdict(AttemptId, RunVerdict),
    /// Finish the drain: no attempt runs any more.
    Drained,
}

#[derive(Clone, Copy, Debug)]
struct RunningAttempt {
    suspect: bool,
}

/// Prevents copies of an attempt from starting.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    until: Instant,
    /// Whether the attempt reached the endpoint.
    started: bool,
}

/// Admits attempts to one endpoint.
#[derive(Debug)]
pub struct Gate {
    incarnation: Incarnation,
    /// At least one.
    max_in_flight: u32,
    draining: bool,
    drained_reported: bool,
    endpoint_up: bool,
    running: HashMap<AttemptId, RunningAttempt>,
    /// Attempts that must not start, or not start again; each is kept until no copy
    /// of the attempt can arrive before its deadline.
    tombstones: HashMap<AttemptId, Tombstone>,
    next_expiry: Option<Instant>,
}

impl Gate {
    /// Returns a gate without attempts.
    pub fn new(incarnation: Incarnation, max_in_flight: u32) -> Self {
        Self {
            incarnation,
            max_in_flight: max_in_flight.max(1),
            draining: false,
            drained_reported: false,
            endpoint_up: true,
            running: HashMap::default(),
            tombstones: HashMap::default(),
            next_expiry: None,
        }
    }

    /// Handles an input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Offer(offer) => self.offer(now, offer, out),
            Input::Cancel {
                attempt,
                meant_for,
                remaining,
            } => self.cancel(now, attempt, meant_for, remaining, out),
            Input::Recover {
                attempt,
                meant_for,
                remaining,
            } => self.recover(now, attempt, meant_for, remaining, out),
            Input::Finished(attempt) => {
                self.running.remove(&attempt);
            }
            Input::Drain => self.draining = true,
            Input::Limit(max) => self.max_in_flight = max.max(1),
            Input::EndpointUp(up) => self.endpoint_up = up,
            Input::Tick => {}
        }
        self.remove_expired_tombstones(now);
        self.report_drained(out);
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.next_expiry
    }

    /// Returns the number of attempts in flight at the endpoint.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the maximum number of attempts in flight.
    pub fn max_in_flight(&self) -> u32 {
        self.max_in_flight
    }

    /// Returns whether the gate admits no new attempts, because the agent drains.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns whether the endpoint responds.
    pub fn is_endpoint_up(&self) -> bool {
        self.endpoint_up
    }

    fn offer(&mut self, now: Instant, offer: Offer, out: &mut Vec<Output>) {
        if self.has_started(offer.attempt) {
            // This is a copy of an attempt that runs or ran; a refusal would be false
            // evidence that it did not.
            return;
        }
        if let Some(refusal) = self.refusal(&offer) {
            let known = self.tombstones.contains_key(&offer.attempt);
            if !known {
                self.add_tombstone(now, offer.attempt, offer.remaining);
            }
            out.push(Output::Refuse(offer.attempt, refusal));
            return;
        }
        self.add_tombstone(now, offer.attempt, offer.remaining);
        self.start(&offer, out);
    }

    fn has_started(&self, attempt: AttemptId) -> bool {
        let tombstone = self.tombstones.get(&attempt);
        tombstone.is_some_and(|tombstone| tombstone.started)
    }

    fn refusal(&self, offer: &Offer) -> Option<Refusal> {
        if offer.meant_for != self.incarnation {
            return Some(Refusal::OtherIncarnation);
        }
        if self.tombstones.contains_key(&offer.attempt) {
            return Some(Refusal::HasTombstone);
        }
        if offer.remaining.is_zero() {
            return Some(Refusal::DeadlinePassed);
        }
        if self.draining {
            return Some(Refusal::Leaving);
        }
        if !self.endpoint_up {
            return Some(Refusal::EndpointDown);
        }
        let full = self.running.len() >= self.max_in_flight as usize;
        let second_suspect = offer.suspect && self.running.values().any(|r| r.suspect);
        (full || second_suspect).then_some(Refusal::Busy)
    }

    fn start(&mut self, offer: &Offer, out: &mut Vec<Output>) {
        let running = RunningAttempt {
            suspect: offer.suspect,
        };
        if let Some(tombstone) = self.tombstones.get_mut(&offer.attempt) {
            tombstone.started = true;
        }
        self.running.insert(offer.attempt, running);
        out.push(Output::Start(offer.attempt));
    }

    /// Adds the tombstone of an attempt, or keeps an existing one for longer.
    fn add_tombstone(&mut self, now: Instant, attempt: AttemptId, remaining: Duration) {
        let until = now + remaining + TOMBSTONE_MARGIN;
        let new_tombstone = Tombstone {
            until,
            started: false,
        };
        let tombstone = self.tombstones.entry(attempt).or_insert(new_tombstone);
        tombstone.until = tombstone.until.max(until);
        let until = tombstone.until;
        self.next_expiry = Some(self.next_expiry.map_or(until, |at| at.min(until)));
    }

    fn cancel(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        meant_for: Incarnation,
        remaining: Duration,
        out: &mut Vec<Output>,
    ) {
        let verdict = self.run_verdict(attempt, meant_for, remaining);
        if self.running.contains_key(&attempt) {
            out.push(Output::Abort(attempt));
        }
        if meant_for == self.incarnation {
            self.add_tombstone(now, attempt, remaining);
        }
        out.push(Output::Verdict(attempt, verdict));
    }

    /// Replies like a cancellation, but lets a running attempt continue.
    fn recover(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        meant_for: Incarnation,
        remaining: Duration,
        out: &mut Vec<Output>,
    ) {
        let verdict = self.run_verdict(attempt, meant_for, remaining);
        if meant_for == self.incarnation {
            self.add_tombstone(now, attempt, remaining);
        }
        out.push(Output::Verdict(attempt, verdict));
    }

    fn run_verdict(
        &self,
        attempt: AttemptId,
        meant_for: Incarnation,
        remaining: Duration,
    ) -> RunVerdict {
        if meant_for != self.incarnation {
            // It is not known what a former incarnation of the agent ran.
            return RunVerdict::MayHaveRun;
        }
        match self.tombstones.get(&attempt) {
            Some(tombstone) if tombstone.started => RunVerdict::MayHaveRun,
            Some(_) => RunVerdict::NotRun,
            // After the deadline, the tombstone of an attempt that ran may have expired.
            None if remaining.is_zero() => RunVerdict::MayHaveRun,
            None => RunVerdict::NotRun,
        }
    }

    fn remove_expired_tombstones(&mut self, now: Instant) {
        if self.next_expiry.is_none_or(|at| now < at) {
            return;
        }
        self.tombstones.retain(|_, tombstone| now < tombstone.until);
        self.next_expiry = self.tombstones.values().map(|t| t.until).min();
    }

    fn report_drained(&mut self, out: &mut Vec<Output>) {
        if self.draining && self.running.is_empty() && !self.drained_reported {
            self.drained_reported = true;
            out.push(Output::Drained);
        }
    }
}

#[cfg(test)]
mod tests;
