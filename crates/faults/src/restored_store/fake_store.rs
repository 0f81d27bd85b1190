//! A store that numbers its writes and can be restored from a copy.

use std::collections::BTreeMap;

use wisteriawick_core::hosting::Era;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::ids::RunnerId;

/// A write, as a watch reports it.
#[derive(Clone)]
pub(super) enum Change {
    /// A declaration with this version.
    Declared(u64),
    RunnerWritten(ListedRunner),
    RunnerRemoved(RunnerId),
}

/// The objects, and the changes that led to them.
#[derive(Clone, Default)]
pub(super) struct FakeStore {
    pub(super) era: Era,
    /// Version of the declaration.
    pub(super) declaration: Option<u64>,
    runners: BTreeMap<RunnerId, StoredRunner>,
    history: Vec<Change>,
    pub(super) is_away: bool,
    /// Step of the last restore; zero if there was none.
    pub(super) restored_at: u64,
}

#[derive(Clone)]
struct StoredRunner {
    listed: ListedRunner,
    /// Step of its last heartbeat.
    beat_at: u64,
}

impl FakeStore {
    pub(super) fn runners(&self) -> impl Iterator<Item = &ListedRunner> {
        self.runners.values().map(|stored| &stored.listed)
    }

    /// Returns the number of the last write.
    pub(super) fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    /// Returns whether a runner's record is stored, apart from its heartbeats.
    pub(super) fn holds(&self, runner: &ListedRunner) -> bool {
        self.runners.get(&runner.id).is_some_and(|stored| {
            stored.listed.state == runner.state
                && stored.listed.started_unix_ms == runner.started_unix_ms
        })
    }

    /// Returns the changes after a revision; `None` if the store does not have it.
    pub(super) fn changes_since(&self, revision: u64) -> Option<Vec<Change>> {
        self.history.get(revision as usize..).map(<[_]>::to_vec)
    }

    pub(super) fn write_declaration(&mut self, version: u64) {
        self.declaration = Some(version);
        self.record(Change::Declared(version));
    }

    /// Writes a runner's record or, if nothing else changed, only its heartbeat, which no
    /// watch reports.
    pub(super) fn write_runner(&mut self, step: u64, runner: &ListedRunner) {
        let is_same = self.holds(runner);
        let stored = StoredRunner {
            listed: runner.clone(),
            beat_at: step,
        };
        self.runners.insert(runner.id.clone(), stored);
        if !is_same {
            self.record(Change::RunnerWritten(runner.clone()));
        }
    }

    pub(super) fn remove_runner(&mut self, id: &RunnerId) {
        if self.runners.remove(id).is_some() {
            self.record(Change::RunnerRemoved(id.clone()));
        }
    }

    /// Removes the runners whose heartbeats are missing.
    pub(super) fn expire(&mut self, step: u64, after: u64) {
        let restored_at = self.restored_at;
        let is_expired =
            |stored: &StoredRunner| step > stored.beat_at.max(restored_at).saturating_add(after);
        let expired = self.runners.iter().filter(|(_, stored)| is_expired(stored));
        let expired: Vec<RunnerId> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.remove_runner(id);
        }
    }

    /// Replaces all by a copy, in a new era.
    pub(super) fn restore(&mut self, copy: &Self, step: u64) {
        *self = Self {
            era: Era(self.era.0 + 1),
            is_away: false,
            restored_at: step,
            ..copy.clone()
        };
    }

    fn record(&mut self, change: Change) {
        self.history.push(change);
    }
}
