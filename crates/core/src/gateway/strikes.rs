//! Requests that crash the runners which run them.
//!
//! A request is known by a digest of path, caller and body, since it comes
//! again under a new identifier and at any entry. A send that broke off is a
//! strike. It counts for a few seconds, until it is known whether its runner
//! crashed: then it counts for a minute. Answers that break off by themselves,
//! which happens to any request, so stop nothing for long.

use std::time::Duration;
use std::time::Instant;

use crate::collections::HashMap;
use crate::ids::Fingerprint;
use crate::ids::RunnerId;

/// Strikes after which a request is refused.
const LIMIT: usize = 2;
/// How long a strike counts whose runner is known to have crashed. A runner
/// that crashed is back within seconds.
const MEMORY: Duration = Duration::from_secs(60);
/// How long a strike counts on its own: the store tells of a lost runner
/// within about three seconds.
const SUSPICION: Duration = Duration::from_secs(4);
/// Most requests that are remembered.
const CAPACITY: usize = 4096;
/// Most strikes that are remembered of one request.
const MOST_STRIKES: usize = 4;

/// Strikes by request.
#[derive(Debug, Default)]
pub struct Strikes {
    records: HashMap<Fingerprint, Vec<Strike>>,
}

#[derive(Clone, Debug)]
struct Strike {
    at: Instant,
    runner: RunnerId,
    /// Whether the runner was lost about that time.
    is_proven: bool,
}

impl Strike {
    fn counts(&self, now: Instant) -> bool {
        let memory = match self.is_proven {
            true => MEMORY,
            false => SUSPICION,
        };
        now < self.at + memory
    }
}

impl Strikes {
    /// Records that a runner's connection broke while it ran the request.
    pub fn record(&mut self, now: Instant, request: Fingerprint, runner: RunnerId) {
        if self.records.len() >= CAPACITY {
            self.records
                .retain(|_, strikes| strikes.iter().any(|strike| strike.counts(now)));
        }
        if self.records.len() >= CAPACITY {
            return;
        }
        let strikes = self.records.entry(request).or_default();
        strikes.retain(|strike| strike.counts(now));
        if strikes.len() >= MOST_STRIKES {
            strikes.remove(0);
        }
        strikes.push(Strike {
            at: now,
            runner,
            is_proven: false,
        });
    }

    /// Records that a runner crashed: it is gone, was reborn or takes no
    /// connections.
    pub fn runner_lost(&mut self, now: Instant, runner: &RunnerId) {
        for strike in self.records.values_mut().flatten() {
            if strike.runner == *runner && strike.counts(now) {
                strike.is_proven = true;
            }
        }
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
            .is_some_and(|strikes| strikes.iter().filter(|s| s.counts(now)).count() >= LIMIT)
    }
}
