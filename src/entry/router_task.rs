//! The task that owns the router cores, one a service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use metrics::gauge;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::call;
use wisteriawick_core::collections::HashMap;
use wisteriawick_core::event::EventKind;
use wisteriawick_core::ids::AttemptId;
use wisteriawick_core::ids::PlaceId;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::RunnerId;
use wisteriawick_core::ids::ServiceId;
use wisteriawick_core::ids::WorkspaceId;
use wisteriawick_core::router::AttemptResult;
use wisteriawick_core::router::EndpointDeath;
use wisteriawick_core::router::Input;
use wisteriawick_core::router::Output;
use wisteriawick_core::router::Policy;
use wisteriawick_core::router::Rejection;
use wisteriawick_core::router::Request;
use wisteriawick_core::router::RequestId;
use wisteriawick_core::router::Router;
use wisteriawick_core::router::RunnerState;

use crate::link::DeathWire;
use crate::link::Heartbeat;
use crate::node::Node;
use crate::telemetry::ATTEMPTS;
use crate::telemetry::WAITING_REQUESTS;

/// Messages that wait for the task.
const QUEUE: usize = 4_096;
/// Longest wait without a look at the deadlines.
const IDLE: Duration = Duration::from_secs(3_600);

/// Refusals of one workspace that are closer together are one burst.
const SHED_BURST: Duration = Duration::from_secs(5);

/// A change of a runner.
#[derive(Clone, Debug)]
pub(crate) enum RunnerChange {
    /// Its state changed, or it is new.
    State {
        service: ServiceId,
        place: PlaceId,
        state: RunnerState,
    },
    /// It is gone for good.
    Gone,
}

enum Message {
    Arrive(ServiceId, Request, u32, mpsc::Sender<call::Input>),
    Ended(ServiceId, AttemptId, AttemptResult),
    Withdraw(ServiceId, RequestId),
    Runner(RunnerId, RunnerChange),
    Report(ServiceId, RunnerId, Heartbeat),
}

/// A handle to the task.
#[derive(Clone, Debug)]
pub(crate) struct RouterHandle {
    tx: mpsc::Sender<Message>,
}

impl RouterHandle {
    pub(crate) fn spawn(node: Arc<Node>, cx: CancellationToken) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE);
        let task = RouterTask {
            node,
            routers: BTreeMap::new(),
            runners: BTreeMap::new(),
            shed_at: BTreeMap::new(),
            calls: HashMap::default(),
            attempts: HashMap::default(),
        };
        tokio::spawn(task.run(rx, cx));
        Self { tx }
    }

    /// Asks for a runner; the router's decisions reach the call by `events`.
    pub(crate) async fn arrive(
        &self,
        service: &ServiceId,
        request: Request,
        weight: u32,
        events: mpsc::Sender<call::Input>,
    ) {
        let message = Message::Arrive(service.clone(), request, weight, events);
        let _ = self.tx.send(message).await;
    }

    pub(crate) async fn ended(
        &self,
        service: &ServiceId,
        attempt: AttemptId,
        result: AttemptResult,
    ) {
        let message = Message::Ended(service.clone(), attempt, result);
        let _ = self.tx.send(message).await;
    }

    pub(crate) async fn withdraw(&self, service: &ServiceId, request: RequestId) {
        let message = Message::Withdraw(service.clone(), request);
        let _ = self.tx.send(message).await;
    }

    pub(crate) async fn runner(&self, runner: RunnerId, change: RunnerChange) {
        let _ = self.tx.send(Message::Runner(runner, change)).await;
    }

    /// Takes an agent's heartbeat.
    pub(crate) async fn report(&self, service: &ServiceId, agent: &ProcessId, beat: &Heartbeat) {
        let runner = RunnerId::new(agent.as_str());
        let message = Message::Report(service.clone(), runner, beat.clone());
        let _ = self.tx.send(message).await;
    }
}

#[derive(Clone, Debug)]
struct KnownRunner {
    service: ServiceId,
    place: PlaceId,
    state: RunnerState,
}

struct Waiting {
    service: ServiceId,
    workspace: WorkspaceId,
    events: mpsc::Sender<call::Input>,
}

struct RouterTask {
    node: Arc<Node>,
    routers: BTreeMap<ServiceId, Router>,
    /// Known runners; a ticket may state their service only later.
    runners: BTreeMap<RunnerId, KnownRunner>,
    /// When each workspace was last shed, so that a burst is one event.
    shed_at: BTreeMap<(WorkspaceId, ServiceId), Instant>,
    calls: HashMap<RequestId, Waiting>,
    attempts: HashMap<AttemptId, RequestId>,
}

