//! The processes, the events between them, and the faults on the way.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gate::Refusal;
use wisteriawick_core::ids::AttemptId;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ledger;
use wisteriawick_core::ledger::Answer;
use wisteriawick_core::ledger::LedgerReply;
use wisteriawick_core::ledger::ObjectName;
use wisteriawick_core::ledger::OpId;
use wisteriawick_core::ledger::ReadResult;
use wisteriawick_core::ledger::Stored;
use wisteriawick_core::ledger::WriteResult;
use wisteriawick_core::router::RequestId;

use crate::fault::Fault;
use crate::fault::FaultKind;
use crate::fault::LAST_FAULT;
use crate::fault::LATE;
use crate::fault::PAUSE;
use crate::fault::REORDER;
use crate::fault::REPLACE;
use crate::fault::Sabotage;
use crate::fault::Step;
use crate::fault::StepClass;
use crate::path::END;
use crate::path::agents::AgentNode;
use crate::path::entries::EntryNode;
use crate::path::store::Store;
use crate::path::store::TIMEOUT;
use crate::queue::Next;
use crate::queue::Queue;

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

/// A process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeId {
    Entry(usize),
    Agent(usize),
}

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
    Answered(Answer),
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

/// The way back to a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Return {
    pub(crate) entry: usize,
    pub(crate) life: Incarnation,
    pub(crate) link: u64,
}

/// A message to an agent.
#[derive(Clone, Debug)]
pub(crate) enum ToAgent {
    Offer {
        attempt: AttemptId,
        meant_for: Incarnation,
        remaining: Duration,
        suspect: bool,
        resume_from: u64,
    },
    Ask {
        attempt: AttemptId,
        meant_for: Incarnation,
        remaining: Duration,
        recover: bool,
    },
}

/// A message to an entry about an attempt.
#[derive(Clone, Debug)]
pub(crate) enum ToEntry {
    Refused(Refusal),
    Head,
    Event(u64),
    EndOfStream(u64),
    Answered(Answer),
    Failed,
    Died,
}

/// A call to the store.
#[derive(Clone, Debug)]
pub(crate) enum StoreCall {
    Read,
    Write(u64, Box<Stored>),
}

/// The store's answer.
#[derive(Clone, Debug)]
pub(crate) enum StoreAnswer {
    Read(ReadResult),
    Write(WriteResult),
}

/// Something that happens.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Send(usize),
    Leave(usize),
    ShutDown(usize),
    KillOwner,
    ToAgent {
        to: usize,
        back: Return,
        request: RequestId,
        sent: Instant,
        message: ToAgent,
    },
    ToEntry {
        from: usize,
        back: Return,
        request: RequestId,
        attempt: AttemptId,
        message: ToEntry,
    },
    /// An agent tells its state.
    Beat {
        from: usize,
        entry: usize,
        life: Incarnation,
        link: u64,
        leaving: bool,
        endpoint_up: bool,
    },
    /// One entry asks another's ledger.
    LedgerAsk {
        from: usize,
        life: Incarnation,
        to: usize,
        ticket: u64,
        input: LedgerInput,
    },
    LedgerAnswer {
        to: usize,
        life: Incarnation,
        ticket: u64,
        reply: LedgerReply,
    },
    /// Looks whether the owner that was asked still lives.
    LedgerGuard {
        entry: usize,
        life: Incarnation,
        ticket: u64,
        owner: usize,
    },
    /// Asks the ledger after a pause.
    LedgerAgain {
        entry: usize,
        life: Incarnation,
        ticket: u64,
    },
    Store {
        entry: usize,
        life: Incarnation,
        op: OpId,
        name: ObjectName,
        call: StoreCall,
    },
    StoreAnswer {
        entry: usize,
        life: Incarnation,
        op: OpId,
        answer: StoreAnswer,
    },
    /// An endpoint brings the next part of a run.
    Endpoint(usize),
    EndpointUp(usize),
    /// An entry gives a link up.
    LinkLost {
        entry: usize,
        agent: usize,
        link: u64,
    },
    LinkUp {
        entry: usize,
        agent: usize,
        link: u64,
    },
    /// A lost attempt is asked for again.
    Recover {
        entry: usize,
        life: Incarnation,
        request: RequestId,
        attempt: AttemptId,
        agent: usize,
    },
    Deadline {
        entry: usize,
        life: Incarnation,
        request: RequestId,
    },
    Replace(NodeId),
}

