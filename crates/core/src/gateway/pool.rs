//! Admission, queueing and load balancing of the requests to one service.
//!
//! More requests may arrive than the runners can serve on time. Each runner gets
//! only as many requests as it serves well; the others are queued here instead
//! of at the runners, so that they are ordered by priority and deadline until
//! they are sent. Requests that cannot start in time are rejected at once.

mod cold;
mod evacuated;
mod health;
mod limiter;
mod limits;
mod locality;
mod queueing;
mod rate_limits;
mod refusing_group;
mod request;
mod rests;
mod runner;
mod silent;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::collections::HashMap;
use crate::gateway::ColdSource;
use crate::gateway::EntryShare;
use crate::gateway::LoadReport;
use crate::gateway::Locality;
use crate::gateway::competition::Competition;
use crate::gateway::pool::cold::ColdBound;
use crate::gateway::pool::cold::ColdQuotas;
use crate::gateway::pool::health::Health;
use crate::gateway::pool::limiter::Limiter;
use crate::gateway::pool::locality::Candidate;
use crate::gateway::pool::locality::NearestFirst;
use crate::gateway::pool::refusing_group::RefusingGroup;
use crate::gateway::pool::runner::Runner;
use crate::gateway::pool::silent::Doubted;
use crate::gateway::silent_runners::Bound;
use crate::gateway::silent_runners::Doubt;
use crate::gateway::smoothed_rate::SmoothedRate;
use crate::hosting::ListedRunner;
use crate::ids::PlaceId;
use crate::ids::RunnerId;

pub use cold::ColdChange;
pub use limits::PoolLimits;
pub use locality::Departures;
pub use rate_limits::LimitChange;
pub use request::Admission;
pub use request::DequeuedRequest;
pub use request::QueuedRequest;
pub use request::QueuedRequestId;
pub use request::RejectReason;
pub use request::RequestSize;
pub use request::RunnerOutcome;
pub use request::Selection;

/// How long a full runner gets no requests after it refused one: about two passes.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(120);
/// Age up to which a report shows that its group is making passes. A busy group
/// reports with every pass, and a slow pass takes a quarter of a second.
const MAX_PROGRESS_AGE: Duration = Duration::from_millis(500);
/// Score added for a runner that is still slow after its start. All penalties
/// are in units of [`Pool::load_score`]: 1.0 is a runner with all slots in use.
const COLD_START_PENALTY: f64 = 0.5;
/// Score added for a runner in another data centre. Unlike the other penalties it
/// is in requests, and is divided by the runner's slots.
const REMOTE_PENALTY: f64 = 0.15;
/// Score added for a runner all of whose recent requests failed. A runner that failed
/// a third of them scores as badly as one that is full.
const FAILURE_PENALTY: f64 = 3.0;
/// Score added for a runner that takes twice the normal time. All ranks of a group
/// wait for the slowest, so a request at a slow rank delays the whole group by a
/// multiple of its own work, while at another rank it adds no further delay.
const SLOWDOWN_PENALTY: f64 = 1.0;
/// Difference in requests up to which runners count as equally loaded. All entries
/// receive the same reports at the same time. If each chose the least loaded
/// runner, they would all send to the same few runners until the next report.
const SPREAD_REQUESTS: f64 = 3.0;
/// As [`SPREAD_REQUESTS`], for runners without a recent report. Their load is known
/// only from this entry's own requests, so the spread must do no more than break ties.
const TIE_BREAK_SPREAD: f64 = 0.01;
/// Number of silent runners from which on their whole group counts as standing. A single
/// one may be unreachable by itself.
const MIN_SILENT_RUNNERS: usize = 2;
/// Share of the runners that may be ejected for error responses. If more return
/// errors, the cause is in the requests or there is no better runner.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// Which runners get no requests for now.
#[derive(Clone, Debug)]
struct Exclusions {
    /// Whether runners that are ejected for error responses get none.
    ejected: bool,
    /// Groups that get none because nothing is heard of them. While they have no request,
    /// one may try them.
    silent_groups: Vec<Arc<str>>,
    /// What runners that are or may be cold get.
    cold_quotas: Option<ColdQuotas>,
    /// Groups that respond, as far as that matters to one that refuses; `None` stands for
    /// runners of unknown group.
    responding_groups: Vec<Option<Arc<str>>>,
    /// Runners of unknown group that may refuse requests; `None` without a doubt.
    doubted: Option<Doubted>,
}

