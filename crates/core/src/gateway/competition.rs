//! Decides between callers that compete for too little room.
//!
//! The pool asks it at each arrival and each time that room changes: what goes before a
//! request, how long that takes, which priority must get a slot, which queued request gives
//! way, and when a refused caller should return.

mod arrivals;
mod floors;
mod order;
mod retry_time;

use std::time::Duration;
use std::time::Instant;

use crate::gateway::competition::arrivals::Arrivals;
use crate::gateway::competition::floors::Floors;

pub(crate) use order::Ahead;
pub(crate) use order::Turn;
pub(crate) use order::gives_way;

/// Time for which requests must have been queued without a break in an overload. A group
/// that refuses for a moment is back sooner.
const MIN_OVERLOAD: Duration = Duration::from_millis(500);
/// Least part of the completions that is taken to serve a priority during an overload.
const MIN_RATE_SHARE: f64 = 0.25;
/// Longest wait that is computed.
const MAX_WAIT: Duration = Duration::from_secs(40);

/// The competition for the room of one service.
#[derive(Debug)]
pub(crate) struct Competition {
    arrivals: Arrivals,
    floors: Floors,
    /// Since when requests have been queued without a break.
    queued_since: Option<Instant>,
}

impl Competition {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            arrivals: Arrivals::default(),
            floors: Floors::new(now),
            queued_since: None,
        }
    }

    /// Records that a request arrived.
    pub(crate) fn record_arrival(&mut self, now: Instant, priority: u32) {
        self.arrivals.record(now, priority);
    }

    /// Records that a request was given to a runner.
    pub(crate) fn record_start(&mut self, priority: u32) {
        self.floors.record_start(priority);
    }

    /// Records how many requests are queued.
    pub(crate) fn record_queue(&mut self, now: Instant, len: usize) {
        self.queued_since = match len {
            0 => None,
            _ => self.queued_since.or(Some(now)),
        };
    }

    /// Returns the priorities that must get a slot next so that they aren't starved in an
    /// overload, the most urgent first. `completion_rate` is in requests per second.
    pub(crate) fn owed(&mut self, now: Instant, completion_rate: f64) -> Vec<u32> {
        match self.overload_age(now) >= MIN_OVERLOAD {
            true => self.floors.owed(now, &self.arrivals, completion_rate),
            false => {
                self.floors = Floors::new(now);
                Vec::new()
            }
        }
    }

    /// Returns how long a request of a priority waits, given what goes before it and a rate
    /// of completions per second.
    ///
    /// The rate of completions is the rate of arrivals while there is room for all. Only
    /// in an overload does it show how much the more urgent requests leave.
    pub(crate) fn wait(
        &self,
        now: Instant,
        ahead: Ahead,
        priority: u32,
        completion_rate: f64,
    ) -> Duration {
        if completion_rate <= 0.0 || ahead.all == 0 {
            return Duration::ZERO;
        }
        let seconds = match self.overload_age(now) >= MIN_OVERLOAD {
            true => {
                let more_urgent = self.arrivals.more_urgent(now, priority);
                let left = (completion_rate - more_urgent).max(completion_rate * MIN_RATE_SHARE);
                let floor = floors::rate(now, &self.arrivals, priority, completion_rate);
                let in_turn = ahead.equally_urgent as f64 / floor.max(f64::EPSILON);
                (ahead.all as f64 / left).min(in_turn)
            }
            false => ahead.all as f64 / completion_rate,
        };
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    /// Returns when a refused caller should come back, given the wait that its request
    /// would have and a random number of at least zero and below one.
    pub(crate) fn retry_after(
        &self,
        now: Instant,
        priority: u32,
        wait: Duration,
        random: f64,
    ) -> Duration {
        let is_passed = self.arrivals.more_urgent(now, priority) > 0.0;
        let overload = match is_passed {
            true => self.overload_age(now),
            false => Duration::ZERO,
        };
        retry_time::spread(wait.max(overload), random)
    }

    fn overload_age(&self, now: Instant) -> Duration {
        self.queued_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
