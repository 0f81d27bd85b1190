//! The messages and other events of a run of requests, and the class of the step
//! that each of them is.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gate::Refusal;
use wisteriawick_core::ids::AttemptId;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ledger;
use wisteriawick_core::ledger::LedgerReply;
use wisteriawick_core::ledger::ObjectName;
use wisteriawick_core::ledger::OpId;
use wisteriawick_core::ledger::ReadResult;
use wisteriawick_core::ledger::RecordedResponse;
use wisteriawick_core::ledger::StoredObject;
use wisteriawick_core::ledger::WriteResult;
use wisteriawick_core::router::RequestId;

use crate::fault::StepClass;

/// A process that can be killed or paused, by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeId {
    Entry(usize),
    Agent(usize),
}

/// Where an agent sends the frames of an attempt: the entry, its incarnation and
/// the number of the link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyTo {
    pub(crate) entry: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) link: u64,
}

/// A message of an entry to an agent about an attempt.
#[derive(Clone, Debug)]
pub(crate) enum ToAgent {
    /// Offers an attempt to the agent.
    Offer {
        attempt: AttemptId,
        meant_for: Incarnation,
        remaining: Duration,
        suspect: bool,
        resume_from: u64,
    },
    /// Asks for the result of an earlier attempt if `recover`, else cancels it.
    Query {
        attempt: AttemptId,
        meant_for: Incarnation,
        remaining: Duration,
        recover: bool,
    },
}

/// A message of an agent to an entry about an attempt.
#[derive(Clone, Debug)]
pub(crate) enum ToEntry {
    Refused(Refusal),
    Head,
    Event(u64),
    /// The end of a stream, with its number of events.
    EndOfStream(u64),
    Responded(RecordedResponse),
    /// The attempt may have run but its response is not available.
    Failed,
    /// The endpoint crashed during the attempt.
    Died,
}

/// A request to the store; a write states the version that it replaces.
#[derive(Clone, Debug)]
pub(crate) enum StoreCall {
    Read,
    Write(u64, Box<StoredObject>),
}

/// A response of the store.
#[derive(Clone, Debug)]
pub(crate) enum StoreResponse {
    Read(ReadResult),
    Write(WriteResult),
}

/// Something that happens at a time of the run. An event that names an
/// incarnation is ignored once that process has been replaced.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A caller, by index, sends its request.
    Send(usize),
    /// An agent begins to leave.
    Leave(usize),
    /// An entry begins a graceful shutdown.
    ShutDown(usize),
    /// The entry that owns the ledger shard is killed.
    KillOwner,
    ToAgent {
        to: usize,
        reply_to: ReplyTo,
        request: RequestId,
        sent: Instant,
        message: ToAgent,
    },
    ToEntry {
        from: usize,
        reply_to: ReplyTo,
        request: RequestId,
        attempt: AttemptId,
        message: ToEntry,
    },
    /// An agent reports its state to an entry.
    Heartbeat {
        from: usize,
        entry: usize,
        incarnation: Incarnation,
        link: u64,
        leaving: bool,
        endpoint_up: bool,
    },
    /// An entry sends a request to the ledger shard of another.
    LedgerRequest {
        from: usize,
        incarnation: Incarnation,
        to: usize,
        correlation_id: u64,
        input: LedgerInput,
    },
    /// The response reaches the entry that sent the request.
    LedgerResponse {
        to: usize,
        incarnation: Incarnation,
        correlation_id: u64,
        reply: LedgerReply,
    },
    /// An entry that waits for a ledger response checks that the shard's owner is
    /// reachable.
    CheckOwner {
        entry: usize,
        incarnation: Incarnation,
        correlation_id: u64,
        owner: usize,
    },
    /// An entry sends or resends a pending ledger request after a delay.
    SendLedgerRequest {
        entry: usize,
        incarnation: Incarnation,
        correlation_id: u64,
    },
    /// A request of an entry reaches the store.
    Store {
        entry: usize,
        incarnation: Incarnation,
        op: OpId,
        name: ObjectName,
        call: StoreCall,
    },
    /// A response of the store reaches the entry.
    StoreResponse {
        entry: usize,
        incarnation: Incarnation,
        op: OpId,
        response: StoreResponse,
    },
    /// An endpoint produces the next part of the response of a run, by index.
    EndpointProgress(usize),
    /// The endpoint of an agent has restarted.
    EndpointUp(usize),
    /// An entry detects that a link is lost.
    LinkLost {
        entry: usize,
        agent: usize,
        link: u64,
    },
    /// An entry and an agent open a new link.
    LinkUp {
        entry: usize,
        agent: usize,
        link: u64,
    },
    /// An entry asks an agent for the result of an attempt whose link was lost.
    Recover {
        entry: usize,
        incarnation: Incarnation,
        request: RequestId,
        attempt: AttemptId,
        agent: usize,
    },
    /// The deadline of a request expires, or the time in which a keyed attempt may
    /// still respond after it.
    Deadline {
        entry: usize,
        incarnation: Incarnation,
        request: RequestId,
    },
    /// A killed process is replaced.
    Replace(NodeId),
}

/// A request to the ledger, without the identifier of its sender.
#[derive(Clone, Debug)]
pub(crate) enum LedgerInput {
    Claim(ledger::Claim),
    Settle(ledger::KeyDigest, ledger::ClaimId, RecordedResponse),
    Release(ledger::KeyDigest, ledger::ClaimId),
}

/// Returns the class of an event and the process that the fault hits if it kills or
/// pauses a process.
pub(crate) fn classify(event: &Event) -> (StepClass, Option<NodeId>) {
    match event {
        Event::Send(_) | Event::Leave(_) | Event::ShutDown(_) | Event::KillOwner => {
            (StepClass::External, None)
        }
        Event::ToAgent { to, .. } => (StepClass::Message, Some(NodeId::Agent(*to))),
        Event::ToEntry { reply_to, .. } => {
            (StepClass::Message, Some(NodeId::Entry(reply_to.entry)))
        }
        Event::Heartbeat { entry, .. } => (StepClass::Message, Some(NodeId::Entry(*entry))),
        Event::LedgerRequest { to, .. } | Event::LedgerResponse { to, .. } => {
            (StepClass::Message, Some(NodeId::Entry(*to)))
        }
        Event::CheckOwner { entry, .. } | Event::SendLedgerRequest { entry, .. } => {
            (StepClass::Local, Some(NodeId::Entry(*entry)))
        }
        // A request that has been sent reaches the store even if its sender dies.
        Event::Store { call, .. } => match call {
            StoreCall::Read => (StepClass::Store, None),
            StoreCall::Write(..) => (StepClass::StoreWrite, None),
        },
        Event::StoreResponse { entry, .. } => (StepClass::Store, Some(NodeId::Entry(*entry))),
        Event::EndpointProgress(_) | Event::EndpointUp(_) | Event::Replace(_) => {
            (StepClass::External, None)
        }
        Event::LinkLost { entry, .. }
        | Event::LinkUp { entry, .. }
        | Event::Recover { entry, .. }
        | Event::Deadline { entry, .. } => (StepClass::Local, Some(NodeId::Entry(*entry))),
    }
}
