//! Entries: their calls, router and ledger shard.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::call::Call;
use wisteriawick_core::call::CallKind;
use wisteriawick_core::call::CallOptions;
use wisteriawick_core::call::Input as CallInput;
use wisteriawick_core::call::Outcome;
use wisteriawick_core::call::Output as CallOutput;
use wisteriawick_core::fleet::Distance;
use wisteriawick_core::fleet::Service;
use wisteriawick_core::fleet::ServiceKind;
use wisteriawick_core::ids::AttemptId;
use wisteriawick_core::ids::Fingerprint;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::RunnerId;
use wisteriawick_core::ledger::CallerId;
use wisteriawick_core::ledger::ClaimId;
use wisteriawick_core::ledger::Owner;
use wisteriawick_core::ledger::Shard;
use wisteriawick_core::ledger::ShardIndex;
use wisteriawick_core::ledger::ShardInput;
use wisteriawick_core::router::AttemptResult;
use wisteriawick_core::router::Input as RouterInput;
use wisteriawick_core::router::Output as RouterOutput;
use wisteriawick_core::router::Policy;
use wisteriawick_core::router::Request;
use wisteriawick_core::router::RequestId;
use wisteriawick_core::router::RetryRule;
use wisteriawick_core::router::Router;
use wisteriawick_core::router::RunnerState;

use crate::fault::Mutation;
use crate::request_path::DEADLINE;
use crate::request_path::agents::MAX_IN_FLIGHT;
use crate::request_path::events::Event;
use crate::request_path::events::LedgerInput;
use crate::request_path::events::NodeId;
use crate::request_path::events::Return;
use crate::request_path::events::ToAgent;
use crate::request_path::events::ToEntry;
use crate::request_path::ledgers::Asker;
use crate::request_path::ledgers::Pending;
use crate::request_path::simulation::AGENTS;
use crate::request_path::simulation::Ending;
use crate::request_path::simulation::HOP;
use crate::request_path::simulation::Simulation;

/// How long a keyed attempt may still bring its answer after its deadline.
const LATE_ANSWER: Duration = Duration::from_secs(60);
/// Pause before a lost attempt is asked for again.
const RECOVER_PAUSE: Duration = Duration::from_millis(100);

/// A call with what its task would hold.
#[derive(Debug)]
pub(crate) struct HeldCall {
    call: Call,
    pub(crate) claim: ClaimId,
    pub(crate) deadline: Instant,
    /// The life of the agent that the current attempt was sent to.
    meant_for: Incarnation,
    /// The current attempt and the link that it is on.
    on_link: Option<(AttemptId, usize, u64)>,
}

/// An entry.
#[derive(Debug)]
pub(crate) struct EntryNode {
    pub(crate) up: bool,
    pub(crate) life: Incarnation,
    pub(crate) paused_until: Option<Instant>,
    /// Since when peers hear nothing.
    pub(crate) silent_since: Option<Instant>,
    pub(crate) leaving: bool,
    router: Router,
    pub(crate) calls: BTreeMap<RequestId, HeldCall>,
    pub(crate) shard: Shard,
    pub(crate) askers: BTreeMap<CallerId, Asker>,
    pub(crate) pending: BTreeMap<u64, Pending>,
    /// The life of each agent, as its link says.
    agent_lives: [Incarnation; AGENTS],
    pub(crate) next_ticket: u64,
}

impl EntryNode {
    pub(crate) fn new(now: Instant, index: usize, life: Incarnation) -> Self {
        let mut limits = Service::new(ServiceKind::Plain);
        limits.max_in_flight = MAX_IN_FLIGHT;
        let owner = Owner {
            process: process(index),
            incarnation: life,
        };
        Self {
            up: true,
            life,
            paused_until: None,
            silent_since: None,
            leaving: false,
            router: Router::new(now, limits, Policy::default(), life.0),
            calls: BTreeMap::new(),
            shard: Shard::new(ShardIndex(0), owner, life.0),
            askers: BTreeMap::new(),
            pending: BTreeMap::new(),
            agent_lives: [Incarnation(0); AGENTS],
            next_ticket: 0,
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        if !self.up {
            return None;
        }
        let router = self.router.next_deadline();
        router.into_iter().chain(self.shard.next_deadline()).min()
    }
}

pub(crate) fn process(index: usize) -> ProcessId {
    ProcessId::new(format!("entry-{index}"))
}

fn runner(index: usize) -> RunnerId {
    RunnerId::new(format!("agent-{index}"))
}

fn agent_index(runner: &RunnerId) -> usize {
    usize::from(runner.as_str() != "agent-0")
}

impl Simulation {
    pub(crate) fn caller_sends(&mut self, index: usize) {
        let now = self.queue.now();
        let wanted = self.callers[index].entry;
        // The platform's balancer uses another entry when one is not ready.
        let ready = |entry: &usize| self.entries[*entry].up && !self.entries[*entry].leaving;
        let entry = [wanted, 1 - wanted].into_iter().find(ready);
        let caller = &mut self.callers[index];
        let Some(entry) = entry else {
            caller.ending = Some((now, Ending::Lost));
            return;
        };
        caller.entry = entry;
        caller.sent_at = Some(now);
        let key = caller.ask.key;
        let plan = CallOptions {
            kind: if key.is_some() {
                CallKind::Buffered
            } else {
                CallKind::Stream
            },
            keyed: key.is_some(),
            retry: if key.is_some() {
                RetryRule::IfNotRun
            } else {
                RetryRule::Idempotent
            },
        };
        let request = RequestId(index as u64);
        let life = self.entries[entry].life;
        let held = HeldCall {
            call: Call::new(plan),
            claim: ClaimId(u128::from(life.0) << 64 | index as u128),
            deadline: now + DEADLINE,
            meant_for: Incarnation(0),
            on_link: None,
        };
        self.entries[entry].calls.insert(request, held);
        let deadline = Event::Deadline {
            entry,
            life,
            request,
        };
        self.queue.schedule(DEADLINE, deadline);
        self.call(entry, request, CallInput::Begin);
    }

