//! Detects and blocks poison requests, which kill the endpoints that run them.
//!
//! When an endpoint dies, every request that it ran becomes a suspect. A runner
//! runs at most one suspect at a time, so if a suspect's second runner dies too,
//! it is clear which request was the cause. This request is blocked for a limited
//! time. A suspect that gets a complete response is cleared. Other requests may
//! share a runner with a suspect: giving each suspect a runner of its own would
//! halt the whole fleet after one death.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Fingerprint;
use crate::ids::RunnerId;

/// Time after its last endpoint death for which a request stays a suspect.
const SUSPICION_PERIOD: Duration = Duration::from_secs(600);
/// Maximum number of requests that are tracked.
const MAX_RECORDS: usize = 4096;

/// The death of an endpoint while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointDeath {
    /// Hash of the content of the request.
    pub fingerprint: Fingerprint,
    /// The runner whose endpoint died.
    pub runner: RunnerId,
    /// Whether the request ran there as a suspect, and so as the only suspect.
    pub suspect: bool,
}

/// Whether, and under which restriction, a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonStatus {
    /// It may run on any runner.
    Clear,
    /// It may run on a runner that has no other suspect.
    Suspect,
    /// It may not run before the given time.
    Blocked(Instant),
}

#[derive(Clone, Debug)]
struct SuspectRecord {
    /// Distinct runners whose endpoint died while it ran the request.
    runners: Vec<RunnerId>,
    /// How many of these runners ran the request as a suspect.
    deaths_as_suspect: u32,
    last_death: Instant,
    blocked_until: Option<Instant>,
}

/// Tracks the requests that ran on endpoints that died.
#[derive(Debug, Default)]
pub struct PoisonRegistry {
    /// At most [`MAX_RECORDS`] records.
    records: BTreeMap<Fingerprint, SuspectRecord>,
}

impl PoisonRegistry {
    /// Records the death of an endpoint; returns whether this blocks the request.
    ///
    /// Several peers may report the same death, so each runner counts only once.
    pub fn record(
        &mut self,
        now: Instant,
        death: &EndpointDeath,
        block_duration: Duration,
    ) -> bool {
        if !self.records.contains_key(&death.fingerprint) {
            self.evict(now);
        }
        let record = self
            .records
            .entry(death.fingerprint)
            .or_insert(SuspectRecord {
                runners: Vec::new(),
                deaths_as_suspect: 0,
                last_death: now,
                blocked_until: None,
            });
        if record.runners.contains(&death.runner) {
            return false;
        }
        record.runners.push(death.runner.clone());
        record.deaths_as_suspect += u32::from(death.suspect);
        record.last_death = now;
        let is_cause = record.runners.len() >= 2 && record.deaths_as_suspect >= 1;
        if is_cause && record.blocked_until.is_none() {
            record.blocked_until = Some(now + block_duration);
            return true;
        }
        false
    }

    /// Clears a request that got a complete response.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    /// Returns how a request may run now.
    pub fn status(&self, now: Instant, fingerprint: Fingerprint) -> PoisonStatus {
        let Some(record) = self.records.get(&fingerprint) else {
            return PoisonStatus::Clear;
        };
        match record.blocked_until {
            Some(until) if now < until => PoisonStatus::Blocked(until),
            _ if now < record.last_death + SUSPICION_PERIOD => PoisonStatus::Suspect,
            _ => PoisonStatus::Clear,
        }
    }

    /// Returns whether no request is tracked.
    ///
    /// This is the common case, in which callers can skip [`clear`](Self::clear).
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Makes room for one record: removes expired records, then the oldest ones.
    fn evict(&mut self, now: Instant) {
        self.records.retain(|_, record| {
            now < record.last_death + SUSPICION_PERIOD
                || record.blocked_until.is_some_and(|until| now < until)
        });
        while self.records.len() >= MAX_RECORDS {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, record)| record.last_death)
                .map(|(fingerprint, _)| *fingerprint);
            match oldest {
                Some(fingerprint) => self.records.remove(&fingerprint),
                None => break,
            };
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;
    use std::time::Instant;

    use super::EndpointDeath;
    use super::PoisonRegistry;
    use super::PoisonStatus;
    use crate::ids::Fingerprint;

    const BLOCK_DURATION: Duration = Duration::from_secs(60);

    fn death(runner: &str, suspect: bool) -> EndpointDeath {
        EndpointDeath {
            fingerprint: Fingerprint(7),
            runner: runner.into(),
            suspect,
        }
    }

    #[test]
    fn suspect_that_kills_a_second_runner_is_blocked_for_a_limited_time() {
        let now = Instant::now();
        let mut registry = PoisonRegistry::default();
        assert!(!registry.record(now, &death("a", false), BLOCK_DURATION));
        assert_eq!(registry.status(now, Fingerprint(7)), PoisonStatus::Suspect);
        assert!(!registry.record(now, &death("a", false), BLOCK_DURATION));
        assert!(registry.record(now, &death("b", true), BLOCK_DURATION));
        assert_eq!(
            registry.status(now, Fingerprint(7)),
            PoisonStatus::Blocked(now + BLOCK_DURATION)
        );
        assert_eq!(
            registry.status(now + BLOCK_DURATION, Fingerprint(7)),
            PoisonStatus::Suspect
        );
    }

    #[test]
    fn request_that_never_ran_as_a_suspect_is_not_blocked() {
        let now = Instant::now();
        let mut registry = PoisonRegistry::default();
        assert!(!registry.record(now, &death("a", false), BLOCK_DURATION));
        assert!(!registry.record(now, &death("b", false), BLOCK_DURATION));
        assert_eq!(registry.status(now, Fingerprint(7)), PoisonStatus::Suspect);
        registry.clear(Fingerprint(7));
        assert_eq!(registry.status(now, Fingerprint(7)), PoisonStatus::Clear);
    }
}
