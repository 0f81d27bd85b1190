//! How often an entry watches a list in the store while it changes.
//!
//! A watch responds at the first change, so many changes one after another, as when all
//! runners of a fleet register, would cost each entry a call a change. The next watch
//! returns all changes since the last one, so a delay loses none of them.

use std::time::Duration;

/// Delay after a watch that responded with changes, if the one before did too; it doubles
/// with each further one up to [`MAX_DELAY`].
const FIRST_DELAY: Duration = Duration::from_millis(50);
/// Longest delay. Together with a slow response it stays well below the time in which a
/// change must be in force.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// The delays between the watches of one list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchPace {
    delay: Duration,
}

impl WatchPace {
    /// Returns the delay before the next watch. A change after a quiet time is followed by
    /// another watch at once.
    pub fn next_delay(&mut self, has_changes: bool) -> Duration {
        if !has_changes {
            self.delay = Duration::ZERO;
            return Duration::ZERO;
        }
        let delay = self.delay;
        self.delay = (delay * 2).clamp(FIRST_DELAY, MAX_DELAY);
        delay
    }
}