    pub(crate) fn call(&mut self, entry: usize, request: RequestId, input: CallInput) {
        let now = self.queue.now();
        let Some(held) = self.entries[entry].calls.get_mut(&request) else {
            return;
        };
        let mut out = Vec::new();
        held.call.handle(now, input, &mut out);
        for output in out {
            self.carry_out(entry, request, output);
        }
    }

    fn carry_out(&mut self, entry: usize, request: RequestId, output: CallOutput) {
        let now = self.queue.now();
        match output {
            CallOutput::Claim(pause) => self.claim(entry, request, pause),
            CallOutput::Settle(answer) => {
                let (key, claim) = self.key_and_claim(entry, request);
                self.record(entry, LedgerInput::Settle(key, claim, answer));
            }
            CallOutput::Release => {
                let (key, claim) = self.key_and_claim(entry, request);
                self.record(entry, LedgerInput::Release(key, claim));
            }
            CallOutput::Enqueue => {
                let arrival = self.arrival(entry, request);
                self.router(entry, RouterInput::Arrive(arrival, 1));
            }
            CallOutput::Dequeue => self.router(entry, RouterInput::Cancel(request)),
            CallOutput::Ended(attempt, result) => {
                self.router(entry, RouterInput::Ended { attempt, result });
            }
            CallOutput::Send {
                attempt,
                runner,
                suspect,
                resume_from,
                ..
            } => self.send_attempt(entry, request, attempt, &runner, suspect, resume_from),
            CallOutput::Recover(attempt, runner) => {
                let event = Event::Recover {
                    entry,
                    life: self.entries[entry].life,
                    request,
                    attempt,
                    agent: agent_index(&runner),
                };
                self.queue.schedule(RECOVER_PAUSE, event);
            }
            CallOutput::Cancel(attempt, runner) => {
                self.ask_agent(entry, request, attempt, agent_index(&runner), false);
            }
            CallOutput::BeginStream | CallOutput::CountStray => {}
            CallOutput::Relay(position) => {
                let caller = &mut self.callers[request.0 as usize];
                caller.events.push((position, request));
            }
            CallOutput::EndStream => self.end(request, now, Ending::Streamed),
            CallOutput::Respond {
                response: answer, ..
            } => self.end(request, now, Ending::Answered(answer)),
            CallOutput::Fail(failure, outcome) => {
                let guessed = self.mutation == Some(Mutation::AssumeNotRun);
                let outcome = if guessed { Outcome::NotRun } else { outcome };
                self.end(request, now, Ending::Failed(failure, outcome));
            }
            CallOutput::Close => {
                self.entries[entry].calls.remove(&request);
            }
        }
    }

    fn end(&mut self, request: RequestId, now: Instant, ending: Ending) {
        let caller = &mut self.callers[request.0 as usize];
        caller.ending.get_or_insert((now, ending));
    }

    fn arrival(&self, entry: usize, request: RequestId) -> Request {
        let key = self.callers[request.0 as usize].ask.key;
        let held = self.entries[entry].calls.get(&request);
        Request {
            id: request,
            workspace: "w".into(),
            cost_tokens: 1,
            priority: 0,
            deadline: held.map_or(self.queue.now(), |held| held.deadline),
            retry: if key.is_some() {
                RetryRule::IfNotRun
            } else {
                RetryRule::Idempotent
            },
            prefix: Vec::new(),
            fingerprint: Fingerprint(u128::from(request.0)),
            excluded: Vec::new(),
        }
    }

