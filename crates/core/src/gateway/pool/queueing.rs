//! The part of the pool that admits requests, queues them, and rejects them.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use crate::gateway::Admission;
use crate::gateway::DequeuedRequest;
use crate::gateway::Pool;
use crate::gateway::QueuedRequest;
use crate::gateway::QueuedRequestId;
use crate::gateway::RejectReason;
use crate::gateway::Selection;
use crate::gateway::competition::Ahead;
use crate::gateway::competition::Turn;
use crate::gateway::competition::gives_way;

/// Time after which to retry a request that only evacuated runners could take.
const RETRY_AFTER_EVACUATED: Duration = Duration::from_secs(4);

impl Pool {
    /// Assigns a request to a runner, queues it or rejects it.
    ///
    /// If it displaces a queued request, [`Pool::take_displaced`] returns that one.
    pub fn admit(&mut self, now: Instant, request: QueuedRequest) -> Admission {
        self.demand.record(now);
        self.competition.record_arrival(now, request.priority);
        if now >= request.deadline {
            return self.reject(now, &request, RejectReason::NoRoom);
        }
        if let Some(selection) = self.start(now, &request) {
            return Admission::Run(selection);
        }
        if let Some(rejection) = self.reject_unavailable(now, &request) {
            return rejection;
        }
        self.competition.record_queue(now, self.queue.len());
        if !self.can_wait(now, &request) || !self.make_place(now, &request) {
            let reason = self.lack_of_room(now, &request);
            return self.reject(now, &request, reason);
        }
        let priority = request.priority;
        self.queue.push(request);
        self.displace_hopeless(now, priority);
        self.competition.record_queue(now, self.queue.len());
        Admission::Wait
    }

    /// Returns the requests that left the queue for more urgent ones.
    pub fn take_displaced(&mut self) -> Vec<DequeuedRequest> {
        std::mem::take(&mut self.displaced)
    }

    /// Returns when a request of a priority that got no slot in time should come back.
    pub fn retry_after(&mut self, now: Instant, priority: u32) -> Duration {
        let (more_urgent, equally_urgent) = self.queued_ahead(priority);
        let ahead = Ahead {
            all: more_urgent + equally_urgent,
            equally_urgent,
        };
        let completion_rate = self.completion_rate.at_last_event();
        let competition = &self.competition;
        let wait = competition.wait(now, ahead, priority, completion_rate);
        competition.retry_after(now, priority, wait, self.rng.random())
    }

    /// Removes a request from the queue after its caller disconnected.
    pub fn cancel(&mut self, queue_id: QueuedRequestId) {
        self.queue.retain(|request| request.queue_id != queue_id);
    }

    /// Returns the number of queued requests that are more urgent than a priority, and of
    /// those that are as urgent.
    pub fn queued_ahead(&self, priority: u32) -> (usize, usize) {
        let mut more_urgent = 0;
        let mut equal = 0;
        for queued in &self.queue {
            more_urgent += usize::from(queued.priority < priority);
            equal += usize::from(queued.priority == priority);
        }
        (more_urgent, equal)
    }

    /// Assigns queued requests to runners and rejects those past their deadline, in the
    /// order of their [`Turn`].
    pub fn dispatch_queued(&mut self, now: Instant) -> Vec<DequeuedRequest> {
        let mut dequeued = self.take_displaced();
        if self.queue.is_empty() {
            self.competition.record_queue(now, 0);
            return dequeued;
        }
        self.queue.sort_by_key(|request| Turn::of(now, request));
        self.start_owed(now, &mut dequeued);
        let mut is_full = false;
        for request in std::mem::take(&mut self.queue) {
            let selection = match is_full {
                true => None,
                false => self.start(now, &request),
            };
            // What gets no slot although any runner may take it shows that none is free.
            is_full |= selection.is_none() && request.excluded.is_empty();
            let admission = match selection {
                Some(selection) => Admission::Run(selection),
                None if now >= request.deadline => {
                    let reason = self.lack_of_room(now, &request);
                    self.reject(now, &request, reason)
                }
                None => match self.reject_unavailable(now, &request) {
                    Some(rejection) => rejection,
                    None => {
                        self.queue.push(request);
                        continue;
                    }
                },
            };
            dequeued.push(DequeuedRequest {
                queue_id: request.queue_id,
                admission,
            });
        }
        self.competition.record_queue(now, self.queue.len());
        dequeued
    }

