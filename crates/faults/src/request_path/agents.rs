//! Agents, which run the production gate, and their simulated endpoints. An
//! endpoint answers a booking with one response and a chat with a stream.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use wisteriawick_core::gate::Gate;
use wisteriawick_core::gate::Input;
use wisteriawick_core::gate::Offer;
use wisteriawick_core::gate::Output;
use wisteriawick_core::gate::Refusal;
use wisteriawick_core::gate::RunVerdict;
use wisteriawick_core::ids::AttemptId;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ledger::RecordedResponse;
use wisteriawick_core::router::RequestId;

use crate::fault::Mutation;
use crate::request_path::STREAM_EVENTS;
use crate::request_path::events::Event;
use crate::request_path::events::ReplyTo;
use crate::request_path::events::ToAgent;
use crate::request_path::events::ToEntry;
use crate::request_path::simulation::ENDPOINT_RESTART_DELAY;
use crate::request_path::simulation::ENTRIES;
use crate::request_path::simulation::EndpointRun;
use crate::request_path::simulation::MESSAGE_LATENCY;
use crate::request_path::simulation::Simulation;

/// Maximum number of requests in progress at an endpoint.
pub(crate) const MAX_IN_FLIGHT: u32 = 8;
/// Time that an endpoint takes for a booking.
const BOOKING_DURATION: Duration = Duration::from_millis(30);
/// Time between two events of a stream.
const STREAM_EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// An attempt that an entry offered to the agent or asked about.
#[derive(Clone, Copy, Debug)]
struct OfferedAttempt {
    request: RequestId,
    reply_to: ReplyTo,
    resume_from: u64,
}

/// An agent and its endpoint.
#[derive(Debug)]
pub(crate) struct AgentNode {
    pub(crate) up: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) paused_until: Option<Instant>,
    pub(crate) gate: Gate,
    pub(crate) endpoint_up: bool,
    offered: BTreeMap<AttemptId, OfferedAttempt>,
    /// Index in [`Simulation::runs`] of the run of each attempt that this
    /// incarnation started.
    started: BTreeMap<AttemptId, usize>,
    /// Where to send the result of each attempt that an entry wants to recover.
    recovering: BTreeMap<AttemptId, ReplyTo>,
}

impl AgentNode {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            up: true,
            incarnation,
            paused_until: None,
            gate: Gate::new(incarnation, MAX_IN_FLIGHT),
            endpoint_up: true,
            offered: BTreeMap::new(),
            started: BTreeMap::new(),
            recovering: BTreeMap::new(),
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.up.then(|| self.gate.next_deadline()).flatten()
    }
}

impl Simulation {
    pub(crate) fn deliver_to_agent(
        &mut self,
        agent: usize,
        reply_to: ReplyTo,
        request: RequestId,
        delay: Duration,
        message: ToAgent,
    ) {
        if !self.agents[agent].up {
            return;
        }
        match message {
            ToAgent::Offer {
                attempt,
                meant_for,
                remaining,
                suspect,
                resume_from,
            } => {
                let offered = OfferedAttempt {
                    request,
                    reply_to,
                    resume_from,
                };
                let is_known = self.agents[agent].offered.contains_key(&attempt);
                if !is_known {
                    self.agents[agent].offered.insert(attempt, offered);
                }
                let offer = Offer {
                    attempt,
                    meant_for,
                    remaining: remaining.saturating_sub(delay),
                    suspect,
                };
                self.drive_gate(agent, Input::Offer(offer));
            }
            ToAgent::Query {
                attempt,
                meant_for,
                remaining,
                recover,
            } => {
                if self.mutation == Some(Mutation::ForgetAttempts) {
                    if recover {
                        let refused = ToEntry::Refused(Refusal::HasTombstone);
                        self.reply(agent, reply_to, request, attempt, refused);
                    }
                    return;
                }
                let remaining = remaining.saturating_sub(delay);
                if recover {
                    let agent = &mut self.agents[agent];
                    agent.recovering.insert(attempt, reply_to);
                    let unoffered = OfferedAttempt {
                        request,
                        reply_to,
                        resume_from: 0,
                    };
                    agent.offered.entry(attempt).or_insert(unoffered);
                }
                let input = if recover {
                    Input::Recover {
                        attempt,
                        meant_for,
                        remaining,
                    }
                } else {
                    Input::Cancel {
                        attempt,
                        meant_for,
                        remaining,
                    }
                };
                self.drive_gate(agent, input);
            }
        }
    }

