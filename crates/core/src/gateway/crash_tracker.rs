//! Blocks poison requests: requests that crash the runners executing them.
//!
//! Callers resend a request under a new identifier and to any entry, so it is
//! identified by a digest of path, caller and body. Each attempt whose
//! connection broke is a suspected crash and counts for a few seconds. If the
//! runner then turns out to have crashed, the attempt counts for a minute.
//! Connections also break for other reasons; those block a request only briefly.

use std::time::Duration;
use std::time::Instant;

use crate::collections::HashMap;
use crate::ids::Fingerprint;
use crate::ids::RunnerId;

/// Number of recent broken attempts at which a request is blocked.
const BROKEN_ATTEMPTS_BEFORE_BLOCK: usize = 2;
/// How long a broken attempt counts if its runner crashed. A crashed runner is
/// back within seconds.
const PROVEN_CRASH_RETENTION: Duration = Duration::from_secs(60);
/// How long a broken attempt counts without a proven crash. The store reports
/// a lost runner within about three seconds.
const SUSPECTED_CRASH_RETENTION: Duration = Duration::from_secs(4);
/// Maximum number of requests tracked.
const MAX_TRACKED_REQUESTS: usize = 4096;
/// Maximum number of broken attempts kept for one request.
const MAX_ATTEMPTS_PER_REQUEST: usize = 4;

/// Broken attempts by request.
#[derive(Debug, Default)]
pub struct CrashTracker {
    records: HashMap<Fingerprint, Vec<BrokenAttempt>>,
}

/// An attempt whose connection broke while the runner had the request.
#[derive(Clone, Debug)]
struct BrokenAttempt {
    at: Instant,
    runner: RunnerId,
    /// Whether the runner was reported as crashed while the attempt was recent.
    is_crash_proven: bool,
}

impl BrokenAttempt {
    fn is_recent(&self, now: Instant) -> bool {
        let retention = match self.is_crash_proven {
            true => PROVEN_CRASH_RETENTION,
            false => SUSPECTED_CRASH_RETENTION,
        };
        now < self.at + retention
    }
}

impl CrashTracker {
    /// Records that the connection broke while a runner executed the request.
    pub fn record_broken_attempt(&mut self, now: Instant, request: Fingerprint, runner: RunnerId) {
        if self.records.len() >= MAX_TRACKED_REQUESTS {
            self.records
                .retain(|_, attempts| attempts.iter().any(|attempt| attempt.is_recent(now)));
        }
        if self.records.len() >= MAX_TRACKED_REQUESTS {
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

    /// Records that a runner crashed: it is no longer listed, has restarted or
    /// accepts no connections. Returns the requests against which this counts from now.
    pub fn runner_lost(&mut self, now: Instant, runner: &RunnerId) -> Vec<Fingerprint> {
        let mut requests = Vec::new();
        for (request, attempts) in &mut self.records {
            for attempt in attempts {
                if attempt.runner == *runner && attempt.is_recent(now) && !attempt.is_crash_proven {
                    attempt.is_crash_proven = true;
                    requests.push(*request);
                }
            }
        }
        requests
    }

    /// Removes the broken attempts of a request that got a response.
    pub fn clear(&mut self, request: Fingerprint) {
        if !self.records.is_empty() {
            self.records.remove(&request);
        }
    }

    /// Returns whether the request must not be sent to a runner now.
    pub fn is_blocked(&self, now: Instant, request: Fingerprint) -> bool {
        self.records.get(&request).is_some_and(|attempts| {
            attempts.iter().filter(|a| a.is_recent(now)).count() >= BROKEN_ATTEMPTS_BEFORE_BLOCK
        })
    }
}
