//! Wire types of the protocol between processes (postcard).

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use wisteriawick_core::gate::Refusal;
use wisteriawick_core::ids::AttemptId;
use wisteriawick_core::ids::Fingerprint;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::RunnerId;
use wisteriawick_core::ids::Term;
use wisteriawick_core::ledger::LedgerReply;
use wisteriawick_core::ledger::RecordedResponse;
use wisteriawick_core::router::EndpointDeath;
use wisteriawick_core::router::RunnerReport;

use crate::agent::maps::EngineLoadWire;
use crate::agent::maps::GroupMessageWire;
use crate::timeline::EventWire;
use crate::timeline::StampWire;

/// Names an end of a link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// The process, as in its certificate.
    pub process: String,
    /// Its life.
    pub incarnation: u64,
    /// Whether it is an entry.
    pub is_entry: bool,
}

/// A heartbeat.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Number of the beat that this answers; zero when it answers none.
    pub echo: u64,
    /// Number of this beat.
    pub number: u64,
    /// The sender's time line.
    pub stamp: StampWire,
    /// Number of the ticket in force.
    pub ticket: u64,
    /// Digest of the tickets in force.
    pub tag: u64,
    /// Whether the sender takes no new work.
    pub leaving: bool,
    /// The endpoint's load; only agents have one.
    pub load: Option<LoadWire>,
    /// Endpoints that died lately.
    pub deaths: Vec<DeathWire>,
}

/// The load of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LoadWire {
    /// Requests that the endpoint holds.
    pub in_flight: u32,
    /// Those of them that came from the reader.
    pub from_receiver: u32,
    /// Requests that it may hold.
    pub max_in_flight: u32,
    /// Whether it answers.
    pub endpoint_up: bool,
}

impl From<LoadWire> for RunnerReport {
    fn from(wire: LoadWire) -> Self {
        Self {
            in_flight: wire.in_flight,
            from_this_entry: wire.from_receiver,
            max_in_flight: wire.max_in_flight,
        }
    }
}

/// An endpoint that died while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct DeathWire {
    /// The request.
    pub fingerprint: u128,
    /// Where it ran.
    pub runner: String,
    /// The service of the runner.
    pub service: String,
    /// Whether it ran there as the only suspect.
    pub suspect: bool,
}

impl From<&DeathWire> for EndpointDeath {
    fn from(wire: &DeathWire) -> Self {
        Self {
            fingerprint: Fingerprint(wire.fingerprint),
            runner: RunnerId::new(wire.runner.as_str()),
            suspect: wire.suspect,
        }
    }
}

/// One attempt at a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AttemptWire {
    /// The attempt.
    pub attempt: u128,
    /// The life of the agent that is meant.
    pub meant_for: u64,
    /// Time left until the deadline, in microseconds.
    pub remaining_us: u64,
    /// Time since the sender opened the link, in microseconds.
    pub sent_us: u64,
    /// Whether it must be the only suspect on its runner.
    pub suspect: bool,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Events of the answer that the caller has already.
    pub resume_from: u64,
    /// Fencing number, for an endpoint that checks it.
    pub term: Option<u64>,
    /// Hash of what the request asks for.
    pub fingerprint: u128,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query at the endpoint.
    pub path: String,
    /// HTTP content type; empty when there is none.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// Asks what became of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct OutcomeQuery {
    /// The attempt.
    pub attempt: u128,
    /// The life of the agent that was meant.
    pub meant_for: u64,
    /// Time left until the deadline, in microseconds.
    pub remaining_us: u64,
    /// Time since the sender opened the link, in microseconds.
    pub sent_us: u64,
}

impl OutcomeQuery {
    /// Returns the attempt.
    pub fn attempt(&self) -> AttemptId {
        AttemptId(self.attempt)
    }

    /// Returns the life of the agent that was meant.
    pub fn meant_for(&self) -> Incarnation {
        Incarnation(self.meant_for)
    }
}

/// A claim on its way to the owner of a shard.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ClaimWire {
    /// Hash of the call's key.
    pub key: u128,
    /// Hash of what the call asks for.
    pub body: u128,
    /// Identifies the wish.
    pub claim: u128,
    /// Seconds since the Unix epoch after which the key may be used again.
    pub expires_s: u64,
    /// Time until the reply is worthless, in microseconds.
    pub remaining_us: u64,
}

/// A recorded answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ResponseWire {
    /// HTTP status.
    pub status: u16,
    /// HTTP content type.
    pub content_type: String,
    /// The body, if it was kept.
    pub body: Option<Bytes>,
}

impl From<&RecordedResponse> for ResponseWire {
    fn from(answer: &RecordedResponse) -> Self {
        Self {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: answer.body.clone(),
        }
    }
}

impl From<ResponseWire> for RecordedResponse {
    fn from(wire: ResponseWire) -> Self {
        Self {
            status: wire.status,
            content_type: wire.content_type,
            body: wire.body,
        }
    }
}

