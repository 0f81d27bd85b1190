//! How a runner served what it was sent.
//!
//! The load it answers: runners that say they are well and answer nothing but
//! errors, or that fail a part of what they get. Such a runner is never busy,
//! so the least loaded one is always the sick one. What requests met there
//! counts, not what the runner says of itself.

use std::time::Duration;
use std::time::Instant;

/// First absence of a runner that failed; doubles with each further failure.
const FIRST_ABSENCE: Duration = Duration::from_millis(500);
/// Longest absence, so that a runner that is well again is found.
const LONGEST_ABSENCE: Duration = Duration::from_secs(4);
/// Failures in a row before a runner is left out.
const FAILURES_BEFORE_ABSENCE: u32 = 2;
/// Weight of the last outcome in the share of failures: the last five or so
/// decide.
const LAST_WEIGHT: f64 = 0.2;
/// Half-life of that share without news, so that a runner which was avoided
/// for it gets work again.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Share below which a runner counts as well: without it, the least loaded
/// runner of an idle service would never be one that failed once.
const NEGLIGIBLE: f64 = 0.02;
/// Most doublings of the first absence.
const MAX_DOUBLINGS: u32 = 4;

/// How a runner served what it was sent of late.
#[derive(Clone, Copy, Debug)]
pub(super) struct Health {
    /// Failures since it last served.
    in_a_row: u32,
    /// Smoothed share of requests that failed.
    share: f64,
    share_at: Instant,
    /// Until when it is left out, because connections broke or were silent.
    broken_until: Option<Instant>,
    /// Until when it is left out, because it answered with errors.
    erring_until: Option<Instant>,
}

impl Health {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            in_a_row: 0,
            share: 0.0,
            share_at: now,
            broken_until: None,
            erring_until: None,
        }
    }

    pub(super) fn served(&mut self, now: Instant) {
        self.in_a_row = 0;
        self.mix(now, 0.0);
    }

    /// Records that it broke off or was silent.
    pub(super) fn broke(&mut self, now: Instant) {
        let absence = self.failed(now);
        self.broken_until = self.broken_until.max(absence);
    }

    /// Records an error of its own.
    pub(super) fn erred(&mut self, now: Instant) {
        let absence = self.failed(now);
        self.erring_until = self.erring_until.max(absence);
    }

    /// Leaves it alone for a time.
    pub(super) fn rest(&mut self, until: Instant) {
        self.broken_until = self.broken_until.max(Some(until));
    }

    /// Leaves it alone until it is listed anew or the longest absence is over.
    pub(super) fn replaced(&mut self, now: Instant) {
        self.broken_until = Some(now + LONGEST_ABSENCE);
    }

    pub(super) fn is_broken(&self, now: Instant) -> bool {
        self.broken_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_erring(&self, now: Instant) -> bool {
        self.erring_until.is_some_and(|until| now < until)
    }

    /// Returns the share of requests that failed of late.
    pub(super) fn failure_share(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.share_at);
        let share = self.share * 0.5_f64.powf(idle.as_secs_f64() / HALF_LIFE.as_secs_f64());
        if share < NEGLIGIBLE { 0.0 } else { share }
    }

    fn failed(&mut self, now: Instant) -> Option<Instant> {
        self.mix(now, 1.0);
        self.in_a_row += 1;
        let beyond = self.in_a_row.checked_sub(FAILURES_BEFORE_ABSENCE)?;
        let absence = FIRST_ABSENCE * 2u32.pow(beyond.min(MAX_DOUBLINGS));
        Some(now + absence.min(LONGEST_ABSENCE))
    }

    fn mix(&mut self, now: Instant, outcome: f64) {
        self.share = self.failure_share(now) * (1.0 - LAST_WEIGHT) + outcome * LAST_WEIGHT;
        self.share_at = now;
    }
}
