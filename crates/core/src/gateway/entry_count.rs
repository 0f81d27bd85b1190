//! Estimates how many entries are running.
//!
//! Entries do not know each other, but the leader of each group of runners
//! reports how many entries are connected to it. An entry that lost its
//! connection to the leader is not counted there and still sends requests to
//! runners, so the largest count of the last minute is used.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Entries assumed before any leader reported a count. No planned fleet has
/// more, and a high number is safe: each entry uses less of the retry budget.
const ASSUMED_ENTRIES: u16 = 8;
/// Lower bound of the estimate. Few entries have connected to a leader that has
/// just started, and an idle group sends no new count for a while.
const MIN_ENTRIES: u16 = 4;
/// How long a count is used after a leader last reported it, if only smaller
/// ones followed: longer than any disconnection that a retry window can see.
const COUNT_RETENTION: Duration = Duration::from_secs(60);

/// The number of entries that leaders reported recently.
#[derive(Debug, Default)]
pub struct EntryCount {
    /// Counts that are larger than all later ones, each with the time when it
    /// was last reported; the front is the largest.
    counts: VecDeque<(Instant, u16)>,
}

impl EntryCount {
    /// Records a count reported by a leader. Zero is ignored: it comes from a
    /// leader that has just started.
    pub fn update(&mut self, now: Instant, count: u16) {
        if count == 0 {
            return;
        }
        while self
            .counts
            .back()
            .is_some_and(|(_, earlier)| *earlier <= count)
        {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count));
    }

    /// Returns the estimated number of entries.
    pub fn get(&mut self, now: Instant) -> u16 {
        // The last count is kept, however old, until another arrives.
        while self.counts.len() > 1 && self.counts[0].0 + COUNT_RETENTION <= now {
            self.counts.pop_front();
        }
        self.counts
            .front()
            .map_or(ASSUMED_ENTRIES, |(_, count)| (*count).max(MIN_ENTRIES))
    }
}
