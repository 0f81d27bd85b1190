//! One caller's request on its way through an entry.
//!
//! The core decides when to claim, when to send, what a lost link means and
//! what the caller is told. It never guesses: `NotRun` is said only with
//! evidence that no attempt ran, and a claim is released only then.

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

/// How an answer travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// In one piece.
    Buffered,
    /// As a stream of events that another runner can resume.
    Stream,
}

/// What a caller is told about the effect of its request.
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

/// Why a caller gets no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The service is overloaded.
    #[error("the service is overloaded; send the request again after the time given")]
    Overloaded {
        /// When it is worth asking again.
        retry_after: Duration,
    },
    /// The deadline passed before a runner was free.
    #[error("no runner was free before the deadline; send the request again after the time given")]
    DeadlineBeforeStart {
        /// When it is worth asking again.
        retry_after: Duration,
    },
    /// The deadline passed while the request ran.
    #[error("the answer did not arrive before the deadline; look the key up or ask with more time")]
    DeadlineWhileRunning,
    /// No runner takes work.
    #[error(
        "the service has no runner that takes work; send the request again after the time given"
    )]
    NoRunner {
        /// When it is worth asking again.
        retry_after: Duration,
    },
    /// The request killed endpoints.
    #[error("this request stopped several endpoints and is blocked for a time; change the request")]
    Blocked {
        /// When the block ends.
        retry_after: Duration,
    },
    /// Every attempt was refused.
    #[error("no runner took the request; send it again")]
    Refused,
    /// The answer was cut off.
    #[error("the answer was cut off and could not be completed; look the key up or send it again")]
    CutOff,
    /// The same key is under way elsewhere.
    #[error(
        "a call with this key is under way or ended without a recorded answer; look the key up"
    )]
    InProgress,
    /// The key was used for another request.
    #[error("this Idempotency-Key was used for another request; choose a new key")]
    KeyReused,
    /// The ledger cannot take another key now.
    #[error("no further keyed call can be recorded now; send it again later with the same key")]
    LedgerFull,
    /// The ledger did not answer in time.
    #[error("the call could not be recorded in time; send it again with the same key")]
    LedgerUnavailable,
}

/// What a call is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Start.
    Begin,
    /// The ledger replied.
    Ledger(LedgerReply),
    /// The router chose a runner.
    Dispatched {
        /// The attempt.
        attempt: AttemptId,
        /// Where it goes.
        runner: RunnerId,
        /// Whether it must be the only suspect on its runner.
        suspect: bool,
    },
    /// The router gives the request up.
    Rejected(Rejection),
    /// The agent gave evidence that the attempt did not and will not run.
    Refused(AttemptId, Refusal),
    /// The endpoint began to answer a stream.
    Head(AttemptId),
    /// An event of a stream, by its position in the whole answer.
    Event(AttemptId, u64),
    /// The stream is complete after this many events in the whole answer.
    EndOfStream(AttemptId, u64),
    /// The whole answer.
    Responded(AttemptId, RecordedResponse),
    /// The endpoint failed; the attempt may have run.
    EndpointFailed(AttemptId),
    /// The endpoint closed the connection without an answer: it died.
    EndpointDied(AttemptId),
    /// The link to the agent closed.
    LinkLost {
        /// The attempt.
        attempt: AttemptId,
        /// Whether any byte of the attempt left this process.
        sent: bool,
    },
    /// Nothing arrived for longer than a healthy stream is silent.
    Stalled(AttemptId),
    /// The deadline passed.
    Deadline,
    /// The caller closed its connection.
    CallerGone,
}

/// What a call wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Claim the key, after a pause.
    Claim(Duration),
    /// Record the answer under the claim.
    Settle(RecordedResponse),
    /// Give the claim up.
    Release,
    /// Ask the router for a runner.
    Enqueue,
    /// Tell the router to forget the waiting request.
    Dequeue,
    /// Tell the router how an attempt ended.
    Ended(AttemptId, AttemptResult),
    /// Send the attempt to its runner.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// Where to.
        runner: RunnerId,
        /// Whether it must be the only suspect on its runner.
        suspect: bool,
        /// Events of the answer that the caller has already.
        resume_from: u64,
        /// Fencing number of a keyed call, for endpoints that check it.
        term: Option<Term>,
    },
    /// Ask the agent, over a new link, for the answer or evidence of none.
    Recover(AttemptId, RunnerId),
    /// Stop an attempt; no answer is needed.
    Cancel(AttemptId, RunnerId),
    /// Begin the streamed answer.
    BeginStream,
    /// Relay the event at this position.
    Relay(u64),
    /// End the streamed answer: it is whole.
    EndStream,
    /// Give the caller the whole answer.
    Respond {
        /// The response.
        response: RecordedResponse,
        /// Whether it is replayed from the ledger.
        replayed: bool,
    },
    /// Tell the caller that there is no whole answer.
    Fail(Failure, Outcome),
    /// Count a frame that belongs to no current attempt.
    CountStray,
    /// The call is over; nothing will follow.
    Close,
}

/// The fixed properties of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// How the answer travels.
    pub kind: CallKind,
    /// Whether the caller gave a key.
    pub keyed: bool,
    /// When another attempt is allowed.
    pub retry: RetryRule,
}
