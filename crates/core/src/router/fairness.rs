//! Fair queueing between workspaces by estimated tokens.
//!
//! Start-time fair queueing: each workspace's next request starts where its
//! last one ended on a common virtual clock, scaled by its weight. A workspace
//! that was idle starts at the present, so it can neither save up credit nor
//! be made to pay for others.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Instant;

use crate::ids::WorkspaceId;
use crate::router::Request;
use crate::router::RequestId;

/// Virtual time units for one token at weight one.
const UNITS_PER_TOKEN: u64 = 1024;

#[derive(Debug)]
struct Waiting {
    request: Request,
    /// Virtual time at which it may start.
    start: u64,
}

#[derive(Debug, Default)]
struct Lane {
    /// Virtual time at which the last admitted request ends.
    finish: u64,
    /// Oldest first; starts never decrease.
    waiting: VecDeque<Waiting>,
    weight: u32,
}

/// Requests that wait for a runner, one lane a workspace.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: BTreeMap<WorkspaceId, Lane>,
    /// Virtual time; never decreases.
    now: u64,
    len: usize,
}

impl FairQueue {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request at the end of its workspace's lane.
    pub fn push(&mut self, request: Request, weight: u32) {
        let weight = weight.max(1);
        let lane = self.lanes.entry(request.workspace.clone()).or_default();
        lane.weight = weight;
        let start = lane.finish.max(self.now);
        let cost = u64::from(request.cost_tokens.max(1)) * UNITS_PER_TOKEN;
        lane.finish = start + cost / u64::from(weight);
        lane.waiting.push_back(Waiting { request, start });
        self.len += 1;
    }

    /// Puts a request back in front; it was already charged.
    pub fn push_front(&mut self, request: Request) {
        let lane = self.lanes.entry(request.workspace.clone()).or_default();
        let start = self
            .now
            .min(lane.waiting.front().map_or(self.now, |w| w.start));
        lane.waiting.push_front(Waiting { request, start });
        self.len += 1;
    }

    /// Takes the request with the earliest start among those that `fits` accepts.
    ///
    /// Only the first of each lane is considered, so order within a workspace holds.
    pub fn pop(&mut self, mut fits: impl FnMut(&Request) -> bool) -> Option<Request> {
        let mut order: Vec<(u64, WorkspaceId)> = self
            .lanes
            .iter()
            .filter_map(|(id, lane)| lane.waiting.front().map(|w| (w.start, id.clone())))
            .collect();
        order.sort();
        for (start, id) in order {
            let Some(lane) = self.lanes.get_mut(&id) else {
                continue;
            };
            let accepted = lane.waiting.front().is_some_and(|w| fits(&w.request));
            if !accepted {
                continue;
            }
            self.now = self.now.max(start);
            let waiting = lane.waiting.pop_front();
            self.len -= 1;
            self.drop_idle_lanes();
            return waiting.map(|w| w.request);
        }
        None
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        for lane in self.lanes.values_mut() {
            let found = lane.waiting.iter().position(|w| w.request.id == id);
            if let Some(waiting) = found.and_then(|index| lane.waiting.remove(index)) {
                self.len -= 1;
                return Some(waiting.request);
            }
        }
        None
    }

    /// Removes every request whose deadline is not after `now`.
    pub fn expire(&mut self, now: Instant) -> Vec<Request> {
        let mut expired = Vec::new();
        for lane in self.lanes.values_mut() {
            let (late, kept): (VecDeque<_>, VecDeque<_>) = lane
                .waiting
                .drain(..)
                .partition(|w| w.request.deadline <= now);
            lane.waiting = kept;
            expired.extend(late.into_iter().map(|w| w.request));
        }
        self.len -= expired.len();
        expired
    }

    /// Returns the earliest deadline of a waiting request.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.lanes
            .values()
            .flat_map(|lane| lane.waiting.iter())
            .map(|w| w.request.deadline)
            .min()
    }

    /// Removes the request with the least claim to its place: the newest of
    /// the lowest priority class, in the lane that is furthest ahead of its share.
    pub fn shed(&mut self) -> Option<Request> {
        let lowest = self
            .lanes
            .values()
            .flat_map(|lane| lane.waiting.iter())
            .map(|w| w.request.priority)
            .min()?;
        let lane = self
            .lanes
            .values_mut()
            .filter(|lane| lane.waiting.iter().any(|w| w.request.priority == lowest))
            .max_by_key(|lane| lane.finish)?;
        let index = lane
            .waiting
            .iter()
            .rposition(|w| w.request.priority == lowest)?;
        let waiting = lane.waiting.remove(index)?;
        let cost = u64::from(waiting.request.cost_tokens.max(1)) * UNITS_PER_TOKEN;
        lane.finish = lane
            .finish
            .saturating_sub(cost / u64::from(lane.weight.max(1)));
        self.len -= 1;
        Some(waiting.request)
    }

    fn drop_idle_lanes(&mut self) {
        let now = self.now;
        self.lanes
            .retain(|_, lane| !lane.waiting.is_empty() || lane.finish > now);
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;
    use std::time::Instant;

    use super::FairQueue;
    use crate::ids::Fingerprint;
    use crate::router::Request;
    use crate::router::RequestId;
    use crate::router::RetryRule;

    fn request(id: u64, workspace: &str, cost_tokens: u32, now: Instant) -> Request {
        Request {
            id: RequestId(id),
            workspace: workspace.into(),
            cost_tokens,
            priority: 0,
            deadline: now + Duration::from_secs(id),
            retry: RetryRule::Never,
            prefix: Vec::new(),
            fingerprint: Fingerprint(0),
            excluded: Vec::new(),
        }
    }

    #[test]
    fn a_small_workspace_does_not_wait_behind_a_large_one() {
        let now = Instant::now();
        let mut queue = FairQueue::default();
        for id in 0..100 {
            queue.push(request(id, "large", 100, now), 1);
        }
        queue.push(request(100, "small", 100, now), 1);
        let position = (0..)
            .map(|_| queue.pop(|_| true).expect("not empty"))
            .position(|r| r.workspace == "small".into());
        assert!(position <= Some(1), "{position:?}");
    }

    #[test]
    fn shares_follow_weights() {
        let now = Instant::now();
        let mut queue = FairQueue::default();
        for id in 0..200 {
            queue.push(request(id, "heavy", 100, now), 3);
            queue.push(request(1_000 + id, "light", 100, now), 1);
        }
        let heavy = (0..100)
            .filter_map(|_| queue.pop(|_| true))
            .filter(|r| r.workspace == "heavy".into())
            .count();
        assert!((73..=77).contains(&heavy), "{heavy}");
    }

    #[test]
    fn shedding_takes_from_the_workspace_that_is_furthest_ahead() {
        let now = Instant::now();
        let mut queue = FairQueue::default();
        for id in 0..10 {
            queue.push(request(id, "large", 100, now), 1);
        }
        queue.push(request(10, "small", 100, now), 1);
        let shed = queue.shed().expect("not empty");
        assert_eq!(shed.workspace, "large".into());
        assert_eq!(shed.id, RequestId(9));
    }

    #[test]
    fn expired_requests_leave_at_their_deadline() {
        let now = Instant::now();
        let mut queue = FairQueue::default();
        queue.push(request(1, "a", 1, now), 1);
        queue.push(request(2, "a", 1, now), 1);
        assert_eq!(queue.next_deadline(), Some(now + Duration::from_secs(1)));
        let expired = queue.expire(now + Duration::from_secs(1));
        assert_eq!(expired.len(), 1);
        assert_eq!(queue.len(), 1);
    }
}