    fn router(&mut self, entry: usize, input: RouterInput) {
        let mut out = Vec::new();
        let now = self.queue.now();
        self.entries[entry].router.handle(now, input, &mut out);
        for output in out {
            match output {
                RouterOutput::Dispatch {
                    request,
                    attempt,
                    runner,
                    suspect,
                } => {
                    let input = CallInput::Dispatched {
                        attempt,
                        runner,
                        suspect,
                    };
                    if self.entries[entry].calls.contains_key(&request) {
                        self.call(entry, request, input);
                    } else {
                        let result = AttemptResult::Cancelled;
                        self.router(entry, RouterInput::Ended { attempt, result });
                    }
                }
                RouterOutput::Reject(request, rejection) => {
                    self.call(entry, request, CallInput::Rejected(rejection));
                }
                RouterOutput::Blocked(_) => {}
            }
        }
    }

    fn send_attempt(
        &mut self,
        entry: usize,
        request: RequestId,
        attempt: AttemptId,
        runner: &RunnerId,
        suspect: bool,
        resume_from: u64,
    ) {
        let agent = agent_index(runner);
        let link = self.links[entry][agent];
        if !link.up {
            let sent = false;
            self.call(entry, request, CallInput::LinkLost { attempt, sent });
            return;
        }
        let meant_for = self.entries[entry].agent_lives[agent];
        let now = self.queue.now();
        let Some(held) = self.entries[entry].calls.get_mut(&request) else {
            return;
        };
        held.meant_for = meant_for;
        held.on_link = Some((attempt, agent, link.number));
        let remaining = held.deadline.saturating_duration_since(now);
        let message = ToAgent::Offer {
            attempt,
            meant_for,
            remaining,
            suspect,
            resume_from,
        };
        self.message(entry, agent, link.number, request, message);
    }

    fn message(
        &mut self,
        entry: usize,
        agent: usize,
        link: u64,
        request: RequestId,
        message: ToAgent,
    ) {
        let back = Return {
            entry,
            life: self.entries[entry].life,
            link,
        };
        let sent = self.queue.now();
        let event = Event::ToAgent {
            to: agent,
            back,
            request,
            sent,
            message,
        };
        self.queue.schedule(HOP, event);
    }

    /// Asks an agent about an attempt; returns whether there was a link.
    fn ask_agent(
        &mut self,
        entry: usize,
        request: RequestId,
        attempt: AttemptId,
        agent: usize,
        recover: bool,
    ) -> bool {
        let link = self.links[entry][agent];
        let now = self.queue.now();
        let Some(held) = self.entries[entry].calls.get_mut(&request) else {
            return true;
        };
        if !link.up {
            return false;
        }
        if recover {
            held.on_link = Some((attempt, agent, link.number));
        }
        let message = ToAgent::Ask {
            attempt,
            meant_for: held.meant_for,
            remaining: held.deadline.saturating_duration_since(now),
            recover,
        };
        self.message(entry, agent, link.number, request, message);
        true
    }

    pub(crate) fn recover(
        &mut self,
        entry: usize,
        life: Incarnation,
        request: RequestId,
        attempt: AttemptId,
        agent: usize,
    ) {
        if self.entries[entry].life != life {
            return;
        }
        if !self.ask_agent(entry, request, attempt, agent, true) {
            let sent = true;
            self.call(entry, request, CallInput::LinkLost { attempt, sent });
        }
    }

    pub(crate) fn reach_entry(
        &mut self,
        back: Return,
        request: RequestId,
        attempt: AttemptId,
        message: ToEntry,
    ) {
        let entry = back.entry;
        if !self.entries[entry].up || self.entries[entry].life != back.life {
            return;
        }
        let current = self.entries[entry]
            .calls
            .get(&request)
            .and_then(|held| held.call.attempt());
        let attempt = match (self.mutation, current) {
            (Some(Mutation::RelayStaleFrames), Some(current)) => current,
            _ => attempt,
        };
        let input = match message {
            ToEntry::Refused(refusal) => CallInput::Refused(attempt, refusal),
            ToEntry::Head => CallInput::Head(attempt),
            ToEntry::Event(position) if self.mutation == Some(Mutation::RelayStaleFrames) => {
                // Whatever comes is taken for the next event.
                let caller = &mut self.callers[request.0 as usize];
                caller.events.push((position, request));
                return;
            }
            ToEntry::Event(position) => CallInput::Event(attempt, position),
            ToEntry::EndOfStream(events) => CallInput::EndOfStream(attempt, events),
            ToEntry::Answered(answer) => CallInput::Responded(attempt, answer),
            ToEntry::Failed => CallInput::EndpointFailed(attempt),
            ToEntry::Died => CallInput::EndpointDied(attempt),
        };
        if self.mutation == Some(Mutation::RelayStaleFrames)
            && let CallInput::EndOfStream(..) = input
        {
            let now = self.queue.now();
            self.end(request, now, Ending::Streamed);
        }
        self.call(entry, request, input);
    }

