//! What a stopping entry still takes, and until when it can finish it.
//!
//! The platform stops an entry with a signal and kills it at the end of the grace
//! period. In between, the load balancer in front of the entries sends
//! more callers until it has noticed that the entry is not ready, and callers keep using
//! their open connections. A request that is cut off by the end of the process is lost
//! to its caller, while one that is refused can be sent to another entry. A stopping
//! entry therefore takes only what it can finish.

use std::time::Duration;
use std::time::Instant;

/// Time after which the load balancer sends no more callers. It probes readiness every
/// second and removes an entry after two failures.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_500);
/// Share of the grace period that [`BALANCER_NOTICE`] takes at most.
const MAX_NOTICE_SHARE: f64 = 1.0 / 3.0;
/// How long new connections are accepted. A refused request can be retried sooner than
/// a connection that is not accepted.
const ACCEPT_TIME: Duration = Duration::from_millis(3_500);
/// Share of the grace period that [`ACCEPT_TIME`] takes at most.
const MAX_ACCEPT_SHARE: f64 = 0.5;
/// How long before the end of the grace period the process ends its work, so that it
/// has exited by then.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time to deliver the responses that are sent because the process ends.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(150);

/// The times at which a stopping entry takes less, between the signal to stop and the
/// end of its grace period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    begun: Instant,
    grace: Duration,
}

impl StopSchedule {
    /// Returns the schedule of a process that was told to stop at `begun` and will be
    /// killed `grace` later.
    pub fn new(begun: Instant, grace: Duration) -> Self {
        Self { begun, grace }
    }

    /// Returns the time since the signal to stop.
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.begun)
    }

    /// Returns when the load balancer has stopped sending callers. Connections that
    /// were open at the signal are closed then, as soon as they are idle.
    pub fn balancer_has_noticed_at(&self) -> Instant {
        self.begun + BALANCER_NOTICE.min(self.grace.mul_f64(MAX_NOTICE_SHARE))
    }

    /// Returns when the entry stops accepting connections.
    pub fn close_listener_at(&self) -> Instant {
        self.begun + ACCEPT_TIME.min(self.grace.mul_f64(MAX_ACCEPT_SHARE))
    }

    /// Returns when requests that have no response yet get one that says so.
    pub fn respond_by(&self) -> Instant {
        self.begun + self.time_to_respond()
    }

    /// Returns when streams that are still open are cut off.
    pub fn finish_by(&self) -> Instant {
        self.begun + self.grace.saturating_sub(EXIT_MARGIN)
    }

    /// Returns whether to take a request that must be answered by `deadline` and is
    /// expected to take `expected`.
    ///
    /// A refused request is retried, and as long as the load balancer sends callers to
    /// entries that are stopping, the retry may reach one again. Until then, an expected
    /// end within the grace period is enough; after that, it must be certain.
    pub fn takes(&self, now: Instant, deadline: Instant, expected: Duration) -> bool {
        if deadline <= self.respond_by() {
            return true;
        }
        now < self.balancer_has_noticed_at() && now + expected <= self.respond_by()
    }

    /// Returns how long a refused caller should wait: until the load balancer no longer
    /// sends it to a stopping entry.
    pub fn retry_after(&self, now: Instant) -> Duration {
        /// Shortest wait of a refused caller.
        const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
        self.balancer_has_noticed_at()
            .saturating_duration_since(now)
            .max(MIN_RETRY_AFTER)
    }

    /// Returns the latest time to send a request to a runner that is expected to take
    /// `expected`.
    pub fn latest_start(&self, expected: Duration) -> Instant {
        self.begun + self.time_to_respond().saturating_sub(expected)
    }

    fn time_to_respond(&self) -> Duration {
        self.grace
            .saturating_sub(EXIT_MARGIN)
            .saturating_sub(LAST_RESPONSE_TIME)
    }
}
