//! Where requests of one service run, wait or are turned away.
//!
//! The load it answers: more arrivals than the runners can serve on time.
//! Work waits here and not at runners, so that urgency and deadlines decide to
//! the last moment; each runner holds only as much as it serves well. What
//! cannot begin in time is refused at once.

mod health;
mod limits;
mod request;
mod runner;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::gateway::LoadReport;
use crate::gateway::pool::health::Health;
use crate::gateway::pool::runner::Runner;
use crate::hosting::ListedRunner;
use crate::ids::PlaceId;
use crate::ids::RunnerId;

pub use limits::PoolLimits;
pub use request::Admission;
pub use request::DequeuedRequest;
pub use request::QueuedRequest;
pub use request::QueuedRequestId;
pub use request::RunnerOutcome;
pub use request::Selection;

/// How long a runner or group that refused is left alone: about two passes.
/// Doubled with each further refusal of a group, which takes a second or more
/// to form again.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(120);
/// Most doublings of that time.
const MAX_DOUBLINGS: u32 = 1;
/// Bounds of the advice when to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Time constant of the measured rate at which requests end.
const COMPLETION_RATE_WINDOW: Duration = Duration::from_secs(2);
/// Age up to which a report shows that its group makes passes: a busy one
/// reports with every pass, and a slow pass takes a quarter of a second.
const MAX_PROGRESS_AGE: Duration = Duration::from_millis(500);
/// Load that a runner's slowness after its start is worth.
const COLD_START_PENALTY: f64 = 0.5;
/// Slowness of one runner that another data centre is worth.
const REMOTE_PENALTY: f64 = 0.15;
/// Load that it is worth when all requests at a runner failed of late: a third
/// of failures outweighs a runner that is full.
const FAILURE_PENALTY: f64 = 3.0;
/// Load that a runner of twice the usual pace is worth. All ranks wait for the
/// slowest one, so that a request at a slow rank delays the whole group by as
/// many times its own work; elsewhere it costs the group nothing more.
const SLOWDOWN_PENALTY: f64 = 1.0;
/// Requests by which runners may differ and count as equally loaded. Entries
/// hear the same reports at the same time, and what they send within the life
/// of one report goes to the same few runners if each takes the least loaded.
const SPREAD_REQUESTS: f64 = 3.0;
/// The same where no report tells of other entries.
const TIE_BREAK_SPREAD: f64 = 0.01;
/// Part of the runners that may be left out for their errors. Where more err,
/// the requests are at fault or there is no better runner.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// A group that refused work.
#[derive(Clone, Copy, Debug)]
struct RefusingGroup {
    /// Refusals since it last served, without those that came together.
    refusals: u32,
    /// Until when it is left alone.
    until: Instant,
    /// Requests that try it now.
    probes: u32,
}

/// The runners of one service as one entry sees them, and what waits for them.
#[derive(Debug)]
pub struct Pool {
    place: PlaceId,
    limits: PoolLimits,
    runners: BTreeMap<RunnerId, Runner>,
    queue: Vec<QueuedRequest>,
    /// Groups that refused work, by name; `None` stands for runners whose
    /// group no report told.
    refusing_groups: BTreeMap<Option<Arc<str>>, RefusingGroup>,
    /// Requests that end in a second, smoothed.
    completion_rate: f64,
    completion_rate_at: Instant,
    rng: SmallRng,
}

