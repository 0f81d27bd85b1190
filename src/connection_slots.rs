//! A bound on the connections that a listener serves at a time.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use metrics::counter;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::collections::HashMap;
use wisteriawick_core::gateway::ConnectionId;
use wisteriawick_core::gateway::ConnectionPhase;
use wisteriawick_core::gateway::ConnectionTable;
use wisteriawick_core::gateway::Entrance;

use crate::telemetry;

/// Who gives way when a listener has as many connections as it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GiveWay {
    /// The oldest that is not busy; nobody if all are.
    Waiting,
    /// As [`Waiting`](Self::Waiting); if all are busy, the oldest of the peer with most.
    Anyone,
}

/// The connections of a listener.
#[derive(Debug)]
pub(crate) struct ConnectionSlots {
    give_way: GiveWay,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    table: ConnectionTable,
    closing: HashMap<ConnectionId, CancellationToken>,
    /// Most connections at a time so far.
    peak: usize,
}

/// The place of one connection, which is free again when this is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionSlot {
    slots: Arc<ConnectionSlots>,
    id: ConnectionId,
    closing: CancellationToken,
}

impl ConnectionSlots {
    /// Returns places for this many connections.
    pub(crate) fn new(max: usize, give_way: GiveWay) -> Arc<Self> {
        Arc::new(Self {
            give_way,
            inner: Mutex::new(Inner {
                table: ConnectionTable::new(max),
                closing: HashMap::default(),
                peak: 0,
            }),
        })
    }

    /// Returns a place for a new connection, whose predecessor there is told to close;
    /// `None` if nobody gives way.
    pub(crate) fn enter(self: &Arc<Self>, peer: IpAddr) -> Option<ConnectionSlot> {
        let mut inner = self.lock();
        let now = Instant::now();
        let entrance = match self.give_way {
            GiveWay::Waiting => inner.table.enter(now, peer),
            GiveWay::Anyone => inner.table.enter_link(now, peer),
        };
        let (id, reason) = match entrance {
            Entrance::Open(id) => (Some(id), None),
            Entrance::Instead(id, previous) => {
                if let Some(closing) = inner.closing.remove(&previous) {
                    closing.cancel();
                }
                (Some(id), Some("gave way"))
            }
            Entrance::Full => (None, Some("all busy")),
        };
        if let Some(reason) = reason {
            counter!(telemetry::CONNECTIONS_CLOSED, "reason" => reason).increment(1);
        }
        let id = id?;
        let closing = CancellationToken::new();
        inner.closing.insert(id, closing.clone());
        inner.peak = inner.peak.max(inner.table.count());
        Some(ConnectionSlot {
            slots: Arc::clone(self),
            id,
            closing,
        })
    }

    /// Lets a connection that gave way close before the next one is accepted. Returns at once
    /// while there is room.
    pub(crate) async fn let_close(&self) {
        let is_full = self.lock().table.is_full();
        if is_full {
            tokio::task::yield_now().await;
        }
    }

    /// Returns the number of connections.
    pub(crate) fn count(&self) -> usize {
        self.lock().table.count()
    }

    /// Returns the most connections that there have been at a time.
    pub(crate) fn peak(&self) -> usize {
        self.lock().peak
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }
}

impl ConnectionSlot {
    /// Records how far the connection is.
    pub(crate) fn set_phase(&self, phase: ConnectionPhase) {
        let mut inner = self.slots.lock();
        inner.table.set_phase(Instant::now(), self.id, phase);
    }

    /// Returns a token that is cancelled when the connection must close.
    pub(crate) fn closing(&self) -> &CancellationToken {
        &self.closing
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut inner = self.slots.lock();
        inner.table.leave(self.id);
        inner.closing.remove(&self.id);
    }
}
