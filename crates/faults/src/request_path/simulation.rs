//! The simulation of requests: its processes, links and callers, and the loop that
//! delivers events and fires timers in time order.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::ids::AttemptId;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ledger::ObjectName;
use wisteriawick_core::ledger::OpId;
use wisteriawick_core::ledger::ReadResult;
use wisteriawick_core::ledger::RecordedResponse;
use wisteriawick_core::ledger::WriteResult;
use wisteriawick_core::router::RequestId;

use crate::fault::Fault;
use crate::fault::Mutation;
use crate::fault::StepClass;
use crate::injection::FaultInjector;
use crate::injection::STORE_TIMEOUT;
use crate::queue::EventQueue;
use crate::queue::Next;
use crate::request_path::RUN_DURATION;
use crate::request_path::agents::AgentNode;
use crate::request_path::entries::EntryNode;
use crate::request_path::events::Event;
use crate::request_path::events::NodeId;
use crate::request_path::events::ReplyTo;
use crate::request_path::events::StoreCall;
use crate::request_path::events::StoreResponse;
use crate::request_path::events::classify;
use crate::request_path::store::Store;

/// Delivery time of a message without faults.
pub(crate) const MESSAGE_LATENCY: Duration = Duration::from_millis(1);
/// Time after which an entry detects that a link is lost.
pub(crate) const LINK_TIMEOUT: Duration = Duration::from_secs(1);
/// Time before a lost link is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Time from the crash of an endpoint to its restart.
pub(crate) const ENDPOINT_RESTART_DELAY: Duration = Duration::from_millis(500);
/// Number of entries.
pub(crate) const ENTRIES: usize = 2;
/// Number of agents, each with one endpoint.
pub(crate) const AGENTS: usize = 2;
/// Limit of the steps of one run, so that a run that never settles still ends.
const MAX_STEPS: usize = 20_000;

/// What a caller requests: a booking, which is a buffered call with an idempotency
/// key, or a chat, which is a streamed call without one.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// The key of a booking; `None` for a chat.
    pub(crate) key: Option<&'static str>,
}

impl CallerRequest {
    pub(crate) fn booking(key: &'static str) -> Self {
        Self { key: Some(key) }
    }

    pub(crate) fn chat() -> Self {
        Self { key: None }
    }
}

/// How a caller's request ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Ending {
    /// The caller got a complete response.
    Responded(RecordedResponse),
    /// The caller got a stream up to its end.
    Streamed,
    /// The caller got an error, which states the failure and whether the request ran.
    Failed(
        wisteriawick_core::call::Failure,
        wisteriawick_core::call::Outcome,
    ),
    /// The entry died, or no entry accepted the request.
    Lost,
}

/// A caller with one request, and what it received.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) request: CallerRequest,
    pub(crate) entry: usize,
    pub(crate) sent_at: Option<Instant>,
    /// Received stream events, by position and the request that they belong to.
    pub(crate) events: Vec<(u64, RequestId)>,
    pub(crate) ending: Option<(Instant, Ending)>,
    pub(crate) probe: bool,
}

/// The run of an attempt at an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRun {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptId,
    pub(crate) agent: usize,
    /// The incarnation of the agent that started the run.
    pub(crate) incarnation: Incarnation,
    pub(crate) started_at: Instant,
    /// Number of stream events produced so far, or `u64::MAX` if the endpoint
    /// crashed.
    pub(crate) position: u64,
    pub(crate) finished: bool,
    /// Where its frames are sent.
    pub(crate) reply_to: ReplyTo,
}

/// A link between an entry and an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    /// Increases with every new connection between the two.
    pub(crate) number: u64,
    pub(crate) up: bool,
    /// Messages to the agent are lost without an error.
    pub(crate) silent_to_agent: bool,
    /// Messages to the entry are lost without an error.
    pub(crate) silent_to_entry: bool,
}