/// The runners of one service, as known to this entry, and the requests queued
/// for them.
#[derive(Debug)]
pub struct Pool {
    place: PlaceId,
    limits: PoolLimits,
    runners: BTreeMap<RunnerId, Runner>,
    /// The runner at each address; a listed one if several are known there.
    by_address: HashMap<SocketAddr, RunnerId>,
    queue: Vec<QueuedRequest>,
    /// Requests that left the queue for more urgent ones and whose tasks don't know yet.
    displaced: Vec<DequeuedRequest>,
    competition: Competition,
    /// Groups that refused requests, by name.
    refusing_groups: BTreeMap<Arc<str>, RefusingGroup>,
    /// Whether runners whose group is unknown accept requests.
    doubt: Doubt,
    /// Groups of which nothing was heard since several of their runners fell silent.
    standing_groups: BTreeSet<Arc<str>>,
    /// Completed requests per second.
    completion_rate: SmoothedRate,
    /// Requests per second that this entry gets.
    demand: SmoothedRate,
    /// This entry's share of the rate limits of runners.
    share: EntryShare,
    /// How many requests leave the data centre; `None` where all runners are alike.
    locality: Option<Locality>,
    departures: Departures,
    /// Data centres whose runners get no requests.
    evacuated: BTreeSet<PlaceId>,
    /// The bound for runners that are or may be cold; `None` if the service declares no
    /// cold start.
    cold: Option<ColdBound>,
    /// Whether runners were listed before.
    was_listed: bool,
    rng: SmallRng,
}

