//! How faults strike: what becomes of the step that they are put at.

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
use crate::request_path::events::StoreAnswer;
use crate::request_path::events::StoreCall;
use crate::request_path::simulation::AGENTS;
use crate::request_path::simulation::HOP;
use crate::request_path::simulation::NOTICE;
use crate::request_path::simulation::Simulation;

impl Simulation {
    pub(crate) fn apply(
        &mut self,
        kind: FaultKind,
        node: Option<NodeId>,
        event: Option<&Event>,
    ) -> bool {
        let now = self.queue.now();
        match (kind, event) {
            (FaultKind::Lost, Some(event)) => {
                self.lose(event);
                return false;
            }
            (FaultKind::Duplicated, Some(event)) => {
                self.queue.schedule(HOP, event.clone());
            }
            (FaultKind::Delayed, Some(event)) => {
                self.lose(event);
                self.queue.schedule(MESSAGE_DELAY, event.clone());
                return false;
            }
            (FaultKind::Reordered, Some(event)) => {
                self.queue.schedule(REORDER_DELAY, event.clone());
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
                        self.queue.schedule(PROCESS_PAUSE, event.clone());
                    }
                    return false;
                }
            }
            (FaultKind::StoreDown, _) => self.store.health.go_down(now),
            (FaultKind::StoreSlow, _) => self.store.health.go_slow(now),
            (FaultKind::ResponseLost, Some(event)) => {
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
                from: asker,
                life,
                ticket,
                ..
            }
            | Event::LedgerAnswer {
                to: asker,
                life,
                ticket,
                ..
            } => {
                let lost = Event::LedgerAnswer {
                    to: *asker,
                    life: *life,
                    ticket: *ticket,
                    reply: LedgerReply::NotOwner,
                };
                self.queue.schedule(NOTICE, lost);
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

    fn kill(&mut self, node: NodeId) {
        match node {
            NodeId::Entry(index) => self.kill_entry(index),
            NodeId::Agent(index) => self.kill_agent(index),
        }
        self.queue.schedule(REPLACE_DELAY, Event::Replace(node));
    }

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
                self.break_links_of(index);
            }
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
            self.queue.schedule(STORE_TIMEOUT, answer);
        }
    }
}
