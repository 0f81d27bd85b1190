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
const OUTAGE: Duration = Duration::from_millis(1_500);

/// The runners that count as there.
#[derive(Debug, Default)]
pub struct Roster {
    entries: BTreeMap<RunnerId, Entry>,
    /// Last answer of the store.
    heard: Option<Instant>,
    /// Since when the store is away.
    lost: Option<Instant>,
    /// Until when lapsed entries are kept.
    grace_until: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    runner: ListedRunner,
    lapsed: bool,
}

impl Roster {
    /// Records that the store did not answer.
    pub fn lost_contact(&mut self, now: Instant) {
        self.lost.get_or_insert(self.heard.unwrap_or(now));
    }

    /// Records an answer of the store; call it before its content.
    pub fn heard(&mut self, now: Instant) {
        if let Some(since) = self.lost.take()
            && now.saturating_duration_since(since) >= OUTAGE
        {
            self.grace_until = Some(now + LAPSE_GRACE);
        }
        self.heard = Some(now);
    }

    /// Takes the whole list.
    pub fn list(&mut self, now: Instant, runners: Vec<ListedRunner>) {
        let keep = self.in_grace(now);
        for entry in self.entries.values_mut() {
            entry.lapsed = true;
        }
        for runner in runners {
            self.write(runner);
        }
        if !keep {
            self.entries.retain(|_, entry| !entry.lapsed);
        }
    }

    /// Takes an entry that was written; returns whether it tells something new
    /// of where the runner is, whether it takes work, or that it was reborn.
    pub fn write(&mut self, runner: ListedRunner) -> bool {
        let id = runner.id.clone();
        let told = |runner: &ListedRunner| (runner.address, runner.state, runner.started_unix_ms);
        let news = told(&runner);
        let entry = Entry {
            runner,
            lapsed: false,
        };
        let former = self.entries.insert(id, entry);
        former.is_none_or(|former| former.lapsed || told(&former.runner) != news)
    }

    /// Returns whether an entry is of another life of a runner than the held
    /// one.
    pub fn is_reborn(&self, runner: &ListedRunner) -> bool {
        self.entries
            .get(&runner.id)
            .is_some_and(|held| held.runner.started_unix_ms != runner.started_unix_ms)
    }

    /// Takes the removal of an entry.
    pub fn remove(&mut self, now: Instant, id: &RunnerId) {
        if !self.in_grace(now) {
            self.entries.remove(id);
        } else if let Some(entry) = self.entries.get_mut(id) {
            entry.lapsed = true;
        }
    }

    /// Drops lapsed entries whose time is over; returns how many.
    pub fn expire(&mut self, now: Instant) -> usize {
        if self.grace_until.is_none_or(|until| now < until) {
            return 0;
        }
        self.grace_until = None;
        let before = self.entries.len();
        self.entries.retain(|_, entry| !entry.lapsed);
        before - self.entries.len()
    }

    /// Returns the runners of a service.
    pub fn of_service(&self, service: &ServiceId) -> Vec<ListedRunner> {
        self.entries
            .values()
            .map(|entry| &entry.runner)
            .filter(|runner| runner.service == *service)
            .cloned()
            .collect()
    }

    /// Returns all runners.
    pub fn all(&self) -> impl Iterator<Item = &ListedRunner> {
        self.entries.values().map(|entry| &entry.runner)
    }

    fn in_grace(&self, now: Instant) -> bool {
        self.grace_until.is_some_and(|until| now < until)
    }
}
