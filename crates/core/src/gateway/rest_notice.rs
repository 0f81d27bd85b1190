//! How long a runner that refused a request wants none from this entry.

use std::time::Duration;

/// Longest rest that a runner may ask for. Longer ones are taken for mistakes.
const MAX_REST: Duration = Duration::from_secs(600);

/// What a runner's refusal says about when to come back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestNotice {
    /// The runner may be sent further requests.
    #[default]
    None,
    /// The runner wants no request for this time.
    For(Duration),
    /// The response names a time that is no valid number or too long, so it says nothing.
    Unreadable,
}

impl RestNotice {
    /// Returns the notice of a rest of this many seconds; see [`RestNotice::Unreadable`] for
    /// numbers that are negative, not finite or more than ten minutes.
    pub fn from_seconds(seconds: f64) -> Self {
        match Duration::try_from_secs_f64(seconds) {
            Ok(Duration::ZERO) => Self::None,
            Ok(rest) if rest <= MAX_REST => Self::For(rest),
            _ => Self::Unreadable,
        }
    }
}
