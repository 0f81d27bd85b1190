//! The load of a group, which its leader publishes for entries.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::rank::wire::LoadWire;

/// The load of a group and the addresses of its runners.
#[derive(Clone, Debug)]
pub(crate) struct GroupLoad {
    /// Whether all ranks have joined the group.
    pub(crate) is_open: bool,
    /// Recent time of a pass, in microseconds; zero as long as none is known.
    pub(crate) pass_us: u32,
    /// Addresses of the runners by rank; `None` for unknown ones.
    pub(crate) runners: Arc<[Option<SocketAddr>]>,
    /// The load of each rank.
    pub(crate) ranks: Vec<LoadWire>,
}