/// A wish to the ledger, without the caller's identifier.
#[derive(Clone, Debug)]
pub(crate) enum LedgerInput {
    Claim(ledger::Claim),
    Settle(ledger::KeyDigest, ledger::ClaimId, Answer),
    Release(ledger::KeyDigest, ledger::ClaimId),
}

/// A link between an entry and an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    pub(crate) number: u64,
    pub(crate) up: bool,
    silent_out: bool,
    silent_in: bool,
}

/// Everything.
pub(crate) struct World {
    pub(crate) queue: Queue<Event>,
    pub(crate) sabotage: Option<Sabotage>,
    pub(crate) store: Store,
    pub(crate) entries: Vec<EntryNode>,
    pub(crate) agents: Vec<AgentNode>,
    pub(crate) callers: Vec<Caller>,
    pub(crate) runs: Vec<Run>,
    pub(crate) links: [[Link; AGENTS]; ENTRIES],
    pub(crate) left_at: BTreeMap<usize, Instant>,
    pub(crate) shut_down_at: BTreeMap<usize, Instant>,
    pub(crate) steps: Vec<Step>,
    faults: Vec<Fault>,
    next_life: u64,
}

impl World {
    pub(crate) fn new(faults: &[Fault], sabotage: Option<Sabotage>) -> Self {
        let queue = Queue::new();
        let now = queue.now();
        let mut world = Self {
            queue,
            sabotage,
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
            steps: Vec::new(),
            faults: faults.to_vec(),
            next_life: 0,
        };
        for index in 0..ENTRIES {
            let life = world.new_life();
            world.entries.push(EntryNode::new(now, index, life));
        }
        for _ in 0..AGENTS {
            let life = world.new_life();
            world.agents.push(AgentNode::new(life));
        }
        for entry in 0..ENTRIES {
            for agent in 0..AGENTS {
                world.link_up(entry, agent, 1);
            }
        }
        world
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
        self.queue.after(at, Event::Send(index));
    }

    /// Sends a chat and a booking through each entry, to see that work goes on.
    pub(crate) fn probe(&mut self, at: Duration) {
        for (entry, key) in [(0, "probe-0"), (1, "probe-1")] {
            self.add_caller(at, entry, Ask::chat(), true);
            self.add_caller(at, entry, Ask::booking(key), true);
        }
    }

    pub(crate) fn leave(&mut self, at: Duration, agent: usize) {
        self.queue.after(at, Event::Leave(agent));
    }

    pub(crate) fn shut_down(&mut self, at: Duration, entry: usize) {
        self.queue.after(at, Event::ShutDown(entry));
    }

    pub(crate) fn kill_owner(&mut self, at: Duration) {
        self.queue.after(at, Event::KillOwner);
    }

