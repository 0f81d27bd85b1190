//! Frames of the protocol between processes.
//!
//! A stream begins with a [`StreamRequest`], and the other end sends [`Reply`] frames.
//! All types are encoded with postcard, which writes no names: the order and the types of
//! fields and variants must not change.

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

/// Identifies one end of a link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// Name of the process, as in its certificate.
    pub process: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Whether the process is an entry.
    pub is_entry: bool,
}

/// A heartbeat, with the state that the receiver should know of.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Number of the heartbeat to which this is the reply; zero when it is not a reply.
    pub echo: u64,
    /// Number of this heartbeat.
    pub number: u64,
    /// The sender's hybrid logical clock.
    pub stamp: StampWire,
    /// Number of the ticket in force at the sender.
    pub ticket: u64,
    /// Short digest of the tickets in force at the sender.
    pub tag: u64,
    /// Whether the sender is shutting down and accepts no new work.
    pub leaving: bool,
    /// Load of the endpoint; only agents send it.
    pub load: Option<LoadWire>,
    /// Recent deaths of the endpoint; only agents send them.
    pub deaths: Vec<DeathWire>,
}

/// The load of an endpoint, as its agent reports it to one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LoadWire {
    /// Requests in flight at the endpoint, from all entries.
    pub in_flight: u32,
    /// How many of them came from the entry that receives the report.
    pub from_receiver: u32,
    /// Maximum number of requests in flight that the agent admits.
    pub max_in_flight: u32,
    /// Whether the endpoint responds.
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

/// The death of an endpoint while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct DeathWire {
    /// Fingerprint of the request.
    pub fingerprint: u128,
    /// The runner whose endpoint died.
    pub runner: String,
    /// The service of the runner.
    pub service: String,
    /// Whether the request ran there as a poison suspect, and so as the only one.
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

/// One attempt to run a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AttemptWire {
    /// Identifier of the attempt.
    pub attempt: u128,
    /// Incarnation of the agent for which the attempt is meant.
    pub meant_for: u64,
    /// Time left until the deadline, in microseconds.
    pub remaining_us: u64,
    /// Time of sending, in microseconds since the sender opened the link.
    pub sent_us: u64,
    /// Whether it must be the only poison suspect on its runner.
    pub suspect: bool,
    /// Whether the response is a stream of events.
    pub stream: bool,
    /// Number of events of the response that the caller has already.
    pub resume_from: u64,
    /// Fencing number, for an endpoint that checks it.
    pub term: Option<u64>,
    /// Hash of the request's content.
    pub fingerprint: u128,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query at the endpoint.
    pub path: String,
    /// HTTP content type; empty when the request has none.
    pub content_type: String,
    /// HTTP body.
    pub body: Bytes,
}

/// A query about an attempt that was sent before.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct OutcomeQuery {
    /// Identifier of the attempt.
    pub attempt: u128,
    /// Incarnation of the agent for which the attempt was meant.
    pub meant_for: u64,
    /// Time left until the deadline, in microseconds.
    pub remaining_us: u64,
    /// Time of sending, in microseconds since the sender opened the link.
    pub sent_us: u64,
}

impl OutcomeQuery {
    /// Returns the identifier of the attempt.
    pub fn attempt(&self) -> AttemptId {
        AttemptId(self.attempt)
    }

    /// Returns the incarnation of the agent for which the attempt was meant.
    pub fn meant_for(&self) -> Incarnation {
        Incarnation(self.meant_for)
    }
}

/// A request to run a keyed call, for the owner of the key's shard.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ClaimWire {
    /// Hash of the call's key.
    pub key: u128,
    /// Hash of the request's content.
    pub fingerprint: u128,
    /// Identifies the claim; the same on every retry.
    pub claim: u128,
    /// Seconds since the Unix epoch after which the key may be used again.
    pub expires_s: u64,
    /// Time after which the sender no longer needs a reply, in microseconds.
    pub remaining_us: u64,
}

/// A response that the ledger recorded.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ResponseWire {
    /// HTTP status.
    pub status: u16,
    /// HTTP content type.
    pub content_type: String,
    /// HTTP body; `None` when it was too large to be recorded.
    pub body: Option<Bytes>,
}