/// The state of a run.
pub(crate) struct Simulation {
    pub(crate) queue: EventQueue<Event>,
    pub(crate) mutation: Option<Mutation>,
    pub(crate) store: Store,
    pub(crate) entries: Vec<EntryNode>,
    pub(crate) agents: Vec<AgentNode>,
    pub(crate) callers: Vec<Caller>,
    pub(crate) runs: Vec<EndpointRun>,
    /// Links by entry and agent.
    pub(crate) links: [[Link; AGENTS]; ENTRIES],
    /// When each leaving agent began to leave.
    pub(crate) left_at: BTreeMap<usize, Instant>,
    /// When each entry began its graceful shutdown.
    pub(crate) shut_down_at: BTreeMap<usize, Instant>,
    pub(crate) injector: FaultInjector,
    last_incarnation: u64,
}

impl Simulation {
    pub(crate) fn new(faults: &[Fault], mutation: Option<Mutation>) -> Self {
        let queue = EventQueue::new();
        let now = queue.now();
        let mut sim = Self {
            queue,
            mutation,
            store: Store::default(),
            entries: Vec::new(),
            agents: Vec::new(),
            callers: Vec::new(),
            runs: Vec::new(),
            links: [[Link {
                number: 0,
                up: false,
                silent_to_agent: false,
                silent_to_entry: false,
            }; AGENTS]; ENTRIES],
            left_at: BTreeMap::new(),
            shut_down_at: BTreeMap::new(),
            injector: FaultInjector::new(faults),
            last_incarnation: 0,
        };
        for index in 0..ENTRIES {
            let incarnation = sim.new_incarnation();
            sim.entries.push(EntryNode::new(now, index, incarnation));
        }
        for _ in 0..AGENTS {
            let incarnation = sim.new_incarnation();
            sim.agents.push(AgentNode::new(incarnation));
        }
        for entry in 0..ENTRIES {
            for agent in 0..AGENTS {
                sim.link_up(entry, agent, 1);
            }
        }
        sim
    }

    pub(crate) fn new_incarnation(&mut self) -> Incarnation {
        self.last_incarnation += 1;
        Incarnation(self.last_incarnation)
    }

    /// Schedules a request of a new caller to an entry.
    pub(crate) fn send(&mut self, at: Duration, entry: usize, request: CallerRequest) {
        self.add_caller(at, entry, request, false);
    }

    fn add_caller(&mut self, at: Duration, entry: usize, request: CallerRequest, probe: bool) {
        let index = self.callers.len();
        self.callers.push(Caller {
            request,
            entry,
            sent_at: None,
            events: Vec::new(),
            ending: None,
            probe,
        });
        self.queue.schedule(at, Event::Send(index));
    }

    /// Schedules a chat and a booking through each entry, which must succeed.
    pub(crate) fn probe(&mut self, at: Duration) {
        for (entry, key) in [(0, "probe-0"), (1, "probe-1")] {
            self.add_caller(at, entry, CallerRequest::chat(), true);
            self.add_caller(at, entry, CallerRequest::booking(key), true);
        }
    }

    pub(crate) fn leave(&mut self, at: Duration, agent: usize) {
        self.queue.schedule(at, Event::Leave(agent));
    }

    pub(crate) fn shut_down(&mut self, at: Duration, entry: usize) {
        self.queue.schedule(at, Event::ShutDown(entry));
    }

    pub(crate) fn kill_owner(&mut self, at: Duration) {
        self.queue.schedule(at, Event::KillOwner);
    }

    /// Runs until no event is left, or up to the limits of time and steps.
    pub(crate) fn run(&mut self) {
        while self.queue.elapsed() < RUN_DURATION && self.injector.steps.len() < MAX_STEPS {
            let timer = self.next_timer();
            match self.queue.pop(timer.map(|(at, _)| at)) {
                Some(Next::Event(event)) => self.step(event),
                Some(Next::Timer) => {
                    let Some((_, node)) = timer else {
                        continue;
                    };
                    if self.begin_step(StepClass::Local, Some(node), None) {
                        self.tick(node);
                    }
                }
                None => return,
            }
        }
    }

