//! The requests per second that a runner takes from all entries together.

/// A runner's rate limit, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Returns a limit of `per_second` requests per second; `None` for numbers that are
    /// negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// What a runner's response says about its rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// The runner has no limit.
    #[default]
    Unlimited,
    /// The runner has this limit.
    Limited(RateLimit),
    /// The response names a limit that is no valid number, so it says nothing.
    Unreadable,
}
