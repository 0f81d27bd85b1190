//! The runners that the store lists, with a grace period after store outages.
//!
//! A runner's record in the store expires unless the runner renews it, and it
//! cannot renew it during a store outage. Records that expired in an outage are
//! therefore kept for a grace period, in which live runners register again.
//! Without an outage a removed record means that the runner is gone.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::hosting::ListedRunner;
use crate::ids::RunnerId;
use crate::ids::ServiceId;

/// How long expired records are kept once the store responds again. Live
/// runners register again within about two seconds.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);
/// Shortest store outage in which records of live runners may have expired.
/// Runners send a heartbeat about every second.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// The runners that are considered registered.
#[derive(Debug, Default)]
pub struct RunnerRegistry {
    records: BTreeMap<RunnerId, Record>,
    /// When the store last responded.
    last_response: Option<Instant>,
    /// When the store last responded before the current outage; `None` if it is
    /// reachable.
    unreachable_since: Option<Instant>,
    /// Until when expired records are kept after an outage.
    grace_until: Option<Instant>,
}

#[derive(Debug)]
struct Record {
    runner: ListedRunner,
    /// Whether the store no longer lists the runner.
    is_expired: bool,
}

impl RunnerRegistry {
    /// Records that the store did not respond.
    pub fn store_unreachable(&mut self, now: Instant) {
        self.unreachable_since
            .get_or_insert(self.last_response.unwrap_or(now));
    }

    /// Records that the store responded. Call this before applying the content
    /// of the response.
    pub fn store_responded(&mut self, now: Instant) {
        if let Some(since) = self.unreachable_since.take()
            && now.saturating_duration_since(since) >= MIN_OUTAGE
        {
            self.grace_until = Some(now + EXPIRY_GRACE);
        }
        self.last_response = Some(now);
    }

    /// Replaces all records with a complete listing of the store.
    pub fn replace_all(&mut self, now: Instant, runners: Vec<ListedRunner>) {
        let keep_expired = self.is_in_grace(now);
        for record in self.records.values_mut() {
            record.is_expired = true;
        }
        for runner in runners {
            self.update(runner);
        }
        if !keep_expired {
            self.records.retain(|_, record| !record.is_expired);
        }
    }

    /// Sets a runner's record. Returns whether the runner is new or its address,
    /// state or start time changed.
    pub fn update(&mut self, runner: ListedRunner) -> bool {
        let id = runner.id.clone();
        let visible_state =
            |runner: &ListedRunner| (runner.address, runner.state, runner.started_unix_ms);
        let new_state = visible_state(&runner);
        let record = Record {
            runner,
            is_expired: false,
        };
        let previous = self.records.insert(id, record);
        previous.is_none_or(|previous| {
            previous.is_expired || visible_state(&previous.runner) != new_state
        })
    }

    /// Returns whether the runner has restarted since its stored record.
    pub fn is_new_incarnation(&self, runner: &ListedRunner) -> bool {
        self.records
            .get(&runner.id)
            .is_some_and(|known| known.runner.started_unix_ms != runner.started_unix_ms)
    }

    /// Removes a runner's record, or marks it as expired in the grace period.
    pub fn remove(&mut self, now: Instant, id: &RunnerId) {
        if !self.is_in_grace(now) {
            self.records.remove(id);
        } else if let Some(record) = self.records.get_mut(id) {
            record.is_expired = true;
        }
    }

    /// Drops expired records once the grace period is over; returns how many.
    pub fn expire(&mut self, now: Instant) -> usize {
        if self.grace_until.is_none_or(|until| now < until) {
            return 0;
        }
        self.grace_until = None;
        let before = self.records.len();
        self.records.retain(|_, record| !record.is_expired);
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

    fn is_in_grace(&self, now: Instant) -> bool {
        self.grace_until.is_some_and(|until| now < until)
    }
}
