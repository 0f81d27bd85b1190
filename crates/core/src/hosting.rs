//! What a process learns from the place that hosts it: its own addresses, its
//! share of the machine and the bounds it must keep.
//!
//! These are decoded by an adapter. They are not the settings of a fleet that
//! wisteriawick's own files describe.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::PlaceId;
use crate::ids::ProcessId;
use crate::ids::RunnerId;
use crate::ids::ServiceId;

/// Settings of a hosted process.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of the process.
    pub name: ProcessId,
    /// Data centre it runs in.
    pub place: PlaceId,
    /// Its own address, the same for all of its ports.
    pub ip: IpAddr,
    /// Ports for links between processes: first and last.
    pub link_ports: (u16, u16),
    /// Where callers connect; entries have one.
    pub callers: Option<SocketAddr>,
    /// Where the balancer asks whether the process takes callers.
    pub readiness: Option<SocketAddr>,
    /// The runner beside the process; agents have one.
    pub runner: Option<SocketAddr>,
    /// Service of the runner beside the process.
    pub service: Option<ServiceId>,
    /// Address of the object store.
    pub store: SocketAddr,
    /// Bounds that the process must keep.
    pub bounds: Bounds,
}

/// Bounds that hold for all processes of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Repeats allowed for each request in a window, as a share.
    pub retry_budget_ratio: f64,
    /// Repeats allowed in a window besides the share, over all entries.
    pub retry_budget_extra: u32,
    /// Length of that window.
    pub retry_window: Duration,
    /// Time between a request to stop and the end of the process.
    pub grace: Duration,
}

/// State of a runner as its platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// A runner as its platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRunner {
    /// Its identifier; a restarted runner may keep it.
    pub id: RunnerId,
    /// Its service.
    pub service: ServiceId,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its data centre.
    pub place: PlaceId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: ListedState,
    /// How much longer it is slow after its start.
    pub cold_remaining: Duration,
    /// Unix milliseconds of its start, where it says so; tells a restarted
    /// runner from the one before it.
    pub started_unix_ms: Option<u64>,
}
