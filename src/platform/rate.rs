//! A token bucket that bounds this process's calls to the platform.

use std::time::Duration;
use std::time::Instant;

/// Seconds of calls that may be saved up.
const BURST_S: f64 = 1.0;

/// Bounds the rate of calls.
#[derive(Debug)]
pub(crate) struct RateLimit {
    per_s: f64,
    /// Within minus any reserved calls and `per_s * BURST_S`.
    tokens: f64,
    last: Instant,
}

impl RateLimit {
    pub(crate) fn new(per_s: u32, now: Instant) -> Self {
        let per_s = f64::from(per_s.max(1));
        Self {
            per_s,
            tokens: per_s * BURST_S,
            last: now,
        }
    }

    /// Reserves one call; returns how long it has to wait.
    pub(crate) fn reserve(&mut self, now: Instant) -> Duration {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        self.last = now;
        self.tokens = (self.tokens + passed * self.per_s).min(self.per_s * BURST_S);
        self.tokens -= 1.0;
        if self.tokens >= 0.0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(-self.tokens / self.per_s)
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;
    use std::time::Instant;

    use super::RateLimit;

    #[test]
    fn calls_beyond_the_rate_wait() {
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