    /// Starts the first request of each priority that would be starved otherwise.
    fn start_owed(&mut self, now: Instant, dequeued: &mut Vec<DequeuedRequest>) {
        let completion_rate = self.completion_rate.at_last_event();
        for priority in self.competition.owed(now, completion_rate) {
            let mut queued = self.queue.iter();
            let Some(first) = queued.position(|request| request.priority == priority) else {
                continue;
            };
            let request = self.queue.remove(first);
            match self.start(now, &request) {
                Some(selection) => dequeued.push(DequeuedRequest {
                    queue_id: request.queue_id,
                    admission: Admission::Run(selection),
                }),
                None => {
                    self.queue.insert(first, request);
                    return;
                }
            }
        }
    }

    fn start(&mut self, now: Instant, request: &QueuedRequest) -> Option<Selection> {
        let selection = self.select(now, request)?;
        self.competition.record_start(request.priority);
        Some(selection)
    }

    /// Returns whether a request's turn comes soon enough.
    fn can_wait(&self, now: Instant, request: &QueuedRequest) -> bool {
        let remaining = request.deadline.saturating_duration_since(now);
        self.expected_wait(now, request) <= remaining.mul_f64(self.limits.max_wait_share)
    }

    /// Makes place in the queue for a request; returns whether there is one.
    fn make_place(&mut self, now: Instant, request: &QueuedRequest) -> bool {
        if self.queue.len() < self.limits.max_queued {
            return true;
        }
        let position = gives_way(&self.queue, request.priority);
        if let Some(position) = position {
            self.displace(now, position);
        }
        position.is_some()
    }

    /// Rejects the queued request that gives way to a request of a priority, if its turn
    /// comes too late now.
    fn displace_hopeless(&mut self, now: Instant, priority: u32) {
        if let Some(position) = gives_way(&self.queue, priority)
            && !self.can_wait(now, &self.queue[position])
        {
            self.displace(now, position);
        }
    }

    fn displace(&mut self, now: Instant, position: usize) {
        let request = self.queue.remove(position);
        let admission = self.reject(now, &request, RejectReason::GaveWay);
        self.displaced.push(DequeuedRequest {
            queue_id: request.queue_id,
            admission,
        });
    }

    fn expected_wait(&self, now: Instant, request: &QueuedRequest) -> Duration {
        let ahead = Ahead::of(now, &self.queue, request);
        let completion_rate = self.completion_rate.at_last_event();
        self.competition
            .wait(now, ahead, request.priority, completion_rate)
    }

    /// Rejects a request that no runner takes, whatever room there is.
    fn reject_unavailable(&self, now: Instant, request: &QueuedRequest) -> Option<Admission> {
        if self.all_evacuated(request) {
            return Some(Admission::Reject {
                retry_after: RETRY_AFTER_EVACUATED,
                reason: RejectReason::AllEvacuated,
            });
        }
        self.all_rest(now, request).map(reject_until)
    }

    fn reject(&mut self, now: Instant, request: &QueuedRequest, reason: RejectReason) -> Admission {
        let wait = self.expected_wait(now, request);
        let random = self.rng.random();
        Admission::Reject {
            retry_after: self
                .competition
                .retry_after(now, request.priority, wait, random),
            reason,
        }
    }
}

/// Rejects a request that no runner takes before a time has passed.
fn reject_until(rest: Duration) -> Admission {
    Admission::Reject {
        retry_after: rest,
        reason: RejectReason::AllRest,
    }
}