    /// Passes an input to the agent's gate and executes the outputs.
    pub(crate) fn drive_gate(&mut self, agent: usize, input: Input) {
        let mut out = Vec::new();
        let now = self.queue.now();
        self.agents[agent].gate.handle(now, input, &mut out);
        for output in out {
            match output {
                Output::Start(attempt) => self.start_run(agent, attempt),
                Output::Refuse(attempt, refusal) => {
                    if let Some(offered) = self.agents[agent].offered.get(&attempt).copied() {
                        let refused = ToEntry::Refused(refusal);
                        self.reply(agent, offered.reply_to, offered.request, attempt, refused);
                    }
                }
                Output::Abort(attempt) => self.abort(agent, attempt),
                Output::Verdict(attempt, verdict) => self.handle_verdict(agent, attempt, verdict),
                Output::Drained => {}
            }
        }
    }

    fn reply(
        &mut self,
        agent: usize,
        reply_to: ReplyTo,
        request: RequestId,
        attempt: AttemptId,
        message: ToEntry,
    ) {
        let event = Event::ToEntry {
            from: agent,
            reply_to,
            request,
            attempt,
            message,
        };
        self.queue.schedule(MESSAGE_LATENCY, event);
    }

    /// Starts an admitted attempt at the endpoint.
    fn start_run(&mut self, agent: usize, attempt: AttemptId) {
        let Some(offered) = self.agents[agent].offered.get(&attempt).copied() else {
            return;
        };
        if !self.agents[agent].endpoint_up {
            let refused = ToEntry::Refused(Refusal::EndpointDown);
            self.reply(agent, offered.reply_to, offered.request, attempt, refused);
            self.drive_gate(agent, Input::Finished(attempt));
            return;
        }
        let index = self.runs.len();
        let incarnation = self.agents[agent].incarnation;
        self.runs.push(EndpointRun {
            request: offered.request,
            attempt,
            agent,
            incarnation,
            started_at: self.queue.now(),
            position: offered.resume_from,
            finished: false,
            reply_to: offered.reply_to,
        });
        self.agents[agent].started.insert(attempt, index);
        let stream = self.callers[offered.request.0 as usize]
            .request
            .key
            .is_none();
        if stream {
            let (request, reply_to) = (offered.request, offered.reply_to);
            self.reply(agent, reply_to, request, attempt, ToEntry::Head);
        }
        let delay = if stream {
            STREAM_EVENT_INTERVAL
        } else {
            BOOKING_DURATION
        };
        self.queue.schedule(delay, Event::EndpointProgress(index));
    }

    fn abort(&mut self, agent: usize, attempt: AttemptId) {
        if let Some(index) = self.agents[agent].started.get(&attempt).copied() {
            self.runs[index].finished = true;
        }
        self.drive_gate(agent, Input::Finished(attempt));
    }

    /// Delivers the next part of a run's response to the agent that started it.
    pub(crate) fn advance_run(&mut self, index: usize) {
        let run = self.runs[index].clone();
        if run.finished {
            return;
        }
        let agent = &self.agents[run.agent];
        if !agent.up || agent.incarnation != run.incarnation {
            // The agent that started the run is gone, and its replacement does
            // not know the run, so nobody receives the rest of the response.
            self.runs[index].finished = true;
            return;
        }
        if let Some(until) = agent.paused_until.filter(|until| *until > self.queue.now()) {
            let delay = until - self.queue.now();
            self.queue.schedule(delay, Event::EndpointProgress(index));
            return;
        }
        let request = self.callers[run.request.0 as usize].request.clone();
        match request.key {
            Some(key) => self.finish(index, ToEntry::Responded(booking_response(key))),
            None if run.position == STREAM_EVENTS => {
                self.finish(index, ToEntry::EndOfStream(STREAM_EVENTS));
            }
            None => {
                self.runs[index].position += 1;
                let event = ToEntry::Event(run.position);
                self.reply(run.agent, run.reply_to, run.request, run.attempt, event);
                self.queue
                    .schedule(STREAM_EVENT_INTERVAL, Event::EndpointProgress(index));
            }
        }
    }

    fn finish(&mut self, index: usize, message: ToEntry) {
        let run = self.runs[index].clone();
        self.runs[index].finished = true;
        self.reply(
            run.agent,
            run.reply_to,
            run.request,
            run.attempt,
            message.clone(),
        );
        let recovering = &mut self.agents[run.agent].recovering;
        if let Some(reply_to) = recovering.remove(&run.attempt)
            && reply_to.link != run.reply_to.link
        {
            self.reply(run.agent, reply_to, run.request, run.attempt, message);
        }
        self.drive_gate(run.agent, Input::Finished(run.attempt));
    }

