//! How a runner served what it was sent.
//!
//! The load it answers: runners that say they are well and answer nothing but
//! errors, or that fail a part of what they get. Such a runner is never busy,
//! so the least loaded one is always the sick one. What requests met there
//! counts, not what the runner says of itself.

use std::time::Duration;
use std::time::Instant;

/// First absence of a runner that failed; doubles with each further failure.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest absence, so that a runner that is well again is found.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Failures in a row before a runner is left out.
const FAILURES_BEFORE_EJECTION: u32 = 2;
/// Weight of the last outcome in the share of failures: the last five or so
/// decide.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Half-life of that share without news, so that a runner which was avoided
/// for it gets work again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Share below which a runner counts as well: without it, the least loaded
/// runner of an idle service would never be one that failed once.
const NEGLIGIBLE_FAILURE_SHARE: f64 = 0.02;
/// Most doublings of the first absence.
const MAX_DOUBLINGS: u32 = 4;

/// How a runner served what it was sent of late.
#[derive(Clone, Copy, Debug)]
pub(super) struct Health {
    /// Failures since it last served.
    consecutive_failures: u32,
    /// Smoothed share of requests that failed.
    failure_share: f64,
    failure_share_at: Instant,
    /// Until when it is left out, because connections broke or were silent.
    unavailable_until: Option<Instant>,
    /// Until when it is left out, because it answered with errors.
    ejected_until: Option<Instant>,
}

impl Health {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            consecutive_failures: 0,
            failure_share: 0.0,
            failure_share_at: now,
            unavailable_until: None,
            ejected_until: None,
        }
    }

    pub(super) fn record_served(&mut self, now: Instant) {
        self.consecutive_failures = 0;
        self.update_failure_share(now, 0.0);
    }

    /// Records that it broke off or was silent.
    pub(super) fn record_broken(&mut self, now: Instant) {
        let ejection = self.record_failure(now);
        self.unavailable_until = self.unavailable_until.max(ejection);
    }

    /// Records an error of its own.
    pub(super) fn record_error_response(&mut self, now: Instant) {
        let ejection = self.record_failure(now);
        self.ejected_until = self.ejected_until.max(ejection);
    }

    /// Leaves it alone for a time.
    pub(super) fn back_off_until(&mut self, until: Instant) {
        self.unavailable_until = self.unavailable_until.max(Some(until));
    }

    /// Leaves it alone until it is listed anew or the longest absence is over.
    pub(super) fn record_replaced(&mut self, now: Instant) {
        self.unavailable_until = Some(now + MAX_EJECTION);
    }

    pub(super) fn is_unavailable(&self, now: Instant) -> bool {
        self.unavailable_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the share of requests that failed of late.
    pub(super) fn failure_share(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.failure_share_at);
        let failure_share =
            self.failure_share * 0.5_f64.powf(idle.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64());
        if failure_share < NEGLIGIBLE_FAILURE_SHARE {
            0.0
        } else {
            failure_share
        }
    }

    fn record_failure(&mut self, now: Instant) -> Option<Instant> {
        self.update_failure_share(now, 1.0);
        self.consecutive_failures += 1;
        let beyond = self
            .consecutive_failures
            .checked_sub(FAILURES_BEFORE_EJECTION)?;
        let ejection = FIRST_EJECTION * 2u32.pow(beyond.min(MAX_DOUBLINGS));
        Some(now + ejection.min(MAX_EJECTION))
    }

    fn update_failure_share(&mut self, now: Instant, outcome: f64) {
        self.failure_share =
            self.failure_share(now) * (1.0 - SMOOTHING_FACTOR) + outcome * SMOOTHING_FACTOR;
        self.failure_share_at = now;
    }
}
