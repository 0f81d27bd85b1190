//! Requests that kill the endpoints which run them.
//!
//! A first death makes everything that ran there a suspect. A runner runs at
//! most one suspect at a time, so a second death on another runner tells which
//! suspect it was: that request is blocked for a bounded time. A suspect that
//! is answered is cleared. Other requests share runners with suspects, since
//! to give each suspect a runner of its own would stop a fleet after one death.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Fingerprint;
use crate::ids::RunnerId;

/// How long a suspicion lasts without another death.
const SUSPICION: Duration = Duration::from_secs(600);
/// Most fingerprints that are remembered.
const CAPACITY: usize = 4096;

/// An endpoint died while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointDeath {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Where it ran.
    pub runner: RunnerId,
    /// Whether it ran there as a suspect, and so as the only one.
    pub suspect: bool,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonStatus {
    /// Like any other.
    Clear,
    /// As the only suspect on its runner.
    Suspect,
    /// Not at all until the time given.
    Blocked(Instant),
}

#[derive(Clone, Debug)]
struct Record {
    /// Distinct runners that died while they ran it.
    runners: Vec<RunnerId>,
    suspect_deaths: u32,
    last_death: Instant,
    blocked_until: Option<Instant>,
}

/// What is known of requests that ran while endpoints died.
#[derive(Debug, Default)]
pub struct PoisonRegistry {
    /// At most `CAPACITY` records.
    records: BTreeMap<Fingerprint, Record>,
}

impl PoisonRegistry {
    /// Records a death; returns whether the request is newly blocked.
    ///
    /// The same death may be reported by several peers and counts once.
    pub fn record(&mut self, now: Instant, death: &EndpointDeath, block: Duration) -> bool {
        if !self.records.contains_key(&death.fingerprint) {
            self.make_room(now);
        }
        let record = self.records.entry(death.fingerprint).or_insert(Record {
            runners: Vec::new(),
            suspect_deaths: 0,
            last_death: now,
            blocked_until: None,
        });
        if record.runners.contains(&death.runner) {
            return false;
        }
        record.runners.push(death.runner.clone());
        record.suspect_deaths += u32::from(death.suspect);
        record.last_death = now;
        let conclusive = record.runners.len() >= 2 && record.suspect_deaths >= 1;
        if conclusive && record.blocked_until.is_none() {
            record.blocked_until = Some(now + block);
            return true;
        }
        false
    }

    /// Clears a suspect that was answered in whole.
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
            _ if now < record.last_death + SUSPICION => PoisonStatus::Suspect,
            _ => PoisonStatus::Clear,
        }
    }

    /// Returns whether nothing is suspected, which makes the common case cheap.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn make_room(&mut self, now: Instant) {
        self.records.retain(|_, record| {
            now < record.last_death + SUSPICION
                || record.blocked_until.is_some_and(|until| now < until)
        });
        while self.records.len() >= CAPACITY {
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

    const BLOCK: Duration = Duration::from_secs(60);

    fn death(runner: &str, suspect: bool) -> EndpointDeath {
        EndpointDeath {
            fingerprint: Fingerprint(7),
            runner: runner.into(),
            suspect,
        }
    }

    #[test]
    fn second_death_as_the_suspect_on_another_runner_blocks_for_a_bounded_time() {
        let now = Instant::now();
        let mut registry = PoisonRegistry::default();
        assert!(!registry.record(now, &death("a", false), BLOCK));
        assert_eq!(registry.status(now, Fingerprint(7)), PoisonStatus::Suspect);
        assert!(!registry.record(now, &death("a", false), BLOCK));
        assert!(registry.record(now, &death("b", true), BLOCK));
        assert_eq!(
            registry.status(now, Fingerprint(7)),
            PoisonStatus::Blocked(now + BLOCK)
        );
        assert_eq!(
            registry.status(now + BLOCK, Fingerprint(7)),
            PoisonStatus::Suspect
        );
    }

    #[test]
    fn a_bystander_is_never_blocked() {
        let now = Instant::now();
        let mut registry = PoisonRegistry::default();
        assert!(!registry.record(now, &death("a", false), BLOCK));
        assert!(!registry.record(now, &death("b", false), BLOCK));
        assert_eq!(registry.status(now, Fingerprint(7)), PoisonStatus::Suspect);
        registry.clear(Fingerprint(7));
        assert_eq!(registry.status(now, Fingerprint(7)), PoisonStatus::Clear);
    }
}
