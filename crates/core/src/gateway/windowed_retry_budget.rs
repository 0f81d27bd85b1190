//! A bound on repeated sends to a service over a sliding window.
//!
//! All entries together may repeat a share of the requests plus a fixed
//! number. Each entry counts its own requests and takes an equal part of the
//! fixed number, so the sum holds without any exchange between entries. It is
//! not the [`router`](crate::router)'s budget, which is earned by successes.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Part of the allowance that is used, so that windows which are counted at
/// the runners, later than here, stay within the bound.
const SAFETY_FACTOR: f64 = 0.8;

/// Repeats that one entry may still send to one service.
#[derive(Clone, Debug)]
pub struct WindowedRetryBudget {
    ratio: f64,
    /// Fixed number of all entries.
    fixed_allowance: u32,
    /// Entries that share it.
    entries: usize,
    window: Duration,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl WindowedRetryBudget {
    /// Returns a budget: `ratio` repeats a request, and `fixed_allowance` of all
    /// `entries` together, within any `window`.
    pub fn new(ratio: f64, fixed_allowance: u32, entries: usize, window: Duration) -> Self {
        Self {
            ratio,
            fixed_allowance,
            entries,
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Changes the number of entries that share the fixed number.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Records a caller's request.
    pub fn record_request(&mut self, now: Instant) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat; returns whether it is allowed.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.drop_expired(now);
        let fixed_allowance = f64::from(self.fixed_allowance) / self.entries.max(1) as f64;
        let allowed = (self.ratio * self.requests.len() as f64 + fixed_allowance) * SAFETY_FACTOR;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn drop_expired(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at + self.window <= now) {
                times.pop_front();
            }
        }
    }
}
