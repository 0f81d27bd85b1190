//! The router core of one service: ties admission, choice, retries and blocks.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::collections::HashMap;
use crate::fleet::Distance;
use crate::fleet::Service;
use crate::ids::AttemptId;
use crate::ids::Fingerprint;
use crate::ids::RunnerId;
use crate::router::AttemptResult;
use crate::router::Chooser;
use crate::router::EndpointDeath;
use crate::router::FairQueue;
use crate::router::PoisonRegistry;
use crate::router::PoisonStatus;
use crate::router::Policy;
use crate::router::PrefixIndex;
use crate::router::Rejection;
use crate::router::Request;
use crate::router::RequestId;
use crate::router::RetryBudget;
use crate::router::RetryRule;
use crate::router::RunnerReport;
use crate::router::RunnerState;
use crate::router::SelectionCriteria;
use crate::router::pace::Pace;

/// Prefixes that one service remembers.
const PREFIX_CAPACITY: usize = 16_384;
/// Attempts that one request may take, whatever the budget says.
const MAX_ATTEMPTS: u32 = 4;
/// Bounds of the advice when to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// How long requests wait for any runner to come back before they are refused.
const NO_RUNNER_GRACE: Duration = Duration::from_secs(2);

/// What the router is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request came in, with its workspace's weight.
    Arrive(Request, u32),
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// The caller of a waiting request went away.
    Cancel(RequestId),
    /// A runner belongs to the service.
    RunnerAdded(RunnerId, Distance),
    /// A runner is gone for good.
    RunnerRemoved(RunnerId),
    /// A runner's state changed.
    RunnerState(RunnerId, RunnerState),
    /// A runner reported its load.
    Report(RunnerId, RunnerReport),
    /// An endpoint died while running a request.
    EndpointDied(EndpointDeath),
    /// The service's limits changed.
    Limits(Box<Service>),
    /// Time passed.
    Tick,
}

/// What the router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send one attempt to a runner.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The attempt, never used before.
        attempt: AttemptId,
        /// Where to send it.
        runner: RunnerId,
        /// Whether it must be the only suspect on its runner.
        suspect: bool,
    },
    /// Answer the caller: no further attempt is made.
    Reject(RequestId, Rejection),
    /// A request that kills endpoints was blocked.
    Blocked(Fingerprint),
}

#[derive(Debug)]
struct InFlight {
    request: Request,
    runner: RunnerId,
    attempts: u32,
    suspect: bool,
}

/// The decisions of one entry for one service.
#[derive(Debug)]
pub struct Router {
    limits: Service,
    chooser: Chooser,
    queue: FairQueue,
    /// Requests that ran while an endpoint died; they wait apart, because only
    /// a runner without another suspect will do for them.
    suspects: FairQueue,
    budget: RetryBudget,
    poison: PoisonRegistry,
    prefixes: PrefixIndex,
    in_flight: HashMap<AttemptId, InFlight>,
    /// Attempts already made for requests that wait again.
    attempts: HashMap<RequestId, u32>,
    pace: Pace,
    /// Since when no runner takes work.
    no_runner_since: Option<Instant>,
    rng: SmallRng,
}

impl Router {
    /// Returns a router without runners; `seed` makes its draws repeatable.
    pub fn new(now: Instant, limits: Service, policy: Policy, seed: u64) -> Self {
        Self {
            chooser: Chooser::new(policy, limits.max_in_flight),
            queue: FairQueue::default(),
            suspects: FairQueue::default(),
            budget: RetryBudget::new(now, limits.retry_share, limits.max_in_flight),
            poison: PoisonRegistry::default(),
            prefixes: PrefixIndex::new(PREFIX_CAPACITY),
            in_flight: HashMap::default(),
            attempts: HashMap::default(),
            pace: Pace::default(),
            no_runner_since: Some(now),
            rng: SmallRng::seed_from_u64(seed),
            limits,
        }
    }

