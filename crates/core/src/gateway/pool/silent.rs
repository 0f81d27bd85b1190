//! The part of the pool for runners whose group is unknown, since no agent reports on them.

use std::time::Duration;
use std::time::Instant;

use crate::gateway::Pool;
use crate::gateway::pool::Exclusions;
use crate::gateway::pool::runner::Runner;
use crate::gateway::silent_runners::DoubtedRequests;
use crate::gateway::silent_runners::Standing;
use crate::ids::RunnerId;

/// Age up to which a part of a response shows that a runner that refuses is full and not
/// closed. A slow pass takes a quarter of a second.
const MAX_PROGRESS_AGE: Duration = Duration::from_millis(400);

/// The doubt about runners of unknown group.
#[derive(Clone, Copy, Debug)]
pub(super) struct Doubted {
    since: Instant,
    requests: DoubtedRequests,
}

impl Pool {
    /// Returns the number of runners that may be closed, as far as refusals show.
    pub fn doubted_count(&self, now: Instant) -> usize {
        let Some(since) = self.doubt.since(now) else {
            return 0;
        };
        let is_doubted = |runner: &&Runner| runner.bound.standing(since) != Standing::Heard;
        self.runners_of_unknown_group().filter(is_doubted).count()
    }

    /// Takes in that a runner of unknown group refused a request.
    pub(super) fn back_off_silent(&mut self, now: Instant, id: &RunnerId) {
        let since = self.doubt.since(now).unwrap_or(now);
        let mut requests = self.doubted_requests(since);
        let Some(runner) = self.runners.get_mut(id) else {
            return;
        };
        let progress = now.checked_sub(MAX_PROGRESS_AGE).unwrap_or(now);
        if runner.in_flight() > 0 && runner.bound.is_heard_since(progress) {
            runner.bound.was_full(now, &self.limits);
            return;
        }
        let standing = runner.bound.standing(since);
        runner.bound.refused(now, &self.limits);
        // The request that was refused has ended already.
        match standing {
            Standing::Heard => {}
            Standing::Unheard => requests.unheard += 1,
            Standing::Refusing => requests.refusing += 1,
        }
        self.doubt.refused(now, id, standing, &requests);
    }

    /// Takes in that a runner began a response.
    pub(super) fn silent_runner_responded(&mut self, now: Instant, id: &RunnerId) {
        let Some(runner) = self.runners.get_mut(id) else {
            return;
        };
        if runner.group().is_none() {
            let since = self.doubt.since(now).unwrap_or(now);
            self.doubt.response_began(runner.bound.standing(since));
        }
        let in_flight = runner.in_flight();
        runner.bound.response_began(now, in_flight, &self.limits);
    }

    /// Returns the doubt about runners of unknown group, if there is one.
    pub(super) fn doubted(&self, now: Instant) -> Option<Doubted> {
        let since = self.doubt.since(now)?;
        Some(Doubted {
            since,
            requests: self.doubted_requests(since),
        })
    }

    fn doubted_requests(&self, since: Instant) -> DoubtedRequests {
        let mut requests = DoubtedRequests::default();
        for runner in self.runners_of_unknown_group() {
            match runner.bound.standing(since) {
                Standing::Heard => {}
                Standing::Unheard => requests.unheard += runner.in_flight(),
                Standing::Refusing => requests.refusing += runner.in_flight(),
            }
        }
        requests
    }

    fn runners_of_unknown_group(&self) -> impl Iterator<Item = &Runner> {
        let is_unknown = |runner: &&Runner| runner.group().is_none();
        self.runners.values().filter(is_unknown)
    }

    /// Returns whether a request may be sent to a runner, as far as that depends on what
    /// its own responses show.
    pub(super) fn silent_runner_may_be_tried(
        &self,
        now: Instant,
        runner: &Runner,
        exclusions: &Exclusions,
    ) -> bool {
        if runner.group().is_some() {
            return true;
        }
        let Some(doubted) = &exclusions.doubted else {
            return !runner.bound.is_refusing(now);
        };
        let standing = runner.bound.standing(doubted.since);
        match standing {
            Standing::Heard => !runner.bound.is_refusing(now),
            Standing::Unheard | Standing::Refusing => {
                let mut responding = exclusions.responding_groups.iter();
                let groups_respond = responding.any(Option::is_some);
                self.doubt
                    .allows(now, standing, &doubted.requests, groups_respond)
            }
        }
    }
}
