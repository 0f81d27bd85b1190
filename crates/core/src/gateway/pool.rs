//! Where requests of one service run, wait or are turned away.
//!
//! The load it answers: more arrivals than the runners can serve on time.
//! Work waits here and not at runners, so that urgency and deadlines decide to
//! the last moment; each runner holds only as much as it serves well. What
//! cannot begin in time is refused at once.

mod health;
mod limits;
mod runner;
mod work;

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
pub use work::Admission;
pub use work::Candidate;
pub use work::RunnerStatus;
pub use work::TicketId;
pub use work::Wake;
pub use work::Work;

/// How long a runner or group that refused is left alone: about two passes.
/// Doubled with each further refusal of a group, which takes a second or more
/// to form again.
const REFUSAL_REST: Duration = Duration::from_millis(120);
/// Most doublings of that time.
const MAX_DOUBLINGS: u32 = 1;
/// Bounds of the advice when to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(300);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(4);
/// Time constant of the measured rate at which requests end.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Age up to which a report shows that its group makes passes: a busy one
/// reports with every pass, and a slow pass takes a quarter of a second.
const PROGRESS_AGE: Duration = Duration::from_millis(500);
/// Load that a runner's slowness after its start is worth.
const COLD_PENALTY: f64 = 0.5;
/// Slowness of one runner that another data centre is worth.
const FAR_PENALTY: f64 = 0.15;
/// Load that it is worth when all requests at a runner failed of late: a third
/// of failures outweighs a runner that is full.
const FAILURE_PENALTY: f64 = 3.0;
/// Load that a runner of twice the usual pace is worth. All ranks wait for the
/// slowest one, so that a request at a slow rank delays the whole group by as
/// many times its own work; elsewhere it costs the group nothing more.
const SLOW_PENALTY: f64 = 1.0;
/// Requests by which runners may differ and count as equally loaded. Entries
/// hear the same reports at the same time, and what they send within the life
/// of one report goes to the same few runners if each takes the least loaded.
const SPREAD: f64 = 3.0;
/// The same where no report tells of other entries.
const TIE: f64 = 0.01;
/// Part of the runners that may be left out for their errors. Where more err,
/// the requests are at fault or there is no better runner.
const MAX_ERRING: f64 = 0.5;

/// A group that refused work.
#[derive(Clone, Copy, Debug)]
struct Closed {
    /// Refusals since it last served, without those that came together.
    refusals: u32,
    /// Until when it is left alone.
    until: Instant,
    /// Requests that try it now.
    tries: u32,
}

