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
/// As [`ASSUMED_ENTRIES`], where entries beyond the assumed number would break a bound.
const ASSUMED_MOST: u16 = 16;
/// How long after the first count all entries that can connect have done so.
const SETTLING_TIME: Duration = Duration::from_secs(10);

/// The number of entries that leaders reported recently.
#[derive(Debug, Default)]
pub struct EntryCount {
    /// Counts that are larger than all later ones, each with the time when it
    /// was last reported; the front is the largest.
    counts: VecDeque<(Instant, u16)>,
    /// When a leader first reported a count.
    first_at: Option<Instant>,
}

impl EntryCount {
    /// Records a count reported by a leader. Zero is ignored: it comes from a
    /// leader that has just started.
    pub fn update(&mut self, now: Instant, count: u16) {
        if count == 0 {
            return;
        }
        self.first_at.get_or_insert(now);
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
        self.largest(now)
            .map_or(ASSUMED_ENTRIES, |count| count.max(MIN_ENTRIES))
    }

    /// Returns the estimated number of entries, which is below the lower bound of
    /// [`Self::get`] if leaders have reported such counts for some seconds, and higher before
    /// any leader reported one.
    pub fn get_settled(&mut self, now: Instant) -> u16 {
        let is_old = |at| now.saturating_duration_since(at) >= SETTLING_TIME;
        match self.largest(now) {
            Some(count) if self.first_at.is_some_and(is_old) => count,
            Some(count) => count.max(MIN_ENTRIES),
            None => ASSUMED_MOST,
        }
    }

    /// Returns the largest count that was reported recently.
    fn largest(&mut self, now: Instant) -> Option<u16> {
        // The last count is kept, however old, until another arrives.
        while self.counts.len() > 1 && self.counts[0].0 + COUNT_RETENTION <= now {
            self.counts.pop_front();
        }
        self.counts.front().map(|(_, count)| *count)
    }
}