    fn next_timer(&self) -> Option<(Instant, NodeId)> {
        let entries = self
            .entries
            .iter()
            .enumerate()
            .filter_map(|(index, entry)| {
                let due = entry.next_deadline()?;
                Some((due, NodeId::Entry(index)))
            });
        let agents = self.agents.iter().enumerate().filter_map(|(index, agent)| {
            let due = agent.next_deadline()?;
            Some((due, NodeId::Agent(index)))
        });
        let due = entries.chain(agents).map(|(due, node)| {
            // The timers of a paused process fire when it resumes.
            (
                self.paused_until(node).map_or(due, |until| due.max(until)),
                node,
            )
        });
        due.min_by_key(|(due, _)| *due)
    }

    fn paused_until(&self, node: NodeId) -> Option<Instant> {
        match node {
            NodeId::Entry(index) => self.entries[index].paused_until,
            NodeId::Agent(index) => self.agents[index].paused_until,
        }
    }

    fn is_paused(&self, node: NodeId) -> bool {
        self.paused_until(node)
            .is_some_and(|until| self.queue.now() < until)
    }

    fn step(&mut self, event: Event) {
        let (class, node) = classify(&event);
        if let Some(node) = node
            && self.is_paused(node)
            && !matches!(event, Event::Replace(_) | Event::Send(_))
        {
            let until = self.paused_until(node).unwrap_or(self.queue.now());
            let delay = until.saturating_duration_since(self.queue.now());
            self.queue.schedule(delay, event);
            return;
        }
        if self.begin_step(class, node, Some(&event)) {
            self.deliver(event);
        }
    }

    /// Records a step and injects its faults; returns whether the step still takes
    /// place now.
    fn begin_step(
        &mut self,
        class: StepClass,
        node: Option<NodeId>,
        event: Option<&Event>,
    ) -> bool {
        let due = self.injector.begin_step(class, self.queue.elapsed());
        let mut takes_place = true;
        for kind in due {
            takes_place &= self.inject(kind, node, event);
        }
        takes_place
    }

    /// Schedules the event by which an entry detects that a link is lost.
    pub(crate) fn schedule_link_loss(&mut self, entry: usize, agent: usize, link: u64) {
        let lost = Event::LinkLost { entry, agent, link };
        self.queue.schedule(LINK_TIMEOUT, lost);
    }

    /// Returns whether a message on a link is delivered.
    pub(crate) fn is_delivered(
        &self,
        entry: usize,
        agent: usize,
        link: u64,
        to_agent: bool,
    ) -> bool {
        let current = &self.links[entry][agent];
        if current.number != link {
            // A delayed message of an earlier link is delivered, so that the
            // receiver must recognize it as stale.
            return true;
        }
        !(if to_agent {
            current.silent_to_agent
        } else {
            current.silent_to_entry
        })
    }

