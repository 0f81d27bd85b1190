//! The part of the pool that spares runners that are or may be cold.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use crate::gateway::ColdLimit;
use crate::gateway::ColdQuota;
use crate::gateway::ColdSource;
use crate::gateway::EntryQuota;
use crate::gateway::EntryShare;
use crate::gateway::LoadReport;
use crate::gateway::Pool;
use crate::gateway::QueuedRequest;
use crate::gateway::RejectReason;
use crate::gateway::pool::limiter::Allowance;
use crate::gateway::pool::runner::Runner;
use crate::gateway::token_bucket::MAX_SEND_DELAY;
use crate::hosting::ListedRunner;
use crate::hosting::ListedState;
use crate::ids::PlaceId;
use crate::ids::RunnerId;

/// Number of entries that is assumed until [`Pool::set_cold_share`] is called.
const ASSUMED_ENTRIES: u32 = 16;
/// Part of the standing bound that this entry's requests to runners may use before the
/// bound gives way. Requests are not spread evenly.
const MAX_USUAL_PART: f64 = 0.8;
/// How long a number of ready runners counts as usual. When most runners are lost, the
/// bound of the others must not give way: they may turn cold next.
const READY_RETENTION: Duration = Duration::from_secs(60);
/// Multiple of the usual rate that is allowed once the standing bound gives way.
const USUAL_HEADROOM: f64 = 2.0;

/// The bound that is in force for the runners of a service.
#[derive(Clone, Debug)]
pub(super) struct ColdBound {
    limit: ColdLimit,
    quota: EntryQuota,
    /// Numbers of ready runners that are larger than all later ones, each with the time
    /// when it was last so; the front is the largest.
    ready: VecDeque<(Instant, usize)>,
}

impl ColdBound {
    /// Records the number of ready runners.
    fn update_ready(&mut self, now: Instant, count: usize) {
        while self.ready.back().is_some_and(|(_, known)| *known <= count) {
            self.ready.pop_back();
        }
        self.ready.push_back((now, count));
        while self.ready.len() > 1 && self.ready[0].0 + READY_RETENTION <= now {
            self.ready.pop_front();
        }
    }
}

/// What this entry may send to the runners now, in any second.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdQuotas {
    /// To runners that are known to be cold.
    cold: ColdQuota,
    /// To the others.
    standing: ColdQuota,
    /// To the others, if their usual load is near the bound; otherwise zero.
    usual: u32,
}

impl ColdQuotas {
    /// Returns the requests in any second that this entry may send to a runner.
    fn at(&self, now: Instant, runner: &Runner) -> u32 {
        match runner.limiter.cold.is_cold(now) {
            true => self.cold.at(runner.limiter.spread),
            false => self.standing.at(runner.limiter.spread).max(self.usual),
        }
    }
}

/// A runner that turned cold or warm.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdChange {
    /// The runner.
    pub runner: ListedRunner,
    /// Whether it counts as cold now.
    pub is_cold: bool,
    /// How long it still counts as cold.
    pub left: Duration,
    /// What said that it is or was cold.
    pub source: ColdSource,
}

impl Pool {
    /// Sets the bound for runners that are or may be cold; `None` if the service declares
    /// no cold start. Call this before the first runners are set.
    pub fn set_cold_limit(&mut self, now: Instant, limit: Option<ColdLimit>) {
        match (limit, &mut self.cold) {
            (Some(limit), Some(bound)) => bound.limit = limit,
            (Some(limit), None) => {
                let quota = EntryQuota::new(now, self.rng.random(), ASSUMED_ENTRIES);
                self.cold = Some(ColdBound {
                    limit,
                    quota,
                    ready: VecDeque::new(),
                });
                for runner in self.runners.values_mut() {
                    runner.limiter.begin_cold(now);
                }
            }
            (None, _) => self.cold = None,
        }
    }

    /// Returns whether there is a bound for runners that may be cold.
    pub fn has_cold_limit(&self) -> bool {
        self.cold.is_some()
    }

    /// Sets the largest plausible number of entries and the share of the requests that a
    /// leader tells this entry, if one does. Call this several times a second.
    pub fn set_cold_share(&mut self, now: Instant, entries: u32, told: Option<EntryShare>) {
        let is_ready =
            |runner: &&Runner| !runner.is_unlisted && runner.listed.state == ListedState::Ready;
        let ready = self.runners.values().filter(is_ready).count();
        if let Some(bound) = &mut self.cold {
            bound.quota.update(now, entries, told);
            bound.update_ready(now, ready);
        }
    }

    /// Records that the runners of a data centre may have turned cold, because it was out
    /// of use and gets requests again.
    pub fn mark_cold(&mut self, now: Instant, place: &PlaceId) {
        let Some(time) = self.cold_time() else {
            return;
        };
        for runner in self.runners.values_mut() {
            if runner.listed.place == *place {
                let cold = &mut runner.limiter.cold;
                cold.assume(now, time, ColdSource::PlaceReturned);
            }
        }
    }

    /// Returns the number of listed runners that count as cold.
    pub fn cold_count(&self, now: Instant) -> usize {
        let is_cold = |runner: &&Runner| !runner.is_unlisted && self.is_cold(now, runner);
        self.runners.values().filter(is_cold).count()
    }

