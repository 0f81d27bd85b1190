//! A retry budget: a share of successes, so that retries cannot multiply load.

/// Retries that may be saved up.
const MAX_SAVED: f64 = 20.0;
/// Retries a quiet service starts with.
const INITIAL: f64 = 5.0;

/// Pays for retries out of successes.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Within 0 and 1.
    share: f64,
    /// Within 0 and `MAX_SAVED`.
    saved: f64,
}

impl RetryBudget {
    /// Returns a budget that earns `share` retries for each success.
    pub fn new(share: f64) -> Self {
        Self {
            share: share.clamp(0.0, 1.0),
            saved: INITIAL,
        }
    }

    /// Changes the share; what is saved stays.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Records a success.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
    }

    /// Takes one retry; returns whether it is allowed.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::RetryBudget;

    #[test]
    fn retries_stay_a_share_of_successes() {
        let mut budget = RetryBudget::new(0.1);
        let mut retries = 0;
        for _ in 0..1_000 {
            budget.earn();
            if budget.try_spend() {
                retries += 1;
            }
        }
        assert!(retries <= 105, "{retries}");
        assert!(retries >= 100, "{retries}");
    }

    #[test]
    fn an_outage_cannot_be_multiplied() {
        let mut budget = RetryBudget::new(0.1);
        let allowed = (0..1_000).filter(|_| budget.try_spend()).count();
        assert_eq!(allowed, 5);
    }
}
