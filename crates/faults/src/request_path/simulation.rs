//! The processes, the events between them, and the faults on the way.

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
use crate::request_path::END;
use crate::request_path::agents::AgentNode;
use crate::request_path::entries::EntryNode;
use crate::request_path::events::Event;
use crate::request_path::events::NodeId;
use crate::request_path::events::Return;
use crate::request_path::events::StoreAnswer;
use crate::request_path::events::StoreCall;
use crate::request_path::events::classify;
use crate::request_path::store::Store;

/// Time of a message when the network is well.
pub(crate) const HOP: Duration = Duration::from_millis(1);
/// Silence after which a link is given up.
pub(crate) const NOTICE: Duration = Duration::from_secs(1);
/// Time to dial a link again.
const REDIAL: Duration = Duration::from_millis(100);
/// Time that a dead endpoint takes to come back.
pub(crate) const ENDPOINT_RESTART: Duration = Duration::from_millis(500);
/// Entries and agents.
pub(crate) const ENTRIES: usize = 2;
pub(crate) const AGENTS: usize = 2;
/// Steps of one run; more means that something does not come to rest.
const MAX_STEPS: usize = 20_000;

/// What a caller asks for.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    /// The key of a booking; `None` for a chat.
    pub(crate) key: Option<&'static str>,
}

impl Ask {
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
    /// A whole answer.
    Answered(RecordedResponse),
    /// A whole stream.
    Streamed,
    /// No whole answer, with what the caller was told.
    Failed(
        wisteriawick_core::call::Failure,
        wisteriawick_core::call::Outcome,
    ),
    /// The entry died, or the connection to it.
    Lost,
}

/// A caller's request and what it got.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) ask: Ask,
    pub(crate) entry: usize,
    pub(crate) sent_at: Option<Instant>,
    /// Events relayed, by position and the request that they belong to.
    pub(crate) events: Vec<(u64, RequestId)>,
    pub(crate) ending: Option<(Instant, Ending)>,
    pub(crate) probe: bool,
}

/// A run at an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptId,
    pub(crate) agent: usize,
    /// The life of the agent that started it.
    pub(crate) life: Incarnation,
    pub(crate) at: Instant,
    /// Next event of a stream.
    pub(crate) position: u64,
    pub(crate) over: bool,
    /// Where its frames go.
    pub(crate) to: Return,
}

/// A link between an entry and an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    pub(crate) number: u64,
    pub(crate) up: bool,
    pub(crate) silent_out: bool,
    pub(crate) silent_in: bool,
}

