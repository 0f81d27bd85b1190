//! A request as the router sees it, and the fates it can have.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Fingerprint;
use crate::ids::RunnerId;
use crate::ids::WorkspaceId;

/// Identifies a request within one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// When another attempt is allowed after one failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// Only one attempt is ever sent.
    Never,
    /// Only with evidence that the former attempt did not run.
    IfNotRun,
    /// Also after an attempt that may have run: the call is idempotent.
    Idempotent,
}

/// What the router needs to know of a request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its identifier, unique within the entry.
    pub id: RequestId,
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// Estimated work, in tokens; plain calls count as one.
    pub cost_tokens: u32,
    /// Priority under overload; a lower class is shed first.
    pub priority: u8,
    /// When its answer is worthless.
    pub deadline: Instant,
    /// When another attempt is allowed.
    pub retry: RetryRule,
    /// Hash chain over the prompt's blocks, shortest prefix first.
    pub prefix: Vec<u64>,
    /// Equal for the same request sent again.
    pub fingerprint: Fingerprint,
    /// Runners that must not get it.
    pub excluded: Vec<RunnerId>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The whole answer was relayed.
    Completed {
        /// Time from dispatch to the end of the answer.
        duration: Duration,
    },
    /// The agent was full; it gave evidence that the attempt did not run.
    Busy,
    /// The endpoint is down or leaving; the attempt did not run.
    Down,
    /// There is evidence that the attempt did not run.
    NotRun,
    /// The attempt may have run; its answer is not whole.
    Unknown,
    /// Like `Unknown`, and the endpoint died of something that it ran.
    Died,
    /// The caller went away.
    Cancelled,
}

/// Why a request ends without an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The queue is full and others have a better claim to it.
    Overloaded {
        /// When it is worth asking again.
        retry_after: Duration,
    },
    /// The deadline passed before a runner was free, or would have.
    Deadline {
        /// When it is worth asking again.
        retry_after: Duration,
    },
    /// The service has no runner that takes work.
    NoRunner {
        /// When it is worth asking again.
        retry_after: Duration,
    },
    /// The same request killed endpoints and is blocked.
    Blocked {
        /// When the block ends.
        retry_after: Duration,
    },
    /// The last attempt did not run and no other is allowed.
    NotRun,
    /// The last attempt may have run and no other is allowed.
    Unknown,
}
