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
const SAFETY: f64 = 0.8;

/// Repeats that one entry may still send to one service.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    ratio: f64,
    /// Fixed number of all entries.
    extra: u32,
    /// Entries that share it.
    entries: usize,
    window: Duration,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RepeatBudget {
    /// Returns a budget: `ratio` repeats a request, and `extra` of all
    /// `entries` together, within any `window`.
    pub fn new(ratio: f64, extra: u32, entries: usize, window: Duration) -> Self {
        Self {
            ratio,
            extra,
            entries,
            window,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Changes the number of entries that share the fixed number.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Records a caller's request.
    pub fn request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat; returns whether it is allowed.
    pub fn try_repeat(&mut self, now: Instant) -> bool {
        self.forget(now);
        let extra = f64::from(self.extra) / self.entries.max(1) as f64;
        let allowed = (self.ratio * self.requests.len() as f64 + extra) * SAFETY;
        if self.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| *at + self.window <= now) {
                times.pop_front();
            }
        }
    }
}
