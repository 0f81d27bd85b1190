//! Limits on the requests at a runner and in the queue.

use std::time::Duration;

use crate::gateway::LoadReport;

/// Minimum number of concurrent requests at a runner of a slow group, so that
/// the group's speed stays known and its recovery is noticed.
const MIN_REQUESTS_PER_RUNNER: u32 = 3;

/// Limits of one service's pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimits {
    /// Maximum number of requests at one runner, counting all entries' requests
    /// in its load reports.
    pub max_per_runner: u32,
    /// Maximum number of this entry's own requests at a runner without a recent
    /// load report, since the other entries' requests are then unknown.
    pub max_without_report: u32,
    /// Whether runners form groups, whose ranks all refuse requests together.
    pub has_groups: bool,
    /// Longest pass that keeps streams on time; `None` for services without
    /// streams. Slower groups get fewer concurrent requests.
    pub max_pass_time: Option<Duration>,
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// Share of the time until its deadline that a request may be queued.
    pub max_wait_share: f64,
}

impl PoolLimits {
    /// Returns the maximum number of requests at a runner, given the pass time of
    /// its group.
    ///
    /// When the popularity of experts shifts or a group is lost, passes take
    /// several times as long and each additional request makes all streams late.
    /// With fewer concurrent requests, the running ones stay on time.
    pub(super) fn at_pass_time(&self, load: &LoadReport) -> u32 {
        let pass_time = load
            .group
            .as_ref()
            .map_or(Duration::ZERO, |group| group.pass_time);
        let Some(max_pass_time) = self.max_pass_time.filter(|max| pass_time > *max) else {
            return self.max_per_runner;
        };
        let share = max_pass_time.as_secs_f64() / pass_time.as_secs_f64();
        let limit = (f64::from(self.max_per_runner) * share).round() as u32;
        limit.clamp(
            MIN_REQUESTS_PER_RUNNER.min(self.max_per_runner),
            self.max_per_runner,
        )
    }
}
