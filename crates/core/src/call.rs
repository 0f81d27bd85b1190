//! The processing of one caller's request by an entry, from arrival to response.
//!
//! A [`Call`] claims the idempotency key of a keyed request in the ledger, sends
//! attempts to the runners that the router chooses, handles lost links and decides
//! which response or failure the caller gets. It never guesses: it reports
//! [`Outcome::NotRun`], and releases a claim, only with evidence that no attempt ran.

mod core;

use std::time::Duration;

pub use core::Call;

use crate::gate::Refusal;
use crate::ids::AttemptId;
use crate::ids::RunnerId;
use crate::ids::Term;
use crate::ledger::LedgerReply;
use crate::ledger::RecordedResponse;
use crate::router::AttemptResult;
use crate::router::Rejection;
use crate::router::RetryRule;

/// How the response is transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// As one message with the whole body.
    Buffered,
    /// As a stream of events, which another runner can resume.
    Stream,
}

/// What a caller learns about whether its request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// It ran.
    Ran,
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `Wisteriawick-Outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a caller gets no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The service is overloaded.
    #[error("the service is overloaded; send the request again after the time given")]
    Overloaded {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The deadline passed before a runner was free.
    #[error("no runner was free before the deadline; send the request again after the time given")]
    DeadlineBeforeStart {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The deadline passed while the request ran.
    #[error("the answer did not arrive before the deadline; look the key up or ask with more time")]
    DeadlineWhileRunning,
    /// The service has no runner that takes work.
    #[error(
        "the service has no runner that takes work; send the request again after the time given"
    )]
    NoRunner {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The request killed endpoints and is blocked.
    #[error("this request stopped several endpoints and is blocked for a time; change the request")]
    Blocked {
        /// Time until the block ends.
        retry_after: Duration,
    },
    /// No attempt ran, and no retry is allowed.
    #[error("no runner took the request; send it again")]
    Refused,
    /// An attempt may have run, but its response is missing or incomplete.
    #[error("the answer was cut off and could not be completed; look the key up or send it again")]
    CutOff,
    /// Another call with this key is in progress, or ended without a recorded response.
    #[error(
        "a call with this key is under way or ended without a recorded answer; look the key up"
    )]
    InProgress,
    /// The key was used for a different request.
    #[error("this Idempotency-Key was used for another request; choose a new key")]
    KeyReused,
    /// The ledger has no room for another key.
    #[error("no further keyed call can be recorded now; send it again later with the same key")]
    LedgerFull,
    /// The ledger did not respond in time.
    #[error("the call could not be recorded in time; send it again with the same key")]
    LedgerUnavailable,
}

/// An event that a call handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The call starts; this is the first input.
    Begin,
    /// The ledger replied.
    Ledger(LedgerReply),
    /// The router chose a runner.
    Dispatched {
        /// The attempt that the router made for this call.
        attempt: AttemptId,
        /// The runner to send it to.
        runner: RunnerId,
        /// Whether it must be the only poison suspect on its runner.
        suspect: bool,
    },
    /// The router makes no further attempt.
    Rejected(Rejection),
    /// The agent gave evidence that the attempt did not and will not run.
    Refused(AttemptId, Refusal),
    /// A streamed response began.
    Head(AttemptId),
    /// An event of a streamed response arrived, with its position in the whole response.
    Event(AttemptId, u64),
    /// A streamed response ended, with the number of events in the whole response.
    EndOfStream(AttemptId, u64),
    /// A whole buffered response arrived.
    Responded(AttemptId, RecordedResponse),
    /// The endpoint failed; the attempt may have run.
    EndpointFailed(AttemptId),
    /// The endpoint died: it closed the connection without a response.
    EndpointDied(AttemptId),
    /// The link to the agent closed.
    LinkLost {
        /// The attempt that was sent on the link.
        attempt: AttemptId,
        /// Whether any byte of the attempt left this process.
        sent: bool,
    },
    /// Nothing arrived for longer than the pauses of a healthy stream.
    Stalled(AttemptId),
    /// The deadline passed, or for a keyed call that still runs after it, the extra
    /// time to record a late response.
    Deadline,
    /// The caller closed its connection.
    CallerGone,
}

/// An action that a call requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Claim the key in the ledger, after this delay.
    Claim(Duration),
    /// Record the response in the ledger under the claim.
    Settle(RecordedResponse),
    /// Release the claim in the ledger.
    Release,
    /// Queue the request at the router for a runner.
    Enqueue,
    /// Remove the waiting request from the router's queue.
    Dequeue,
    /// Report to the router how an attempt ended.
    Ended(AttemptId, AttemptResult),
    /// Send the attempt to its runner.
    Send {
        /// The attempt to send; its identifier was never used before.
        attempt: AttemptId,
        /// The runner to send it to.
        runner: RunnerId,
        /// Whether it must be the only poison suspect on its runner.
        suspect: bool,
        /// Number of events of the response that the caller has already.
        resume_from: u64,
        /// Fencing number of a keyed call, for endpoints that check it.
        term: Option<Term>,
    },
    /// Ask the agent, over a new link, for the attempt's response, or for evidence
    /// that the attempt did not run.
    Recover(AttemptId, RunnerId),
    /// Stop an attempt; its response is not needed.
    Cancel(AttemptId, RunnerId),
    /// Begin the streamed response to the caller.
    BeginStream,
    /// Relay the event at this position to the caller.
    Relay(u64),
    /// End the streamed response to the caller; it is complete.
    EndStream,
    /// Send a whole response to the caller.
    Respond {
        /// The response, complete with status and body.
        response: RecordedResponse,
        /// Whether it is replayed from the ledger.
        replayed: bool,
    },
    /// Report to the caller that there is no complete response, and why.
    Fail(Failure, Outcome),
    /// Count a message that does not belong to the current attempt.
    CountStray,
    /// The call is over: it only counts stray messages and ends attempts that are
    /// still dispatched to it.
    ///
    /// A [`Fail`](Self::Fail) may follow from the same input.
    Close,
}

/// The properties of a call that are fixed when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// How the response is transferred.
    pub kind: CallKind,
    /// Whether the caller gave an idempotency key.
    pub keyed: bool,
    /// When the request may be retried.
    pub retry: RetryRule,
}
