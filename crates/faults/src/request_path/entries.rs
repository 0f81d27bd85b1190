//! Entries, which run the production router, calls and ledger shard, and their
//! links to agents.

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
use crate::request_path::REQUEST_TIMEOUT;
use crate::request_path::agents::MAX_IN_FLIGHT;
use crate::request_path::events::Event;
use crate::request_path::events::LedgerInput;
use crate::request_path::events::NodeId;
use crate::request_path::events::ReplyTo;
use crate::request_path::events::ToAgent;
use crate::request_path::events::ToEntry;
use crate::request_path::ledgers::LedgerClient;
use crate::request_path::ledgers::PendingLedgerRequest;
use crate::request_path::simulation::AGENTS;
use crate::request_path::simulation::Ending;
use crate::request_path::simulation::MESSAGE_LATENCY;
use crate::request_path::simulation::Simulation;

/// How long an entry waits for the result of a keyed attempt after the deadline, to
/// record it in the ledger.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before an entry asks an agent for the result of an attempt whose link was
/// lost.
const RECOVER_DELAY: Duration = Duration::from_millis(100);

/// A call in progress, with the state that its task holds in production.
#[derive(Debug)]
pub(crate) struct ActiveCall {
    call: Call,
    pub(crate) claim: ClaimId,
    pub(crate) deadline: Instant,
    /// Incarnation of the agent to which the current attempt was sent.
    meant_for: Incarnation,
    /// The current attempt, its agent and the number of its link.
    on_link: Option<(AttemptId, usize, u64)>,
}

/// An entry process.
#[derive(Debug)]
pub(crate) struct EntryNode {
    pub(crate) up: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) paused_until: Option<Instant>,
    /// Since when peers have received nothing from this entry.
    pub(crate) silent_since: Option<Instant>,
    pub(crate) leaving: bool,
    router: Router,
    pub(crate) calls: BTreeMap<RequestId, ActiveCall>,
    pub(crate) shard: Shard,
    /// Who waits for each reply of this entry's shard.
    pub(crate) ledger_clients: BTreeMap<CallerId, LedgerClient>,
    /// Ledger requests of this entry without a reply, by correlation id.
    pub(crate) pending: BTreeMap<u64, PendingLedgerRequest>,
    /// Incarnation of each agent at the time its link was opened.
    agent_incarnations: [Incarnation; AGENTS],
    pub(crate) last_correlation_id: u64,
}

