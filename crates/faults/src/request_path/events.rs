//! What happens between the processes of a run, and which step class it is.

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

/// A process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeId {
    Entry(usize),
    Agent(usize),
}

/// The way back to a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Return {
    pub(crate) entry: usize,
    pub(crate) life: Incarnation,
    pub(crate) link: u64,
}

/// A message to an agent.
#[derive(Clone, Debug)]
pub(crate) enum ToAgent {
    Offer {
        attempt: AttemptId,
        meant_for: Incarnation,
        remaining: Duration,
        suspect: bool,
        resume_from: u64,
    },
    Ask {
        attempt: AttemptId,
        meant_for: Incarnation,
        remaining: Duration,
        recover: bool,
    },
}

/// A message to an entry about an attempt.
#[derive(Clone, Debug)]
pub(crate) enum ToEntry {
    Refused(Refusal),
    Head,
    Event(u64),
    EndOfStream(u64),
    Answered(RecordedResponse),
    Failed,
    Died,
}

/// A call to the store.
#[derive(Clone, Debug)]
pub(crate) enum StoreCall {
    Read,
    Write(u64, Box<StoredObject>),
}

/// The store's answer.
#[derive(Clone, Debug)]
pub(crate) enum StoreAnswer {
    Read(ReadResult),
    Write(WriteResult),
}

/// Something that happens.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Send(usize),
    Leave(usize),
    ShutDown(usize),
    KillOwner,
    ToAgent {
        to: usize,
        back: Return,
        request: RequestId,
        sent: Instant,
        message: ToAgent,
    },
    ToEntry {
        from: usize,
        back: Return,
        request: RequestId,
        attempt: AttemptId,
        message: ToEntry,
    },
    /// An agent tells its state.
    Beat {
        from: usize,
        entry: usize,
        life: Incarnation,
        link: u64,
        leaving: bool,
        endpoint_up: bool,
    },
    /// One entry asks another's ledger.
    LedgerAsk {
        from: usize,
        life: Incarnation,
        to: usize,
        ticket: u64,
        input: LedgerInput,
    },
    LedgerAnswer {
        to: usize,
        life: Incarnation,
        ticket: u64,
        reply: LedgerReply,
    },
    /// Looks whether the owner that was asked still lives.
    LedgerGuard {
        entry: usize,
        life: Incarnation,
        ticket: u64,
        owner: usize,
    },
    /// Asks the ledger after a pause.
    LedgerAgain {
        entry: usize,
        life: Incarnation,
        ticket: u64,
    },
    Store {
        entry: usize,
        life: Incarnation,
        op: OpId,
        name: ObjectName,
        call: StoreCall,
    },
    StoreAnswer {
        entry: usize,
        life: Incarnation,
        op: OpId,
        answer: StoreAnswer,
    },
    /// An endpoint brings the next part of a run.
    Endpoint(usize),
    EndpointUp(usize),
    /// An entry gives a link up.
    LinkLost {
        entry: usize,
        agent: usize,
        link: u64,
    },
    LinkUp {
        entry: usize,
        agent: usize,
        link: u64,
    },
    /// A lost attempt is asked for again.
    Recover {
        entry: usize,
        life: Incarnation,
        request: RequestId,
        attempt: AttemptId,
        agent: usize,
    },
    Deadline {
        entry: usize,
        life: Incarnation,
        request: RequestId,
    },
    Replace(NodeId),
}

/// A wish to the ledger, without the caller's identifier.
#[derive(Clone, Debug)]
pub(crate) enum LedgerInput {
    Claim(ledger::Claim),
    Settle(ledger::KeyDigest, ledger::ClaimId, RecordedResponse),
    Release(ledger::KeyDigest, ledger::ClaimId),
}

pub(crate) fn classify(event: &Event) -> (StepClass, Option<NodeId>) {
    match event {
        Event::Send(_) | Event::Leave(_) | Event::ShutDown(_) | Event::KillOwner => {
            (StepClass::External, None)
        }
        Event::ToAgent { to, .. } => (StepClass::Message, Some(NodeId::Agent(*to))),
        Event::ToEntry { back, .. } => (StepClass::Message, Some(NodeId::Entry(back.entry))),
        Event::Beat { entry, .. } => (StepClass::Message, Some(NodeId::Entry(*entry))),
        Event::LedgerAsk { to, .. } | Event::LedgerAnswer { to, .. } => {
            (StepClass::Message, Some(NodeId::Entry(*to)))
        }
        Event::LedgerGuard { entry, .. } | Event::LedgerAgain { entry, .. } => {
            (StepClass::Local, Some(NodeId::Entry(*entry)))
        }
        // A call to the store is on its way whatever becomes of its sender.
        Event::Store { call, .. } => match call {
            StoreCall::Read => (StepClass::Store, None),
            StoreCall::Write(..) => (StepClass::StoreWrite, None),
        },
        Event::StoreAnswer { entry, .. } => (StepClass::Store, Some(NodeId::Entry(*entry))),
        Event::Endpoint(_) | Event::EndpointUp(_) | Event::Replace(_) => {
            (StepClass::External, None)
        }
        Event::LinkLost { entry, .. }
        | Event::LinkUp { entry, .. }
        | Event::Recover { entry, .. }
        | Event::Deadline { entry, .. } => (StepClass::Local, Some(NodeId::Entry(*entry))),
    }
}
