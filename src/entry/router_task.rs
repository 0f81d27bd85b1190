//! The task that owns the routers, one for each service.
//!
//! A [`Router`] queues the requests to one service and chooses their runners. This task
//! passes it the requests of the call tasks, the state and load of runners, and changes
//! of the configuration, and reports its decisions to the call tasks.

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

/// Capacity of the task's message queue.
const QUEUE_CAPACITY: usize = 4_096;
/// Maximum wait for a message while no router has a deadline.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(3_600);

/// Longest gap between two overload rejections of one workspace that belong to the same
/// burst.
const OVERLOAD_BURST_GAP: Duration = Duration::from_secs(5);

/// A change of a runner that the directory reports.
#[derive(Clone, Debug)]
pub(crate) enum RunnerChange {
    /// It was added or its state changed.
    State {
        service: ServiceId,
        place: PlaceId,
        state: RunnerState,
    },
    /// It was removed.
    Gone,
}

enum Message {
    /// A request, the weight of its workspace, and where to send the router's decisions.
    Enqueue(ServiceId, Request, u32, mpsc::Sender<call::Input>),
    Ended(ServiceId, AttemptId, AttemptResult),
    Cancel(ServiceId, RequestId),
    RunnerChanged(RunnerId, RunnerChange),
    Report(ServiceId, RunnerId, Heartbeat),
}

/// A handle to the task.
#[derive(Clone, Debug)]
pub(crate) struct RouterHandle {
    tx: mpsc::Sender<Message>,
}

impl RouterHandle {
    pub(crate) fn spawn(node: Arc<Node>, cx: CancellationToken) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        let task = RouterTask {
            node,
            routers: BTreeMap::new(),
            runners: BTreeMap::new(),
            overloaded_at: BTreeMap::new(),
            calls: HashMap::default(),
            attempts: HashMap::default(),
        };
        tokio::spawn(task.run(rx, cx));
        Self { tx }
    }

    /// Queues a request for a runner; the router's decisions are sent to `events`.
    pub(crate) async fn enqueue(
        &self,
        service: &ServiceId,
        request: Request,
        weight: u32,
        events: mpsc::Sender<call::Input>,
    ) {
        let message = Message::Enqueue(service.clone(), request, weight, events);
        let _ = self.tx.send(message).await;
    }

    /// Reports how an attempt ended.
    pub(crate) async fn ended(
        &self,
        service: &ServiceId,
        attempt: AttemptId,
        result: AttemptResult,
    ) {
        let message = Message::Ended(service.clone(), attempt, result);
        let _ = self.tx.send(message).await;
    }

    /// Removes a request that no longer needs a runner.
    pub(crate) async fn cancel(&self, service: &ServiceId, request: RequestId) {
        let message = Message::Cancel(service.clone(), request);
        let _ = self.tx.send(message).await;
    }

    /// Reports a change of a runner.
    pub(crate) async fn update_runner(&self, runner: RunnerId, change: RunnerChange) {
        let _ = self.tx.send(Message::RunnerChanged(runner, change)).await;
    }

    /// Passes on the load and the endpoint deaths in an agent's heartbeat.
    pub(crate) async fn report(
        &self,
        service: &ServiceId,
        agent: &ProcessId,
        heartbeat: &Heartbeat,
    ) {
        let runner = RunnerId::new(agent.as_str());
        let message = Message::Report(service.clone(), runner, heartbeat.clone());
        let _ = self.tx.send(message).await;
    }
}

#[derive(Clone, Debug)]
struct KnownRunner {
    service: ServiceId,
    place: PlaceId,
    state: RunnerState,
}

/// A call whose request a router holds, waiting or dispatched.
struct RoutedCall {
    service: ServiceId,
    workspace: WorkspaceId,
    events: mpsc::Sender<call::Input>,
}

