//! A token bucket that bounds this process's calls to the platform.

use std::time::Duration;
use std::time::Instant;

/// Largest burst, as the number of seconds for which unused calls accumulate.
const BURST_S: f64 = 1.0;

/// Token bucket for calls. Callers reserve calls ahead and wait for their turn.
#[derive(Debug)]
pub(crate) struct RateLimit {
    calls_per_s: f64,
    /// Calls that may be sent now, at most `calls_per_s * BURST_S`. Negative while
    /// reserved calls wait.
    tokens: f64,
    last_refill: Instant,
}

impl RateLimit {
    pub(crate) fn new(calls_per_s: u32, now: Instant) -> Self {
        let calls_per_s = f64::from(calls_per_s.max(1));
        Self {
            calls_per_s,
            tokens: calls_per_s * BURST_S,
            last_refill: now,
        }
    }

    /// Reserves one call; returns how long the caller has to wait before sending it.
    pub(crate) fn reserve(&mut self, now: Instant) -> Duration {
        let passed = now
            .saturating_duration_since(self.last_refill)
            .as_secs_f64();
        self.last_refill = now;
        self.tokens = (self.tokens + passed * self.calls_per_s).min(self.calls_per_s * BURST_S);
        self.tokens -= 1.0;
        if self.tokens >= 0.0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(-self.tokens / self.calls_per_s)
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;
    use std::time::Instant;

    use super::RateLimit;

    #[test]
    fn calls_beyond_the_burst_wait_for_their_turn() {
        let now = Instant::now();
        let mut limit = RateLimit::new(10, now);
        for _ in 0..10 {
            assert_eq!(limit.reserve(now), Duration::ZERO);
        }
        assert_eq!(limit.reserve(now), Duration::from_millis(100));
        assert_eq!(limit.reserve(now), Duration::from_millis(200));
        let later = now + Duration::from_secs(5);
        assert_eq!(limit.reserve(later), Duration::ZERO);
    }
}
