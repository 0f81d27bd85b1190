//! How much a runner and the queue may hold.

use std::time::Duration;

use crate::gateway::LoadReport;

/// Requests that a runner of a slow group still gets, so that its pace is
/// known and it comes back.
const LEAST_ROOM: u32 = 3;

/// Limits of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimits {
    /// Requests of all entries that one runner holds at most, as far as its
    /// reports tell.
    pub per_runner: u32,
    /// Requests of this entry that one runner holds at most while no report
    /// tells what others send it.
    pub unreported: u32,
    /// Whether runners work in groups, all of whose ranks refuse together.
    pub in_groups: bool,
    /// Longest pass with which streams stay on time; `None` for services
    /// without streams. Slower groups get fewer requests at once.
    pub longest_pass: Option<Duration>,
    /// Requests that wait at most.
    pub waiting: usize,
    /// Share of the time until the deadline that a request may wait.
    pub wait_share: f64,
}

impl PoolLimits {
    /// Returns how many requests a runner may hold at its group's pace.
    ///
    /// The load it answers: popularity shifts or a group is lost, passes take
    /// several times as long, and every further request makes all streams
    /// late. With fewer at once those that run stay on time.
    pub(super) fn at_pace(&self, load: &LoadReport) -> u32 {
        let pass = load
            .group
            .as_ref()
            .map_or(Duration::ZERO, |group| group.pass);
        let Some(longest) = self.longest_pass.filter(|longest| pass > *longest) else {
            return self.per_runner;
        };
        let share = longest.as_secs_f64() / pass.as_secs_f64();
        let limit = (f64::from(self.per_runner) * share).round() as u32;
        limit.clamp(LEAST_ROOM.min(self.per_runner), self.per_runner)
    }
}
