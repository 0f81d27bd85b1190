//! What a runner says of its load.

/// Load of a runner, from its own report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the runner.
    pub waiting: u32,
    /// Speed: one is normal, more is slower.
    pub pace: f64,
    /// Whether its group is open; `None` for runners without a group.
    pub group_open: Option<bool>,
}
