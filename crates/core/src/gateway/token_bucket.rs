//! Spaces requests so that a rate is kept.

use std::time::Duration;
use std::time::Instant;

/// Time for which unused requests are saved up.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Smallest capacity, in requests.
const MIN_CAPACITY: f64 = 1.0;
/// Part of a quota of requests in any second that may be saved up.
const SAVED_PART: f64 = 0.25;
/// Longest time from taking a token until its request is sent.
pub(crate) const MAX_SEND_DELAY: Duration = Duration::from_millis(100);
/// Requests by which the capacity and the refill of a second stay below the first number
/// of requests that is too many, so that rounding adds none.
const ROUNDING_MARGIN: f64 = 0.05;

/// How fast a bucket fills, and how far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refill {
    per_second: f64,
    capacity: f64,
}

impl Refill {
    /// Returns a refill for a rate in requests per second, on average over some seconds.
    pub fn at_rate(per_second: f64) -> Self {
        Self {
            per_second,
            capacity: (per_second * BURST_TIME.as_secs_f64()).max(MIN_CAPACITY),
        }
    }

    /// Returns a refill with which at most this many requests are sent in any second, if
    /// each is sent within [`MAX_SEND_DELAY`].
    pub fn within_a_second(requests: u32) -> Self {
        if requests == 0 {
            return Self {
                per_second: 0.0,
                capacity: 0.0,
            };
        }
        let requests = f64::from(requests);
        let capacity = (requests * SAVED_PART).max(MIN_CAPACITY);
        let seconds = 1.0 + MAX_SEND_DELAY.as_secs_f64();
        Self {
            per_second: (requests + 1.0 - ROUNDING_MARGIN - capacity) / seconds,
            capacity,
        }
    }

    /// Returns the requests per second that pass in the long run.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }
}

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
        self.has_token_of(now, Refill::at_rate(rate))
    }

    /// Takes a token for a request; returns whether there was one.
    pub fn take(&mut self, now: Instant, rate: f64) -> bool {
        self.take_of(now, Refill::at_rate(rate))
    }

    /// As [`Self::has_token`], with a refill of its own.
    pub fn has_token_of(&self, now: Instant, refill: Refill) -> bool {
        self.tokens_at(now, refill) >= 1.0
    }

    /// As [`Self::take`], with a refill of its own.
    pub fn take_of(&mut self, now: Instant, refill: Refill) -> bool {
        self.tokens = self.tokens_at(now, refill);
        self.refilled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    fn tokens_at(&self, now: Instant, refill: Refill) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let filled = self.tokens + refill.per_second * elapsed.as_secs_f64();
        filled.min(refill.capacity)
    }
}
