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
const ASSUMED: u16 = 8;
/// Entries assumed at least: a leader that has just started was met by few,
/// and a group without work tells nothing new for a while.
const LEAST: u16 = 4;
/// How long a count holds after a smaller one: longer than any cut that a
/// retry window can see.
const MEMORY: Duration = Duration::from_secs(60);

/// The number of entries, as far as leaders told it.
#[derive(Debug, Default)]
pub struct Crowd {
    /// Counts that are above all later ones, with the time of the last word.
    told: VecDeque<(Instant, u16)>,
}

impl Crowd {
    /// Takes a leader's count; zero, from one that has just started, says
    /// nothing.
    pub fn take(&mut self, now: Instant, count: u16) {
        if count == 0 {
            return;
        }
        while self.told.back().is_some_and(|(_, held)| *held <= count) {
            self.told.pop_back();
        }
        self.told.push_back((now, count));
    }

    /// Returns the number of entries.
    pub fn count(&mut self, now: Instant) -> u16 {
        // The last word holds until there is another.
        while self.told.len() > 1 && self.told[0].0 + MEMORY <= now {
            self.told.pop_front();
        }
        self.told
            .front()
            .map_or(ASSUMED, |(_, count)| (*count).max(LEAST))
    }
}
