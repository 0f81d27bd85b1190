//! A retry budget: a share of successes, so that retries cannot multiply load.
//!
//! A reserve covers the loss of a whole runner at once: what it held was
//! admitted already, so running it elsewhere is no new load. The reserve comes
//! back slowly, so a lasting fault cannot live on it.

use std::time::Duration;
use std::time::Instant;

/// Runners whose whole load the reserve can run elsewhere.
const RESERVE_RUNNERS: u32 = 2;
/// Time in which an empty reserve comes back.
const RESERVE_PERIOD: Duration = Duration::from_secs(60);

/// Pays for retries out of successes and a reserve.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Within 0 and 1.
    share: f64,
    /// At least one.
    reserve: f64,
    /// Within 0 and `reserve`.
    saved: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Returns a budget that earns `share` retries for each success and holds
    /// a reserve for runners with `max_in_flight` requests each.
    pub fn new(now: Instant, share: f64, max_in_flight: u32) -> Self {
        let reserve = reserve(max_in_flight);
        Self {
            share: share.clamp(0.0, 1.0),
            reserve,
            saved: reserve,
            refilled_at: now,
        }
    }

    /// Changes the share and the reserve; what is saved stays within it.
    pub fn set_limits(&mut self, share: f64, max_in_flight: u32) {
        self.share = share.clamp(0.0, 1.0);
        self.reserve = reserve(max_in_flight);
        self.saved = self.saved.min(self.reserve);
    }

    /// Records a success.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(self.reserve);
    }

    /// Takes one retry; returns whether it is allowed.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let share = passed.as_secs_f64() / RESERVE_PERIOD.as_secs_f64();
        self.saved = (self.saved + share * self.reserve).min(self.reserve);
    }
}

fn reserve(max_in_flight: u32) -> f64 {
    f64::from(max_in_flight.max(1) * RESERVE_RUNNERS)
}

#[cfg(test)]
mod tests {
    use std::time::Duration;
    use std::time::Instant;

    use super::RetryBudget;

    #[test]
    fn the_load_of_a_lost_runner_can_run_elsewhere() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(now, 0.1, 32);
        assert!((0..32).all(|_| budget.try_spend(now)));
    }

    #[test]
    fn retries_stay_a_share_of_successes_in_a_lasting_fault() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(now, 0.1, 8);
        while budget.try_spend(now) {}
        let mut retries = 0;
        for _ in 0..1_000 {
            budget.earn();
            if budget.try_spend(now) {
                retries += 1;
            }
        }
        assert!((99..=101).contains(&retries), "{retries}");
    }

    #[test]
    fn an_outage_cannot_be_multiplied() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(now, 0.1, 8);
        let later = |s| now + Duration::from_secs(s);
        let allowed: usize = (0..60)
            .map(|s| (0..1_000).filter(|_| budget.try_spend(later(s))).count())
            .sum();
        assert!(allowed <= 32, "{allowed}");
    }
}
