//! What a runner says of its load.

use std::sync::Arc;
use std::time::Duration;

/// Load of a runner, from its own report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the runner.
    pub waiting: u32,
    /// Speed: one is normal, more is slower.
    pub slowdown: f64,
    /// Its group; `None` for runners that work alone.
    pub group: Option<GroupReport>,
}

/// State of a lock-step group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupReport {
    /// Name of the group.
    pub name: Arc<str>,
    /// Whether all ranks are there.
    pub is_open: bool,
    /// Time of a pass of late; zero while none is known.
    pub pass_time: Duration,
}