/// The runners of one service as one entry sees them, and what waits for them.
#[derive(Debug)]
pub struct Pool {
    place: PlaceId,
    limits: PoolLimits,
    runners: BTreeMap<RunnerId, Runner>,
    waiting: Vec<Work>,
    /// Groups that refused work, by name; `None` stands for runners whose
    /// group no report told.
    closed: BTreeMap<Option<Arc<str>>, Closed>,
    /// Requests that end in a second, smoothed.
    rate: f64,
    rate_at: Instant,
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
            waiting: Vec::new(),
            closed: BTreeMap::new(),
            rate: 0.0,
            rate_at: now,
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
            runner.gone = true;
        }
        for listed in listed {
            match self.runners.get_mut(&listed.id) {
                Some(held) => {
                    let reborn = held.listed.started_unix_ms != listed.started_unix_ms
                        || held.listed.address != listed.address;
                    if reborn {
                        held.health = Health::new(now);
                        held.forget_report();
                    }
                    held.listed = listed;
                    held.gone = false;
                }
                None => {
                    let id = listed.id.clone();
                    self.runners.insert(id, Runner::new(now, listed));
                }
            }
        }
        self.runners
            .retain(|_, runner| !runner.gone || runner.in_flight() > 0);
    }

    /// Takes a runner's report of its load.
    pub fn report(&mut self, now: Instant, address: SocketAddr, load: &LoadReport) {
        let at_address = |runner: &&mut Runner| runner.listed.address == address;
        if let Some(runner) = self.runners.values_mut().find(at_address) {
            runner.take_report(now, load);
        }
        // What was held against runners of no known group is told by reports.
        self.closed.remove(&None);
    }

    /// Returns whether a runner's group was seen to make passes just now, so
    /// that a request which hears nothing waits its turn there.
    pub fn is_progressing(&self, now: Instant, id: &RunnerId) -> bool {
        let report = self.runners.get(id).and_then(Runner::report);
        report.is_some_and(|report| {
            let open = report
                .load
                .group
                .as_ref()
                .is_some_and(|group| group.is_open);
            open && now.saturating_duration_since(report.at) < PROGRESS_AGE
        })
    }

    /// Returns requests at runners and requests that wait.
    pub fn load(&self) -> (u32, usize) {
        let in_flight = self.runners.values().map(Runner::in_flight).sum();
        (in_flight, self.waiting.len())
    }

    /// Places a request, lets it wait or turns it away.
    pub fn admit(&mut self, now: Instant, work: Work) -> Admission {
        if now >= work.deadline {
            return self.refuse();
        }
        if let Some(candidate) = self.choose(now, &work) {
            return Admission::Run(candidate);
        }
        if !self.may_wait(now, &work) {
            return self.refuse();
        }
        self.waiting.push(work);
        Admission::Wait
    }

    /// Forgets a waiting request whose caller left.
    pub fn cancel(&mut self, ticket: TicketId) {
        self.waiting.retain(|work| work.ticket != ticket);
    }

    /// Records that a request left a runner, and returns what goes on.
    pub fn ended(&mut self, now: Instant, id: &RunnerId, status: RunnerStatus) -> Vec<Wake> {
        if status == RunnerStatus::Served {
            self.count_end(now);
        }
        if let Some(runner) = self.runners.get_mut(id) {
            runner.ended(now);
            match status {
                RunnerStatus::Served => runner.health.served(now),
                RunnerStatus::Abandoned => {}
                RunnerStatus::Busy => {}
                RunnerStatus::Failed => runner.health.broke(now),
                RunnerStatus::Erred => runner.health.erred(now),
                RunnerStatus::Replaced => runner.health.replaced(now),
            }
            if runner.gone && runner.in_flight() == 0 {
                self.runners.remove(id);
            }
        }
        match status {
            RunnerStatus::Busy => self.rest_after_refusal(now, id),
            RunnerStatus::Served => self.reopen(id),
            _ => self.end_try(id),
        }
        self.wake(now)
    }

    /// Leaves a runner that refused alone for a moment, and its whole group if
    /// the runner itself is not full: then the group is not open.
    fn rest_after_refusal(&mut self, now: Instant, id: &RunnerId) {
        let Some(runner) = self.runners.get_mut(id) else {
            return;
        };
        let is_full = runner.held(now) >= runner.listed.slots;
        if is_full || !self.limits.in_groups {
            runner.health.rest(now + REFUSAL_REST);
            return;
        }
        let group = runner.group().cloned();
        let closed = self.closed.entry(group).or_insert(Closed {
            refusals: 0,
            until: now,
            tries: 0,
        });
        if now >= closed.until {
            let doubled = closed.refusals.min(MAX_DOUBLINGS);
            closed.until = now + REFUSAL_REST * 2u32.pow(doubled);
            closed.refusals += 1;
        }
        closed.tries = closed.tries.saturating_sub(1);
    }

    /// Records that a request began to be served, so that its runner's group is
    /// open.
    pub fn began(&mut self, now: Instant, id: &RunnerId) -> Vec<Wake> {
        self.reopen(id);
        self.wake(now)
    }

    fn reopen(&mut self, id: &RunnerId) {
        if self.closed.is_empty() {
            return;
        }
        if let Some(runner) = self.runners.get(id) {
            self.closed.remove(&runner.group().cloned());
            // Runners whose group is not known may belong to any.
            self.closed.remove(&None);
        }
    }

    fn end_try(&mut self, id: &RunnerId) {
        if let Some(runner) = self.runners.get(id)
            && let Some(closed) = self.closed.get_mut(&runner.group().cloned())
        {
            closed.tries = closed.tries.saturating_sub(1);
        }
    }

    /// Returns whether a runner's group may be tried: after refusals, by one
    /// request at a time.
    fn group_takes_work(&self, now: Instant, runner: &Runner) -> bool {
        self.closed
            .get(&runner.group().cloned())
            .is_none_or(|closed| now >= closed.until && closed.tries == 0)
    }

    /// Lets waiting requests go on, and turns away those that wait in vain.
    ///
    /// The load it answers: one of two groups is lost, and more requests come
    /// than can run. First come, first served would let each wait until it is
    /// late; those that can still be on time go first, and late ones take what
    /// is left.
    pub fn wake(&mut self, now: Instant) -> Vec<Wake> {
        let mut wakes = Vec::new();
        let rank = |work: &Work| (work.priority, !work.can_be_on_time(now), work.on_time);
        self.waiting.sort_by_key(rank);
        for work in std::mem::take(&mut self.waiting) {
            let admission = match self.choose(now, &work) {
                Some(candidate) => Admission::Run(candidate),
                None if now >= work.deadline => self.refuse(),
                None => {
                    self.waiting.push(work);
                    continue;
                }
            };
            wakes.push(Wake {
                ticket: work.ticket,
                admission,
            });
        }
        wakes
    }

    fn choose(&mut self, now: Instant, work: &Work) -> Option<Candidate> {
        let shuns_erring = self.shuns_erring(now);
        let mut rng = self.rng.clone();
        let best = self
            .runners
            .values()
            .filter(|runner| runner.takes_work(now))
            .filter(|runner| !shuns_erring || !runner.health.is_erring(now))
            .filter(|runner| self.group_takes_work(now, runner))
            .filter(|runner| runner.has_room(now, &self.limits))
            .filter(|runner| !work.excluded.contains(&runner.listed.id))
            .map(|runner| {
                let spread = match runner.fresh_report(now) {
                    Some(_) => SPREAD * rng.random::<f64>(),
                    // What is known is known exactly; only ties are drawn.
                    None => TIE * rng.random::<f64>(),
                };
                let slots = f64::from(runner.listed.slots.max(1));
                (self.cost(now, runner) + spread / slots, &runner.listed.id)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone());
        self.rng = rng;
        let best = best?;
        let runner = self.runners.get_mut(&best)?;
        runner.began(now);
        if let Some(closed) = self.closed.get_mut(&runner.group().cloned()) {
            closed.tries += 1;
        }
        Some(Candidate {
            runner: runner.listed.clone(),
        })
    }

    /// Returns how loaded a runner is, as requests at it for each slot, with
    /// the distance added. The pace of its group is left out: entries learn it
    /// at the same time and would run after the faster group together.
    fn cost(&self, now: Instant, runner: &Runner) -> f64 {
        let slots = f64::from(runner.listed.slots.max(1));
        let held = f64::from(runner.held(now)) / slots;
        let far = match runner.listed.place == self.place {
            true => 0.0,
            false => FAR_PENALTY / slots,
        };
        let cold = match runner.listed.cold_remaining.is_zero() {
            true => 0.0,
            false => COLD_PENALTY,
        };
        let failures = FAILURE_PENALTY * runner.health.failure_share(now);
        let pace = runner
            .fresh_report(now)
            .map_or(1.0, |report| report.load.pace);
        let slow = SLOW_PENALTY * (pace - 1.0).max(0.0);
        held + far + cold + failures + slow
    }

    /// Returns whether runners that answer with errors are left out.
    fn shuns_erring(&self, now: Instant) -> bool {
        let is_erring = |runner: &&Runner| runner.health.is_erring(now);
        let erring = self.runners.values().filter(is_erring).count();
        erring as f64 <= self.runners.len() as f64 * MAX_ERRING
    }

    fn may_wait(&self, now: Instant, work: &Work) -> bool {
        if self.waiting.len() >= self.limits.waiting {
            return false;
        }
        let left = work.deadline.saturating_duration_since(now);
        self.expected_wait() <= left.mul_f64(self.limits.wait_share)
    }

    fn expected_wait(&self) -> Duration {
        let ahead = self.waiting.len() as f64;
        if self.rate <= 0.0 || ahead == 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((ahead / self.rate).min(RETRY_AFTER_MAX.as_secs_f64() * 10.0))
    }

    fn refuse(&self) -> Admission {
        let retry_after = self.expected_wait().clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        Admission::Refuse { retry_after }
    }

    fn count_end(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.rate_at).as_secs_f64();
        self.rate_at = now;
        let window = RATE_WINDOW.as_secs_f64();
        self.rate = self.rate * (-passed / window).exp() + 1.0 / window;
    }
}
