//! Spaces requests so that a rate is kept.

use std::time::Duration;
use std::time::Instant;

/// Time for which unused requests are saved up.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Smallest capacity, in requests.
const MIN_CAPACITY: f64 = 1.0;

/// A token bucket whose rate may change at any time. It is empty at first.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Returns an empty bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Returns whether a request may be sent now, at a rate in requests per second.
    pub fn has_token(&self, now: Instant, rate: f64) -> bool {
        self.tokens_at(now, rate) >= 1.0
    }

    /// Takes a token for a request; returns whether there was one.
    pub fn take(&mut self, now: Instant, rate: f64) -> bool {
        self.tokens = self.tokens_at(now, rate);
        self.refilled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    fn tokens_at(&self, now: Instant, rate: f64) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let capacity = (rate * BURST_TIME.as_secs_f64()).max(MIN_CAPACITY);
        (self.tokens + rate * elapsed.as_secs_f64()).min(capacity)
    }
}
