//! Weighted fair queueing between workspaces, by estimated tokens.
//!
//! This is start-time fair queueing (SFQ). Each request gets a start tag and a
//! finish tag on a virtual clock that all workspaces share; the distance between
//! the two is the request's cost divided by the workspace's weight. Requests
//! leave in the order of their start tags. The next request of an idle workspace
//! starts at the current virtual time, so that a workspace neither accumulates
//! credit while it is idle nor is charged for the requests of others.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Instant;

use crate::ids::WorkspaceId;
use crate::router::Request;
use crate::router::RequestId;

/// Virtual time units for one token at weight one.
const UNITS_PER_TOKEN: u64 = 1024;

#[derive(Debug)]
struct QueuedRequest {
    request: Request,
    /// Virtual time that orders the request among those of all workspaces.
    start_tag: u64,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    /// Virtual time at which the last request that was pushed ends.
    finish_tag: u64,
    /// Oldest first; start tags never decrease.
    requests: VecDeque<QueuedRequest>,
    weight: u32,
}

/// Requests that wait for a runner, in one queue for each workspace.
#[derive(Debug, Default)]
pub struct FairQueue {
    queues: BTreeMap<WorkspaceId, WorkspaceQueue>,
    /// Highest start tag of a request that was popped; never decreases.
    virtual_time: u64,
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

    /// Adds a request at the end of its workspace's queue and charges its cost.
    pub fn push(&mut self, request: Request, weight: u32) {
        let weight = weight.max(1);
        let queue = self.queues.entry(request.workspace.clone()).or_default();
        queue.weight = weight;
        let start_tag = queue.finish_tag.max(self.virtual_time);
        let cost = u64::from(request.cost_tokens.max(1)) * UNITS_PER_TOKEN;
        queue.finish_tag = start_tag + cost / u64::from(weight);
        queue
            .requests
            .push_back(QueuedRequest { request, start_tag });
        self.len += 1;
    }

    /// Puts a request back at the front of its workspace's queue.
    ///
    /// Its cost was charged when it was first pushed and is not charged again.
    pub fn push_front(&mut self, request: Request) {
        let queue = self.queues.entry(request.workspace.clone()).or_default();
        let start_tag = self.virtual_time.min(
            queue
                .requests
                .front()
                .map_or(self.virtual_time, |q| q.start_tag),
        );
        queue
            .requests
            .push_front(QueuedRequest { request, start_tag });
        self.len += 1;
    }

    /// Removes and returns the request with the earliest start tag that `can_dispatch` accepts.
    ///
    /// Only the first request of each workspace is considered, so requests of one
    /// workspace stay in order.
    pub fn pop(&mut self, mut can_dispatch: impl FnMut(&Request) -> bool) -> Option<Request> {
        let mut order: Vec<(u64, WorkspaceId)> = self
            .queues
            .iter()
            .filter_map(|(id, queue)| queue.requests.front().map(|q| (q.start_tag, id.clone())))
            .collect();
        order.sort();
        for (start_tag, id) in order {
            let Some(queue) = self.queues.get_mut(&id) else {
                continue;
            };
            let accepted = queue
                .requests
                .front()
                .is_some_and(|q| can_dispatch(&q.request));
            if !accepted {
                continue;
            }
            self.virtual_time = self.virtual_time.max(start_tag);
            let queued = queue.requests.pop_front();
            self.len -= 1;
            self.remove_idle_queues();
            return queued.map(|q| q.request);
        }
        None
    }

    /// Removes a waiting request, wherever it is in its queue.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        for queue in self.queues.values_mut() {
            let found = queue.requests.iter().position(|q| q.request.id == id);
            if let Some(queued) = found.and_then(|index| queue.requests.remove(index)) {
                self.len -= 1;
                return Some(queued.request);
            }
        }
        None
    }

    /// Removes every request whose deadline is at or before `now`.
    pub fn expire(&mut self, now: Instant) -> Vec<Request> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            let (due, kept): (VecDeque<_>, VecDeque<_>) = queue
                .requests
                .drain(..)
                .partition(|q| q.request.deadline <= now);
            queue.requests = kept;
            expired.extend(due.into_iter().map(|q| q.request));
        }
        self.len -= expired.len();
        expired
    }

    /// Returns the earliest deadline of a waiting request.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.queues
            .values()
            .flat_map(|queue| queue.requests.iter())
            .map(|q| q.request.deadline)
            .min()
    }

    /// Removes the request to reject first under overload: the newest one of the
    /// lowest priority, from the workspace that is furthest ahead of its share.
    ///
    /// The workspace gets the cost of the removed request back.
    pub fn evict(&mut self) -> Option<Request> {
        let lowest = self
            .queues
            .values()
            .flat_map(|queue| queue.requests.iter())
            .map(|q| q.request.priority)
            .min()?;
        let queue = self
            .queues
            .values_mut()
            .filter(|queue| queue.requests.iter().any(|q| q.request.priority == lowest))
            .max_by_key(|queue| queue.finish_tag)?;
        let index = queue
            .requests
            .iter()
            .rposition(|q| q.request.priority == lowest)?;
        let queued = queue.requests.remove(index)?;
        let cost = u64::from(queued.request.cost_tokens.max(1)) * UNITS_PER_TOKEN;
        queue.finish_tag = queue
            .finish_tag
            .saturating_sub(cost / u64::from(queue.weight.max(1)));
        self.len -= 1;
        Some(queued.request)
    }

    fn remove_idle_queues(&mut self) {
        let virtual_time = self.virtual_time;
        self.queues
            .retain(|_, queue| !queue.requests.is_empty() || queue.finish_tag > virtual_time);
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
    fn small_workspace_does_not_wait_behind_the_backlog_of_a_large_one() {
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
    fn workspaces_are_served_in_proportion_to_their_weights() {
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
    fn eviction_removes_the_newest_request_of_the_workspace_furthest_ahead() {
        let now = Instant::now();
        let mut queue = FairQueue::default();
        for id in 0..10 {
            queue.push(request(id, "large", 100, now), 1);
        }
        queue.push(request(10, "small", 100, now), 1);
        let evicted = queue.evict().expect("not empty");
        assert_eq!(evicted.workspace, "large".into());
        assert_eq!(evicted.id, RequestId(9));
    }

    #[test]
    fn requests_are_removed_at_their_deadline() {
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
