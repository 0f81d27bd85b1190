//! Bounds retries to one service within a sliding window.
//!
//! All entries together may retry a share of the requests plus a fixed number.
//! Each entry counts its own requests and uses an equal part of the fixed
//! number, so the bound holds without communication between entries. The
//! [`router`](crate::router) has a different budget, earned by successes.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Share of the allowance that is used. The rest is a margin, because the bound is
/// checked at the runners, in windows that begin later than those counted here.
const USED_ALLOWANCE_SHARE: f64 = 0.8;

/// Counts the retries that one entry may send to one service.
#[derive(Clone, Debug)]
pub struct WindowedRetryBudget {
    ratio: f64,
    /// Retries per window beyond the share, for all entries together.
    fixed_allowance: f64,
    /// Number of entries that share the fixed allowance.
    entries: usize,
    window: Duration,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl WindowedRetryBudget {
    /// Returns a budget of `ratio` retries per request plus a fixed allowance,
    /// which all `entries` share, within any `window`.
    pub fn new(ratio: f64, fixed_allowance: f64, entries: usize, window: Duration) -> Self {
        Self {
            ratio,
            fixed_allowance,
            entries,
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Sets the number of entries that share the fixed allowance.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget; returns whether it is allowed.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.drop_expired(now);
        let fixed_allowance = self.fixed_allowance / self.entries.max(1) as f64;
        let allowed =
            (self.ratio * self.requests.len() as f64 + fixed_allowance) * USED_ALLOWANCE_SHARE;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Gives back a retry that reached no runner.
    pub fn refund_retry(&mut self) {
        self.retries.pop_back();
    }

    fn drop_expired(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at + self.window <= now) {
                times.pop_front();
            }
        }
    }
}
