//! The gate core.

use std::time::Duration;
use std::time::Instant;

use crate::collections::HashMap;
use crate::ids::AttemptId;
use crate::ids::Incarnation;

/// How long an attempt is remembered past its deadline: more than any delay
/// that a link's clock cannot see.
const MEMORY_MARGIN: Duration = Duration::from_secs(10);

/// An attempt that an entry sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The attempt.
    pub attempt: AttemptId,
    /// The life of the agent that the entry means.
    pub meant_for: Incarnation,
    /// Time left until its deadline, less the delay on the link.
    pub remaining: Duration,
    /// Whether the same request ran while an endpoint died; at most one such
    /// attempt runs at a time, so that a second death tells which it was.
    pub suspect: bool,
}

/// Why an attempt did not and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The endpoint holds as many requests as it may.
    Busy,
    /// The agent takes no new work.
    Leaving,
    /// The endpoint does not answer.
    EndpointDown,
    /// The deadline has passed.
    DeadlinePassed,
    /// The attempt was meant for a former life of the agent.
    OtherIncarnation,
    /// The attempt was cancelled before it came, or refused before.
    HasTombstone,
}

/// What the agent knows of a cancelled attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunVerdict {
    /// It did not run and will not.
    NotRun,
    /// It runs or ran; whether it took effect is not known here.
    MayHaveRun,
}

/// What the gate is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// An attempt came in.
    Offer(Offer),
    /// An entry gives an attempt up.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The life of the agent that the attempt was meant for.
        meant_for: Incarnation,
        /// Time until the attempt's deadline.
        remaining: Duration,
    },
    /// An entry lost its link and wants the answer, or evidence that there is none.
    Recover {
        /// The attempt.
        attempt: AttemptId,
        /// The life of the agent that the attempt was meant for.
        meant_for: Incarnation,
        /// Time until the attempt's deadline.
        remaining: Duration,
    },
    /// The endpoint is done with an attempt.
    Finished(AttemptId),
    /// Take no new work from now on.
    Drain,
    /// Change how many attempts may run at a time.
    Limit(u32),
    /// The endpoint answers, or does not.
    EndpointUp(bool),
    /// Time passed.
    Tick,
}

/// What the gate wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the attempt to the endpoint.
    Start(AttemptId),
    /// Tell the entry that the attempt did not and will not run.
    Refuse(AttemptId, Refusal),
    /// Stop the attempt at the endpoint.
    Abort(AttemptId),
    /// Answer a cancellation or a recovery.
    Verdict(AttemptId, RunVerdict),
    /// Nothing runs any more and nothing new will.
    Drained,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    suspect: bool,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    until: Instant,
    /// Whether the attempt reached the endpoint.
    started: bool,
}

/// Admission to one endpoint.
#[derive(Debug)]
pub struct Gate {
    incarnation: Incarnation,
    /// At least one.
    max_in_flight: u32,
    draining: bool,
    drained_reported: bool,
    endpoint_up: bool,
    running: HashMap<AttemptId, Running>,
    /// Attempts that will never start again, each until no copy can be in time.
    tombstones: HashMap<AttemptId, Tombstone>,
    next_sweep: Option<Instant>,
}

impl Gate {
    /// Returns a gate with nothing running.
    pub fn new(incarnation: Incarnation, max_in_flight: u32) -> Self {
        Self {
            incarnation,
            max_in_flight: max_in_flight.max(1),
            draining: false,
            drained_reported: false,
            endpoint_up: true,
            running: HashMap::default(),
            tombstones: HashMap::default(),
            next_sweep: None,
        }
    }

    /// Takes an input and appends what has to be done.
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
        self.sweep(now);
        self.report_drained(out);
    }

    /// Returns when `Input::Tick` is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.next_sweep
    }

    /// Returns how many attempts the endpoint holds.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns how many attempts may run at a time.
    pub fn max_in_flight(&self) -> u32 {
        self.max_in_flight
    }

    /// Returns whether new work is refused for good.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns whether the endpoint answers.
    pub fn is_endpoint_up(&self) -> bool {
        self.endpoint_up
    }

    fn offer(&mut self, now: Instant, offer: Offer, out: &mut Vec<Output>) {
        if self.has_started(offer.attempt) {
            // A copy of what runs or ran: a refusal would be false evidence.
            return;
        }
        if let Some(refusal) = self.refusal(&offer) {
            let known = self.tombstones.contains_key(&offer.attempt);
            if !known {
                self.bury(now, offer.attempt, offer.remaining);
            }
            out.push(Output::Refuse(offer.attempt, refusal));
            return;
        }
        self.bury(now, offer.attempt, offer.remaining);
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
        let running = Running {
            suspect: offer.suspect,
        };
        if let Some(tombstone) = self.tombstones.get_mut(&offer.attempt) {
            tombstone.started = true;
        }
        self.running.insert(offer.attempt, running);
        out.push(Output::Start(offer.attempt));
    }

    /// Remembers an attempt until no copy of it can be in time.
    fn bury(&mut self, now: Instant, attempt: AttemptId, remaining: Duration) {
        let until = now + remaining + MEMORY_MARGIN;
        let fresh = Tombstone {
            until,
            started: false,
        };
        let held = self.tombstones.entry(attempt).or_insert(fresh);
        held.until = held.until.max(until);
        let until = held.until;
        self.next_sweep = Some(self.next_sweep.map_or(until, |at| at.min(until)));
    }

    fn cancel(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        meant_for: Incarnation,
        remaining: Duration,
        out: &mut Vec<Output>,
    ) {
        let verdict = self.cancel_verdict(attempt, meant_for, remaining);
        if self.running.contains_key(&attempt) {
            out.push(Output::Abort(attempt));
        }
        if meant_for == self.incarnation {
            self.bury(now, attempt, remaining);
        }
        out.push(Output::Verdict(attempt, verdict));
    }

    /// Like a cancellation, but what runs goes on.
    fn recover(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        meant_for: Incarnation,
        remaining: Duration,
        out: &mut Vec<Output>,
    ) {
        let verdict = self.cancel_verdict(attempt, meant_for, remaining);
        if meant_for == self.incarnation {
            self.bury(now, attempt, remaining);
        }
        out.push(Output::Verdict(attempt, verdict));
    }

    fn cancel_verdict(
        &self,
        attempt: AttemptId,
        meant_for: Incarnation,
        remaining: Duration,
    ) -> RunVerdict {
        if meant_for != self.incarnation {
            // What a former life ran is not known here.
            return RunVerdict::MayHaveRun;
        }
        match self.tombstones.get(&attempt) {
            Some(tombstone) if tombstone.started => RunVerdict::MayHaveRun,
            Some(_) => RunVerdict::NotRun,
            // Past its deadline the attempt may have run and been forgotten.
            None if remaining.is_zero() => RunVerdict::MayHaveRun,
            None => RunVerdict::NotRun,
        }
    }

    fn sweep(&mut self, now: Instant) {
        if self.next_sweep.is_none_or(|at| now < at) {
            return;
        }
        self.tombstones.retain(|_, tombstone| now < tombstone.until);
        self.next_sweep = self.tombstones.values().map(|t| t.until).min();
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
