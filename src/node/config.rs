//! Shares the configuration in force among the tasks of this process.

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

/// Age of the last confirmation of the head beyond which the process is not ready.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(16);

/// A shared handle to the head in force, which notifies subscribers of a new head.
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

    /// Receives a head from the platform or a peer and adopts it if it is newer.
    pub fn update(&self, head: &Arc<Head>) -> HeadUpdate {
        let now = self.clock.now();
        let mut result = HeadUpdate::Outdated;
        self.state.send_if_modified(|state| {
            result = state.update(now, head);
            result == HeadUpdate::Adopted
        });
        match result {
            HeadUpdate::Adopted => {
                gauge!(TICKET_IN_FORCE).set(head.number.0 as f64);
                self.timeline.record(EventKind::TicketInForce(head.number));
            }
            HeadUpdate::Conflict => log::error!(
                "ticket {} was received with another history than the one in force; connect all \
                 processes to the same object service",
                head.number
            ),
            HeadUpdate::Confirmed | HeadUpdate::Outdated => {}
        }
        result
    }

    /// Compares the digest of a peer's heartbeat with the head in force.
    ///
    /// An equal digest confirms the head. Returns whether the peer has a newer head.
    pub fn compare_digest(&self, now: Instant, beat: &Heartbeat) -> bool {
        let mut newer = false;
        self.state.send_if_modified(|state| {
            newer = state.compare_digest(now, TicketNumber(beat.ticket), beat.tag);
            false
        });
        newer
    }

    /// Returns a copy of the state.
    pub fn state(&self) -> ConfigState {
        self.state.borrow().clone()
    }

    /// Returns the declared configuration; empty before the first head.
    pub fn fleet(&self) -> Arc<Fleet> {
        let state = self.state.borrow();
        state
            .head()
            .map(|head| Arc::clone(&head.fleet))
            .unwrap_or_default()
    }

    /// Returns whether the head was confirmed recently enough to serve requests.
    pub fn is_fresh(&self) -> bool {
        let now = self.clock.now();
        self.state.borrow().is_fresh(now, MAX_CONFIRMATION_AGE)
    }

    /// Returns a receiver that changes whenever a head comes into force.
    pub fn subscribe(&self) -> watch::Receiver<ConfigState> {
        self.state.subscribe()
    }
}
