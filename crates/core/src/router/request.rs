//! The properties of a request that the router needs, and how a request can end.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Fingerprint;
use crate::ids::RunnerId;
use crate::ids::WorkspaceId;

/// Identifies a request within one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// When a request may be retried after an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// Never: only one attempt is sent.
    Never,
    /// Only with evidence that the failed attempt did not run.
    IfNotRun,
    /// Always, even if the failed attempt may have run, since the call is idempotent.
    Idempotent,
}

/// A request, without its body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The identifier, unique within the entry.
    pub id: RequestId,
    /// The customer that sent the request.
    pub workspace: WorkspaceId,
    /// Estimated work, in tokens; a call without a prompt counts as one token.
    pub cost_tokens: u32,
    /// Priority under overload; requests of a lower priority are rejected first.
    pub priority: u8,
    /// Time after which the caller has no use for a response.
    pub deadline: Instant,
    /// When the request may be retried.
    pub retry: RetryRule,
    /// Hashes of the prompt's prefixes, as [`prefix_chain`](crate::router::prefix_chain)
    /// returns them; empty without a prompt.
    pub prefix: Vec<u64>,
    /// Hash of the request's contents, equal when a caller sends the same request again.
    pub fingerprint: Fingerprint,
    /// Runners on which the request must not run, since earlier attempts failed there.
    pub excluded: Vec<RunnerId>,
}

/// How an attempt to run a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The whole response was received.
    Completed {
        /// Time from dispatch to the end of the response.
        duration: Duration,
    },
    /// The agent refused the attempt for lack of capacity; it did not run.
    Busy,
    /// The endpoint is down or takes no new work; the attempt did not run.
    Down,
    /// The attempt did not run, for another reason.
    NotRun,
    /// The attempt may have run, but its response is missing or incomplete.
    Unknown,
    /// Like `Unknown`; in addition, the endpoint died while it ran the attempt.
    Died,
    /// The response is no longer needed, since the caller is gone or the deadline passed.
    Cancelled,
}

/// Why the router makes no further attempt at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The queue is full, and the request was the first to reject.
    Overloaded {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The deadline passed before a runner was free, or is expected to.
    Deadline {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The service has no runner that takes work.
    NoRunner {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// Requests with this fingerprint are blocked because they killed endpoints.
    Blocked {
        /// Time until the block ends.
        retry_after: Duration,
    },
    /// The last attempt did not run, and no retry is allowed.
    NotRun,
    /// The last attempt may have run, and no retry is allowed.
    Unknown,
}
