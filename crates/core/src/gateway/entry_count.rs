//! How many entries there are.
//!
//! Entries do not know each other. Leaders of groups tell how many entries are
//! linked to them. An entry that was cut off is missed by leaders and still
//! sends to runners, so the largest count of the last minute holds.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Entries assumed while no leader told how many there are: no fleet that was
/// planned has more, and a smaller part of the retry budget is on the safe
/// side.
const ASSUMED_ENTRIES: u16 = 8;
/// Entries assumed at least: a leader that has just started was met by few,
/// and a group without work tells nothing new for a while.
const MIN_ENTRIES: u16 = 4;
/// How long a count holds after a smaller one: longer than any cut that a
/// retry window can see.
const COUNT_RETENTION: Duration = Duration::from_secs(60);

/// The number of entries, as far as leaders told it.
#[derive(Debug, Default)]
pub struct EntryCount {
    /// Counts that are above all later ones, with the time of the last word.
    counts: VecDeque<(Instant, u16)>,
}

impl EntryCount {
    /// Takes a leader's count; zero, from one that has just started, says
    /// nothing.
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

    /// Returns the number of entries.
    pub fn get(&mut self, now: Instant) -> u16 {
        // The last word holds until there is another.
        while self.counts.len() > 1 && self.counts[0].0 + COUNT_RETENTION <= now {
            self.counts.pop_front();
        }
        self.counts
            .front()
            .map_or(ASSUMED_ENTRIES, |(_, count)| (*count).max(MIN_ENTRIES))
    }
}
