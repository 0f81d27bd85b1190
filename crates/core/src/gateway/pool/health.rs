//! Passive health checks: judges a runner by the outcome of its requests.
//!
//! A faulty runner may report that it is healthy and still fail all or some of
//! its requests. Since it fails them quickly, it is always the least loaded one
//! and would attract most of the traffic. A runner that fails repeatedly is
//! therefore ejected for a while, and its share of failures adds to its load.

use std::time::Duration;
use std::time::Instant;

/// First ejection time of a failing runner; doubles with each further failure.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Maximum ejection time, so that a runner that has recovered is used again.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Consecutive failures at which a runner is ejected.
const FAILURES_BEFORE_EJECTION: u32 = 2;
/// Weight of the latest outcome in the smoothed failure share, which thus
/// depends mostly on the last five outcomes.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Half-life of the failure share without new outcomes, so that a runner that
/// was avoided because of it gets requests again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Failure share that is treated as zero: otherwise a runner that failed once
/// would never again be the least loaded one of an idle service.
const NEGLIGIBLE_FAILURE_SHARE: f64 = 0.02;
/// Maximum number of doublings of the first ejection time.
const MAX_DOUBLINGS: u32 = 4;

/// Recent outcomes of the requests sent to one runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Health {
    /// Failures since the last successful request.
    consecutive_failures: u32,
    /// Exponentially smoothed share of requests that failed, as of
    /// `failure_share_at`.
    failure_share: f64,
    failure_share_at: Instant,
    /// Until when the runner is not used at all: its connections broke, it did
    /// not respond, it was full, or its address has a new owner.
    unavailable_until: Option<Instant>,
    /// Until when the runner is ejected for its error responses. The pool
    /// ignores this if too many runners are ejected.
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

    /// Records that a connection broke or that the runner did not respond.
    pub(super) fn record_broken(&mut self, now: Instant) {
        let ejection = self.record_failure(now);
        self.unavailable_until = self.unavailable_until.max(ejection);
    }

    /// Records an error response of the runner.
    pub(super) fn record_error_response(&mut self, now: Instant) {
        let ejection = self.record_failure(now);
        self.ejected_until = self.ejected_until.max(ejection);
    }

    /// Excludes the runner until a given time.
    pub(super) fn back_off_until(&mut self, until: Instant) {
        self.unavailable_until = self.unavailable_until.max(Some(until));
    }

    /// Records that another runner now has the address. Excludes the runner until
    /// it is listed with a new address or the maximum ejection time is over.
    pub(super) fn record_replaced(&mut self, now: Instant) {
        self.unavailable_until = Some(now + MAX_EJECTION);
    }

    pub(super) fn is_unavailable(&self, now: Instant) -> bool {
        self.unavailable_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the share of requests that failed recently.
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

    /// Counts a failure; returns the end of the ejection if it causes one.
    fn record_failure(&mut self, now: Instant) -> Option<Instant> {
        self.update_failure_share(now, 1.0);
        self.consecutive_failures += 1;
        let excess = self
            .consecutive_failures
            .checked_sub(FAILURES_BEFORE_EJECTION)?;
        let ejection = FIRST_EJECTION * 2u32.pow(excess.min(MAX_DOUBLINGS));
        Some(now + ejection.min(MAX_EJECTION))
    }

    fn update_failure_share(&mut self, now: Instant, outcome: f64) {
        self.failure_share =
            self.failure_share(now) * (1.0 - OUTCOME_WEIGHT) + outcome * OUTCOME_WEIGHT;
        self.failure_share_at = now;
    }
}