impl RouterTask {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>, cx: CancellationToken) {
        let mut config = self.node.config.subscribe();
        config.mark_changed();
        loop {
            let now = self.node.clock.now();
            let due = self
                .routers
                .values()
                .filter_map(Router::next_deadline)
                .min();
            let wait = due.map_or(IDLE, |at| at.saturating_duration_since(now));
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                Ok(()) = config.changed() => {
                    config.mark_unchanged();
                    self.limits_changed();
                }
                () = tokio::time::sleep(wait) => self.tick(),
                () = cx.cancelled() => return,
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Arrive(service, request, weight, events) => {
                let waiting = Waiting {
                    service: service.clone(),
                    workspace: request.workspace.clone(),
                    events,
                };
                self.calls.insert(request.id, waiting);
                self.handle(&service, Input::Arrive(request, weight));
            }
            Message::Ended(service, attempt, result) => self.ended(&service, attempt, result),
            Message::Withdraw(service, request) => {
                self.calls.remove(&request);
                self.handle(&service, Input::Cancel(request));
            }
            Message::Runner(runner, change) => self.runner(runner, change),
            Message::Report(service, runner, beat) => self.report(&service, runner, &beat),
        }
    }

    fn ended(&mut self, service: &ServiceId, attempt: AttemptId, result: AttemptResult) {
        let request = self.attempts.remove(&attempt);
        let final_result = matches!(
            result,
            AttemptResult::Completed { .. } | AttemptResult::Cancelled
        );
        if let (Some(request), true) = (request, final_result) {
            self.calls.remove(&request);
        }
        let label = match result {
            AttemptResult::Completed { .. } => "answered",
            AttemptResult::Busy => "busy",
            AttemptResult::Down => "down",
            AttemptResult::NotRun => "not-run",
            AttemptResult::Unknown => "unknown",
            AttemptResult::Died => "died",
            AttemptResult::Cancelled => "cancelled",
        };
        counter!(ATTEMPTS, "service" => service.to_string(), "result" => label).increment(1);
        self.handle(service, Input::Ended { attempt, result });
    }

    fn runner(&mut self, runner: RunnerId, change: RunnerChange) {
        match change {
            RunnerChange::State {
                service,
                place,
                state,
            } => {
                let known = KnownRunner {
                    service,
                    place,
                    state,
                };
                self.add_runner(&runner, &known);
                self.runners.insert(runner, known);
            }
            RunnerChange::Gone => {
                if let Some(known) = self.runners.remove(&runner) {
                    self.handle(&known.service, Input::RunnerRemoved(runner));
                }
            }
        }
    }

    fn add_runner(&mut self, runner: &RunnerId, known: &KnownRunner) {
        let fleet = self.node.config.fleet();
        let distance = fleet.distance(&self.node.place, &known.place);
        let added = Input::RunnerAdded(runner.clone(), distance);
        self.handle(&known.service, added);
        let state = Input::RunnerState(runner.clone(), known.state);
        self.handle(&known.service, state);
    }

    fn report(&mut self, service: &ServiceId, runner: RunnerId, beat: &Heartbeat) {
        if let Some(load) = beat.load {
            if !beat.leaving {
                let state = match load.endpoint_up {
                    true => RunnerState::Up,
                    false => RunnerState::Suspect,
                };
                self.handle(service, Input::RunnerState(runner.clone(), state));
            }
            self.handle(service, Input::Report(runner, load.into()));
        }
        for death in &beat.deaths {
            self.death(death);
        }
    }

    fn death(&mut self, wire: &DeathWire) {
        let service = ServiceId::new(wire.service.as_str());
        self.handle(&service, Input::EndpointDied(EndpointDeath::from(wire)));
    }

    fn limits_changed(&mut self) {
        let fleet = self.node.config.fleet();
        for (id, service) in &fleet.services {
            self.handle(id, Input::Limits(Box::new(service.clone())));
        }
        for (runner, known) in self.runners.clone() {
            self.add_runner(&runner, &known);
        }
    }

    fn tick(&mut self) {
        let due: Vec<ServiceId> = self.routers.keys().cloned().collect();
        for service in due {
            self.handle(&service, Input::Tick);
        }
    }

    fn handle(&mut self, service: &ServiceId, input: Input) {
        let now = self.node.clock.now();
        let mut out = Vec::new();
        let router = match self.routers.get_mut(service) {
            Some(router) => router,
            None => {
                let fleet = self.node.config.fleet();
                let Some(limits) = fleet.services.get(service).cloned() else {
                    self.refuse_unknown(input);
                    return;
                };
                let router = Router::new(now, limits, Policy::default(), rand::random());
                self.routers.entry(service.clone()).or_insert(router)
            }
        };
        router.handle(now, input, &mut out);
        gauge!(WAITING_REQUESTS, "service" => service.to_string()).set(router.waiting() as f64);
        for output in out {
            self.carry_out(output);
        }
    }

    /// Answers a request for a service that a ticket removed meanwhile.
    fn refuse_unknown(&mut self, input: Input) {
        if let Input::Arrive(request, _) = input {
            let retry_after = Duration::from_secs(1);
            self.reject(request.id, Rejection::NoRunner { retry_after });
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Dispatch {
                request,
                attempt,
                runner,
                suspect,
            } => {
                self.attempts.insert(attempt, request);
                let input = call::Input::Dispatched {
                    attempt,
                    runner,
                    suspect,
                };
                self.tell(request, input);
            }
            Output::Reject(request, rejection) => self.reject(request, rejection),
            Output::Blocked(fingerprint) => {
                let event = EventKind::RequestBlocked(fingerprint);
                self.node.timeline.record(event);
            }
        }
    }

    fn reject(&mut self, request: RequestId, rejection: Rejection) {
        self.tell(request, call::Input::Rejected(rejection));
        let waiting = self.calls.remove(&request);
        if let (Some(waiting), Rejection::Overloaded { .. }) = (waiting, rejection) {
            self.note_shed(waiting);
        }
    }

    /// Records the first of a burst of refusals on the time line.
    fn note_shed(&mut self, waiting: Waiting) {
        let Waiting {
            service, workspace, ..
        } = waiting;
        let now = self.node.clock.now();
        let key = (workspace.clone(), service.clone());
        let last = self.shed_at.insert(key, now);
        if last.is_none_or(|at| now.saturating_duration_since(at) >= SHED_BURST) {
            let event = EventKind::RequestShed { workspace, service };
            self.node.timeline.record(event);
        }
    }

    fn tell(&self, request: RequestId, input: call::Input) {
        if let Some(waiting) = self.calls.get(&request) {
            // A call reads its events until it is closed, and its queue holds
            // more than the router can have under way for it.
            if waiting.events.try_send(input).is_err() {
                log::debug!("a call of {} ended before its runner", waiting.workspace);
            }
        }
    }
}
