//! Agents and the endpoints beside them.

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
use crate::request_path::events::Return;
use crate::request_path::events::ToAgent;
use crate::request_path::events::ToEntry;
use crate::request_path::simulation::ENDPOINT_RESTART;
use crate::request_path::simulation::ENTRIES;
use crate::request_path::simulation::HOP;
use crate::request_path::simulation::Run;
use crate::request_path::simulation::Simulation;

/// Requests that an endpoint may hold.
pub(crate) const MAX_IN_FLIGHT: u32 = 8;
/// Time of a booking.
const BOOKING: Duration = Duration::from_millis(30);
/// Time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(10);

/// An attempt that the agent was offered.
#[derive(Clone, Copy, Debug)]
struct Offered {
    request: RequestId,
    back: Return,
    resume_from: u64,
}

/// An agent and its endpoint.
#[derive(Debug)]
pub(crate) struct AgentNode {
    pub(crate) up: bool,
    pub(crate) life: Incarnation,
    pub(crate) paused_until: Option<Instant>,
    pub(crate) gate: Gate,
    pub(crate) endpoint_up: bool,
    offered: BTreeMap<AttemptId, Offered>,
    /// Index of the run of each attempt that this life started.
    started: BTreeMap<AttemptId, usize>,
    /// Where a recovered answer goes once it is there.
    recovering: BTreeMap<AttemptId, Return>,
}

