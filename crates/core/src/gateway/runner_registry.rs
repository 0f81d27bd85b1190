//! Which listed runners count as there.
//!
//! Entries lapse when a runner cannot renew them, which also happens while the
//! store is away. After an outage a lapsed entry is therefore kept for a
//! while: a live runner registers again within that time. Without an outage a
//! removed entry means that the runner is gone.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::hosting::ListedRunner;
use crate::ids::RunnerId;
use crate::ids::ServiceId;

/// How long an entry that lapsed in an outage is kept after the store's
/// return. Live runners are back within about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// Silence of the store after which entries may have lapsed for no other
/// reason: a heartbeat of a runner comes about every second.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// The runners that count as there.
#[derive(Debug, Default)]
pub struct RunnerRegistry {
    records: BTreeMap<RunnerId, Record>,
    /// Last answer of the store.
    last_response: Option<Instant>,
    /// Since when the store is away.
    unreachable_since: Option<Instant>,
    /// Until when lapsed entries are kept.
    grace_until: Option<Instant>,
}

#[derive(Debug)]
struct Record {
    runner: ListedRunner,
    lapsed: bool,
}

impl RunnerRegistry {
    /// Records that the store did not answer.
    pub fn store_unreachable(&mut self, now: Instant) {
        self.unreachable_since
            .get_or_insert(self.last_response.unwrap_or(now));
    }

    /// Records an answer of the store; call it before its content.
    pub fn store_responded(&mut self, now: Instant) {
        if let Some(since) = self.unreachable_since.take()
            && now.saturating_duration_since(since) >= MIN_OUTAGE
        {
            self.grace_until = Some(now + LAPSE_GRACE);
        }
        self.last_response = Some(now);
    }

    /// Takes the whole list.
    pub fn replace_all(&mut self, now: Instant, runners: Vec<ListedRunner>) {
        let keep_lapsed = self.in_grace(now);
        for record in self.records.values_mut() {
            record.lapsed = true;
        }
        for runner in runners {
            self.update(runner);
        }
        if !keep_lapsed {
            self.records.retain(|_, record| !record.lapsed);
        }
    }

    /// Takes an entry that was written; returns whether it tells something new
    /// of where the runner is, whether it takes work, or that it was reborn.
    pub fn update(&mut self, runner: ListedRunner) -> bool {
        let id = runner.id.clone();
        let visible_state =
            |runner: &ListedRunner| (runner.address, runner.state, runner.started_unix_ms);
        let new_state = visible_state(&runner);
        let record = Record {
            runner,
            lapsed: false,
        };
        let previous = self.records.insert(id, record);
        previous
            .is_none_or(|previous| previous.lapsed || visible_state(&previous.runner) != new_state)
    }

    /// Returns whether an entry is of another life of a runner than the held
    /// one.
    pub fn is_new_incarnation(&self, runner: &ListedRunner) -> bool {
        self.records
            .get(&runner.id)
            .is_some_and(|known| known.runner.started_unix_ms != runner.started_unix_ms)
    }

    /// Takes the removal of an entry.
    pub fn remove(&mut self, now: Instant, id: &RunnerId) {
        if !self.in_grace(now) {
            self.records.remove(id);
        } else if let Some(record) = self.records.get_mut(id) {
            record.lapsed = true;
        }
    }

    /// Drops lapsed entries whose time is over; returns how many.
    pub fn expire(&mut self, now: Instant) -> usize {
        if self.grace_until.is_none_or(|until| now < until) {
            return 0;
        }
        self.grace_until = None;
        let before = self.records.len();
        self.records.retain(|_, record| !record.lapsed);
        before - self.records.len()
    }

    /// Returns the runners of a service.
    pub fn of_service(&self, service: &ServiceId) -> Vec<ListedRunner> {
        self.records
            .values()
            .map(|record| &record.runner)
            .filter(|runner| runner.service == *service)
            .cloned()
            .collect()
    }

    /// Returns all runners.
    pub fn all(&self) -> impl Iterator<Item = &ListedRunner> {
        self.records.values().map(|record| &record.runner)
    }

    fn in_grace(&self, now: Instant) -> bool {
        self.grace_until.is_some_and(|until| now < until)
    }
}
