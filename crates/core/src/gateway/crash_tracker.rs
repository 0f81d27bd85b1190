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
const MAX_SUSPECTED_CRASHES: usize = 2;
/// How long a strike counts whose runner is known to have crashed. A runner
/// that crashed is back within seconds.
const PROVEN_CRASH_RETENTION: Duration = Duration::from_secs(60);
/// How long a strike counts on its own: the store tells of a lost runner
/// within about three seconds.
const SUSPECTED_CRASH_RETENTION: Duration = Duration::from_secs(4);
/// Most requests that are remembered.
const MAX_REQUESTS: usize = 4096;
/// Most strikes that are remembered of one request.
const MAX_ATTEMPTS_PER_REQUEST: usize = 4;

/// Strikes by request.
#[derive(Debug, Default)]
pub struct CrashTracker {
    records: HashMap<Fingerprint, Vec<BrokenAttempt>>,
}

#[derive(Clone, Debug)]
struct BrokenAttempt {
    at: Instant,
    runner: RunnerId,
    /// Whether the runner was lost about that time.
    is_crash_proven: bool,
}

impl BrokenAttempt {
    fn is_recent(&self, now: Instant) -> bool {
        let memory = match self.is_crash_proven {
            true => PROVEN_CRASH_RETENTION,
            false => SUSPECTED_CRASH_RETENTION,
        };
        now < self.at + memory
    }
}

impl CrashTracker {
    /// Records that a runner's connection broke while it ran the request.
    pub fn record_broken_attempt(&mut self, now: Instant, request: Fingerprint, runner: RunnerId) {
        if self.records.len() >= MAX_REQUESTS {
            self.records
                .retain(|_, attempts| attempts.iter().any(|attempt| attempt.is_recent(now)));
        }
        if self.records.len() >= MAX_REQUESTS {
            return;
        }
        let attempts = self.records.entry(request).or_default();
        attempts.retain(|attempt| attempt.is_recent(now));
        if attempts.len() >= MAX_ATTEMPTS_PER_REQUEST {
            attempts.remove(0);
        }
        attempts.push(BrokenAttempt {
            at: now,
            runner,
            is_crash_proven: false,
        });
    }

    /// Records that a runner crashed: it is gone, was reborn or takes no
    /// connections.
    pub fn runner_lost(&mut self, now: Instant, runner: &RunnerId) {
        for attempt in self.records.values_mut().flatten() {
            if attempt.runner == *runner && attempt.is_recent(now) {
                attempt.is_crash_proven = true;
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
        self.records.get(&request).is_some_and(|attempts| {
            attempts.iter().filter(|s| s.is_recent(now)).count() >= MAX_SUSPECTED_CRASHES
        })
    }
}
