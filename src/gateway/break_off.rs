//! Why a stream that has begun cannot be continued.

use std::fmt;

use wisteriawick_core::gateway::RetryLimit;

use crate::gateway::exchange::Block;
use crate::gateway::slot_request::NoSlot;

/// Why a broken stream was not resumed at another runner.
#[derive(Clone, Copy, Debug)]
pub(crate) enum BreakReason {
    /// Its route does not resume streams.
    RouteNeverResumes,
    /// It broke before an event after which it could be resumed.
    NoEventYet,
    /// No further attempt is allowed.
    Limit(RetryLimit),
    /// The runner that was to resume it returned no stream.
    NoStream,
    /// It crashes runners.
    Blocked(Block),
    /// No runner had a free slot in time.
    NoSlot,
}

impl From<NoSlot> for BreakReason {
    fn from(no_slot: NoSlot) -> Self {
        match no_slot {
            NoSlot::Full { .. } => Self::NoSlot,
            NoSlot::Blocked(block) => Self::Blocked(block),
        }
    }
}

impl fmt::Display for BreakReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RouteNeverResumes => f.write_str("the route resumes no streams"),
            Self::NoEventYet => f.write_str("no event yet after which to resume"),
            Self::Limit(limit) => limit.fmt(f),
            Self::NoStream => f.write_str("the next runner returned no stream"),
            Self::Blocked(block) => write!(f, "crashes runners: {}", block.suspect),
            Self::NoSlot => f.write_str("no slot in time"),
        }
    }
}