    /// Takes an input and appends what has to be done.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        self.look_for_runners(now);
        match input {
            Input::Arrive(request, weight) => self.arrive(now, request, weight, out),
            Input::Ended { attempt, result } => self.ended(now, attempt, result, out),
            Input::Cancel(id) => {
                if self.queue.remove(id).is_none() {
                    self.suspects.remove(id);
                }
                self.attempts.remove(&id);
            }
            Input::RunnerAdded(id, distance) => self.chooser.add(id, distance),
            Input::RunnerRemoved(id) => {
                self.chooser.remove(&id);
                self.prefixes.forget(&id);
            }
            Input::RunnerState(id, state) => self.chooser.set_state(&id, state),
            Input::Report(id, report) => self.chooser.record_report(now, &id, report),
            Input::EndpointDied(death) => self.death(now, &death, out),
            Input::Limits(limits) => self.set_limits(*limits),
            Input::Tick => self.chooser.clear_expired(now),
        }
        self.look_for_runners(now);
        self.expire(now, out);
        self.dispatch_waiting(now, out);
    }

    fn look_for_runners(&mut self, now: Instant) {
        if self.chooser.has_live_runner(&[]) {
            self.no_runner_since = None;
        } else {
            self.no_runner_since.get_or_insert(now);
        }
    }

    fn is_without_runner(&self, now: Instant) -> bool {
        self.no_runner_since
            .is_some_and(|since| now >= since + NO_RUNNER_GRACE)
    }

    /// Returns when `Input::Tick` is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        if self.waiting() == 0 {
            return None;
        }
        self.queue
            .next_deadline()
            .into_iter()
            .chain(self.suspects.next_deadline())
            .chain(self.chooser.next_deadline())
            .chain(self.no_runner_since.map(|since| since + NO_RUNNER_GRACE))
            .min()
    }

    /// Returns how many requests wait for a runner.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.suspects.len()
    }

    /// Returns how many attempts are under way.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    fn arrive(&mut self, now: Instant, request: Request, weight: u32, out: &mut Vec<Output>) {
        if let PoisonStatus::Blocked(until) = self.poison.status(now, request.fingerprint) {
            let retry_after = until - now;
            out.push(Output::Reject(
                request.id,
                Rejection::Blocked { retry_after },
            ));
            return;
        }
        if self.is_without_runner(now) {
            let retry_after = RETRY_AFTER_MIN;
            out.push(Output::Reject(
                request.id,
                Rejection::NoRunner { retry_after },
            ));
            return;
        }
        if self.is_hopeless(now, &request) {
            let retry_after = self.retry_after();
            out.push(Output::Reject(
                request.id,
                Rejection::Deadline { retry_after },
            ));
            return;
        }
        match self.poison.status(now, request.fingerprint) {
            PoisonStatus::Suspect => self.suspects.push(request, weight),
            _ => self.queue.push(request, weight),
        }
        self.dispatch_waiting(now, out);
        while self.waiting() > self.limits.max_queue as usize {
            let Some(shed) = self.queue.shed().or_else(|| self.suspects.shed()) else {
                break;
            };
            self.attempts.remove(&shed.id);
            let retry_after = self.retry_after();
            out.push(Output::Reject(
                shed.id,
                Rejection::Overloaded { retry_after },
            ));
        }
    }

    /// Returns whether the queue in front is longer than the deadline allows.
    fn is_hopeless(&self, now: Instant, request: &Request) -> bool {
        self.pace
            .wait_for(self.queue.len())
            .is_some_and(|wait| !self.queue.is_empty() && now + wait > request.deadline)
    }

    fn retry_after(&self) -> Duration {
        self.pace
            .wait_for(self.queue.len())
            .unwrap_or(RETRY_AFTER_MIN)
            .clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    fn ended(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        result: AttemptResult,
        out: &mut Vec<Output>,
    ) {
        let Some(InFlight {
            mut request,
            runner,
            attempts,
            suspect,
        }) = self.in_flight.remove(&attempt)
        else {
            return;
        };
        self.chooser.record_end(&runner, suspect);
        match result {
            AttemptResult::Completed { duration } => {
                self.answered(now, &request, &runner, duration)
            }
            AttemptResult::Cancelled => {}
            AttemptResult::Busy => {
                self.chooser.record_busy(now, &runner, suspect);
                self.attempts.insert(request.id, attempts - 1);
                self.requeue(now, request);
            }
            AttemptResult::Down => {
                // A later report tells when it takes work again.
                self.chooser.set_state(&runner, RunnerState::Suspect);
                self.attempts.insert(request.id, attempts - 1);
                self.requeue(now, request);
            }
            AttemptResult::NotRun | AttemptResult::Unknown | AttemptResult::Died => {
                if result == AttemptResult::Died {
                    // Before the retry, so that it runs as a suspect.
                    let fingerprint = request.fingerprint;
                    let death = EndpointDeath {
                        fingerprint,
                        runner: runner.clone(),
                        suspect,
                    };
                    self.death(now, &death, out);
                }
                if self.may_retry(now, &request, attempts, result) {
                    request.excluded.push(runner);
                    self.relax_exclusions(&mut request);
                    self.attempts.insert(request.id, attempts);
                    self.requeue(now, request);
                } else {
                    let rejection = match result {
                        AttemptResult::NotRun => Rejection::NotRun,
                        _ => Rejection::Unknown,
                    };
                    out.push(Output::Reject(request.id, rejection));
                }
            }
        }
    }

    /// Puts a request that was admitted before in front of its lane.
    fn requeue(&mut self, now: Instant, request: Request) {
        match self.poison.status(now, request.fingerprint) {
            PoisonStatus::Suspect => self.suspects.push_front(request),
            _ => self.queue.push_front(request),
        }
    }

    fn answered(&mut self, now: Instant, request: &Request, runner: &RunnerId, duration: Duration) {
        self.budget.earn();
        self.pace.answered(now);
        self.chooser
            .record_duration(runner, duration, request.cost_tokens);
        if !self.poison.is_empty() {
            self.poison.clear(request.fingerprint);
        }
    }

    fn may_retry(
        &mut self,
        now: Instant,
        request: &Request,
        attempts: u32,
        result: AttemptResult,
    ) -> bool {
        let safe = match request.retry {
            RetryRule::Never => false,
            RetryRule::IfNotRun => result == AttemptResult::NotRun,
            RetryRule::Idempotent => true,
        };
        safe && attempts < MAX_ATTEMPTS && now < request.deadline && self.budget.try_spend(now)
    }

    /// Lets a request back to runners that failed it when no other is left.
    fn relax_exclusions(&self, request: &mut Request) {
        if !self.chooser.has_live_runner(&request.excluded) {
            request.excluded.clear();
        }
    }

    fn death(&mut self, now: Instant, death: &EndpointDeath, out: &mut Vec<Output>) {
        self.prefixes.forget(&death.runner);
        if self.poison.record(now, death, self.limits.block_duration) {
            out.push(Output::Blocked(death.fingerprint));
        }
    }

    fn set_limits(&mut self, limits: Service) {
        let (share, max) = (limits.retry_share, limits.max_in_flight);
        self.budget.set_limits(share, max);
        self.chooser.set_default_max(limits.max_in_flight);
        self.limits = limits;
    }

    fn expire(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.is_without_runner(now) {
            self.refuse_all(out);
            return;
        }
        let due = |queue: &FairQueue| queue.next_deadline().is_some_and(|at| at <= now);
        if !due(&self.queue) && !due(&self.suspects) {
            return;
        }
        let retry_after = self.retry_after();
        let mut expired = self.queue.expire(now);
        expired.extend(self.suspects.expire(now));
        for request in expired {
            self.attempts.remove(&request.id);
            out.push(Output::Reject(
                request.id,
                Rejection::Deadline { retry_after },
            ));
        }
    }

    /// Refuses what waits: no runner has come back.
    fn refuse_all(&mut self, out: &mut Vec<Output>) {
        let retry_after = RETRY_AFTER_MIN;
        while let Some(request) = self.queue.shed().or_else(|| self.suspects.shed()) {
            self.attempts.remove(&request.id);
            out.push(Output::Reject(
                request.id,
                Rejection::NoRunner { retry_after },
            ));
        }
    }

    fn dispatch_waiting(&mut self, now: Instant, out: &mut Vec<Output>) {
        while let Some((request, runner)) = self.next_fit(now, true) {
            self.dispatch(now, request, runner, out);
        }
        while let Some((request, runner)) = self.next_fit(now, false) {
            self.dispatch(now, request, runner, out);
        }
    }

    /// Takes the next request of a queue for which there is a runner.
    fn next_fit(&mut self, now: Instant, suspect: bool) -> Option<(Request, RunnerId)> {
        let Self {
            queue,
            suspects,
            chooser,
            prefixes,
            rng,
            ..
        } = self;
        let queue = if suspect { suspects } else { queue };
        if queue.is_empty() {
            return None;
        }
        let mut chosen = None;
        let request = queue.pop(|request| {
            let criteria = SelectionCriteria {
                cached: prefixes.longest(&request.prefix),
                excluded: &request.excluded,
                suspect,
            };
            chosen = chooser.choose(now, criteria, rng);
            chosen.is_some()
        })?;
        chosen.map(|runner| (request, runner))
    }

    fn dispatch(
        &mut self,
        now: Instant,
        request: Request,
        runner: RunnerId,
        out: &mut Vec<Output>,
    ) {
        let suspect = match self.poison.status(now, request.fingerprint) {
            PoisonStatus::Clear => false,
            PoisonStatus::Suspect => true,
            PoisonStatus::Blocked(until) => {
                self.attempts.remove(&request.id);
                let retry_after = until - now;
                out.push(Output::Reject(
                    request.id,
                    Rejection::Blocked { retry_after },
                ));
                return;
            }
        };
        let attempts = self.attempts.remove(&request.id).unwrap_or(0) + 1;
        let attempt = AttemptId(self.rng.random());
        self.chooser.record_start(&runner, suspect);
        self.prefixes.record(&request.prefix, &runner);
        out.push(Output::Dispatch {
            request: request.id,
            attempt,
            runner: runner.clone(),
            suspect,
        });
        let in_flight = InFlight {
            request,
            runner,
            attempts,
            suspect,
        };
        self.in_flight.insert(attempt, in_flight);
    }
}

#[cfg(test)]
mod tests;
