//! The state machine that routes the requests of one service.
//!
//! It combines the fair queue, the choice of runners, the retry budget and the
//! detection of poison requests.

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
use crate::router::wait_estimate::WaitEstimator;

/// Maximum number of prompt prefixes in the index of one service.
const PREFIX_CAPACITY: usize = 16_384;
/// Maximum number of attempts at one request, whatever the retry budget allows.
const MAX_ATTEMPTS: u32 = 4;
/// Bounds of the retry time that a rejection states.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// How long requests wait, when no runner is up, before they are rejected.
const NO_RUNNER_TIMEOUT: Duration = Duration::from_secs(2);

/// An event that the router handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request arrived, from a workspace with this weight.
    Arrive(Request, u32),
    /// An attempt ended.
    Ended {
        /// The attempt that ended.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// A waiting request is no longer needed.
    Cancel(RequestId),
    /// A runner was added to the service, or its distance changed.
    RunnerAdded(RunnerId, Distance),
    /// A runner was removed from the service.
    RunnerRemoved(RunnerId),
    /// A runner's state changed.
    RunnerState(RunnerId, RunnerState),
    /// A runner reported its load.
    Report(RunnerId, RunnerReport),
    /// An endpoint died while it ran a request.
    EndpointDied(EndpointDeath),
    /// The service's limits changed.
    Limits(Box<Service>),
    /// The time that [`Router::next_deadline`] returned has passed.
    Tick,
}

/// An action that the router requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send one attempt to a runner.
    Dispatch {
        /// The request that the attempt serves.
        request: RequestId,
        /// The attempt's identifier, never used before.
        attempt: AttemptId,
        /// The runner to send it to.
        runner: RunnerId,
        /// Whether it must be the only poison suspect on its runner.
        suspect: bool,
    },
    /// End the request; no further attempt is made.
    Reject(RequestId, Rejection),
    /// Record that requests with this fingerprint are blocked, since they kill endpoints.
    Blocked(Fingerprint),
}

#[derive(Debug)]
struct InFlight {
    request: Request,
    runner: RunnerId,
    /// Attempts that count toward [`MAX_ATTEMPTS`], including this one.
    attempts: u32,
    suspect: bool,
}

/// Routes the requests of one entry to the runners of one service.
#[derive(Debug)]
pub struct Router {
    limits: Service,
    chooser: Chooser,
    queue: FairQueue,
    /// Poison suspects that wait; they have their own queue because they need a
    /// runner without another suspect.
    suspects: FairQueue,
    budget: RetryBudget,
    poison: PoisonRegistry,
    prefixes: PrefixIndex,
    in_flight: HashMap<AttemptId, InFlight>,
    /// Counted attempts of requests that are queued for a retry.
    attempt_counts: HashMap<RequestId, u32>,
    wait_estimator: WaitEstimator,
    /// Since when no runner is up; `None` while one is.
    no_runner_since: Option<Instant>,
    rng: SmallRng,
}

impl Router {
    /// Returns a router without runners.
    ///
    /// `seed` determines all random decisions, including attempt identifiers.
    pub fn new(now: Instant, limits: Service, policy: Policy, seed: u64) -> Self {
        Self {
            chooser: Chooser::new(policy, limits.max_in_flight),
            queue: FairQueue::default(),
            suspects: FairQueue::default(),
            budget: RetryBudget::new(now, limits.retry_share, limits.max_in_flight),
            poison: PoisonRegistry::default(),
            prefixes: PrefixIndex::new(PREFIX_CAPACITY),
            in_flight: HashMap::default(),
            attempt_counts: HashMap::default(),
            wait_estimator: WaitEstimator::default(),
            no_runner_since: Some(now),
            rng: SmallRng::seed_from_u64(seed),
            limits,
        }
    }