impl Pool {
    /// Returns a pool without runners. Each entry needs a different seed, so that
    /// entries do not all select the same runners.
    pub fn new(now: Instant, place: PlaceId, limits: PoolLimits, seed: u64) -> Self {
        Self {
            place,
            limits,
            runners: BTreeMap::new(),
            by_address: HashMap::default(),
            queue: Vec::new(),
            displaced: Vec::new(),
            competition: Competition::new(now),
            refusing_groups: BTreeMap::new(),
            doubt: Doubt::default(),
            standing_groups: BTreeSet::new(),
            completion_rate: SmoothedRate::new(now),
            demand: SmoothedRate::new(now),
            share: EntryShare::equal(1),
            locality: None,
            departures: Departures::default(),
            evacuated: BTreeSet::new(),
            cold: None,
            was_listed: false,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: PoolLimits) {
        self.limits = limits;
    }

    /// Replaces the list of the service's runners.
    ///
    /// The health and load of a runner that restarted or moved are reset.
    pub fn set_runners(&mut self, now: Instant, listed: Vec<ListedRunner>) {
        let cold_time = self.cold_time();
        let was_listed = self.was_listed;
        self.was_listed |= !listed.is_empty();
        let returned: BTreeSet<RunnerId> = self.unlisted().cloned().collect();
        for runner in self.runners.values_mut() {
            runner.is_unlisted = true;
        }
        for listed in listed {
            let remaining = listed.cold_remaining;
            match self.runners.get_mut(&listed.id) {
                Some(known) => {
                    let has_restarted = known.listed.started_unix_ms != listed.started_unix_ms
                        || known.listed.address != listed.address;
                    if has_restarted {
                        known.health = Health::new(now);
                        known.clear_report();
                        known.limiter = Limiter::new(now, &listed.id);
                        known.bound = Bound::default();
                        known.resting_until = None;
                        known.record_sign_of_life(now);
                    }
                    let begun = match has_restarted {
                        true => Some(ColdSource::Started),
                        false if returned.contains(&listed.id) => Some(ColdSource::Returned),
                        false => None,
                    };
                    let record = |runner: &ListedRunner| (runner.cold_remaining, runner.sequence);
                    let is_news = has_restarted || record(&known.listed) != record(&listed);
                    known.listed_cold(now, cold_time, begun, is_news.then_some(remaining));
                    known.listed = listed;
                    known.is_unlisted = false;
                }
                None => {
                    let id = listed.id.clone();
                    let mut runner = Runner::new(now, listed);
                    let begun = was_listed.then_some(ColdSource::Started);
                    runner.listed_cold(now, cold_time, begun, Some(remaining));
                    self.runners.insert(id, runner);
                }
            }
        }
        self.runners.retain(|_, runner| !runner.is_forgettable(now));
        self.mark_evacuated();
        self.index_addresses();
    }

    /// Indexes the runners by address, since a report of a group names dozens of them.
    fn index_addresses(&mut self) {
        self.by_address.clear();
        let (unlisted, listed): (Vec<_>, Vec<_>) = self
            .runners
            .iter()
            .partition(|(_, runner)| runner.is_unlisted);
        for (id, runner) in unlisted.into_iter().chain(listed) {
            self.by_address.insert(runner.listed.address, id.clone());
        }
    }

    /// Stores the load report of the runner at an address.
    pub fn update_load(&mut self, now: Instant, address: SocketAddr, load: &LoadReport) {
        let cold_time = self.cold_time();
        let id = self.by_address.get(&address);
        let Some(runner) = id.and_then(|id| self.runners.get_mut(id)) else {
            return;
        };
        if let Some(time) = cold_time.filter(|_| runner.is_group_formed_by(load)) {
            let cold = &mut runner.limiter.cold;
            cold.assume(now, time, ColdSource::GroupFormed);
        }
        if runner.opens_with(load)
            && let Some(group) = runner.group()
        {
            self.refusing_groups.remove(group);
        }
        runner.receive_report(now, load);
    }

    /// Returns whether a runner's group has reported passes recently. A request
    /// there that gets no response yet is then queued at the runner, not lost.
    pub fn is_making_progress(&self, now: Instant, id: &RunnerId) -> bool {
        let report = self.runners.get(id).and_then(Runner::last_report);
        report.is_some_and(|report| {
            let is_open = report
                .load
                .group
                .as_ref()
                .is_some_and(|group| group.is_open);
            is_open && now.saturating_duration_since(report.at) < MAX_PROGRESS_AGE
        })
    }

    /// Returns the number of requests at runners and of queued requests.
    pub fn request_counts(&self) -> (u32, usize) {
        let in_flight = self.runners.values().map(Runner::in_flight).sum();
        (in_flight, self.queue.len())
    }

    /// Records that a request ended at a runner, and returns the requests that
    /// leave the queue.
    pub fn request_ended(
        &mut self,
        now: Instant,
        id: &RunnerId,
        outcome: RunnerOutcome,
    ) -> Vec<DequeuedRequest> {
        let is_evacuated = self.runners.get(id).is_some_and(|r| r.is_evacuated);
        if outcome == RunnerOutcome::Served && !is_evacuated {
            self.completion_rate.record(now);
        }
        let cold_time = self.cold_time();
        if let Some(runner) = self.runners.get_mut(id) {
            runner.request_ended(now);
            if outcome.is_sign_of_life() {
                runner.record_sign_of_life(now);
                if let Some(group) = runner.group() {
                    self.standing_groups.remove(group);
                }
            }
            match outcome {
                RunnerOutcome::Served => runner.health.record_served(now),
                RunnerOutcome::Abandoned => {}
                RunnerOutcome::Busy | RunnerOutcome::Rests => {}
                RunnerOutcome::Failed => {
                    runner.health.record_broken(now);
                    runner.listed_cold(now, cold_time, Some(ColdSource::Unreachable), None);
                }
                RunnerOutcome::ErrorResponse => runner.health.record_error_response(now),
                RunnerOutcome::Replaced => runner.health.record_replaced(now),
            }
            if runner.is_forgettable(now) {
                self.runners.remove(id);
            }
        }
        match outcome {
            RunnerOutcome::Busy => self.back_off_after_refusal(now, id),
            RunnerOutcome::Served => {
                self.mark_group_open(id);
                self.silent_runner_responded(now, id);
            }
            _ => self.end_probe(id),
        }
        self.dispatch_queued(now)
    }

    /// Excludes a runner that refused a request for a short time. If the runner is
    /// not full, its group must be closed, so the whole group is excluded.
    fn back_off_after_refusal(&mut self, now: Instant, id: &RunnerId) {
        let Some(runner) = self.runners.get_mut(id) else {
            return;
        };
        let is_full = runner.total_requests(now) >= runner.listed.slots;
        if is_full || !self.limits.has_groups {
            runner.health.back_off_until(now + REFUSAL_BACKOFF);
            runner.bound.was_full(now, &self.limits);
            return;
        }
        let Some(group) = runner.group().cloned() else {
            return self.back_off_silent(now, id);
        };
        let refusing = self.refusing_groups.entry(group).or_default();
        refusing.refused(now);
    }

    /// Records that a runner began a response, which shows that its group accepts
    /// requests. Returns the requests that leave the queue.
    pub fn response_began(&mut self, now: Instant, id: &RunnerId) -> Vec<DequeuedRequest> {
        self.mark_group_open(id);
        self.silent_runner_responded(now, id);
        self.record_sign_of_life(now, id);
        self.dispatch_queued(now)
    }

    /// Records that a runner sent an event of a stream.
    pub fn record_sign_of_life(&mut self, now: Instant, id: &RunnerId) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.record_sign_of_life(now);
            runner.bound.event_arrived(now, &self.limits);
            if let Some(group) = runner.group() {
                self.standing_groups.remove(group);
            }
        }
    }

    fn mark_group_open(&mut self, id: &RunnerId) {
        if let Some(group) = self.runners.get(id).and_then(Runner::group) {
            self.refusing_groups.remove(group);
        }
    }

    fn end_probe(&mut self, id: &RunnerId) {
        if let Some(runner) = self.runners.get(id)
            && let Some(group) = runner.group()
            && let Some(refusing) = self.refusing_groups.get_mut(group)
        {
            refusing.probe_ended();
        }
    }

    /// Adds the groups of which nothing is heard, though several of their runners have
    /// requests. All ranks of a group make their passes together.
    fn update_standing_groups(&mut self, now: Instant) {
        let mut silent_runners: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        for runner in self.runners.values() {
            if let Some(group) = runner.group()
                && runner.is_silent(now)
            {
                *silent_runners.entry(group).or_default() += 1;
            }
        }
        silent_runners.retain(|_, count| *count >= MIN_SILENT_RUNNERS);
        for runner in self.runners.values() {
            if let Some(group) = runner.group()
                && runner.in_flight() > 0
                && !runner.is_silent(now)
            {
                silent_runners.remove(group);
            }
        }
        let standing: Vec<_> = silent_runners.into_keys().cloned().collect();
        self.standing_groups.extend(standing);
    }

    /// Returns the standing groups that a request is trying.
    fn tried_groups(&self) -> Vec<Arc<str>> {
        let is_tried = |group: &&Arc<str>| {
            let mut runners = self.runners.values();
            runners.any(|runner| runner.in_flight() > 0 && runner.group() == Some(group))
        };
        self.standing_groups
            .iter()
            .filter(is_tried)
            .cloned()
            .collect()
    }

    fn exclusions(&self, now: Instant) -> Exclusions {
        Exclusions {
            ejected: self.excludes_ejected(now),
            silent_groups: self.tried_groups(),
            cold_quotas: self.cold_quotas(now),
            responding_groups: self.responding_groups(now),
            doubted: self.doubted(now),
        }
    }

    /// Returns whether a runner outside `excluded` could take a request now.
    pub fn has_room_except(&self, now: Instant, excluded: &[RunnerId]) -> bool {
        let exclusions = self.exclusions(now);
        self.runners
            .values()
            .any(|runner| self.is_eligible(now, runner, excluded, &exclusions))
    }

    fn is_eligible(
        &self,
        now: Instant,
        runner: &Runner,
        excluded: &[RunnerId],
        exclusions: &Exclusions,
    ) -> bool {
        self.is_usable(now, runner, excluded, exclusions)
            && self.is_within_limits(now, runner, exclusions)
    }

    /// Returns whether a runner could take a request, apart from limits on the requests
    /// per second.
    fn is_usable(
        &self,
        now: Instant,
        runner: &Runner,
        excluded: &[RunnerId],
        exclusions: &Exclusions,
    ) -> bool {
        let is_group_silent = |group| exclusions.silent_groups.contains(group);
        runner.accepts_requests(now)
            && !(exclusions.ejected && runner.health.is_ejected(now))
            && !runner.group().is_some_and(is_group_silent)
            && runner.has_room(now, &self.limits)
            && !excluded.contains(&runner.listed.id)
            && self.group_may_be_tried(now, runner, exclusions)
            && self.silent_runner_may_be_tried(now, runner, exclusions)
    }

    fn is_within_limits(&self, now: Instant, runner: &Runner, exclusions: &Exclusions) -> bool {
        let allowance = self.allowance(now, runner, exclusions.cold_quotas);
        runner.limiter.allows(now, &runner.listed.id, allowance)
    }

    fn select(&mut self, now: Instant, request: &QueuedRequest) -> Option<Selection> {
        self.update_standing_groups(now);
        self.adapt_locality(now);
        let exclusions = self.exclusions(now);
        let mut rng = self.rng.clone();
        let mut nearest = NearestFirst::new(self.locality.as_ref());
        let margin = self.locality.as_ref().map_or(0.0, Locality::margin);
        self.runners
            .values()
            .filter(|runner| self.is_eligible(now, runner, &request.excluded, &exclusions))
            .for_each(|runner| {
                let spread = match runner.fresh_report(now) {
                    Some(_) => SPREAD_REQUESTS,
                    // Only this entry's own requests count, and they are exact.
                    None => TIE_BREAK_SPREAD,
                };
                let slots = f64::from(runner.listed.slots.max(1));
                let drawn = spread * rng.random::<f64>();
                let score = self.load_score(now, runner) + drawn / slots;
                let candidate = Candidate::new(&runner.listed.id, score, margin, spread, slots);
                nearest.offer(runner.listed.place == self.place, candidate);
            });
        self.rng = rng;
        let (best, departure) = nearest.into_best()?;
        let best = best.clone();
        self.record_departure(departure);
        let share = self.share;
        let quotas = exclusions.cold_quotas;
        let runner = self.runners.get_mut(&best)?;
        let is_counted = runner.limiter.state.limit().is_some();
        runner.limiter.take(now, &best, &share);
        runner.take_cold(now, quotas);
        runner.request_started(now);
        if let Some(group) = runner.group()
            && let Some(refusing) = self.refusing_groups.get_mut(group)
        {
            refusing.probe_began();
        }
        Some(Selection {
            runner: runner.listed.clone(),
            is_counted,
            cold_counted_at: quotas.map(|_| now),
        })
    }

    /// Returns whether a request may be handed to the runner that was selected for it. Call
    /// this right before sending: the runner may have named a limit or a rest
    /// since, be leaving, or be in an evacuated data centre.
    pub fn hand_out(&mut self, now: Instant, selection: &Selection) -> bool {
        let quotas = self.cold_quotas(now);
        let Some(runner) = self.runners.get_mut(&selection.runner.id) else {
            return false;
        };
        let is_gone = runner.is_gone(&selection.runner);
        if is_gone || runner.is_evacuated || runner.rest_left(now).is_some() {
            return false;
        }
        if !runner.retake_cold(now, selection.cold_counted_at, quotas) {
            return false;
        }
        selection.is_counted || runner.limiter.take(now, &runner.listed.id, &self.share)
    }

    /// Returns the load of a runner in requests per slot, plus penalties.
    ///
    /// The speed of the runner's group is not included: all entries learn it at
    /// the same time and would move to the faster group together.
    fn load_score(&self, now: Instant, runner: &Runner) -> f64 {
        let slots = f64::from(runner.listed.slots.max(1));
        let requests = f64::from(runner.total_requests(now)) / slots;
        let remote = match runner.listed.place == self.place {
            true => 0.0,
            false => REMOTE_PENALTY / slots,
        };
        let cold_start = match self.is_cold(now, runner) {
            true => COLD_START_PENALTY,
            false => 0.0,
        };
        let failures = FAILURE_PENALTY * runner.health.failure_share(now);
        let slowdown = runner
            .fresh_report(now)
            .map_or(1.0, |report| report.load.slowdown);
        let slowdown_penalty = SLOWDOWN_PENALTY * (slowdown - 1.0).max(0.0);
        requests + remote + cold_start + failures + slowdown_penalty
    }

    /// Returns whether ejected runners are excluded: not if there are too many.
    fn excludes_ejected(&self, now: Instant) -> bool {
        let in_use = self.runners.values().filter(|runner| !runner.is_evacuated);
        let ejected = in_use
            .clone()
            .filter(|runner| runner.health.is_ejected(now));
        ejected.count() as f64 <= in_use.count() as f64 * MAX_EJECTED_SHARE
    }
}
