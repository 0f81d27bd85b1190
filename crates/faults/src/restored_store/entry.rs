//! What an entry keeps of the store's answers, as in production.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::CallerLimits;
use wisteriawick_core::gateway::Declaration;
use wisteriawick_core::gateway::LatestDeclaration;
use wisteriawick_core::gateway::RunnerRegistry;
use wisteriawick_core::hosting::Era;
use wisteriawick_core::hosting::ListedState;
use wisteriawick_core::ids::RunnerId;
use wisteriawick_core::ids::ServiceId;

use super::RestoreMutation;
use super::fake_store::Change;
use super::fake_store::FakeStore;

/// An entry, and the call that it has under way.
pub(super) struct Entry {
    pub(super) declaration: LatestDeclaration,
    pub(super) registry: RunnerRegistry,
    /// Highest version served so far.
    pub(super) served: u64,
    /// Era and revision up to which the entry knows the store; `None` before a listing.
    pub(super) position: Option<Position>,
    /// The answer to the call under way.
    pub(super) answer: Option<Answer>,
    /// An answer to a call that was given up.
    pub(super) late_answer: Option<Answer>,
    pub(super) call_at: u64,
    pub(super) had_runner: bool,
}

/// How far an entry knows the store.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Position {
    pub(super) era: Era,
    pub(super) revision: u64,
}

/// An answer of the store on its way.
pub(super) struct Answer {
    pub(super) arrives: u64,
    pub(super) era: Era,
    pub(super) content: Content,
}

pub(super) enum Content {
    Listing(Box<FakeStore>),
    Changes(Vec<Change>, u64),
    /// The revision is not in the store's history.
    Gone,
}

/// The start of each runner that takes new requests.
pub(super) type ReadyRunners = BTreeMap<RunnerId, Option<u64>>;

impl Entry {
    pub(super) fn new() -> Self {
        Self {
            declaration: LatestDeclaration::default(),
            registry: RunnerRegistry::default(),
            served: 0,
            position: None,
            answer: None,
            late_answer: None,
            call_at: 0,
            had_runner: false,
        }
    }

    pub(super) fn version(&self) -> u64 {
        let current = self.declaration.get();
        current.map_or(0, |declaration| declaration.version())
    }

    pub(super) fn ready_runners(&self) -> ReadyRunners {
        let runners = self.registry.of_service(&ServiceId::from("s"), |_| true);
        runners
            .into_iter()
            .filter(|runner| runner.state == ListedState::Ready)
            .map(|runner| (runner.id, runner.started_unix_ms))
            .collect()
    }

    pub(super) fn take_declaration(
        &mut self,
        era: Era,
        version: u64,
        mutation: Option<RestoreMutation>,
    ) {
        if mutation == Some(RestoreMutation::TakesAnyDeclaration) {
            self.declaration = LatestDeclaration::default();
        }
        self.declaration.update(era, declaration(version));
    }

    pub(super) fn apply_change(
        &mut self,
        now: Instant,
        era: Era,
        change: Change,
        mutation: Option<RestoreMutation>,
    ) {
        match change {
            Change::Declared(version) => self.take_declaration(era, version, mutation),
            Change::RunnerWritten(runner) => {
                self.registry.update(runner);
            }
            Change::RunnerRemoved(id) => self.registry.remove(now, &id),
        }
    }
}

fn declaration(version: u64) -> Declaration {
    let limits = CallerLimits {
        max_head_bytes: 16_384,
        max_body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Declaration::new(version, Vec::new(), Vec::new(), None, limits)
}
