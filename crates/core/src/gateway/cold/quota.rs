//! The part of a bound on the requests in any second that one entry uses.
//!
//! One half is divided equally among the largest plausible number of entries. An entry
//! without contact has this part, which no other one uses. The other half follows the
//! demand, as long as a leader counts all plausible entries: a leader that sees only some
//! of them can't tell what the others use.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::EntryShare;
use crate::gateway::Refill;

/// How long a larger share is held back: the two seconds for which another entry may use
/// what a leader told it before, and the second in which its requests count.
const RAISE_DELAY: Duration = Duration::from_secs(3);
/// How long a share is used without being confirmed. It is confirmed every 100 ms, unless
/// the process was frozen.
const MAX_SHARE_AGE: Duration = Duration::from_millis(500);
/// With more entries than the bound has requests: the part of it that is given out by
/// position. The rest is for entries whose position is not known.
const PLACED_PART: f64 = 0.8;
/// As many entries without a known position use a runner, on average, as this part of the
/// bound has requests.
const UNPLACED_PARTS: u32 = 5;

/// The quota of one entry at the runners of a service.
#[derive(Clone, Debug)]
pub struct EntryQuota {
    /// A random number in place of an unknown position.
    own: u32,
    /// Largest plausible number of entries.
    entries: u32,
    /// When the share was last confirmed.
    confirmed_at: Instant,
    /// Fractions of the demand that are smaller than all later ones, each with the time
    /// when it was last told; the front is the smallest.
    fractions: VecDeque<(Instant, f64)>,
    /// Position among a number of entries, and since when it has been so.
    placed: Option<Placed>,
}

#[derive(Clone, Copy, Debug)]
struct Placed {
    position: u32,
    entries: u32,
    since: Instant,
}

impl EntryQuota {
    /// Returns the quota of an entry that has no contact yet.
    pub fn new(now: Instant, own: u32, entries: u32) -> Self {
        Self {
            own,
            entries: entries.max(1),
            confirmed_at: now,
            fractions: VecDeque::from([(now, 0.0)]),
            placed: None,
        }
    }

    /// Sets the largest plausible number of entries and the share that a leader tells, if
    /// one does.
    pub fn update(&mut self, now: Instant, entries: u32, told: Option<EntryShare>) {
        if now.saturating_duration_since(self.confirmed_at) >= MAX_SHARE_AGE {
            self.tell(now, 0.0);
            self.placed = None;
        }
        self.confirmed_at = now;
        self.entries = entries.max(1);
        let counted = told.filter(|share| share.entries >= self.entries);
        self.tell(now, counted.map_or(0.0, |share| share.fraction));
        let place = counted.and_then(|share| Some((share.position?, share.entries)));
        let is_same = |placed: &Placed| Some((placed.position, placed.entries)) == place;
        if !self.placed.as_ref().is_some_and(is_same) {
            self.placed = place.map(|(position, entries)| Placed {
                position,
                entries,
                since: now,
            });
        }
        while self.fractions.len() > 1 && self.fractions[0].0 + RAISE_DELAY <= now {
            self.fractions.pop_front();
        }
    }

    /// Returns this entry's part of a bound in requests, at least one, in any second.
    pub fn of(&self, now: Instant, bound: u32) -> ColdQuota {
        let is_confirmed = now.saturating_duration_since(self.confirmed_at) < MAX_SHARE_AGE;
        if self.entries > bound {
            let is_settled =
                |placed: &Placed| now.saturating_duration_since(placed.since) >= RAISE_DELAY;
            return match self.placed.filter(is_settled).filter(|_| is_confirmed) {
                Some(placed) => ColdQuota::SomeRunners {
                    position: placed.position,
                    users: placed_users(bound),
                    of: placed.entries,
                },
                None => ColdQuota::SomeRunners {
                    position: self.own,
                    users: bound,
                    of: self.entries.saturating_mul(UNPLACED_PARTS),
                },
            };
        }
        let (equal, spare) = self.parts(bound);
        let fraction = match is_confirmed {
            true => self
                .fractions
                .front()
                .map_or(0.0, |(_, fraction)| *fraction),
            false => 0.0,
        };
        ColdQuota::EachRunner(equal + (fraction.clamp(0.0, 1.0) * f64::from(spare)) as u32)
    }

    /// Returns the requests per second that this entry could send to each runner, on
    /// average, if it had contact and all entries had the same demand.
    pub fn equal_rate(&self, bound: u32) -> f64 {
        if self.entries > bound {
            let part = f64::from(placed_users(bound)) / f64::from(self.entries);
            return Refill::within_a_second(1).per_second() * part;
        }
        let (equal, spare) = self.parts(bound);
        Refill::within_a_second(equal + spare / self.entries).per_second()
    }

    /// Returns the part of a bound that each entry has, and what is lent by demand.
    fn parts(&self, bound: u32) -> (u32, u32) {
        let equal = (bound / (2 * self.entries)).max(1);
        (equal, bound - self.entries * equal)
    }

    fn tell(&mut self, now: Instant, fraction: f64) {
        let is_no_smaller = |(_, earlier): &(Instant, f64)| *earlier >= fraction;
        while self.fractions.back().is_some_and(is_no_smaller) {
            self.fractions.pop_back();
        }
        self.fractions.push_back((now, fraction));
    }
}

/// Returns how many entries use a runner by their position.
fn placed_users(bound: u32) -> u32 {
    ((f64::from(bound) * PLACED_PART) as u32).max(1)
}

/// The requests that an entry may send to a runner in any second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdQuota {
    /// This many to each runner.
    EachRunner(u32),
    /// One to some of the runners, and none to the others.
    SomeRunners {
        /// Position of the entry.
        position: u32,
        /// Number of positions that use a runner.
        users: u32,
        /// Number of positions.
        of: u32,
    },
}

impl ColdQuota {
    /// Returns the quota at a runner, which is given by a number that differs between
    /// runners and is the same at all entries.
    pub fn at(&self, spread: u32) -> u32 {
        match *self {
            Self::EachRunner(requests) => requests,
            Self::SomeRunners {
                position,
                users,
                of,
            } => u32::from(position.wrapping_add(spread) % of.max(1) < users),
        }
    }
}