impl EntryNode {
    pub(crate) fn new(now: Instant, index: usize, incarnation: Incarnation) -> Self {
        let mut limits = Service::new(ServiceKind::Plain);
        limits.max_in_flight = MAX_IN_FLIGHT;
        let owner = Owner {
            process: process(index),
            incarnation,
        };
        Self {
            up: true,
            incarnation,
            paused_until: None,
            silent_since: None,
            leaving: false,
            router: Router::new(now, limits, Policy::default(), incarnation.0),
            calls: BTreeMap::new(),
            shard: Shard::new(ShardIndex(0), owner, incarnation.0),
            ledger_clients: BTreeMap::new(),
            pending: BTreeMap::new(),
            agent_incarnations: [Incarnation(0); AGENTS],
            last_correlation_id: 0,
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
    /// Begins the call of a caller, by index, at the entry that accepts it.
    pub(crate) fn start_request(&mut self, index: usize) {
        let now = self.queue.now();
        let preferred = self.callers[index].entry;
        // The platform's load balancer uses the other entry if one is not ready.
        let is_ready = |entry: &usize| self.entries[*entry].up && !self.entries[*entry].leaving;
        let entry = [preferred, 1 - preferred].into_iter().find(is_ready);
        let caller = &mut self.callers[index];
        let Some(entry) = entry else {
            caller.ending = Some((now, Ending::Lost));
            return;
        };
        caller.entry = entry;
        caller.sent_at = Some(now);
        let key = caller.request.key;
        let options = CallOptions {
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
        let incarnation = self.entries[entry].incarnation;
        let active = ActiveCall {
            call: Call::new(options),
            claim: ClaimId(u128::from(incarnation.0) << 64 | index as u128),
            deadline: now + REQUEST_TIMEOUT,
            meant_for: Incarnation(0),
            on_link: None,
        };
        self.entries[entry].calls.insert(request, active);
        let deadline = Event::Deadline {
            entry,
            incarnation,
            request,
        };
        self.queue.schedule(REQUEST_TIMEOUT, deadline);
        self.drive_call(entry, request, CallInput::Begin);
    }

    /// Passes an input to a call and executes the outputs.
    pub(crate) fn drive_call(&mut self, entry: usize, request: RequestId, input: CallInput) {
        let now = self.queue.now();
        let Some(active) = self.entries[entry].calls.get_mut(&request) else {
            return;
        };
        let mut out = Vec::new();
        active.call.handle(now, input, &mut out);
        for output in out {
            self.execute(entry, request, output);
        }
    }

    /// Executes an output of a call.
    fn execute(&mut self, entry: usize, request: RequestId, output: CallOutput) {
        let now = self.queue.now();
        match output {
            CallOutput::Claim(delay) => self.claim(entry, request, delay),
            CallOutput::Settle(response) => {
                let (key, claim) = self.key_and_claim(entry, request);
                self.record(entry, LedgerInput::Settle(key, claim, response));
            }
            CallOutput::Release => {
                let (key, claim) = self.key_and_claim(entry, request);
                self.record(entry, LedgerInput::Release(key, claim));
            }
            CallOutput::Enqueue => {
                let arrival = self.arrival(entry, request);
                self.drive_router(entry, RouterInput::Arrive(arrival, 1));
            }
            CallOutput::Dequeue => self.drive_router(entry, RouterInput::Cancel(request)),
            CallOutput::Ended(attempt, result) => {
                self.drive_router(entry, RouterInput::Ended { attempt, result });
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
                    incarnation: self.entries[entry].incarnation,
                    request,
                    attempt,
                    agent: agent_index(&runner),
                };
                self.queue.schedule(RECOVER_DELAY, event);
            }
            CallOutput::Cancel(attempt, runner) => {
                self.query_agent(entry, request, attempt, agent_index(&runner), false);
            }
            CallOutput::BeginStream | CallOutput::CountStray => {}
            CallOutput::Relay(position) => {
                let caller = &mut self.callers[request.0 as usize];
                caller.events.push((position, request));
            }
            CallOutput::EndStream => self.end_request(request, now, Ending::Streamed),
            CallOutput::Respond { response, .. } => {
                self.end_request(request, now, Ending::Responded(response))
            }
            CallOutput::Fail(failure, outcome) => {
                let assume_not_run = self.mutation == Some(Mutation::AssumeNotRun);
                let outcome = if assume_not_run {
                    Outcome::NotRun
                } else {
                    outcome
                };
                self.end_request(request, now, Ending::Failed(failure, outcome));
            }
            CallOutput::Close => {
                self.entries[entry].calls.remove(&request);
            }
        }
    }

    fn end_request(&mut self, request: RequestId, now: Instant, ending: Ending) {
        let caller = &mut self.callers[request.0 as usize];
        caller.ending.get_or_insert((now, ending));
    }

    /// Returns a request as the router receives it.
    fn arrival(&self, entry: usize, request: RequestId) -> Request {
        let key = self.callers[request.0 as usize].request.key;
        let active = self.entries[entry].calls.get(&request);
        Request {
            id: request,
            workspace: "w".into(),
            cost_tokens: 1,
            priority: 0,
            deadline: active.map_or(self.queue.now(), |active| active.deadline),
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

    /// Passes an input to the entry's router and executes the outputs.
    fn drive_router(&mut self, entry: usize, input: RouterInput) {
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
                        self.drive_call(entry, request, input);
                    } else {
                        let result = AttemptResult::Cancelled;
                        self.drive_router(entry, RouterInput::Ended { attempt, result });
                    }
                }
                RouterOutput::Reject(request, rejection) => {
                    self.drive_call(entry, request, CallInput::Rejected(rejection));
                }
                RouterOutput::Blocked(_) => {}
            }
        }
    }

