//! How much a runner and the queue may hold.

use std::time::Duration;

use crate::gateway::LoadReport;

/// Requests that a runner of a slow group still gets, so that its pace is
/// known and it comes back.
const MIN_PER_RUNNER: u32 = 3;

/// Limits of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimits {
    /// Requests of all entries that one runner holds at most, as far as its
    /// reports tell.
    pub max_per_runner: u32,
    /// Requests of this entry that one runner holds at most while no report
    /// tells what others send it.
    pub max_without_report: u32,
    /// Whether runners work in groups, all of whose ranks refuse together.
    pub has_groups: bool,
    /// Longest pass with which streams stay on time; `None` for services
    /// without streams. Slower groups get fewer requests at once.
    pub max_pass_time: Option<Duration>,
    /// Requests that wait at most.
    pub max_queued: usize,
    /// Share of the time until the deadline that a request may wait.
    pub max_wait_share: f64,
}

impl PoolLimits {
    /// Returns how many requests a runner may hold at its group's pace.
    ///
    /// The load it answers: popularity shifts or a group is lost, passes take
    /// several times as long, and every further request makes all streams
    /// late. With fewer at once those that run stay on time.
    pub(super) fn at_pass_time(&self, load: &LoadReport) -> u32 {
        let pass_time = load
            .group
            .as_ref()
            .map_or(Duration::ZERO, |group| group.pass_time);
        let Some(max_pass_time) = self
            .max_pass_time
            .filter(|max_pass_time| pass_time > *max_pass_time)
        else {
            return self.max_per_runner;
        };
        let share = max_pass_time.as_secs_f64() / pass_time.as_secs_f64();
        let limit = (f64::from(self.max_per_runner) * share).round() as u32;
        limit.clamp(MIN_PER_RUNNER.min(self.max_per_runner), self.max_per_runner)
    }
}