    /// Runs until nothing is left to do.
    pub(crate) fn run(&mut self) {
        while self.queue.elapsed() < END && self.steps.len() < MAX_STEPS {
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
            self.queue.after(pause, event);
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
        let index = self.steps.len();
        let at = self.queue.elapsed();
        self.steps.push(Step { class, at });
        if at > LAST_FAULT {
            return true;
        }
        let due: Vec<FaultKind> = self
            .faults
            .iter()
            .filter(|fault| fault.at_step == index && fault.kind.fits(class))
            .map(|fault| fault.kind)
            .collect();
        let mut takes_place = true;
        for kind in due {
            takes_place &= self.apply(kind, node, event);
        }
        takes_place
    }

    fn apply(&mut self, kind: FaultKind, node: Option<NodeId>, event: Option<&Event>) -> bool {
        let now = self.queue.now();
        match (kind, event) {
            (FaultKind::Lost, Some(event)) => {
                self.lose(event);
                return false;
            }
            (FaultKind::Doubled, Some(event)) => {
                self.queue.after(HOP, event.clone());
            }
            (FaultKind::Late, Some(event)) => {
                self.lose(event);
                self.queue.after(LATE, event.clone());
                return false;
            }
            (FaultKind::Reordered, Some(event)) => {
                self.queue.after(REORDER, event.clone());
                return false;
            }
            (FaultKind::SilentOneWay, Some(event)) => {
                self.silence(event, false);
                self.lose(event);
                return false;
            }
            (FaultKind::SilentBothWays, Some(event)) => {
                self.silence(event, true);
                self.lose(event);
                return false;
            }
            (FaultKind::Killed, _) => {
                if let Some(node) = node {
                    self.kill(node);
                    return matches!(event, Some(Event::Store { .. }));
                }
            }
            (FaultKind::Paused, _) => {
                if let Some(node) = node {
                    self.pause(node);
                    if let Some(event) = event {
                        self.queue.after(PAUSE, event.clone());
                    }
                    return false;
                }
            }
            (FaultKind::StoreDown, _) => self.store.go_down(now),
            (FaultKind::StoreSlow, _) => self.store.go_slow(now),
            (FaultKind::AnswerLost, Some(event)) => {
                self.lose_store_answer(event);
                return false;
            }
            (FaultKind::EndpointCrash, _) => self.crash_endpoint(),
            _ => {}
        }
        true
    }

    /// A message on a link is lost only with the link.
    fn lose(&mut self, event: &Event) {
        match event {
            Event::ToAgent { to, back, .. } => self.break_link(back.entry, *to, back.link),
            Event::ToEntry { from, back, .. } => self.break_link(back.entry, *from, back.link),
            Event::Beat {
                from, entry, link, ..
            } => self.break_link(*entry, *from, *link),
            Event::LedgerAsk {
                from, life, ticket, ..
            } => {
                let lost = Event::LedgerAnswer {
                    to: *from,
                    life: *life,
                    ticket: *ticket,
                    reply: LedgerReply::NotOwner,
                };
                self.queue.after(NOTICE, lost);
            }
            Event::LedgerAnswer {
                to, life, ticket, ..
            } => {
                let lost = Event::LedgerAnswer {
                    to: *to,
                    life: *life,
                    ticket: *ticket,
                    reply: LedgerReply::NotOwner,
                };
                self.queue.after(NOTICE, lost);
            }
            _ => {}
        }
    }

    fn silence(&mut self, event: &Event, both: bool) {
        let (entry, agent, outward) = match event {
            Event::ToAgent { to, back, .. } => (back.entry, *to, true),
            Event::ToEntry { from, back, .. } => (back.entry, *from, false),
            Event::Beat { from, entry, .. } => (*entry, *from, false),
            _ => return,
        };
        let link = &mut self.links[entry][agent];
        link.silent_out |= outward || both;
        link.silent_in |= !outward || both;
    }

    /// Schedules the moment at which the entry notices that a link is dead.
    pub(crate) fn break_link(&mut self, entry: usize, agent: usize, link: u64) {
        let lost = Event::LinkLost { entry, agent, link };
        self.queue.after(NOTICE, lost);
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

    fn kill(&mut self, node: NodeId) {
        match node {
            NodeId::Entry(index) => self.kill_entry(index),
            NodeId::Agent(index) => self.kill_agent(index),
        }
        self.queue.after(REPLACE, Event::Replace(node));
    }

    fn pause(&mut self, node: NodeId) {
        let now = self.queue.now();
        let until = Some(now + PAUSE);
        match node {
            NodeId::Entry(index) => {
                self.entries[index].paused_until = until;
                self.entries[index].silent_since = Some(now);
                for agent in 0..AGENTS {
                    let link = self.links[index][agent].number;
                    let lost = Event::LinkLost {
                        entry: index,
                        agent,
                        link,
                    };
                    self.queue.after(PAUSE, lost);
                }
            }
            NodeId::Agent(index) => {
                self.agents[index].paused_until = until;
                self.break_links_of(index);
            }
        }
    }

    pub(crate) fn break_links_of(&mut self, agent: usize) {
        for entry in 0..ENTRIES {
            let link = self.links[entry][agent].number;
            self.break_link(entry, agent, link);
        }
    }

    fn lose_store_answer(&mut self, event: &Event) {
        if let Event::Store {
            entry,
            life,
            op,
            name,
            call: StoreCall::Write(if_version, content),
        } = event
        {
            self.store.write(*name, *if_version, (**content).clone());
            let answer = Event::StoreAnswer {
                entry: *entry,
                life: *life,
                op: *op,
                answer: StoreAnswer::Write(WriteResult::Unknown),
            };
            self.queue.after(TIMEOUT, answer);
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
        let now = self.queue.now();
        let down = self.store.is_down(now);
        let answer = match call {
            StoreCall::Read if down => StoreAnswer::Read(ReadResult::Unavailable),
            StoreCall::Read => StoreAnswer::Read(self.store.read(name)),
            StoreCall::Write(..) if down => StoreAnswer::Write(WriteResult::Unknown),
            StoreCall::Write(if_version, content) => {
                StoreAnswer::Write(self.store.write(name, if_version, *content))
            }
        };
        let pause = if down { TIMEOUT } else { self.store.delay(now) };
        let answer = Event::StoreAnswer {
            entry,
            life,
            op,
            answer,
        };
        self.queue.after(pause, answer);
    }

    pub(crate) fn redial(&mut self, entry: usize, agent: usize) {
        let link = self.links[entry][agent].number + 1;
        self.queue
            .after(REDIAL, Event::LinkUp { entry, agent, link });
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
            self.queue.after(
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

fn classify(event: &Event) -> (StepClass, Option<NodeId>) {
    match event {
        Event::Send(_) | Event::Leave(_) | Event::ShutDown(_) | Event::KillOwner => {
            (StepClass::Outside, None)
        }
        Event::ToAgent { to, .. } => (StepClass::Message, Some(NodeId::Agent(*to))),
        Event::ToEntry { back, .. } => (StepClass::Message, Some(NodeId::Entry(back.entry))),
        Event::Beat { entry, .. } => (StepClass::Message, Some(NodeId::Entry(*entry))),
        Event::LedgerAsk { to, .. } | Event::LedgerAnswer { to, .. } => {
            (StepClass::Message, Some(NodeId::Entry(*to)))
        }
        Event::LedgerGuard { entry, .. } | Event::LedgerAgain { entry, .. } => {
            (StepClass::Local, Some(NodeId::Entry(*entry)))
        }
        // A call to the store is on its way whatever becomes of its sender.
        Event::Store { call, .. } => match call {
            StoreCall::Read => (StepClass::Store, None),
            StoreCall::Write(..) => (StepClass::StoreWrite, None),
        },
        Event::StoreAnswer { entry, .. } => (StepClass::Store, Some(NodeId::Entry(*entry))),
        Event::Endpoint(_) | Event::EndpointUp(_) | Event::Replace(_) => (StepClass::Outside, None),
        Event::LinkLost { entry, .. }
        | Event::LinkUp { entry, .. }
        | Event::Recover { entry, .. }
        | Event::Deadline { entry, .. } => (StepClass::Local, Some(NodeId::Entry(*entry))),
    }
}