impl Pool {
    /// Returns a pool without runners. Entries need different seeds, so that
    /// they do not choose alike.
    pub fn new(now: Instant, place: PlaceId, limits: PoolLimits, seed: u64) -> Self {
        Self {
            place,
            limits,
            runners: BTreeMap::new(),
            queue: Vec::new(),
            refusing_groups: BTreeMap::new(),
            completion_rate: 0.0,
            completion_rate_at: now,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, limits: PoolLimits) {
        self.limits = limits;
    }

    /// Takes the list of the service's runners.
    pub fn set_runners(&mut self, now: Instant, listed: Vec<ListedRunner>) {
        for runner in self.runners.values_mut() {
            runner.is_unlisted = true;
        }
        for listed in listed {
            match self.runners.get_mut(&listed.id) {
                Some(held) => {
                    let reborn = held.listed.started_unix_ms != listed.started_unix_ms
                        || held.listed.address != listed.address;
                    if reborn {
                        held.health = Health::new(now);
                        held.clear_report();
                    }
                    held.listed = listed;
                    held.is_unlisted = false;
                }
                None => {
                    let id = listed.id.clone();
                    self.runners.insert(id, Runner::new(now, listed));
                }
            }
        }
        self.runners
            .retain(|_, runner| !runner.is_unlisted || runner.in_flight() > 0);
    }

    /// Takes a runner's report of its load.
    pub fn update_load(&mut self, now: Instant, address: SocketAddr, load: &LoadReport) {
        let at_address = |runner: &&mut Runner| runner.listed.address == address;
        if let Some(runner) = self.runners.values_mut().find(at_address) {
            runner.receive_report(now, load);
        }
        // What was held against runners of no known group is told by reports.
        self.refusing_groups.remove(&None);
    }

    /// Returns whether a runner's group was seen to make passes just now, so
    /// that a request which hears nothing waits its turn there.
    pub fn is_making_progress(&self, now: Instant, id: &RunnerId) -> bool {
        let report = self.runners.get(id).and_then(Runner::last_report);
        report.is_some_and(|report| {
            let open = report
                .load
                .group
                .as_ref()
                .is_some_and(|group| group.is_open);
            open && now.saturating_duration_since(report.at) < MAX_PROGRESS_AGE
        })
    }

    /// Returns requests at runners and requests that wait.
    pub fn request_counts(&self) -> (u32, usize) {
        let in_flight = self.runners.values().map(Runner::in_flight).sum();
        (in_flight, self.queue.len())
    }

    /// Places a request, lets it wait or turns it away.
    pub fn admit(&mut self, now: Instant, request: QueuedRequest) -> Admission {
        if now >= request.deadline {
            return self.reject();
        }
        if let Some(candidate) = self.select(now, &request) {
            return Admission::Run(candidate);
        }
        if !self.may_queue(now, &request) {
            return self.reject();
        }
        self.queue.push(request);
        Admission::Wait
    }

    /// Forgets a waiting request whose caller left.
    pub fn cancel(&mut self, queue_id: QueuedRequestId) {
        self.queue.retain(|request| request.queue_id != queue_id);
    }

    /// Records that a request left a runner, and returns what goes on.
    pub fn request_ended(
        &mut self,
        now: Instant,
        id: &RunnerId,
        outcome: RunnerOutcome,
    ) -> Vec<DequeuedRequest> {
        if outcome == RunnerOutcome::Served {
            self.record_completion(now);
        }
        if let Some(runner) = self.runners.get_mut(id) {
            runner.request_ended(now);
            match outcome {
                RunnerOutcome::Served => runner.health.record_served(now),
                RunnerOutcome::Abandoned => {}
                RunnerOutcome::Busy => {}
                RunnerOutcome::Failed => runner.health.record_broken(now),
                RunnerOutcome::ErrorResponse => runner.health.record_error_response(now),
                RunnerOutcome::Replaced => runner.health.record_replaced(now),
            }
            if runner.is_unlisted && runner.in_flight() == 0 {
                self.runners.remove(id);
            }
        }
        match outcome {
            RunnerOutcome::Busy => self.back_off_after_refusal(now, id),
            RunnerOutcome::Served => self.mark_group_open(id),
            _ => self.end_probe(id),
        }
        self.dispatch_queued(now)
    }

    /// Leaves a runner that refused alone for a moment, and its whole group if
    /// the runner itself is not full: then the group is not open.
    fn back_off_after_refusal(&mut self, now: Instant, id: &RunnerId) {
        let Some(runner) = self.runners.get_mut(id) else {
            return;
        };
        let is_full = runner.total_requests(now) >= runner.listed.slots;
        if is_full || !self.limits.has_groups {
            runner.health.back_off_until(now + REFUSAL_BACKOFF);
            return;
        }
        let group = runner.group().cloned();
        let refusing = self.refusing_groups.entry(group).or_insert(RefusingGroup {
            refusals: 0,
            until: now,
            probes: 0,
        });
        if now >= refusing.until {
            let doubled = refusing.refusals.min(MAX_DOUBLINGS);
            refusing.until = now + REFUSAL_BACKOFF * 2u32.pow(doubled);
            refusing.refusals += 1;
        }
        refusing.probes = refusing.probes.saturating_sub(1);
    }

    /// Records that a request began to be served, so that its runner's group is
    /// open.
    pub fn response_began(&mut self, now: Instant, id: &RunnerId) -> Vec<DequeuedRequest> {
        self.mark_group_open(id);
        self.dispatch_queued(now)
    }

    fn mark_group_open(&mut self, id: &RunnerId) {
        if self.refusing_groups.is_empty() {
            return;
        }
        if let Some(runner) = self.runners.get(id) {
            self.refusing_groups.remove(&runner.group().cloned());
            // Runners whose group is not known may belong to any.
            self.refusing_groups.remove(&None);
        }
    }

    fn end_probe(&mut self, id: &RunnerId) {
        if let Some(runner) = self.runners.get(id)
            && let Some(refusing) = self.refusing_groups.get_mut(&runner.group().cloned())
        {
            refusing.probes = refusing.probes.saturating_sub(1);
        }
    }

    /// Returns whether a runner's group may be tried: after refusals, by one
    /// request at a time.
    fn group_may_be_tried(&self, now: Instant, runner: &Runner) -> bool {
        self.refusing_groups
            .get(&runner.group().cloned())
            .is_none_or(|refusing| now >= refusing.until && refusing.probes == 0)
    }

    /// Lets waiting requests go on, and turns away those that wait in vain.
    ///
    /// The load it answers: one of two groups is lost, and more requests come
    /// than can run. First come, first served would let each wait until it is
    /// late; those that can still be on time go first, and late ones take what
    /// is left.
    pub fn dispatch_queued(&mut self, now: Instant) -> Vec<DequeuedRequest> {
        let mut dequeued = Vec::new();
        let rank = |request: &QueuedRequest| {
            (
                request.priority,
                !request.can_be_on_time(now),
                request.response_due,
            )
        };
        self.queue.sort_by_key(rank);
        for request in std::mem::take(&mut self.queue) {
            let admission = match self.select(now, &request) {
                Some(candidate) => Admission::Run(candidate),
                None if now >= request.deadline => self.reject(),
                None => {
                    self.queue.push(request);
                    continue;
                }
            };
            dequeued.push(DequeuedRequest {
                queue_id: request.queue_id,
                admission,
            });
        }
        dequeued
    }

    fn select(&mut self, now: Instant, request: &QueuedRequest) -> Option<Selection> {
        let excludes_ejected = self.excludes_ejected(now);
        let mut rng = self.rng.clone();
        let best = self
            .runners
            .values()
            .filter(|runner| runner.accepts_requests(now))
            .filter(|runner| !excludes_ejected || !runner.health.is_ejected(now))
            .filter(|runner| self.group_may_be_tried(now, runner))
            .filter(|runner| runner.has_room(now, &self.limits))
            .filter(|runner| !request.excluded.contains(&runner.listed.id))
            .map(|runner| {
                let spread = match runner.fresh_report(now) {
                    Some(_) => SPREAD_REQUESTS * rng.random::<f64>(),
                    // What is known is known exactly; only ties are drawn.
                    None => TIE_BREAK_SPREAD * rng.random::<f64>(),
                };
                let slots = f64::from(runner.listed.slots.max(1));
                (
                    self.load_score(now, runner) + spread / slots,
                    &runner.listed.id,
                )
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone());
        self.rng = rng;
        let best = best?;
        let runner = self.runners.get_mut(&best)?;
        runner.request_started(now);
        if let Some(refusing) = self.refusing_groups.get_mut(&runner.group().cloned()) {
            refusing.probes += 1;
        }
        Some(Selection {
            runner: runner.listed.clone(),
        })
    }

    /// Returns how loaded a runner is, as requests at it for each slot, with
    /// the distance added. The pace of its group is left out: entries learn it
    /// at the same time and would run after the faster group together.
    fn load_score(&self, now: Instant, runner: &Runner) -> f64 {
        let slots = f64::from(runner.listed.slots.max(1));
        let held = f64::from(runner.total_requests(now)) / slots;
        let remote = match runner.listed.place == self.place {
            true => 0.0,
            false => REMOTE_PENALTY / slots,
        };
        let cold = match runner.listed.cold_remaining.is_zero() {
            true => 0.0,
            false => COLD_START_PENALTY,
        };
        let failures = FAILURE_PENALTY * runner.health.failure_share(now);
        let slowdown = runner
            .fresh_report(now)
            .map_or(1.0, |report| report.load.slowdown);
        let slowdown = SLOWDOWN_PENALTY * (slowdown - 1.0).max(0.0);
        held + remote + cold + failures + slowdown
    }

    /// Returns whether runners that answer with errors are left out.
    fn excludes_ejected(&self, now: Instant) -> bool {
        let is_ejected = |runner: &&Runner| runner.health.is_ejected(now);
        let ejected = self.runners.values().filter(is_ejected).count();
        ejected as f64 <= self.runners.len() as f64 * MAX_EJECTED_SHARE
    }

    fn may_queue(&self, now: Instant, request: &QueuedRequest) -> bool {
        if self.queue.len() >= self.limits.max_queued {
            return false;
        }
        let left = request.deadline.saturating_duration_since(now);
        self.expected_wait() <= left.mul_f64(self.limits.max_wait_share)
    }

    fn expected_wait(&self) -> Duration {
        let ahead = self.queue.len() as f64;
        if self.completion_rate <= 0.0 || ahead == 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(
            (ahead / self.completion_rate).min(MAX_RETRY_AFTER.as_secs_f64() * 10.0),
        )
    }

    fn reject(&self) -> Admission {
        let retry_after = self.expected_wait().clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Admission::Reject { retry_after }
    }

    fn record_completion(&mut self, now: Instant) {
        let passed = now
            .saturating_duration_since(self.completion_rate_at)
            .as_secs_f64();
        self.completion_rate_at = now;
        let window = COMPLETION_RATE_WINDOW.as_secs_f64();
        self.completion_rate = self.completion_rate * (-passed / window).exp() + 1.0 / window;
    }
}