/// Everything.
pub(crate) struct Simulation {
    pub(crate) queue: EventQueue<Event>,
    pub(crate) mutation: Option<Mutation>,
    pub(crate) store: Store,
    pub(crate) entries: Vec<EntryNode>,
    pub(crate) agents: Vec<AgentNode>,
    pub(crate) callers: Vec<Caller>,
    pub(crate) runs: Vec<Run>,
    pub(crate) links: [[Link; AGENTS]; ENTRIES],
    pub(crate) left_at: BTreeMap<usize, Instant>,
    pub(crate) shut_down_at: BTreeMap<usize, Instant>,
    pub(crate) injector: FaultInjector,
    next_life: u64,
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
                silent_out: false,
                silent_in: false,
            }; AGENTS]; ENTRIES],
            left_at: BTreeMap::new(),
            shut_down_at: BTreeMap::new(),
            injector: FaultInjector::new(faults),
            next_life: 0,
        };
        for index in 0..ENTRIES {
            let life = sim.new_life();
            sim.entries.push(EntryNode::new(now, index, life));
        }
        for _ in 0..AGENTS {
            let life = sim.new_life();
            sim.agents.push(AgentNode::new(life));
        }
        for entry in 0..ENTRIES {
            for agent in 0..AGENTS {
                sim.link_up(entry, agent, 1);
            }
        }
        sim
    }

    pub(crate) fn new_life(&mut self) -> Incarnation {
        self.next_life += 1;
        Incarnation(self.next_life)
    }

    pub(crate) fn send(&mut self, at: Duration, entry: usize, ask: Ask) {
        self.add_caller(at, entry, ask, false);
    }

    fn add_caller(&mut self, at: Duration, entry: usize, ask: Ask, probe: bool) {
        let index = self.callers.len();
        self.callers.push(Caller {
            ask,
            entry,
            sent_at: None,
            events: Vec::new(),
            ending: None,
            probe,
        });
        self.queue.schedule(at, Event::Send(index));
    }

    /// Sends a chat and a booking through each entry, to see that work goes on.
    pub(crate) fn probe(&mut self, at: Duration) {
        for (entry, key) in [(0, "probe-0"), (1, "probe-1")] {
            self.add_caller(at, entry, Ask::chat(), true);
            self.add_caller(at, entry, Ask::booking(key), true);
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

    /// Runs until nothing is left to do.
    pub(crate) fn run(&mut self) {
        while self.queue.elapsed() < END && self.injector.steps.len() < MAX_STEPS {
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
            // A paused process sees its timers when it goes on.
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
            let pause = until.saturating_duration_since(self.queue.now());
            self.queue.schedule(pause, event);
            return;
        }
        if self.begin_step(class, node, Some(&event)) {
            self.deliver(event);
        }
    }

    /// Counts a step and applies the faults put at it; returns whether the
    /// step still takes place.
    fn begin_step(
        &mut self,
        class: StepClass,
        node: Option<NodeId>,
        event: Option<&Event>,
    ) -> bool {
        let due = self.injector.begin_step(class, self.queue.elapsed());
        let mut takes_place = true;
        for kind in due {
            takes_place &= self.apply(kind, node, event);
        }
        takes_place
    }

    /// Schedules the moment at which the entry notices that a link is dead.
    pub(crate) fn break_link(&mut self, entry: usize, agent: usize, link: u64) {
        let lost = Event::LinkLost { entry, agent, link };
        self.queue.schedule(NOTICE, lost);
    }

    /// Returns whether a message on a link gets through.
    pub(crate) fn gets_through(&self, entry: usize, agent: usize, link: u64, out: bool) -> bool {
        let held = &self.links[entry][agent];
        if held.number != link {
            // A late message of a link that was given up.
            return true;
        }
        !(if out { held.silent_out } else { held.silent_in })
    }

    pub(crate) fn break_links_of(&mut self, agent: usize) {
        for entry in 0..ENTRIES {
            let link = self.links[entry][agent].number;
            self.break_link(entry, agent, link);
        }
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::Send(index) => self.caller_sends(index),
            Event::Leave(agent) => self.agent_leaves(agent),
            Event::ShutDown(entry) => self.entry_shuts_down(entry),
            Event::KillOwner => self.kill_shard_owner(),
            Event::ToAgent {
                to,
                back,
                request,
                sent,
                message,
            } => {
                if self.gets_through(back.entry, to, back.link, true) {
                    let delay = self.queue.now() - sent - HOP;
                    self.reach_agent(to, back, request, delay, message);
                }
            }
            Event::ToEntry {
                from,
                back,
                request,
                attempt,
                message,
            } => {
                if self.gets_through(back.entry, from, back.link, false) {
                    self.reach_entry(back, request, attempt, message);
                }
            }
            Event::Beat {
                from,
                entry,
                life,
                link,
                leaving,
                endpoint_up,
            } => {
                if self.gets_through(entry, from, link, false) {
                    self.beat(from, entry, life, link, leaving, endpoint_up);
                }
            }
            Event::LedgerAsk {
                from,
                life,
                to,
                ticket,
                input,
            } => self.ledger_asked(from, life, to, ticket, input),
            Event::LedgerAnswer {
                to,
                life,
                ticket,
                reply,
            } => self.ledger_answered(to, life, ticket, reply),
            Event::LedgerGuard {
                entry,
                life,
                ticket,
                owner,
            } => self.guard(entry, life, ticket, owner),
            Event::LedgerAgain {
                entry,
                life,
                ticket,
            } => self.ask_again(entry, life, ticket),
            Event::Store {
                entry,
                life,
                op,
                name,
                call,
            } => self.store_called(entry, life, op, name, call),
            Event::StoreAnswer {
                entry,
                life,
                op,
                answer,
            } => self.store_answered(entry, life, op, answer),
            Event::Endpoint(run) => self.endpoint_goes_on(run),
            Event::EndpointUp(agent) => self.endpoint_up(agent),
            Event::LinkLost { entry, agent, link } => self.link_lost(entry, agent, link),
            Event::LinkUp { entry, agent, link } => self.link_up(entry, agent, link),
            Event::Recover {
                entry,
                life,
                request,
                attempt,
                agent,
            } => self.recover(entry, life, request, attempt, agent),
            Event::Deadline {
                entry,
                life,
                request,
            } => self.deadline(entry, life, request),
            Event::Replace(NodeId::Entry(index)) => self.replace_entry(index),
            Event::Replace(NodeId::Agent(index)) => self.replace_agent(index),
        }
    }

    fn store_called(
        &mut self,
        entry: usize,
        life: Incarnation,
        op: OpId,
        name: ObjectName,
        call: StoreCall,
    ) {
        let pause = self.store.health.response_delay(self.queue.now());
        let down = pause.is_none();
        let answer = match call {
            StoreCall::Read if down => StoreAnswer::Read(ReadResult::Unavailable),
            StoreCall::Read => StoreAnswer::Read(self.store.read(name)),
            StoreCall::Write(..) if down => StoreAnswer::Write(WriteResult::Unknown),
            StoreCall::Write(if_version, content) => {
                StoreAnswer::Write(self.store.write(name, if_version, *content))
            }
        };
        let answer = Event::StoreAnswer {
            entry,
            life,
            op,
            answer,
        };
        self.queue.schedule(pause.unwrap_or(STORE_TIMEOUT), answer);
    }

    pub(crate) fn redial(&mut self, entry: usize, agent: usize) {
        let link = self.links[entry][agent].number + 1;
        self.queue
            .schedule(REDIAL, Event::LinkUp { entry, agent, link });
    }

    /// Opens a new link if both ends live.
    fn link_up(&mut self, entry: usize, agent: usize, number: u64) {
        let reachable = self.entries[entry].up
            && self.agents[agent].up
            && !self.is_paused(NodeId::Agent(agent))
            && !self.is_paused(NodeId::Entry(entry));
        let held = self.links[entry][agent];
        if held.up || held.number >= number {
            return;
        }
        if !reachable {
            self.queue.schedule(
                REDIAL,
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
            silent_out: false,
            silent_in: false,
        };
        self.entry_sees_link(entry, agent);
        self.send_beat(agent, entry);
    }
}
