//! A retry budget, which keeps retries from multiplying the load of a service.
//!
//! The budget is a token bucket. Each success adds a fraction of a token and each
//! retry takes one, so that under a lasting fault retries stay a fixed ratio of
//! successes. The bucket is large enough for all requests of a lost runner: they
//! were admitted already, so running them elsewhere adds no load. It also refills
//! with time, but so slowly that a lasting fault cannot use the refill as a
//! steady supply of retries.

use std::time::Duration;
use std::time::Instant;

/// Runners whose requests a full bucket allows to retry at once.
const BURST_RUNNERS: u32 = 2;
/// Time in which an empty bucket fills up without any success.
const REFILL_PERIOD: Duration = Duration::from_secs(60);

/// A token bucket from which each retry takes one token.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Tokens that a success adds, from 0 to 1.
    ratio: f64,
    /// Maximum of `tokens`; at least one.
    capacity: f64,
    /// Retries that are allowed now, from 0 to `capacity`.
    tokens: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Returns a full budget, to which each success adds `ratio` retries and whose
    /// capacity suits runners with at most `max_in_flight` requests each.
    pub fn new(now: Instant, ratio: f64, max_in_flight: u32) -> Self {
        let capacity = capacity(max_in_flight);
        Self {
            ratio: ratio.clamp(0.0, 1.0),
            capacity,
            tokens: capacity,
            refilled_at: now,
        }
    }

    /// Changes the ratio and the capacity; tokens above the new capacity are lost.
    pub fn set_limits(&mut self, ratio: f64, max_in_flight: u32) {
        self.ratio = ratio.clamp(0.0, 1.0);
        self.capacity = capacity(max_in_flight);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Adds the tokens of one success.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// Takes the token for one retry; returns whether the retry is allowed.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let periods = elapsed.as_secs_f64() / REFILL_PERIOD.as_secs_f64();
        self.tokens = (self.tokens + periods * self.capacity).min(self.capacity);
    }
}

fn capacity(max_in_flight: u32) -> f64 {
    f64::from(max_in_flight.max(1) * BURST_RUNNERS)
}

#[cfg(test)]
mod tests {
    use std::time::Duration;
    use std::time::Instant;

    use super::RetryBudget;

    #[test]
    fn all_requests_of_a_lost_runner_can_be_retried_at_once() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(now, 0.1, 32);
        assert!((0..32).all(|_| budget.try_spend(now)));
    }

    #[test]
    fn empty_budget_allows_retries_only_in_proportion_to_successes() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(now, 0.1, 8);
        while budget.try_spend(now) {}
        let mut retries = 0;
        for _ in 0..1_000 {
            budget.record_success();
            if budget.try_spend(now) {
                retries += 1;
            }
        }
        assert!((99..=101).contains(&retries), "{retries}");
    }

    #[test]
    fn retries_stay_bounded_in_an_outage_without_any_success() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(now, 0.1, 8);
        let later = |s| now + Duration::from_secs(s);
        let allowed: usize = (0..60)
            .map(|s| (0..1_000).filter(|_| budget.try_spend(later(s))).count())
            .sum();
        assert!(allowed <= 32, "{allowed}");
    }
}