    /// Returns the runners that turned cold or warm since the last call.
    pub fn take_cold_changes(&mut self, now: Instant) -> Vec<ColdChange> {
        if self.cold.is_none() {
            return Vec::new();
        }
        let change = |runner: &mut Runner| {
            let cold = &mut runner.limiter.cold;
            let is_cold = cold.take_change(now)?;
            Some(ColdChange {
                is_cold,
                left: cold.left(now),
                source: cold.source()?,
                runner: runner.listed.clone(),
            })
        };
        self.runners.values_mut().filter_map(change).collect()
    }

    /// Returns whether a runner is cold or, without a bound, whether the list says so.
    pub(super) fn is_cold(&self, now: Instant, runner: &Runner) -> bool {
        match self.cold {
            Some(_) => runner.limiter.cold.is_cold(now),
            None => !runner.listed.cold_remaining.is_zero(),
        }
    }

    /// Returns the runners that are kept though they are not listed.
    pub(super) fn unlisted(&self) -> impl Iterator<Item = &RunnerId> {
        let runners = self.runners.values();
        let unlisted = runners.filter(|runner| runner.is_unlisted);
        unlisted.map(|runner| &runner.listed.id)
    }

    /// Returns how long a runner counts as cold if nothing else is known; `None` if the
    /// service declares no cold start.
    pub(super) fn cold_time(&self) -> Option<Duration> {
        self.cold.as_ref().map(|bound| bound.limit.time)
    }

    /// Returns what this entry may send to runners that are or may be cold.
    pub(super) fn cold_quotas(&self, now: Instant) -> Option<ColdQuotas> {
        let bound = self.cold.as_ref()?;
        Some(ColdQuotas {
            cold: bound.quota.of(now, bound.limit.cold),
            standing: bound.quota.of(now, bound.limit.standing),
            usual: self.usual_requests(now, bound),
        })
    }

    /// Returns what this entry may use of a runner's limits.
    pub(super) fn allowance(
        &self,
        now: Instant,
        runner: &Runner,
        quotas: Option<ColdQuotas>,
    ) -> Allowance<'_> {
        Allowance {
            share: &self.share,
            cold_quota: quotas.map(|quotas| quotas.at(now, runner)),
        }
    }

    /// Returns whether the bound for runners that may be cold allows a request now.
    fn is_within_cold_limit(
        &self,
        now: Instant,
        runner: &Runner,
        quotas: Option<ColdQuotas>,
    ) -> bool {
        let allowance = self.allowance(now, runner, quotas);
        runner.limiter.allows_cold(now, allowance.cold_quota)
    }

    /// Returns why no runner can take a request now.
    pub(super) fn lack_of_room(&self, now: Instant, request: &QueuedRequest) -> RejectReason {
        let exclusions = self.exclusions(now);
        let lacks_only_rate = |runner: &Runner| {
            self.is_usable(now, runner, &request.excluded, &exclusions)
                && !self.is_within_cold_limit(now, runner, exclusions.cold_quotas)
        };
        match self.runners.values().any(lacks_only_rate) {
            true => RejectReason::ColdLimit,
            false => RejectReason::NoRoom,
        }
    }

    /// Returns the requests in any second that each runner may get if what runners complete
    /// comes near the standing bound; zero as long as it does not.
    fn usual_requests(&self, now: Instant, bound: &ColdBound) -> u32 {
        let ready = bound.ready.front().map_or(0, |(_, count)| *count);
        let usual = self.completion_rate.at(now) / (ready.max(1) as f64);
        let most = bound.quota.equal_rate(bound.limit.standing);
        match usual > most * MAX_USUAL_PART {
            true => (usual * USUAL_HEADROOM).ceil() as u32,
            false => 0,
        }
    }
}

impl Runner {
    /// Takes in something that makes runners cold for `time`, if that was seen, and how
    /// long a new record of the list states that the runner stays cold. Does nothing
    /// without a `time`.
    pub(super) fn listed_cold(
        &mut self,
        now: Instant,
        time: Option<Duration>,
        begun: Option<ColdSource>,
        stated: Option<Duration>,
    ) {
        let Some(time) = time else {
            return;
        };
        if let Some(source) = begun {
            self.limiter.cold.assume(now, time, source);
        }
        if let Some(remaining) = stated {
            self.limiter.cold.listed(now, remaining);
        }
    }

    /// Counts a request towards the bound for runners that may be cold.
    pub(super) fn take_cold(&mut self, now: Instant, quotas: Option<ColdQuotas>) -> bool {
        quotas.is_none_or(|quotas| {
            let quota = quotas.at(now, self);
            self.limiter.take_cold(now, quota)
        })
    }

    /// Counts a request that is about to be sent, unless it was counted just before at
    /// `counted_at`. Returns whether the bound allows it.
    pub(super) fn retake_cold(
        &mut self,
        now: Instant,
        counted_at: Option<Instant>,
        quotas: Option<ColdQuotas>,
    ) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= MAX_SEND_DELAY;
        counted_at.is_some_and(is_recent) || self.take_cold(now, quotas)
    }

    /// Returns whether a load report shows that the runner's group has formed again.
    pub(super) fn is_group_formed_by(&self, load: &LoadReport) -> bool {
        let was_open = self.last_report().and_then(|report| {
            let group = report.load.group.as_ref()?;
            Some(group.is_open)
        });
        let is_open = load.group.as_ref().map(|group| group.is_open);
        was_open == Some(false) && is_open == Some(true)
    }
}
