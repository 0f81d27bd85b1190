//! Injects faults into a run of requests: what happens to the step at which a
//! fault is injected, and to the process that takes the step.

use wisteriawick_core::ledger::LedgerReply;
use wisteriawick_core::ledger::WriteResult;

use crate::fault::FaultKind;
use crate::fault::MESSAGE_DELAY;
use crate::fault::PROCESS_PAUSE;
use crate::fault::REORDER_DELAY;
use crate::fault::REPLACE_DELAY;
use crate::injection::STORE_TIMEOUT;
use crate::request_path::events::Event;
use crate::request_path::events::NodeId;
use crate::request_path::events::StoreCall;
use crate::request_path::events::StoreResponse;
use crate::request_path::simulation::AGENTS;
use crate::request_path::simulation::LINK_TIMEOUT;
use crate::request_path::simulation::MESSAGE_LATENCY;
use crate::request_path::simulation::Simulation;

impl Simulation {
    /// Injects a fault at a step; returns whether the step still takes place now.
    pub(crate) fn inject(
        &mut self,
        kind: FaultKind,
        node: Option<NodeId>,
        event: Option<&Event>,
    ) -> bool {
        let now = self.queue.now();
        match (kind, event) {
            (FaultKind::Lost, Some(event)) => {
                self.lose_message(event);
                return false;
            }
            (FaultKind::Duplicated, Some(event)) => {
                self.queue.schedule(MESSAGE_LATENCY, event.clone());
            }
            (FaultKind::Delayed, Some(event)) => {
                self.lose_message(event);
                self.queue.schedule(MESSAGE_DELAY, event.clone());
                return false;
            }
            (FaultKind::Reordered, Some(event)) => {
                self.queue.schedule(REORDER_DELAY, event.clone());
                return false;
            }
            (FaultKind::SilentOneWay, Some(event)) => {
                self.silence(event, false);
                return false;
            }
            (FaultKind::SilentBothWays, Some(event)) => {
                self.silence(event, true);
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
                        self.queue.schedule(PROCESS_PAUSE, event.clone());
                    }
                    return false;
                }
            }
            (FaultKind::StoreDown, _) => self.store.health.go_down(now),
            (FaultKind::StoreSlow, _) => self.store.health.go_slow(now),
            (FaultKind::ResponseLost, Some(event)) => {
                self.lose_store_response(event);
                return false;
            }
            (FaultKind::EndpointCrash, _) => self.crash_endpoint(),
            _ => {}
        }
        true
    }

    /// Schedules what the entry detects when a message is lost.
    ///
    /// Links are reliable connections, so a message is lost only if its link is
    /// lost too.
    fn lose_message(&mut self, event: &Event) {
        match event {
            Event::ToAgent { to, reply_to, .. } => {
                self.schedule_link_loss(reply_to.entry, *to, reply_to.link)
            }
            Event::ToEntry { from, reply_to, .. } => {
                self.schedule_link_loss(reply_to.entry, *from, reply_to.link)
            }
            Event::Heartbeat {
                from, entry, link, ..
            } => self.schedule_link_loss(*entry, *from, *link),
            Event::LedgerRequest {
                from: client,
                incarnation,
                correlation_id,
                ..
            }
            | Event::LedgerResponse {
                to: client,
                incarnation,
                correlation_id,
                ..
            } => {
                let lost = Event::LedgerResponse {
                    to: *client,
                    incarnation: *incarnation,
                    correlation_id: *correlation_id,
                    reply: LedgerReply::NotOwner,
                };
                self.queue.schedule(LINK_TIMEOUT, lost);
            }
            _ => {}
        }
    }

    /// Loses a message and silences the link that its sender and receiver have now.
    ///
    /// That may be a newer link than the one that the message was sent on.
    fn silence(&mut self, event: &Event, both: bool) {
        match event {
            Event::ToAgent { to, reply_to, .. } => {
                self.silence_link(reply_to.entry, *to, true, both);
            }
            Event::ToEntry { from, reply_to, .. } => {
                self.silence_link(reply_to.entry, *from, false, both);
            }
            Event::Heartbeat { from, entry, .. } => self.silence_link(*entry, *from, false, both),
            _ => self.lose_message(event),
        }
    }

    /// Makes a link lose messages without an error, in one direction or both.
    ///
    /// The entry notices it whatever is sent on the link, since in production it gets no
    /// reply to its heartbeats on it.
    fn silence_link(&mut self, entry: usize, agent: usize, to_agent: bool, both: bool) {
        let link = &mut self.links[entry][agent];
        link.silent_to_agent |= to_agent || both;
        link.silent_to_entry |= !to_agent || both;
        let number = link.number;
        self.schedule_link_loss(entry, agent, number);
    }

    /// Kills a process and schedules its replacement.
    fn kill(&mut self, node: NodeId) {
        match node {
            NodeId::Entry(index) => self.kill_entry(index),
            NodeId::Agent(index) => self.kill_agent(index),
        }
        self.queue.schedule(REPLACE_DELAY, Event::Replace(node));
    }

    /// Pauses a process. Its links are lost: an entry detects that when it resumes,
    /// and the entries detect it for an agent after the link timeout.
    fn pause(&mut self, node: NodeId) {
        let now = self.queue.now();
        let until = Some(now + PROCESS_PAUSE);
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
                    self.queue.schedule(PROCESS_PAUSE, lost);
                }
            }
            NodeId::Agent(index) => {
                self.agents[index].paused_until = until;
                self.schedule_link_losses(index);
            }
        }
    }

    /// Executes a write but reports its result as unknown after the timeout.
    fn lose_store_response(&mut self, event: &Event) {
        if let Event::Store {
            entry,
            incarnation,
            op,
            name,
            call: StoreCall::Write(if_version, content),
        } = event
        {
            self.store.write(*name, *if_version, (**content).clone());
            let response = Event::StoreResponse {
                entry: *entry,
                incarnation: *incarnation,
                op: *op,
                response: StoreResponse::Write(WriteResult::Unknown),
            };
            self.queue.schedule(STORE_TIMEOUT, response);
        }
    }
}