    pub(crate) fn schedule_link_losses(&mut self, agent: usize) {
        for entry in 0..ENTRIES {
            let link = self.links[entry][agent].number;
            self.schedule_link_loss(entry, agent, link);
        }
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::Send(index) => self.start_request(index),
            Event::Leave(agent) => self.agent_leaves(agent),
            Event::ShutDown(entry) => self.entry_shuts_down(entry),
            Event::KillOwner => self.kill_shard_owner(),
            Event::ToAgent {
                to,
                reply_to,
                request,
                sent,
                message,
            } => {
                if self.is_delivered(reply_to.entry, to, reply_to.link, true) {
                    let delay = self.queue.now() - sent - MESSAGE_LATENCY;
                    self.deliver_to_agent(to, reply_to, request, delay, message);
                }
            }
            Event::ToEntry {
                from,
                reply_to,
                request,
                attempt,
                message,
            } => {
                if self.is_delivered(reply_to.entry, from, reply_to.link, false) {
                    self.deliver_to_entry(reply_to, request, attempt, message);
                }
            }
            Event::Heartbeat {
                from,
                entry,
                incarnation,
                link,
                leaving,
                endpoint_up,
            } => {
                if self.is_delivered(entry, from, link, false) {
                    self.handle_heartbeat(from, entry, incarnation, link, leaving, endpoint_up);
                }
            }
            Event::LedgerRequest {
                from,
                incarnation,
                to,
                correlation_id,
                input,
            } => self.handle_ledger_request(from, incarnation, to, correlation_id, input),
            Event::LedgerResponse {
                to,
                incarnation,
                correlation_id,
                reply,
            } => self.handle_ledger_response(to, incarnation, correlation_id, reply),
            Event::CheckOwner {
                entry,
                incarnation,
                correlation_id,
                owner,
            } => self.check_owner(entry, incarnation, correlation_id, owner),
            Event::SendLedgerRequest {
                entry,
                incarnation,
                correlation_id,
            } => self.send_ledger_request(entry, incarnation, correlation_id),
            Event::Store {
                entry,
                incarnation,
                op,
                name,
                call,
            } => self.handle_store_call(entry, incarnation, op, name, call),
            Event::StoreResponse {
                entry,
                incarnation,
                op,
                response,
            } => self.handle_store_response(entry, incarnation, op, response),
            Event::EndpointProgress(run) => self.advance_run(run),
            Event::EndpointUp(agent) => self.endpoint_up(agent),
            Event::LinkLost { entry, agent, link } => self.link_lost(entry, agent, link),
            Event::LinkUp { entry, agent, link } => self.link_up(entry, agent, link),
            Event::Recover {
                entry,
                incarnation,
                request,
                attempt,
                agent,
            } => self.recover(entry, incarnation, request, attempt, agent),
            Event::Deadline {
                entry,
                incarnation,
                request,
            } => self.deadline(entry, incarnation, request),
            Event::Replace(NodeId::Entry(index)) => self.replace_entry(index),
            Event::Replace(NodeId::Agent(index)) => self.replace_agent(index),
        }
    }

    fn handle_store_call(
        &mut self,
        entry: usize,
        incarnation: Incarnation,
        op: OpId,
        name: ObjectName,
        call: StoreCall,
    ) {
        let delay = self.store.health.response_delay(self.queue.now());
        let down = delay.is_none();
        let response = match call {
            StoreCall::Read if down => StoreResponse::Read(ReadResult::Unavailable),
            StoreCall::Read => StoreResponse::Read(self.store.read(name)),
            StoreCall::Write(..) if down => StoreResponse::Write(WriteResult::Unknown),
            StoreCall::Write(if_version, content) => {
                StoreResponse::Write(self.store.write(name, if_version, *content))
            }
        };
        let response = Event::StoreResponse {
            entry,
            incarnation,
            op,
            response,
        };
        self.queue
            .schedule(delay.unwrap_or(STORE_TIMEOUT), response);
    }

    pub(crate) fn reconnect(&mut self, entry: usize, agent: usize) {
        let link = self.links[entry][agent].number + 1;
        self.queue
            .schedule(RECONNECT_DELAY, Event::LinkUp { entry, agent, link });
    }

    /// Opens a new link if both processes run, or else tries again later.
    fn link_up(&mut self, entry: usize, agent: usize, number: u64) {
        let reachable = self.entries[entry].up
            && self.agents[agent].up
            && !self.is_paused(NodeId::Agent(agent))
            && !self.is_paused(NodeId::Entry(entry));
        let current = self.links[entry][agent];
        if current.up || current.number >= number {
            return;
        }
        if !reachable {
            self.queue.schedule(
                RECONNECT_DELAY,
                Event::LinkUp {
                    entry,
                    agent,
                    link: number,
                },
            );
            return;
        }
        self.links[entry][agent] = Link {
            number,
            up: true,
            silent_to_agent: false,
            silent_to_entry: false,
        };
        self.add_runner(entry, agent);
        self.send_heartbeat(agent, entry);
    }
}
