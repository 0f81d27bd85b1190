//! When a refused caller should return.

use std::time::Duration;

/// Bounds of the time that a refusal states.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Part of the time over which callers are spread that would return together.
const SPREAD: f64 = 0.5;

/// Returns a time from which on there is room, spread by a random number of at least zero
/// and below one.
pub(super) fn spread(room_after: Duration, random: f64) -> Duration {
    let earliest = room_after.max(MIN_RETRY_AFTER);
    earliest.mul_f64(1.0 + SPREAD * random).min(MAX_RETRY_AFTER)
}
