//! Requests as the pool sees them, and its decisions about them.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use crate::hosting::ListedRunner;
use crate::ids::RunnerId;
use crate::ids::WorkspaceId;

/// Expected time from sending a request until its response begins: about the
/// median time to the first event of a stream.
const EXPECTED_TIME_TO_RESPONSE: Duration = Duration::from_millis(160);

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueuedRequestId(pub u64);

/// The work that a request brings, as its caller states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u32>,
    /// Most tokens of the response.
    pub max_response_tokens: Option<u32>,
    /// The caller's estimate of the tokens of the response: right at the median, often far
    /// off.
    pub expected_response_tokens: Option<u32>,
}

/// A request that needs a runner.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Identifies the request while it is queued.
    pub queue_id: QueuedRequestId,
    /// Its place among requests, see [`RouteMatch::rank`](crate::gateway::RouteMatch::rank);
    /// zero is the most urgent.
    pub priority: u32,
    /// When the response must have begun to be on time.
    pub response_due: Instant,
    /// When sending the request is no longer useful.
    pub deadline: Instant,
    /// Runners that already had an attempt of this request.
    pub excluded: Vec<RunnerId>,
    /// The workspace that it belongs to; `None` without a key.
    pub workspace: Option<WorkspaceId>,
    /// The work that it brings.
    pub size: RequestSize,
}

impl QueuedRequest {
    /// Returns whether the response is on time if the request is sent now.
    pub(in crate::gateway) fn can_be_on_time(&self, now: Instant) -> bool {
        now + EXPECTED_TIME_TO_RESPONSE <= self.response_due
    }
}

/// The runner selected for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// The selected runner, as the store lists it.
    pub runner: ListedRunner,
    /// Whether the request counts towards the runner's rate limit already.
    pub is_counted: bool,
    /// When the request was counted towards the bound for runners that may be cold;
    /// `None` if there was no bound.
    pub cold_counted_at: Option<Instant>,
}

/// The pool's decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// Send the request to this runner.
    Run(Selection),
    /// The request is queued; a [`DequeuedRequest`] follows later.
    Wait,
    /// Reject the request.
    Reject {
        /// Time after which the caller should retry.
        retry_after: Duration,
        /// Why.
        reason: RejectReason,
    },
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// There is too much load.
    NoRoom,
    /// All runners that could take it have asked to be left alone.
    AllRest,
    /// All runners that could take it are in evacuated data centres.
    AllEvacuated,
    /// All runners with room are or may be cold and get no more requests now.
    ColdLimit,
    /// It was queued and left the queue for a more urgent request.
    GaveWay,
}

impl RejectReason {
    /// Returns a short name for metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoRoom => "no room",
            Self::AllRest => "all rest",
            Self::AllEvacuated => "all evacuated",
            Self::ColdLimit => "cold limit",
            Self::GaveWay => "gave way",
        }
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRoom => "no room in time",
            Self::AllRest => "all runners rest",
            Self::AllEvacuated => "all runners evacuated",
            Self::ColdLimit => "no room at cold runners",
            Self::GaveWay => "gave way to a more urgent request",
        })
    }
}

/// A request that left the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct DequeuedRequest {
    /// Identifies the request.
    pub queue_id: QueuedRequestId,
    /// The decision; never [`Admission::Wait`].
    pub admission: Admission,
}

/// How a request ended at a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerOutcome {
    /// The runner responded successfully, or an error was not its fault.
    Served,
    /// The caller disconnected, which says nothing about the runner.
    Abandoned,
    /// The runner refused the request without executing it.
    Busy,
    /// The runner refused the request and wants no other one for a time.
    Rests,
    /// The connection broke or the runner did not respond in time.
    Failed,
    /// The runner returned an error response.
    ErrorResponse,
    /// The runner's address now belongs to another runner.
    Replaced,
}

impl RunnerOutcome {
    /// Returns whether the runner has sent something.
    pub(super) fn is_sign_of_life(self) -> bool {
        match self {
            Self::Served | Self::Busy | Self::Rests | Self::ErrorResponse | Self::Replaced => true,
            Self::Abandoned | Self::Failed => false,
        }
    }
}