struct RouterTask {
    node: Arc<Node>,
    routers: BTreeMap<ServiceId, Router>,
    /// Known runners, including those of services that no ticket in force declares yet.
    runners: BTreeMap<RunnerId, KnownRunner>,
    /// When a workspace's request was last rejected for overload, so that a burst of
    /// rejections is recorded as one event.
    overloaded_at: BTreeMap<(WorkspaceId, ServiceId), Instant>,
    calls: HashMap<RequestId, RoutedCall>,
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
            let wait = due.map_or(MAX_IDLE_WAIT, |at| at.saturating_duration_since(now));
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.receive(message),
                    None => return,
                },
                Ok(()) = config.changed() => {
                    config.mark_unchanged();
                    self.config_changed();
                }
                () = tokio::time::sleep(wait) => self.tick(),
                () = cx.cancelled() => return,
            }
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Enqueue(service, request, weight, events) => {
                let call = RoutedCall {
                    service: service.clone(),
                    workspace: request.workspace.clone(),
                    events,
                };
                self.calls.insert(request.id, call);
                self.handle(&service, Input::Arrive(request, weight));
            }
            Message::Ended(service, attempt, result) => self.ended(&service, attempt, result),
            Message::Cancel(service, request) => {
                self.calls.remove(&request);
                self.handle(&service, Input::Cancel(request));
            }
            Message::RunnerChanged(runner, change) => self.update_runner(runner, change),
            Message::Report(service, runner, heartbeat) => {
                self.report(&service, runner, &heartbeat)
            }
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

    fn update_runner(&mut self, runner: RunnerId, change: RunnerChange) {
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

    fn report(&mut self, service: &ServiceId, runner: RunnerId, heartbeat: &Heartbeat) {
        if let Some(load) = heartbeat.load {
            if !heartbeat.leaving {
                let state = match load.endpoint_up {
                    true => RunnerState::Up,
                    false => RunnerState::Suspect,
                };
                self.handle(service, Input::RunnerState(runner.clone(), state));
            }
            self.handle(service, Input::Report(runner, load.into()));
        }
        for death in &heartbeat.deaths {
            self.endpoint_died(death);
        }
    }

    fn endpoint_died(&mut self, wire: &DeathWire) {
        let service = ServiceId::new(wire.service.as_str());
        self.handle(&service, Input::EndpointDied(EndpointDeath::from(wire)));
    }

    fn config_changed(&mut self) {
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
                    self.reject_unknown_service(input);
                    return;
                };
                let router = Router::new(now, limits, Policy::default(), rand::random());
                self.routers.entry(service.clone()).or_insert(router)
            }
        };
        router.handle(now, input, &mut out);
        gauge!(WAITING_REQUESTS, "service" => service.to_string()).set(router.waiting() as f64);
        for output in out {
            self.execute(service, output);
        }
    }

    /// Rejects a request to a service that is no longer configured; ignores any other input.
    fn reject_unknown_service(&mut self, input: Input) {
        if let Input::Arrive(request, _) = input {
            let retry_after = Duration::from_secs(1);
            self.reject(request.id, Rejection::NoRunner { retry_after });
        }
    }

    fn execute(&mut self, service: &ServiceId, output: Output) {
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
                if !self.notify(request, input) {
                    // Nothing was sent, and the slot is free again.
                    self.ended(service, attempt, AttemptResult::Cancelled);
                }
            }
            Output::Reject(request, rejection) => self.reject(request, rejection),
            Output::Blocked(fingerprint) => {
                let event = EventKind::RequestBlocked(fingerprint);
                self.node.timeline.record(event);
            }
        }
    }

    fn reject(&mut self, request: RequestId, rejection: Rejection) {
        self.notify(request, call::Input::Rejected(rejection));
        let call = self.calls.remove(&request);
        if let (Some(call), Rejection::Overloaded { .. }) = (call, rejection) {
            self.record_overload(call);
        }
    }

    /// Records the first rejection of a burst on the timeline.
    fn record_overload(&mut self, call: RoutedCall) {
        let RoutedCall {
            service, workspace, ..
        } = call;
        let now = self.node.clock.now();
        let key = (workspace.clone(), service.clone());
        let last = self.overloaded_at.insert(key, now);
        if last.is_none_or(|at| now.saturating_duration_since(at) >= OVERLOAD_BURST_GAP) {
            let event = EventKind::RequestShed { workspace, service };
            self.node.timeline.record(event);
        }
    }

    /// Sends a decision to a call; returns whether the call takes it in.
    fn notify(&self, request: RequestId, input: call::Input) -> bool {
        let Some(call) = self.calls.get(&request) else {
            return false;
        };
        // This fails only when the call has ended: a call reads its events until then,
        // and its queue holds more events than the router can send it at a time.
        let is_delivered = call.events.try_send(input).is_ok();
        if !is_delivered {
            log::debug!(
                "a call of workspace {} ended before it received a decision of its router",
                call.workspace
            );
        }
        is_delivered
    }
}