impl From<&RecordedResponse> for ResponseWire {
    fn from(response: &RecordedResponse) -> Self {
        Self {
            status: response.status,
            content_type: response.content_type.clone(),
            body: response.body.clone(),
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

/// The first frame of a stream, which says what the sender requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum StreamRequest {
    /// Make this the control stream of the link; heartbeats follow.
    Hello(Hello),
    /// Run a request.
    Attempt(AttemptWire),
    /// Stop an attempt.
    Cancel(OutcomeQuery),
    /// Send the response of an attempt whose link was lost, or evidence that it did not run.
    Recover(OutcomeQuery),
    /// Claim a keyed call.
    Claim(ClaimWire),
    /// Record the response of a keyed call.
    Settle {
        /// Hash of the call's key.
        key: u128,
        /// The claim under which the call ran.
        claim: u128,
        /// The response to record under the claim.
        response: ResponseWire,
    },
    /// Release a claim.
    Release {
        /// Hash of the call's key.
        key: u128,
        /// The claim to release.
        claim: u128,
    },
    /// Send the state of a keyed call.
    Lookup {
        /// Hash of the call's key.
        key: u128,
        /// Time after which the sender no longer needs a reply, in microseconds.
        remaining_us: u64,
    },
    /// Adopt this head, as JSON, if it is newer than the one in force.
    PutHead(Bytes),
    /// Send the head in force, as JSON.
    GetHead,
    /// Send the events of the timeline at or after a stamp.
    Events(StampWire),
    /// Send the status of the process, as JSON.
    Status,
    /// Receive a message from another runner of the group.
    Map(GroupMessageWire),
    /// Send the load that this runner's engine reports for its group.
    GroupLoad,
}

/// Why an attempt did not and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum RefusalWire {
    /// The maximum number of requests is in flight, or another poison suspect runs.
    Busy,
    /// The agent is draining and admits no new attempts.
    Leaving,
    /// The endpoint does not respond.
    EndpointDown,
    /// The deadline has passed.
    DeadlinePassed,
    /// The attempt was meant for a former incarnation of the agent.
    OtherIncarnation,
    /// The attempt was cancelled before it arrived, or refused before.
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

/// The ledger's reply to a claim, settlement, release or lookup.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum LedgerReplyWire {
    /// The claim is durable; the call may run once, with this fencing number.
    Granted(u64),
    /// The call ran before and had this response.
    Done(ResponseWire),
    /// The call is claimed under another claim.
    InProgress,
    /// The key was already used for a request with other content.
    KeyReused,
    /// The shard has no room for another key.
    Full,
    /// Another process owns the shard.
    NotOwner,
    /// The store did not respond in time.
    Unavailable,
    /// The settlement or release is durable.
    Recorded,
    /// No call with this key has been claimed.
    Absent,
}

impl From<&LedgerReply> for LedgerReplyWire {
    fn from(reply: &LedgerReply) -> Self {
        match reply {
            LedgerReply::Granted(term) => Self::Granted(term.0),
            LedgerReply::Done(response) => Self::Done(response.into()),
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
            LedgerReplyWire::Done(response) => Self::Done(response.into()),
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

/// A frame in reply to a [`StreamRequest`], or a heartbeat in either direction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Reply {
    /// Identifies the accepting end of the link.
    Hello(Hello),
    /// A heartbeat on the control stream.
    Heartbeat(Heartbeat),
    /// The attempt did not and will not run.
    Refused(RefusalWire),
    /// The streamed response begins.
    Head,
    /// Events of a streamed response, the first of them at this position in it.
    Events(u64, Vec<Bytes>),
    /// The streamed response is complete and has this many events.
    EndOfStream(u64),
    /// A complete buffered response.
    Response {
        /// HTTP status.
        status: u16,
        /// HTTP content type.
        content_type: String,
        /// HTTP body.
        body: Bytes,
    },
    /// The request failed; if it was an attempt, it may have run.
    Failed(String),
    /// The endpoint died; the attempt may have run.
    Died(String),
    /// The ledger's reply.
    Ledger(LedgerReplyWire),
    /// The head in force, as JSON; empty when there is none.
    Config(Bytes),
    /// Events of the timeline.
    Timeline(Vec<EventWire>),
    /// The status of the process, as JSON.
    Status(Bytes),
    /// The load that the runner's engine reports for its group.
    GroupLoad(EngineLoadWire),
    /// The request was executed; the reply has no content.
    Ok,
}

/// Returns a duration in microseconds, as it is encoded in frames.
pub(crate) fn to_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