/// The first frame of a stream: what it is for.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum StreamRequest {
    /// The control stream; beats follow.
    Hello(Hello),
    /// Run a request.
    Attempt(AttemptWire),
    /// Stop an attempt.
    Cancel(OutcomeQuery),
    /// Bring the answer of an attempt whose link was lost.
    Recover(OutcomeQuery),
    /// Claim a keyed call.
    Claim(ClaimWire),
    /// Record a keyed call's answer.
    Settle {
        /// Hash of the call's key.
        key: u128,
        /// The claim under which it ran.
        claim: u128,
        /// Its answer.
        answer: ResponseWire,
    },
    /// Give a claim up.
    Release {
        /// Hash of the call's key.
        key: u128,
        /// The claim.
        claim: u128,
    },
    /// Ask how far a keyed call got.
    Lookup {
        /// Hash of the call's key.
        key: u128,
        /// Time until the reply is worthless, in microseconds.
        remaining_us: u64,
    },
    /// Take a head, as JSON.
    PutHead(Bytes),
    /// Send the head in force, as JSON.
    GetHead,
    /// Send the events at or after a stamp.
    Events(StampWire),
    /// Send the process's state, as JSON.
    Status,
    /// A message between runners of a group.
    Map(GroupMessageWire),
    /// Send what the group's engine here reports of its load.
    GroupLoad,
}

/// Why an attempt did not and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum RefusalWire {
    /// The endpoint holds as many requests as it may.
    Busy,
    /// The agent takes no new work.
    Leaving,
    /// The endpoint does not answer.
    EndpointDown,
    /// The deadline has passed.
    DeadlinePassed,
    /// The attempt was meant for a former life of the agent.
    OtherIncarnation,
    /// The attempt was cancelled before it came, or came twice.
    HasTombstone,
}

impl From<Refusal> for RefusalWire {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Busy => Self::Busy,
            Refusal::Leaving => Self::Leaving,
            Refusal::EndpointDown => Self::EndpointDown,
            Refusal::DeadlinePassed => Self::DeadlinePassed,
            Refusal::OtherIncarnation => Self::OtherIncarnation,
            Refusal::HasTombstone => Self::HasTombstone,
        }
    }
}

impl From<RefusalWire> for Refusal {
    fn from(wire: RefusalWire) -> Self {
        match wire {
            RefusalWire::Busy => Self::Busy,
            RefusalWire::Leaving => Self::Leaving,
            RefusalWire::EndpointDown => Self::EndpointDown,
            RefusalWire::DeadlinePassed => Self::DeadlinePassed,
            RefusalWire::OtherIncarnation => Self::OtherIncarnation,
            RefusalWire::HasTombstone => Self::HasTombstone,
        }
    }
}

/// The ledger's reply.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum LedgerReplyWire {
    /// The claim is durable.
    Granted(u64),
    /// The call ran before.
    Done(ResponseWire),
    /// Another claim holds the call.
    InProgress,
    /// The key was used for another call.
    KeyReused,
    /// The shard has no room.
    Full,
    /// Another process owns the shard.
    NotOwner,
    /// The store did not answer in time.
    Unavailable,
    /// The settlement or release is durable.
    Recorded,
    /// No such call.
    Absent,
}

impl From<&LedgerReply> for LedgerReplyWire {
    fn from(reply: &LedgerReply) -> Self {
        match reply {
            LedgerReply::Granted(term) => Self::Granted(term.0),
            LedgerReply::Done(answer) => Self::Done(answer.into()),
            LedgerReply::InProgress => Self::InProgress,
            LedgerReply::KeyReused => Self::KeyReused,
            LedgerReply::Full => Self::Full,
            LedgerReply::NotOwner => Self::NotOwner,
            LedgerReply::Unavailable => Self::Unavailable,
            LedgerReply::Recorded => Self::Recorded,
            LedgerReply::Absent => Self::Absent,
        }
    }
}

impl From<LedgerReplyWire> for LedgerReply {
    fn from(wire: LedgerReplyWire) -> Self {
        match wire {
            LedgerReplyWire::Granted(term) => Self::Granted(Term(term)),
            LedgerReplyWire::Done(answer) => Self::Done(answer.into()),
            LedgerReplyWire::InProgress => Self::InProgress,
            LedgerReplyWire::KeyReused => Self::KeyReused,
            LedgerReplyWire::Full => Self::Full,
            LedgerReplyWire::NotOwner => Self::NotOwner,
            LedgerReplyWire::Unavailable => Self::Unavailable,
            LedgerReplyWire::Recorded => Self::Recorded,
            LedgerReplyWire::Absent => Self::Absent,
        }
    }
}

/// A frame that answers an [`StreamRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Reply {
    /// The other end's name.
    Hello(Hello),
    /// A heartbeat on the control stream.
    Heartbeat(Heartbeat),
    /// The attempt did not and will not run.
    Refused(RefusalWire),
    /// The streamed answer begins.
    Head,
    /// Events of a streamed answer, the first at this position.
    Events(u64, Vec<Bytes>),
    /// The stream is whole after this many events.
    EndOfStream(u64),
    /// The whole answer.
    Response {
        /// HTTP status.
        status: u16,
        /// HTTP content type.
        content_type: String,
        /// The body.
        body: Bytes,
    },
    /// The endpoint failed; the attempt may have run.
    Failed(String),
    /// The endpoint died; the attempt may have run.
    Died(String),
    /// The ledger's reply.
    Ledger(LedgerReplyWire),
    /// The head in force, as JSON; empty when none is.
    Config(Bytes),
    /// Events of the time line.
    Timeline(Vec<EventWire>),
    /// The process's state, as JSON.
    Status(Bytes),
    /// What the group's engine reports of its load.
    GroupLoad(EngineLoadWire),
    /// Done; there is nothing to say.
    Ok,
}

/// Converts a duration to the wire.
pub(crate) fn to_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
