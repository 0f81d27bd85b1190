//! A bound on the connections of a listener.

use std::net::IpAddr;
use std::time::Instant;

use crate::collections::HashMap;

/// Identifies a connection within its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// How far a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPhase {
    /// It has not sent a whole head yet.
    Opening,
    /// It waits for a further request.
    Idle,
    /// A request is under way, or it is a link that is served.
    Busy,
}

/// Whether a new connection is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entrance {
    /// There is room.
    Open(ConnectionId),
    /// There is room when this other one is closed.
    Instead(ConnectionId, ConnectionId),
    /// All others are busy.
    Full,
}

#[derive(Debug)]
struct Connection {
    peer: IpAddr,
    phase: ConnectionPhase,
    since: Instant,
}

/// The open connections of a listener, up to a bound.
///
/// It answers the load of clients that open connections without using them: when the
/// table is full, those that have sent no request give way first, then idle ones, the
/// oldest first.
#[derive(Debug)]
pub struct ConnectionTable {
    max: usize,
    open: HashMap<ConnectionId, Connection>,
    next_id: u64,
}

impl ConnectionTable {
    /// Returns a table for at most this many connections.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            open: HashMap::default(),
            next_id: 0,
        }
    }

    /// Adds a connection if there is room for it. One that gives way is removed.
    pub fn enter(&mut self, now: Instant, peer: IpAddr) -> Entrance {
        if self.open.len() < self.max {
            return Entrance::Open(self.insert(now, peer));
        }
        let waiting = self
            .open
            .iter()
            .filter(|(_, connection)| connection.phase != ConnectionPhase::Busy)
            .min_by_key(|(id, connection)| (connection.phase, connection.since, **id));
        match waiting.map(|(id, _)| *id) {
            Some(id) => {
                self.open.remove(&id);
                Entrance::Instead(self.insert(now, peer), id)
            }
            None => Entrance::Full,
        }
    }

    /// As [`enter`](Self::enter), for links, which stay busy: the peer with the most links
    /// gives way with its oldest one.
    pub fn enter_link(&mut self, now: Instant, peer: IpAddr) -> Entrance {
        match self.enter(now, peer) {
            Entrance::Full => {}
            entrance => return entrance,
        }
        let mut counts: HashMap<IpAddr, usize> = HashMap::default();
        for connection in self.open.values() {
            *counts.entry(connection.peer).or_default() += 1;
        }
        let most = counts
            .into_iter()
            .max_by_key(|(peer, count)| (*count, *peer));
        let oldest = most.and_then(|(peer, _)| {
            let links = self.open.iter().filter(|(_, link)| link.peer == peer);
            links.min_by_key(|(id, _)| **id).map(|(id, _)| *id)
        });
        match oldest {
            Some(id) => {
                self.open.remove(&id);
                Entrance::Instead(self.insert(now, peer), id)
            }
            None => Entrance::Full,
        }
    }

    fn insert(&mut self, now: Instant, peer: IpAddr) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let connection = Connection {
            peer,
            phase: ConnectionPhase::Opening,
            since: now,
        };
        self.open.insert(id, connection);
        id
    }

    /// Records how far a connection is.
    pub fn set_phase(&mut self, now: Instant, id: ConnectionId, phase: ConnectionPhase) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.phase = phase;
            connection.since = now;
        }
    }

    /// Removes a connection that has ended.
    pub fn leave(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }

    /// Returns whether a new connection gets the place of another one, or none.
    pub fn is_full(&self) -> bool {
        self.open.len() >= self.max
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }
}
