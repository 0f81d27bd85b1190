//! How the watch of evacuations keeps the time in which they must be in force.

use std::time::Duration;

/// Share of the bound for which the store holds a watch. What is left is enough to notice
/// that the connection has died, and for one more call on another connection.
const HOLD_SHARE: f64 = 0.4;
/// Longest time for which the store holds a watch, so that a dead connection is noticed
/// within seconds also where the bound is long.
const MAX_HOLD: Duration = Duration::from_secs(4);

/// Returns for how long the store may hold a watch of evacuations, if they must be in force
/// within `bound`.
pub fn evacuation_watch_hold(bound: Duration) -> Duration {
    bound.mul_f64(HOLD_SHARE).min(MAX_HOLD)
}
