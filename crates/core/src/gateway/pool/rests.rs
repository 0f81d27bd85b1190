//! The part of the pool that leaves runners alone that have asked for it.

use std::time::Duration;
use std::time::Instant;

use crate::gateway::Pool;
use crate::gateway::QueuedRequest;
use crate::gateway::pool::runner::Runner;
use crate::hosting::ListedRunner;

impl Pool {
    /// Records that a runner wants no request for a time. The time does not get shorter.
    pub fn rest(&mut self, now: Instant, runner: &ListedRunner, rest: Duration) {
        if let Some(known) = self.same_start(runner) {
            known.resting_until = known.resting_until.max(Some(now + rest));
        }
    }

    /// Returns the number of runners that want no request now.
    pub fn resting_count(&self, now: Instant) -> usize {
        let is_resting = |runner: &&Runner| runner.rest_left(now).is_some();
        self.runners.values().filter(is_resting).count()
    }

    /// Returns how long all runners that a request could be sent to want none; `None` if
    /// one of them does not rest.
    pub(super) fn all_rest(&self, now: Instant, request: &QueuedRequest) -> Option<Duration> {
        let mut shortest: Option<Duration> = None;
        for runner in self.runners.values() {
            let is_candidate = runner.is_listed_ready()
                && !runner.is_evacuated
                && !request.excluded.contains(&runner.listed.id);
            if is_candidate {
                let left = runner.rest_left(now)?;
                shortest = Some(shortest.map_or(left, |shortest| shortest.min(left)));
            }
        }
        shortest
    }
}
