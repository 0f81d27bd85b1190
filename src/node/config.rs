//! The tickets in force in this process.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use metrics::gauge;
use tokio::sync::watch;
use wisteriawick_core::event::EventKind;
use wisteriawick_core::fleet::Fleet;
use wisteriawick_core::ids::TicketNumber;
use wisteriawick_core::ticket::ConfigState;
use wisteriawick_core::ticket::Head;
use wisteriawick_core::ticket::HeadUpdate;
use wisteriawick_core::time::SharedClock;

use crate::link::Heartbeat;
use crate::telemetry::TICKET_IN_FORCE;
use crate::timeline::Timeline;

/// Age of the last confirmation beyond which a process is not ready.
const CONFIRMATION_BOUND: Duration = Duration::from_secs(16);

/// A handle to the book of tickets; changes reach every subscriber.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    state: Arc<watch::Sender<ConfigState>>,
    timeline: Timeline,
    clock: SharedClock,
}

impl ConfigStore {
    pub(crate) fn new(timeline: Timeline, clock: SharedClock) -> Self {
        Self {
            state: Arc::new(watch::Sender::new(ConfigState::new())),
            timeline,
            clock,
        }
    }

    /// Takes a head from the platform or a peer.
    pub fn update(&self, head: &Arc<Head>) -> HeadUpdate {
        let now = self.clock.now();
        let mut adoption = HeadUpdate::Outdated;
        self.state.send_if_modified(|state| {
            adoption = state.update(now, head);
            adoption == HeadUpdate::Adopted
        });
        match adoption {
            HeadUpdate::Adopted => {
                gauge!(TICKET_IN_FORCE).set(head.number.0 as f64);
                self.timeline.record(EventKind::TicketInForce(head.number));
            }
            HeadUpdate::Conflict => log::error!(
                "ticket {} is in force here with another history; keep one object service for all",
                head.number
            ),
            HeadUpdate::Confirmed | HeadUpdate::Outdated => {}
        }
        adoption
    }

    /// Takes the digest of a heartbeat; returns whether the peer has a newer head.
    pub fn compare_digest(&self, now: Instant, beat: &Heartbeat) -> bool {
        let mut newer = false;
        self.state.send_if_modified(|state| {
            newer = state.compare_digest(now, TicketNumber(beat.ticket), beat.tag);
            false
        });
        newer
    }

    /// Returns a copy of the book.
    pub fn state(&self) -> ConfigState {
        self.state.borrow().clone()
    }

    /// Returns what the operators declared; empty before the first head.
    pub fn fleet(&self) -> Arc<Fleet> {
        let state = self.state.borrow();
        state
            .head()
            .map(|head| Arc::clone(&head.fleet))
            .unwrap_or_default()
    }

    /// Returns whether the process may serve by what is in force.
    pub fn is_fresh(&self) -> bool {
        let now = self.clock.now();
        self.state.borrow().is_fresh(now, CONFIRMATION_BOUND)
    }

    /// Returns a receiver that changes whenever a head comes into force.
    pub fn subscribe(&self) -> watch::Receiver<ConfigState> {
        self.state.subscribe()
    }
}