    /// Handles an input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        self.update_no_runner_since(now);
        match input {
            Input::Arrive(request, weight) => self.arrive(now, request, weight, out),
            Input::Ended { attempt, result } => self.ended(now, attempt, result, out),
            Input::Cancel(id) => {
                if self.queue.remove(id).is_none() {
                    self.suspects.remove(id);
                }
                self.attempt_counts.remove(&id);
            }
            Input::RunnerAdded(id, distance) => self.chooser.add(id, distance),
            Input::RunnerRemoved(id) => {
                self.chooser.remove(&id);
                self.prefixes.remove_runner(&id);
            }
            Input::RunnerState(id, state) => self.chooser.set_state(&id, state),
            Input::Report(id, report) => self.chooser.record_report(now, &id, report),
            Input::EndpointDied(death) => self.endpoint_died(now, &death, out),
            Input::Limits(limits) => self.set_limits(*limits),
            Input::Tick => self.chooser.clear_expired(now),
        }
        self.update_no_runner_since(now);
        self.reject_expired(now, out);
        self.dispatch_waiting(now, out);
    }

    fn update_no_runner_since(&mut self, now: Instant) {
        if self.chooser.has_live_runner(&[]) {
            self.no_runner_since = None;
        } else {
            self.no_runner_since.get_or_insert(now);
        }
    }

    fn no_runner_timed_out(&self, now: Instant) -> bool {
        self.no_runner_since
            .is_some_and(|since| now >= since + NO_RUNNER_TIMEOUT)
    }

    /// Returns when the next [`Input::Tick`] is due, if any request waits.
    pub fn next_deadline(&self) -> Option<Instant> {
        if self.waiting() == 0 {
            return None;
        }
        self.queue
            .next_deadline()
            .into_iter()
            .chain(self.suspects.next_deadline())
            .chain(self.chooser.next_deadline())
            .chain(self.no_runner_since.map(|since| since + NO_RUNNER_TIMEOUT))
            .min()
    }

    /// Returns how many requests wait for a runner.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.suspects.len()
    }

    /// Returns the number of attempts in flight.
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
        if self.no_runner_timed_out(now) {
            let retry_after = MIN_RETRY_AFTER;
            out.push(Output::Reject(
                request.id,
                Rejection::NoRunner { retry_after },
            ));
            return;
        }
        if self.will_miss_deadline(now, &request) {
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
            let Some(evicted) = self.queue.evict().or_else(|| self.suspects.evict()) else {
                break;
            };
            self.attempt_counts.remove(&evicted.id);
            let retry_after = self.retry_after();
            out.push(Output::Reject(
                evicted.id,
                Rejection::Overloaded { retry_after },
            ));
        }
    }

    /// Returns whether the request is expected to wait in the queue past its deadline.
    fn will_miss_deadline(&self, now: Instant, request: &Request) -> bool {
        self.wait_estimator
            .estimate(self.queue.len())
            .is_some_and(|wait| !self.queue.is_empty() && now + wait > request.deadline)
    }

    fn retry_after(&self) -> Duration {
        self.wait_estimator
            .estimate(self.queue.len())
            .unwrap_or(MIN_RETRY_AFTER)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
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
                self.completed(now, &request, &runner, duration)
            }
            AttemptResult::Cancelled => {}
            AttemptResult::Busy => {
                self.chooser.record_busy(now, &runner, suspect);
                // A refused attempt does not count.
                self.attempt_counts.insert(request.id, attempts - 1);
                self.requeue(now, request);
            }
            AttemptResult::Down => {
                // The agent's next heartbeat shows whether the runner takes work again.
                self.chooser.set_state(&runner, RunnerState::Suspect);
                // A refused attempt does not count.
                self.attempt_counts.insert(request.id, attempts - 1);
                self.requeue(now, request);
            }
            AttemptResult::NotRun | AttemptResult::Unknown | AttemptResult::Died => {
                if result == AttemptResult::Died {
                    // The retry must already run as a suspect.
                    let fingerprint = request.fingerprint;
                    let death = EndpointDeath {
                        fingerprint,
                        runner: runner.clone(),
                        suspect,
                    };
                    self.endpoint_died(now, &death, out);
                }
                if self.may_retry(now, &request, attempts, result) {
                    request.excluded.push(runner);
                    self.relax_exclusions(&mut request);
                    self.attempt_counts.insert(request.id, attempts);
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

    /// Puts a request that was admitted before at the front of its workspace's queue.
    fn requeue(&mut self, now: Instant, request: Request) {
        match self.poison.status(now, request.fingerprint) {
            PoisonStatus::Suspect => self.suspects.push_front(request),
            _ => self.queue.push_front(request),
        }
    }

    fn completed(
        &mut self,
        now: Instant,
        request: &Request,
        runner: &RunnerId,
        duration: Duration,
    ) {
        self.budget.record_success();
        self.wait_estimator.record_response(now);
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

    /// Allows the runners that failed the request again when no other runner is up.
    fn relax_exclusions(&self, request: &mut Request) {
        if !self.chooser.has_live_runner(&request.excluded) {
            request.excluded.clear();
        }
    }

    fn endpoint_died(&mut self, now: Instant, death: &EndpointDeath, out: &mut Vec<Output>) {
        self.prefixes.remove_runner(&death.runner);
        if self.poison.record(now, death, self.limits.block_duration) {
            out.push(Output::Blocked(death.fingerprint));
        }
    }

    fn set_limits(&mut self, limits: Service) {
        let (ratio, max) = (limits.retry_share, limits.max_in_flight);
        self.budget.set_limits(ratio, max);
        self.chooser.set_default_max_in_flight(limits.max_in_flight);
        self.limits = limits;
    }

    fn reject_expired(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.no_runner_timed_out(now) {
            self.reject_all_waiting(out);
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
            self.attempt_counts.remove(&request.id);
            out.push(Output::Reject(
                request.id,
                Rejection::Deadline { retry_after },
            ));
        }
    }

    /// Rejects all waiting requests, since no runner came up in time.
    fn reject_all_waiting(&mut self, out: &mut Vec<Output>) {
        let retry_after = MIN_RETRY_AFTER;
        while let Some(request) = self.queue.evict().or_else(|| self.suspects.evict()) {
            self.attempt_counts.remove(&request.id);
            out.push(Output::Reject(
                request.id,
                Rejection::NoRunner { retry_after },
            ));
        }
    }

    /// Dispatches waiting requests while runners have free capacity, suspects first.
    fn dispatch_waiting(&mut self, now: Instant, out: &mut Vec<Output>) {
        while let Some((request, runner)) = self.pop_dispatchable(now, true) {
            self.dispatch(now, request, runner, out);
        }
        while let Some((request, runner)) = self.pop_dispatchable(now, false) {
            self.dispatch(now, request, runner, out);
        }
    }

    /// Removes the next request for which a runner is free, and chooses its runner.
    ///
    /// With `suspect`, only the queue of poison suspects is considered, otherwise
    /// only the other queue.
    fn pop_dispatchable(&mut self, now: Instant, suspect: bool) -> Option<(Request, RunnerId)> {
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
                cached: prefixes.longest_match(&request.prefix),
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
                self.attempt_counts.remove(&request.id);
                let retry_after = until - now;
                out.push(Output::Reject(
                    request.id,
                    Rejection::Blocked { retry_after },
                ));
                return;
            }
        };
        let attempts = self.attempt_counts.remove(&request.id).unwrap_or(0) + 1;
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
