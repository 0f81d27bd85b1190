//! What is placed, and what becomes of it.

use std::time::Duration;
use std::time::Instant;

use crate::hosting::ListedRunner;
use crate::ids::RunnerId;

/// Time from its start at a runner until a request's answer begins: about the
/// median of the first event of a stream.
const START_TIME: Duration = Duration::from_millis(160);

/// Names a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueuedRequestId(pub u64);

/// What a request needs to be placed.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Its name while it waits.
    pub queue_id: QueuedRequestId,
    /// Rank; zero goes first.
    pub priority: u32,
    /// When its answer must have begun to be on time.
    pub response_due: Instant,
    /// When nobody waits for it any more.
    pub deadline: Instant,
    /// Runners that it must not reach again.
    pub excluded: Vec<RunnerId>,
}

impl QueuedRequest {
    /// Returns whether the request is on time if it runs now.
    pub(super) fn can_be_on_time(&self, now: Instant) -> bool {
        now + START_TIME <= self.response_due
    }
}

/// A runner that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// The runner.
    pub runner: ListedRunner,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// Send it to this runner.
    Run(Selection),
    /// It waits; a [`DequeuedRequest`] follows.
    Wait,
    /// Turn it away.
    Reject {
        /// When there will be room.
        retry_after: Duration,
    },
}

/// A waiting request that goes on.
#[derive(Clone, Debug, PartialEq)]
pub struct DequeuedRequest {
    /// The request.
    pub queue_id: QueuedRequestId,
    /// What becomes of it; never `Wait`.
    pub admission: Admission,
}

/// Whether a runner served what it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerOutcome {
    /// It answered.
    Served,
    /// The caller left; nothing is known of the runner.
    Abandoned,
    /// It said that it is full.
    Busy,
    /// It broke off or did not answer.
    Failed,
    /// It answered with an error of its own.
    ErrorResponse,
    /// Its address belongs to another runner now.
    Replaced,
}
