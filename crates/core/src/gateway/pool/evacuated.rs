//! The part of the pool that keeps requests away from evacuated data centres.
//!
//! The load that it answers: the requests of several data centres for the runners of those
//! that are left, from the moment at which one is evacuated.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::gateway::Pool;
use crate::gateway::QueuedRequest;
use crate::gateway::pool::runner::Runner;
use crate::ids::PlaceId;

impl Pool {
    /// Replaces the set of evacuated data centres, whose runners get no requests from now
    /// on. Runners of those that were given back may have turned cold. Call
    /// [`dispatch_queued`](Self::dispatch_queued) afterwards.
    ///
    /// While requests wait, the completion rate shows how fast the runners empty the queue,
    /// so it is scaled to those that are left.
    pub fn set_evacuated(&mut self, now: Instant, places: &BTreeSet<PlaceId>) {
        if self.evacuated == *places {
            return;
        }
        let before = self.runners_in_use();
        let given_back: Vec<_> = self.evacuated.difference(places).cloned().collect();
        for place in &given_back {
            self.mark_cold(now, place);
        }
        self.evacuated.clone_from(places);
        self.mark_evacuated();
        let after = self.runners_in_use();
        if after < before && !self.queue.is_empty() {
            self.completion_rate.scale(after as f64 / before as f64);
        }
    }

    /// Returns the number of listed runners in a data centre, and of this entry's requests
    /// there.
    pub fn counts_in(&self, place: &PlaceId) -> (usize, u32) {
        let at_place = |runner: &&Runner| runner.listed.place == *place;
        let runners = self.runners.values().filter(at_place);
        let in_flight = runners.clone().map(Runner::in_flight).sum();
        let listed = runners.filter(|runner| !runner.is_unlisted);
        (listed.count(), in_flight)
    }

    /// Returns the number of listed runners that get no requests since their data centre is
    /// evacuated.
    pub fn evacuated_count(&self) -> usize {
        let is_listed = |runner: &&Runner| runner.is_evacuated && !runner.is_unlisted;
        self.runners.values().filter(is_listed).count()
    }

    /// Marks the runners that are in evacuated data centres.
    pub(super) fn mark_evacuated(&mut self) {
        for runner in self.runners.values_mut() {
            runner.is_evacuated = self.evacuated.contains(&runner.listed.place);
        }
    }

    /// Returns whether the runners that a request could still be sent to are all in
    /// evacuated data centres.
    pub(super) fn all_evacuated(&self, request: &QueuedRequest) -> bool {
        let is_candidate = |runner: &&Runner| {
            runner.is_listed_ready() && !request.excluded.contains(&runner.listed.id)
        };
        let mut candidates = self.runners.values().filter(is_candidate).peekable();
        candidates.peek().is_some() && candidates.all(|runner| runner.is_evacuated)
    }

    /// Returns the number of runners that may get requests.
    fn runners_in_use(&self) -> usize {
        let is_in_use = |runner: &&Runner| runner.is_listed_ready() && !runner.is_evacuated;
        self.runners.values().filter(is_in_use).count()
    }
}
