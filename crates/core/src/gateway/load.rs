//! The load that a runner reports.

use std::sync::Arc;
use std::time::Duration;

/// Load of a runner as it reports it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that the runner is executing.
    pub running: u32,
    /// Requests queued at the runner.
    pub waiting: u32,
    /// Factor by which the runner is slower than normal: 1.0 is normal speed.
    pub slowdown: f64,
    /// The runner's group; `None` for runners that work alone.
    pub group: Option<GroupReport>,
}

/// State of a group of runners (ranks) that process each pass in lockstep.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupReport {
    /// Name of the group.
    pub name: Arc<str>,
    /// Whether all ranks of the group are present, so that it executes requests.
    pub is_open: bool,
    /// Recent duration of a pass; zero while none is known.
    pub pass_time: Duration,
}