impl AgentNode {
    pub(crate) fn new(life: Incarnation) -> Self {
        Self {
            up: true,
            life,
            paused_until: None,
            gate: Gate::new(life, MAX_IN_FLIGHT),
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
    pub(crate) fn reach_agent(
        &mut self,
        agent: usize,
        back: Return,
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
                let offered = Offered {
                    request,
                    back,
                    resume_from,
                };
                let known = self.agents[agent].offered.contains_key(&attempt);
                if !known {
                    self.agents[agent].offered.insert(attempt, offered);
                }
                let offer = Offer {
                    attempt,
                    meant_for,
                    remaining: remaining.saturating_sub(delay),
                    suspect,
                };
                self.gate(agent, Input::Offer(offer));
            }
            ToAgent::Ask {
                attempt,
                meant_for,
                remaining,
                recover,
            } => {
                if self.mutation == Some(Mutation::ForgetAttempts) {
                    if recover {
                        let refused = ToEntry::Refused(Refusal::HasTombstone);
                        self.reply(agent, back, request, attempt, refused);
                    }
                    return;
                }
                let remaining = remaining.saturating_sub(delay);
                if recover {
                    let agent = &mut self.agents[agent];
                    agent.recovering.insert(attempt, back);
                    let fresh = Offered {
                        request,
                        back,
                        resume_from: 0,
                    };
                    agent.offered.entry(attempt).or_insert(fresh);
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
                self.gate(agent, input);
            }
        }
    }

    pub(crate) fn gate(&mut self, agent: usize, input: Input) {
        let mut out = Vec::new();
        let now = self.queue.now();
        self.agents[agent].gate.handle(now, input, &mut out);
        for output in out {
            match output {
                Output::Start(attempt) => self.start_run(agent, attempt),
                Output::Refuse(attempt, refusal) => {
                    if let Some(offered) = self.agents[agent].offered.get(&attempt).copied() {
                        let refused = ToEntry::Refused(refusal);
                        self.reply(agent, offered.back, offered.request, attempt, refused);
                    }
                }
                Output::Abort(attempt) => self.abort(agent, attempt),
                Output::Verdict(attempt, verdict) => self.recovered(agent, attempt, verdict),
                Output::Drained => {}
            }
        }
    }

    fn reply(
        &mut self,
        agent: usize,
        back: Return,
        request: RequestId,
        attempt: AttemptId,
        message: ToEntry,
    ) {
        let event = Event::ToEntry {
            from: agent,
            back,
            request,
            attempt,
            message,
        };
        self.queue.schedule(HOP, event);
    }

    fn start_run(&mut self, agent: usize, attempt: AttemptId) {
        let Some(offered) = self.agents[agent].offered.get(&attempt).copied() else {
            return;
        };
        if !self.agents[agent].endpoint_up {
            let refused = ToEntry::Refused(Refusal::EndpointDown);
            self.reply(agent, offered.back, offered.request, attempt, refused);
            self.gate(agent, Input::Finished(attempt));
            return;
        }
        let index = self.runs.len();
        let life = self.agents[agent].life;
        self.runs.push(Run {
            request: offered.request,
            attempt,
            agent,
            life,
            at: self.queue.now(),
            position: offered.resume_from,
            over: false,
            to: offered.back,
        });
        self.agents[agent].started.insert(attempt, index);
        let stream = self.callers[offered.request.0 as usize].ask.key.is_none();
        if stream {
            let (request, back) = (offered.request, offered.back);
            self.reply(agent, back, request, attempt, ToEntry::Head);
        }
        let pause = if stream { EVENT_GAP } else { BOOKING };
        self.queue.schedule(pause, Event::Endpoint(index));
    }

    fn abort(&mut self, agent: usize, attempt: AttemptId) {
        if let Some(index) = self.agents[agent].started.get(&attempt).copied() {
            self.runs[index].over = true;
        }
        self.gate(agent, Input::Finished(attempt));
    }

    /// The endpoint brings the next part of a run to the agent that started it.
    pub(crate) fn endpoint_goes_on(&mut self, index: usize) {
        let run = self.runs[index].clone();
        if run.over {
            return;
        }
        let agent = &self.agents[run.agent];
        if !agent.up || agent.life != run.life {
            // The agent that asked is gone; the endpoint works for nobody.
            self.runs[index].over = true;
            return;
        }
        if let Some(until) = agent.paused_until.filter(|until| *until > self.queue.now()) {
            let pause = until - self.queue.now();
            self.queue.schedule(pause, Event::Endpoint(index));
            return;
        }
        let ask = self.callers[run.request.0 as usize].ask.clone();
        match ask.key {
            Some(key) => self.finish(index, ToEntry::Answered(booking_answer(key))),
            None if run.position == STREAM_EVENTS => {
                self.finish(index, ToEntry::EndOfStream(STREAM_EVENTS));
            }
            None => {
                self.runs[index].position += 1;
                let event = ToEntry::Event(run.position);
                self.reply(run.agent, run.to, run.request, run.attempt, event);
                self.queue.schedule(EVENT_GAP, Event::Endpoint(index));
            }
        }
    }

    fn finish(&mut self, index: usize, message: ToEntry) {
        let run = self.runs[index].clone();
        self.runs[index].over = true;
        self.reply(run.agent, run.to, run.request, run.attempt, message.clone());
        let recovering = &mut self.agents[run.agent].recovering;
        if let Some(back) = recovering.remove(&run.attempt)
            && back.link != run.to.link
        {
            self.reply(run.agent, back, run.request, run.attempt, message);
        }
        self.gate(run.agent, Input::Finished(run.attempt));
    }

    fn recovered(&mut self, agent: usize, attempt: AttemptId, verdict: RunVerdict) {
        let Some(back) = self.agents[agent].recovering.get(&attempt).copied() else {
            return;
        };
        let Some(offered) = self.agents[agent].offered.get(&attempt).copied() else {
            return;
        };
        let started = self.agents[agent].started.get(&attempt).copied();
        let run = started.map(|index| self.runs[index].clone());
        let message = match (verdict, run) {
            (RunVerdict::NotRun, _) => ToEntry::Refused(Refusal::HasTombstone),
            // The answer goes out when it is there.
            (RunVerdict::MayHaveRun, Some(run)) if !run.over => return,
            (RunVerdict::MayHaveRun, Some(run)) => {
                let key = self.callers[run.request.0 as usize].ask.key;
                match key {
                    Some(key) if !self.runs_died(&run) => ToEntry::Answered(booking_answer(key)),
                    _ => ToEntry::Failed,
                }
            }
            (RunVerdict::MayHaveRun, None) => ToEntry::Failed,
        };
        self.agents[agent].recovering.remove(&attempt);
        self.reply(agent, back, offered.request, attempt, message);
    }

    /// Returns whether a run ended with its endpoint.
    fn runs_died(&self, run: &Run) -> bool {
        run.position == u64::MAX
    }

    pub(crate) fn crash_endpoint(&mut self) {
        let busy = self.runs.iter().rev().find(|run| !run.over);
        let agent = busy.map_or(0, |run| run.agent);
        self.agents[agent].endpoint_up = false;
        self.queue
            .schedule(ENDPOINT_RESTART, Event::EndpointUp(agent));
        let hit: Vec<usize> = (0..self.runs.len())
            .filter(|index| !self.runs[*index].over && self.runs[*index].agent == agent)
            .collect();
        for index in hit {
            self.runs[index].over = true;
            self.runs[index].position = u64::MAX;
            let run = self.runs[index].clone();
            let node = &self.agents[agent];
            if node.up && node.life == run.life {
                self.reply(agent, run.to, run.request, run.attempt, ToEntry::Died);
                if let Some(back) = self.agents[agent].recovering.remove(&run.attempt) {
                    self.reply(agent, back, run.request, run.attempt, ToEntry::Died);
                }
                self.gate(agent, Input::Finished(run.attempt));
            }
        }
        if self.agents[agent].up {
            self.gate(agent, Input::EndpointUp(false));
            self.send_beats(agent);
        }
    }

    pub(crate) fn endpoint_up(&mut self, agent: usize) {
        self.agents[agent].endpoint_up = true;
        if self.agents[agent].up {
            self.gate(agent, Input::EndpointUp(true));
            self.send_beats(agent);
        }
    }

    pub(crate) fn agent_leaves(&mut self, agent: usize) {
        if !self.agents[agent].up {
            // It died first: its replacement does not know of the plan.
            return;
        }
        self.left_at.insert(agent, self.queue.now());
        if self.mutation != Some(Mutation::IgnoreLeaving) {
            self.gate(agent, Input::Drain);
        }
        self.send_beats(agent);
    }

    fn send_beats(&mut self, agent: usize) {
        for entry in 0..ENTRIES {
            self.send_beat(agent, entry);
        }
    }

    pub(crate) fn send_beat(&mut self, agent: usize, entry: usize) {
        let link = self.links[entry][agent];
        if !link.up {
            return;
        }
        let node = &self.agents[agent];
        let beat = Event::Beat {
            from: agent,
            entry,
            life: node.life,
            link: link.number,
            leaving: node.gate.is_draining(),
            endpoint_up: node.endpoint_up,
        };
        self.queue.schedule(HOP, beat);
    }

    pub(crate) fn kill_agent(&mut self, agent: usize) {
        self.agents[agent].up = false;
        self.left_at.remove(&agent);
        self.break_links_of(agent);
    }

    pub(crate) fn replace_agent(&mut self, agent: usize) {
        if self.agents[agent].up {
            return;
        }
        let life = self.new_life();
        let endpoint_up = self.agents[agent].endpoint_up;
        self.agents[agent] = AgentNode::new(life);
        self.agents[agent].endpoint_up = endpoint_up;
        self.gate(agent, Input::EndpointUp(endpoint_up));
    }

    pub(crate) fn tick_agent(&mut self, agent: usize) {
        self.gate(agent, Input::Tick);
    }
}

/// Returns the one right answer to a booking.
pub(crate) fn booking_answer(key: &str) -> RecordedResponse {
    RecordedResponse::new(200, "text/plain", Bytes::from(format!("booked {key}")))
}