    pub(crate) fn deadline(&mut self, entry: usize, life: Incarnation, request: RequestId) {
        if !self.entries[entry].up || self.entries[entry].life != life {
            return;
        }
        self.call(entry, request, CallInput::Deadline);
        if self.entries[entry].calls.contains_key(&request) {
            let event = Event::Deadline {
                entry,
                life,
                request,
            };
            self.queue.schedule(LATE_ANSWER, event);
        }
    }

    pub(crate) fn entry_sees_link(&mut self, entry: usize, agent: usize) {
        self.entries[entry].agent_lives[agent] = self.agents[agent].life;
        let added = RouterInput::RunnerAdded(runner(agent), Distance::SamePlace);
        self.router(entry, added);
        let up = RouterInput::RunnerState(runner(agent), RunnerState::Up);
        self.router(entry, up);
    }

    pub(crate) fn beat(
        &mut self,
        agent: usize,
        entry: usize,
        life: Incarnation,
        link: u64,
        leaving: bool,
        endpoint_up: bool,
    ) {
        let held = self.links[entry][agent];
        let node = &self.entries[entry];
        if !node.up || held.number != link || node.agent_lives[agent] != life {
            return;
        }
        let state = match (leaving, endpoint_up) {
            (true, _) => RunnerState::Leaving,
            (false, true) => RunnerState::Up,
            (false, false) => RunnerState::Suspect,
        };
        self.router(entry, RouterInput::RunnerState(runner(agent), state));
    }

    pub(crate) fn link_lost(&mut self, entry: usize, agent: usize, link: u64) {
        let held = &mut self.links[entry][agent];
        if held.number != link || !held.up || self.mutation == Some(Mutation::NeverDetectLostLinks)
        {
            return;
        }
        held.up = false;
        if !self.entries[entry].up {
            return;
        }
        let suspect = RouterInput::RunnerState(runner(agent), RunnerState::Suspect);
        self.router(entry, suspect);
        let hit: Vec<(RequestId, AttemptId)> = self.entries[entry]
            .calls
            .iter()
            .filter_map(|(request, held)| match held.on_link {
                Some((attempt, on, number)) if on == agent && number == link => {
                    Some((*request, attempt))
                }
                _ => None,
            })
            .collect();
        for (request, attempt) in hit {
            let sent = true;
            self.call(entry, request, CallInput::LinkLost { attempt, sent });
        }
        self.redial(entry, agent);
    }

    pub(crate) fn tick(&mut self, node: NodeId) {
        match node {
            NodeId::Agent(agent) => self.tick_agent(agent),
            NodeId::Entry(entry) => {
                self.router(entry, RouterInput::Tick);
                self.shard(entry, ShardInput::Tick);
            }
        }
    }

    pub(crate) fn kill_entry(&mut self, entry: usize) {
        let now = self.queue.now();
        let node = &mut self.entries[entry];
        if !node.up {
            return;
        }
        node.up = false;
        node.silent_since = Some(now);
        let lost: Vec<RequestId> = node.calls.keys().copied().collect();
        node.calls.clear();
        for request in lost {
            self.end(request, now, Ending::Lost);
        }
        for agent in 0..AGENTS {
            self.links[entry][agent].up = false;
        }
    }

    pub(crate) fn replace_entry(&mut self, entry: usize) {
        if self.entries[entry].up {
            return;
        }
        let life = self.new_life();
        self.entries[entry] = EntryNode::new(self.queue.now(), entry, life);
        for agent in 0..AGENTS {
            self.redial(entry, agent);
        }
    }

    pub(crate) fn entry_shuts_down(&mut self, entry: usize) {
        if !self.entries[entry].up {
            return;
        }
        self.shut_down_at.insert(entry, self.queue.now());
        self.entries[entry].leaving = true;
        if self.mutation == Some(Mutation::DropOnShutdown) {
            self.kill_entry(entry);
        }
    }

    pub(crate) fn kill_shard_owner(&mut self) {
        if let Some(owner) = self.owner_seen_by(0) {
            self.kill_entry(owner);
            let node = NodeId::Entry(owner);
            self.queue
                .schedule(crate::fault::REPLACE_DELAY, Event::Replace(node));
        }
    }
}

/// Returns what a caller was told of the effect, if it was told anything.
pub(crate) fn told(ending: &Ending) -> Option<Outcome> {
    match ending {
        Ending::Answered(_) | Ending::Streamed => Some(Outcome::Ran),
        Ending::Failed(_, outcome) => Some(*outcome),
        Ending::Lost => None,
    }
}
