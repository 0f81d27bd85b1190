//! Whether a runner is cold, until when, and what says so.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

/// Age that the list of runners may have. What it says may have been written before
/// something that was seen in this time.
const LIST_LAG: Duration = Duration::from_secs(2);

/// Why a runner counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSource {
    /// The list of runners states it.
    Listed,
    /// It has started.
    Started,
    /// It is listed again.
    Returned,
    /// It could not be reached.
    Unreachable,
    /// Its group has formed again.
    GroupFormed,
    /// Its data centre was given back.
    PlaceReturned,
}

impl fmt::Display for ColdSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Listed => "list",
            Self::Started => "start",
            Self::Returned => "listed again",
            Self::Unreachable => "unreachable",
            Self::GroupFormed => "group formed",
            Self::PlaceReturned => "data centre given back",
        })
    }
}

/// What is known of a runner's cold start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStatus {
    until: Option<Instant>,
    source: Option<ColdSource>,
    /// When something was last seen that makes runners cold.
    assumed_at: Option<Instant>,
    /// What [`Self::take_change`] returned last.
    was_cold: bool,
}

impl ColdStatus {
    /// Returns whether the runner counts as cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns how long the runner still counts as cold.
    pub fn left(&self, now: Instant) -> Duration {
        let left = |until: Instant| until.saturating_duration_since(now);
        self.until.map_or(Duration::ZERO, left)
    }

    /// Returns what said that the runner is or was cold.
    pub fn source(&self) -> Option<ColdSource> {
        self.source
    }

    /// Records something that makes runners cold for `time`.
    pub fn assume(&mut self, now: Instant, time: Duration, source: ColdSource) {
        self.assumed_at = Some(now);
        let until = now + time;
        if self.until.is_none_or(|known| known < until) {
            self.until = Some(until);
            self.source = Some(source);
        }
    }

    /// Takes in a new record of the list, which states how long the runner stays cold.
    pub fn listed(&mut self, now: Instant, remaining: Duration) {
        let until = now + remaining;
        let may_be_older =
            |at: Instant| now.saturating_duration_since(at) < LIST_LAG && self.is_cold(now);
        if self.assumed_at.is_some_and(may_be_older) && self.until.is_some_and(|at| at > until) {
            return;
        }
        self.until = Some(until);
        if !remaining.is_zero() {
            self.source = Some(ColdSource::Listed);
        }
    }

    /// Returns whether the runner is cold, if that has changed since the last call.
    pub fn take_change(&mut self, now: Instant) -> Option<bool> {
        let is_cold = self.is_cold(now);
        let is_changed = is_cold != self.was_cold;
        self.was_cold = is_cold;
        is_changed.then_some(is_cold)
    }
}