    /// Sends the result of a recovered attempt to the entry that asked for it.
    fn handle_verdict(&mut self, agent: usize, attempt: AttemptId, verdict: RunVerdict) {
        let Some(reply_to) = self.agents[agent].recovering.get(&attempt).copied() else {
            return;
        };
        let Some(offered) = self.agents[agent].offered.get(&attempt).copied() else {
            return;
        };
        let started = self.agents[agent].started.get(&attempt).copied();
        let run = started.map(|index| self.runs[index].clone());
        let message = match (verdict, run) {
            (RunVerdict::NotRun, _) => ToEntry::Refused(Refusal::HasTombstone),
            // `finish` sends the result when the run ends.
            (RunVerdict::MayHaveRun, Some(run)) if !run.finished => return,
            (RunVerdict::MayHaveRun, Some(run)) => {
                let key = self.callers[run.request.0 as usize].request.key;
                match key {
                    Some(key) if !self.ended_by_crash(&run) => {
                        ToEntry::Responded(booking_response(key))
                    }
                    _ => ToEntry::Failed,
                }
            }
            (RunVerdict::MayHaveRun, None) => ToEntry::Failed,
        };
        self.agents[agent].recovering.remove(&attempt);
        self.reply(agent, reply_to, offered.request, attempt, message);
    }

    /// Returns whether a run ended because its endpoint crashed, which
    /// [`Simulation::crash_endpoint`] marks in its position.
    fn ended_by_crash(&self, run: &EndpointRun) -> bool {
        run.position == u64::MAX
    }

    /// Crashes the endpoint of the latest run in progress, or else of agent 0.
    pub(crate) fn crash_endpoint(&mut self) {
        let busy = self.runs.iter().rev().find(|run| !run.finished);
        let agent = busy.map_or(0, |run| run.agent);
        self.agents[agent].endpoint_up = false;
        self.queue
            .schedule(ENDPOINT_RESTART_DELAY, Event::EndpointUp(agent));
        let affected: Vec<usize> = (0..self.runs.len())
            .filter(|index| !self.runs[*index].finished && self.runs[*index].agent == agent)
            .collect();
        for index in affected {
            self.runs[index].finished = true;
            self.runs[index].position = u64::MAX;
            let run = self.runs[index].clone();
            let node = &self.agents[agent];
            if node.up && node.incarnation == run.incarnation {
                self.reply(agent, run.reply_to, run.request, run.attempt, ToEntry::Died);
                if let Some(reply_to) = self.agents[agent].recovering.remove(&run.attempt) {
                    self.reply(agent, reply_to, run.request, run.attempt, ToEntry::Died);
                }
                self.drive_gate(agent, Input::Finished(run.attempt));
            }
        }
        if self.agents[agent].up {
            self.drive_gate(agent, Input::EndpointUp(false));
            self.send_heartbeats(agent);
        }
    }

    pub(crate) fn endpoint_up(&mut self, agent: usize) {
        self.agents[agent].endpoint_up = true;
        if self.agents[agent].up {
            self.drive_gate(agent, Input::EndpointUp(true));
            self.send_heartbeats(agent);
        }
    }

    pub(crate) fn agent_leaves(&mut self, agent: usize) {
        if !self.agents[agent].up {
            // The agent died first, and its replacement is not leaving.
            return;
        }
        self.left_at.insert(agent, self.queue.now());
        if self.mutation != Some(Mutation::IgnoreLeaving) {
            self.drive_gate(agent, Input::Drain);
        }
        self.send_heartbeats(agent);
    }

    fn send_heartbeats(&mut self, agent: usize) {
        for entry in 0..ENTRIES {
            self.send_heartbeat(agent, entry);
        }
    }

    pub(crate) fn send_heartbeat(&mut self, agent: usize, entry: usize) {
        let link = self.links[entry][agent];
        if !link.up {
            return;
        }
        let node = &self.agents[agent];
        let heartbeat = Event::Heartbeat {
            from: agent,
            entry,
            incarnation: node.incarnation,
            link: link.number,
            leaving: node.gate.is_draining(),
            endpoint_up: node.endpoint_up,
        };
        self.queue.schedule(MESSAGE_LATENCY, heartbeat);
    }

    pub(crate) fn kill_agent(&mut self, agent: usize) {
        self.agents[agent].up = false;
        self.left_at.remove(&agent);
        self.schedule_link_losses(agent);
    }

    pub(crate) fn replace_agent(&mut self, agent: usize) {
        if self.agents[agent].up {
            return;
        }
        let incarnation = self.new_incarnation();
        let endpoint_up = self.agents[agent].endpoint_up;
        self.agents[agent] = AgentNode::new(incarnation);
        self.agents[agent].endpoint_up = endpoint_up;
        self.drive_gate(agent, Input::EndpointUp(endpoint_up));
    }

    pub(crate) fn tick_agent(&mut self, agent: usize) {
        self.drive_gate(agent, Input::Tick);
    }
}

/// Returns the only correct response to a booking.
pub(crate) fn booking_response(key: &str) -> RecordedResponse {
    RecordedResponse::new(200, "text/plain", Bytes::from(format!("booked {key}")))
}
