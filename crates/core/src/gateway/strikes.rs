//! Requests that crash the runners which run them.
//!
//! A request is known by a digest of path, caller and body, since it comes
//! again under a new identifier and at any entry. Each send that ended with
//! its runner's connection is a strike; an answer clears them.

use std::time::Duration;
use std::time::Instant;

use crate::collections::HashMap;
use crate::ids::Fingerprint;

/// Strikes after which a request is refused.
const LIMIT: u32 = 2;
/// How long a strike counts. A runner that crashed is back within seconds.
const MEMORY: Duration = Duration::from_secs(60);
/// Most requests that are remembered.
const CAPACITY: usize = 4096;

/// Strikes by request.
#[derive(Debug, Default)]
pub struct Strikes {
    records: HashMap<Fingerprint, Record>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    count: u32,
    last: Instant,
}

impl Strikes {
    /// Records that a runner was lost while it ran the request.
    pub fn record(&mut self, now: Instant, request: Fingerprint) {
        if self.records.len() >= CAPACITY {
            self.records.retain(|_, held| now < held.last + MEMORY);
        }
        if self.records.len() >= CAPACITY {
            return;
        }
        let record = self.records.entry(request).or_insert(Record {
            count: 0,
            last: now,
        });
        record.count += 1;
        record.last = now;
    }

    /// Forgets the strikes of a request that was answered.
    pub fn clear(&mut self, request: Fingerprint) {
        if !self.records.is_empty() {
            self.records.remove(&request);
        }
    }

    /// Returns whether the request must not be sent any more.
    pub fn is_blocked(&self, now: Instant, request: Fingerprint) -> bool {
        self.records
            .get(&request)
            .is_some_and(|held| held.count >= LIMIT && now < held.last + MEMORY)
    }
}
