//! The order in which queued requests start, and which of them gives way.

use std::time::Instant;

use crate::collections::HashMap;
use crate::gateway::QueuedRequest;
use crate::ids::WorkspaceId;

/// A request's place in the order in which queued requests start.
///
/// When more requests arrive than can be executed, each would wait in order of arrival
/// until it is late. Of the equally urgent, those that can still be on time go first, and
/// late ones use what is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Turn {
    priority: u32,
    is_late: bool,
    due: Instant,
}

impl Turn {
    /// Returns the place of a request as of now.
    pub(crate) fn of(now: Instant, request: &QueuedRequest) -> Self {
        Self {
            priority: request.priority,
            is_late: !request.can_be_on_time(now),
            due: request.response_due,
        }
    }
}

/// Queued requests that start before a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Ahead {
    /// All of them.
    pub(crate) all: usize,
    /// Those that are as urgent.
    pub(crate) equally_urgent: usize,
}

impl Ahead {
    /// Counts what is ahead of a request that is queued now or is in the queue.
    pub(crate) fn of(now: Instant, queue: &[QueuedRequest], request: &QueuedRequest) -> Self {
        let turn = Turn::of(now, request);
        let mut ahead = Self::default();
        for queued in queue {
            let is_ahead = queued.queue_id != request.queue_id && Turn::of(now, queued) <= turn;
            let is_equally_urgent = queued.priority == request.priority;
            ahead.all += usize::from(is_ahead);
            ahead.equally_urgent += usize::from(is_ahead && is_equally_urgent);
        }
        ahead
    }
}

/// Returns the position of the queued request that gives way to one of a priority: the
/// newest of the least urgent, of the workspace that has most of them queued. Returns
/// `None` if no request is less urgent.
pub(crate) fn gives_way(queue: &[QueuedRequest], priority: u32) -> Option<usize> {
    let least_urgent = queue.iter().map(|queued| queued.priority).max()?;
    if least_urgent <= priority {
        return None;
    }
    let mut counts: HashMap<Option<&WorkspaceId>, usize> = HashMap::default();
    let candidates = || {
        let queued = queue.iter().enumerate();
        queued.filter(|(_, queued)| queued.priority == least_urgent)
    };
    for (_, queued) in candidates() {
        *counts.entry(queued.workspace.as_ref()).or_default() += 1;
    }
    candidates()
        .max_by_key(|(_, queued)| (counts[&queued.workspace.as_ref()], queued.queue_id))
        .map(|(position, _)| position)
}
