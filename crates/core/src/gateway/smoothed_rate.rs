//! A rate of events, smoothed exponentially.

use std::time::Duration;
use std::time::Instant;

/// Time constant of the smoothing.
const WINDOW: Duration = Duration::from_secs(2);

/// Events per second, smoothed over about two seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SmoothedRate {
    per_second: f64,
    at: Instant,
}

impl SmoothedRate {
    /// Returns a rate of zero.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            at: now,
        }
    }

    /// Records an event.
    pub(crate) fn record(&mut self, now: Instant) {
        self.per_second = self.at(now) + 1.0 / WINDOW.as_secs_f64();
        self.at = now;
    }

    /// Scales the rate, when what causes the events is known to have changed by a factor.
    pub(crate) fn scale(&mut self, factor: f64) {
        self.per_second *= factor;
    }

    /// Returns the rate as of the last event.
    pub(crate) fn at_last_event(&self) -> f64 {
        self.per_second
    }

    /// Returns the rate at a time after the last event.
    pub(crate) fn at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at);
        self.per_second * (-elapsed.as_secs_f64() / WINDOW.as_secs_f64()).exp()
    }
}
