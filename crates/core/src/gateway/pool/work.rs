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
pub struct TicketId(pub u64);

/// What a request needs to be placed.
#[derive(Clone, Debug)]
pub struct Work {
    /// Its name while it waits.
    pub ticket: TicketId,
    /// Rank; zero goes first.
    pub priority: u32,
    /// When its answer must have begun to be on time.
    pub on_time: Instant,
    /// When nobody waits for it any more.
    pub deadline: Instant,
    /// Runners that it must not reach again.
    pub excluded: Vec<RunnerId>,
}

impl Work {
    /// Returns whether the request is on time if it runs now.
    pub(super) fn can_be_on_time(&self, now: Instant) -> bool {
        now + START_TIME <= self.on_time
    }
}

/// A runner that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The runner.
    pub runner: ListedRunner,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// Send it to this runner.
    Run(Candidate),
    /// It waits; a [`Wake`] follows.
    Wait,
    /// Turn it away.
    Refuse {
        /// When there will be room.
        retry_after: Duration,
    },
}

/// A waiting request that goes on.
#[derive(Clone, Debug, PartialEq)]
pub struct Wake {
    /// The request.
    pub ticket: TicketId,
    /// What becomes of it; never `Wait`.
    pub admission: Admission,
}

/// Whether a runner served what it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerStatus {
    /// It answered.
    Served,
    /// The caller left; nothing is known of the runner.
    Abandoned,
    /// It said that it is full.
    Busy,
    /// It broke off or did not answer.
    Failed,
    /// It answered with an error of its own.
    Erred,
    /// Its address belongs to another runner now.
    Replaced,
}
