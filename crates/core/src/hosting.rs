//! What a process learns from the platform that hosts it: its settings and the
//! runners.
//!
//! The `platform` crate decodes these types from the platform's formats, so that the
//! rest of the code is independent of them. They are separate from the settings and
//! tickets by which wisteriawick describes a fleet of its own (see
//! [`fleet`](crate::fleet)).

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::PlaceId;
use crate::ids::ProcessId;
use crate::ids::RunnerId;
use crate::ids::ServiceId;

/// The settings that the platform gives to a process.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// The name of the process.
    pub name: ProcessId,
    /// The data centre it runs in.
    pub place: PlaceId,
    /// Its own IP address, the same for all of its ports.
    pub ip: IpAddr,
    /// The first and the last port for links between processes.
    pub link_ports: (u16, u16),
    /// The address on which the process listens for callers; set for entries.
    pub callers: Option<SocketAddr>,
    /// The address on which the process listens for readiness checks, by which the
    /// platform's own balancer finds out whether it accepts callers.
    pub readiness: Option<SocketAddr>,
    /// The address of the runner beside the process; set for agents.
    pub runner: Option<SocketAddr>,
    /// The service of the runner beside the process; set for agents.
    pub service: Option<ServiceId>,
    /// The address of the platform's object store.
    pub store: SocketAddr,
    /// The rate of the machine's network link; `None` if the platform states none.
    pub link_rate: Option<LinkRate>,
    /// What the machine gives to the process.
    pub resources: Resources,
    /// Limits that the process must keep.
    pub bounds: Bounds,
}

/// The rate of a machine's network link, in one direction.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct LinkRate {
    bytes_per_second: f64,
}

impl LinkRate {
    /// Returns a rate in bytes per second; `None` unless it is a number above zero.
    pub fn new(bytes_per_second: f64) -> Option<Self> {
        (bytes_per_second.is_finite() && bytes_per_second > 0.0)
            .then_some(Self { bytes_per_second })
    }

    /// Returns the rate in bytes per second.
    pub fn bytes_per_second(self) -> f64 {
        self.bytes_per_second
    }
}

/// What a machine gives to one process; `None` if the platform states nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Most memory that the process may occupy, in bytes. It is killed beyond that.
    pub memory_bytes: Option<u64>,
    /// Most descriptors that it may have open.
    pub max_descriptors: Option<u32>,
    /// Its share of processor time, in cores.
    pub cores: Option<f64>,
}

/// How far requests may exceed the rate that a cold runner bears, in any second and over
/// all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// Multiple of the rate.
    pub factor: f64,
    /// Requests in addition.
    pub extra: f64,
}

/// Limits that are the same for all processes of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Retries that are allowed in a window, as a ratio of the requests in it.
    pub retry_budget_ratio: f64,
    /// Retries that are allowed in a window in addition, by all entries together.
    pub retry_budget_extra: f64,
    /// Length of the window.
    pub retry_window: Duration,
    /// Time between the signal to stop and the end of the process.
    pub grace: Duration,
    /// Time within which the evacuation of a data centre must be in force; `None` where
    /// operators evacuate none.
    pub evacuation: Option<Duration>,
    /// What cold runners bear beyond their rate; `None` where it is not limited.
    pub cold_allowance: Option<ColdAllowance>,
}

/// Number of times that the platform's store was restored from an older copy. It
/// grows with each restore; zero if the store does not state it.
///
/// Writes made after the copy was taken are gone in the new era, and the store gives
/// out their revisions again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Revision of the platform's whole store, which grows with every change within an era.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// A revision together with its era. Revisions of different eras are unrelated; a position
/// of a later era is the greater one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era that gave out the revision.
    pub era: Era,
    /// Revision within the era.
    pub revision: Revision,
}

/// The state of a runner in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It takes new requests.
    Ready,
    /// It finishes its requests and takes no new ones.
    Leaving,
}

/// A runner in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRunner {
    /// Its identifier, which it may keep when it restarts.
    pub id: RunnerId,
    /// The service whose requests it runs.
    pub service: ServiceId,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub place: PlaceId,
    /// Number of requests that it can run at the same time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ListedState,
    /// How long it will remain slow after its start, while it warms up.
    pub cold_remaining: Duration,
    /// Number of its heartbeats, if the platform states it. It may lag behind: a
    /// heartbeat alone is no change of the list.
    pub sequence: Option<u64>,
    /// Time of its start in Unix milliseconds, if the platform states it; distinguishes
    /// a restarted runner from the one before.
    pub started_unix_ms: Option<u64>,
}