    /// Offers an attempt to an agent, or reports at once that the link is down.
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
            self.drive_call(entry, request, CallInput::LinkLost { attempt, sent });
            return;
        }
        let meant_for = self.entries[entry].agent_incarnations[agent];
        let now = self.queue.now();
        let Some(active) = self.entries[entry].calls.get_mut(&request) else {
            return;
        };
        active.meant_for = meant_for;
        active.on_link = Some((attempt, agent, link.number));
        let remaining = active.deadline.saturating_duration_since(now);
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
        let reply_to = ReplyTo {
            entry,
            incarnation: self.entries[entry].incarnation,
            link,
        };
        let sent = self.queue.now();
        let event = Event::ToAgent {
            to: agent,
            reply_to,
            request,
            sent,
            message,
        };
        self.queue.schedule(MESSAGE_LATENCY, event);
    }

    /// Asks an agent to recover or cancel an attempt; returns whether the link was up.
    fn query_agent(
        &mut self,
        entry: usize,
        request: RequestId,
        attempt: AttemptId,
        agent: usize,
        recover: bool,
    ) -> bool {
        let link = self.links[entry][agent];
        let now = self.queue.now();
        let Some(active) = self.entries[entry].calls.get_mut(&request) else {
            return true;
        };
        if !link.up {
            return false;
        }
        if recover {
            active.on_link = Some((attempt, agent, link.number));
        }
        let message = ToAgent::Query {
            attempt,
            meant_for: active.meant_for,
            remaining: active.deadline.saturating_duration_since(now),
            recover,
        };
        self.message(entry, agent, link.number, request, message);
        true
    }

    /// Asks an agent for the result of an attempt, or reports at once that the link
    /// is down.
    pub(crate) fn recover(
        &mut self,
        entry: usize,
        incarnation: Incarnation,
        request: RequestId,
        attempt: AttemptId,
        agent: usize,
    ) {
        if self.entries[entry].incarnation != incarnation {
            return;
        }
        if !self.query_agent(entry, request, attempt, agent, true) {
            let sent = true;
            self.drive_call(entry, request, CallInput::LinkLost { attempt, sent });
        }
    }

    pub(crate) fn deliver_to_entry(
        &mut self,
        reply_to: ReplyTo,
        request: RequestId,
        attempt: AttemptId,
        message: ToEntry,
    ) {
        let entry = reply_to.entry;
        if !self.entries[entry].up || self.entries[entry].incarnation != reply_to.incarnation {
            return;
        }
        let current = self.entries[entry]
            .calls
            .get(&request)
            .and_then(|active| active.call.attempt());
        let attempt = match (self.mutation, current) {
            (Some(Mutation::RelayStaleFrames), Some(current)) => current,
            _ => attempt,
        };
        let input = match message {
            ToEntry::Refused(refusal) => CallInput::Refused(attempt, refusal),
            ToEntry::Head => CallInput::Head(attempt),
            ToEntry::Event(position) if self.mutation == Some(Mutation::RelayStaleFrames) => {
                // The mutation relays any event as the next one of the stream.
                let caller = &mut self.callers[request.0 as usize];
                caller.events.push((position, request));
                return;
            }
            ToEntry::Event(position) => CallInput::Event(attempt, position),
            ToEntry::EndOfStream(events) => CallInput::EndOfStream(attempt, events),
            ToEntry::Responded(response) => CallInput::Responded(attempt, response),
            ToEntry::Failed => CallInput::EndpointFailed(attempt),
            ToEntry::Died => CallInput::EndpointDied(attempt),
        };
        if self.mutation == Some(Mutation::RelayStaleFrames)
            && let CallInput::EndOfStream(..) = input
        {
            let now = self.queue.now();
            self.end_request(request, now, Ending::Streamed);
        }
        self.drive_call(entry, request, input);
    }

    /// Handles the deadline of a request. If its call still waits for a response to
    /// record, schedules another deadline for that.
    pub(crate) fn deadline(&mut self, entry: usize, incarnation: Incarnation, request: RequestId) {
        if !self.entries[entry].up || self.entries[entry].incarnation != incarnation {
            return;
        }
        self.drive_call(entry, request, CallInput::Deadline);
        if self.entries[entry].calls.contains_key(&request) {
            let event = Event::Deadline {
                entry,
                incarnation,
                request,
            };
            self.queue.schedule(LATE_RESPONSE_TIMEOUT, event);
        }
    }

    /// Adds the agent of a new link to the entry's router.
    pub(crate) fn add_runner(&mut self, entry: usize, agent: usize) {
        self.entries[entry].agent_incarnations[agent] = self.agents[agent].incarnation;
        let added = RouterInput::RunnerAdded(runner(agent), Distance::SamePlace);
        self.drive_router(entry, added);
        let up = RouterInput::RunnerState(runner(agent), RunnerState::Up);
        self.drive_router(entry, up);
    }

    pub(crate) fn handle_heartbeat(
        &mut self,
        agent: usize,
        entry: usize,
        incarnation: Incarnation,
        link: u64,
        leaving: bool,
        endpoint_up: bool,
    ) {
        let current = self.links[entry][agent];
        let node = &self.entries[entry];
        if !node.up || current.number != link || node.agent_incarnations[agent] != incarnation {
            return;
        }
        let state = match (leaving, endpoint_up) {
            (true, _) => RunnerState::Leaving,
            (false, true) => RunnerState::Up,
            (false, false) => RunnerState::Suspect,
        };
        self.drive_router(entry, RouterInput::RunnerState(runner(agent), state));
    }

    pub(crate) fn link_lost(&mut self, entry: usize, agent: usize, link: u64) {
        let current = &mut self.links[entry][agent];
        if current.number != link
            || !current.up
            || self.mutation == Some(Mutation::NeverDetectLostLinks)
        {
            return;
        }
        current.up = false;
        if !self.entries[entry].up {
            return;
        }
        let suspect = RouterInput::RunnerState(runner(agent), RunnerState::Suspect);
        self.drive_router(entry, suspect);
        let affected: Vec<(RequestId, AttemptId)> = self.entries[entry]
            .calls
            .iter()
            .filter_map(|(request, active)| match active.on_link {
                Some((attempt, on, number)) if on == agent && number == link => {
                    Some((*request, attempt))
                }
                _ => None,
            })
            .collect();
        for (request, attempt) in affected {
            let sent = true;
            self.drive_call(entry, request, CallInput::LinkLost { attempt, sent });
        }
        self.reconnect(entry, agent);
    }

    pub(crate) fn tick(&mut self, node: NodeId) {
        match node {
            NodeId::Agent(agent) => self.tick_agent(agent),
            NodeId::Entry(entry) => {
                self.drive_router(entry, RouterInput::Tick);
                self.drive_shard(entry, ShardInput::Tick);
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
            self.end_request(request, now, Ending::Lost);
        }
        for agent in 0..AGENTS {
            self.links[entry][agent].up = false;
        }
    }

    pub(crate) fn replace_entry(&mut self, entry: usize) {
        if self.entries[entry].up {
            return;
        }
        let incarnation = self.new_incarnation();
        self.entries[entry] = EntryNode::new(self.queue.now(), entry, incarnation);
        for agent in 0..AGENTS {
            self.reconnect(entry, agent);
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

/// Returns what the caller learned about whether its request ran, if anything.
pub(crate) fn reported_outcome(ending: &Ending) -> Option<Outcome> {
    match ending {
        Ending::Responded(_) | Ending::Streamed => Some(Outcome::Ran),
        Ending::Failed(_, outcome) => Some(*outcome),
        Ending::Lost => None,
    }
}
