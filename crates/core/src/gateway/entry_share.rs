//! The part of a runner's rate limit that one entry uses.
//!
//! All entries together keep the limit if each uses only its share. Entries receive
//! unequal parts of the load, so shares follow the demand. A bucket of one entry holds
//! at least one request, so with more entries than a small limit has requests only some
//! of them use the runner; other entries use other runners.

use crate::gateway::RateLimit;
use crate::ids::RunnerId;

/// Smallest rate, in requests per second of all entries, with which a runner is used
/// whatever its limit, so that the end of the limit is noticed.
const MIN_RATE: f64 = 0.25;
/// Most entries that use a runner: this many for each request per second of its limit,
/// and [`MIN_USERS`] more.
const USERS_PER_RATE: f64 = 2.0;
/// As [`USERS_PER_RATE`], for the smallest limits.
const MIN_USERS: f64 = 3.0;

/// An entry's share of the requests to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryShare {
    /// Its part of the demand of all entries, above zero and at most one.
    pub fraction: f64,
    /// Number of entries with a demand.
    pub entries: u32,
    /// Its position among them, from zero; `None` if it is not known.
    pub position: Option<u32>,
}

impl EntryShare {
    /// Returns the share of one of several entries as long as no more is known.
    pub fn equal(entries: u32) -> Self {
        Self {
            fraction: 1.0 / f64::from(entries.max(1)),
            entries: entries.max(1),
            position: None,
        }
    }

    /// Returns the requests per second that this entry may send to a runner with a limit;
    /// zero if other entries use the runner.
    pub fn rate(&self, runner: &RunnerId, limit: RateLimit) -> f64 {
        let limit = limit.per_second().max(MIN_RATE);
        let max_users = (limit * USERS_PER_RATE + MIN_USERS) as u32;
        match self.position {
            Some(position) if self.entries > max_users => {
                let distance = (position + spread(runner)) % self.entries;
                match distance < max_users {
                    true => limit / f64::from(max_users),
                    false => 0.0,
                }
            }
            _ => limit * self.fraction,
        }
    }

    /// Returns the requests per second that this entry may send if it is not known whether
    /// the limit is still in force: at least an equal part.
    pub fn stale_rate(&self, runner: &RunnerId, limit: RateLimit) -> f64 {
        let equal = limit.per_second().max(MIN_RATE) / f64::from(self.entries);
        self.rate(runner, limit).max(equal)
    }
}

/// Returns a number that differs between runners and is the same at all entries.
pub(crate) fn spread(runner: &RunnerId) -> u32 {
    let digest = blake3::hash(runner.as_str().as_bytes());
    let bytes = digest.as_bytes();
    u32::from(u16::from_le_bytes([bytes[0], bytes[1]]))
}
