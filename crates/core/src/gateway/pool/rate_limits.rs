//! The part of the pool that keeps the rate limits of runners.

use std::time::Instant;

use crate::gateway::EntryShare;
use crate::gateway::LimitNote;
use crate::gateway::LimitNotice;
use crate::gateway::Pool;
use crate::gateway::RateLimit;
use crate::gateway::pool::runner::Runner;
use crate::hosting::ListedRunner;

/// A change of the rate limit that is in force for a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The runner.
    pub runner: ListedRunner,
    /// The limit before.
    pub before: Option<RateLimit>,
    /// The limit now in force.
    pub limit: Option<RateLimit>,
}

impl Pool {
    /// Sets this entry's share of the requests to the service.
    pub fn set_share(&mut self, share: EntryShare) {
        self.share = share;
    }

    /// Returns the requests per second that this entry gets for the service.
    pub fn demand(&self, now: Instant) -> f64 {
        self.demand.at(now)
    }

    /// Takes in what a response says about its runner's rate limit. The request was sent
    /// at `sent_at`. Returns the change of the limit in force, if there is one.
    pub fn observe_limit(
        &mut self,
        now: Instant,
        sent_at: Instant,
        runner: &ListedRunner,
        notice: LimitNotice,
    ) -> Option<LimitChange> {
        let known = self.same_start(runner)?;
        let before = known.limiter.state.limit();
        let is_changed = known.limiter.state.observe(now, sent_at, notice);
        known.limit_change(now, before, is_changed)
    }

    /// Takes in what another entry knows of a runner's rate limit. Returns the change of
    /// the limit in force, if there is one.
    pub fn learn_limit(&mut self, now: Instant, note: &LimitNote) -> Option<LimitChange> {
        let known = self.runners.get_mut(&note.runner)?;
        if known.listed.started_unix_ms != note.started_unix_ms {
            return None;
        }
        let before = known.limiter.state.limit();
        let is_changed = known.limiter.state.learn(now, note.limit, note.age);
        known.limit_change(now, before, is_changed)
    }

    /// Returns what this entry's own responses say about the rate limits of runners.
    pub fn limit_notes(&self, now: Instant) -> Vec<(&ListedRunner, LimitNote)> {
        let note = |runner: &'_ Runner| {
            let (limit, age) = runner.limiter.state.own_evidence(now)?;
            Some(LimitNote {
                runner: runner.listed.id.clone(),
                started_unix_ms: runner.listed.started_unix_ms,
                limit,
                age,
            })
        };
        self.runners
            .values()
            .filter_map(|runner| Some((&runner.listed, note(runner)?)))
            .collect()
    }

    /// Returns the number of runners with a rate limit.
    pub fn limited_count(&self) -> usize {
        let is_limited = |runner: &&Runner| runner.limiter.state.limit().is_some();
        self.runners.values().filter(is_limited).count()
    }

    /// Returns the state of a runner if it has not started again.
    pub(super) fn same_start(&mut self, runner: &ListedRunner) -> Option<&mut Runner> {
        self.runners
            .get_mut(&runner.id)
            .filter(|known| known.listed.started_unix_ms == runner.started_unix_ms)
    }
}

impl Runner {
    fn limit_change(
        &mut self,
        now: Instant,
        before: Option<RateLimit>,
        is_changed: bool,
    ) -> Option<LimitChange> {
        if !is_changed {
            return None;
        }
        if before.is_none() {
            self.limiter.begin(now);
        }
        Some(LimitChange {
            runner: self.listed.clone(),
            before,
            limit: self.limiter.state.limit(),
        })
    }
}
