//! The content of a shard's object.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::ProcessId;
use crate::ids::Term;
use crate::ledger::ClaimId;
use crate::ledger::KeyDigest;

/// Fixed bytes of a record in the object, as an upper estimate.
const RECORD_BYTES: usize = 220;

/// A recorded answer, replayed when the call is sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// HTTP content type; empty when the answer had none.
    pub content_type: String,
    /// The body; `None` when it was too large to keep.
    pub body: Option<Bytes>,
}

impl RecordedResponse {
    /// Largest body that is kept, in bytes.
    pub const MAX_BODY_BYTES: usize = 2048;

    /// Records an answer, without its body when that is too large.
    pub fn new(status: u16, content_type: impl Into<String>, body: Bytes) -> Self {
        Self {
            status,
            content_type: content_type.into(),
            body: (body.len() <= Self::MAX_BODY_BYTES).then_some(body),
        }
    }
}

/// How far a keyed call got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// It may run, or may have run.
    Claimed,
    /// It ran and this was the answer.
    Done(RecordedResponse),
}

/// What the ledger keeps of a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Hash of what the call asks for.
    pub fingerprint: Fingerprint,
    /// The claim that holds it.
    pub claim: ClaimId,
    /// Seconds since the Unix epoch after which the record may be dropped.
    pub expires_s: u64,
    /// How far it got.
    pub state: RecordState,
}

impl Record {
    /// Estimates the record's bytes in the object.
    pub fn size_bytes(&self) -> usize {
        match &self.state {
            RecordState::Claimed => RECORD_BYTES,
            RecordState::Done(answer) => {
                // Bodies travel as hexadecimal digits.
                RECORD_BYTES + answer.body.as_ref().map_or(0, |body| body.len() * 2)
            }
        }
    }
}

/// The process that may write a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Its name.
    pub process: ProcessId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// A closed part of a shard, kept in an object of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentRef {
    /// Number of the segment within the shard; never reused while referenced.
    pub number: u64,
    /// Version of the object that this refers to.
    pub version: u64,
    /// Seconds since the Unix epoch after which every record has expired.
    pub expires_s: u64,
}

/// The content of a shard's object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardSnapshot {
    /// Fencing number of the owner.
    pub term: Term,
    /// The owner; `None` before the first.
    pub owner: Option<Owner>,
    /// Identifies the write that made this content.
    pub write_id: u128,
    /// Records that are not in a segment.
    pub open: BTreeMap<KeyDigest, Record>,
    /// Closed segments, oldest first.
    pub segments: Vec<SegmentRef>,
    /// Number of the next segment.
    pub next_segment: u64,
}

impl ShardSnapshot {
    /// Returns the content of a shard that was never written.
    pub fn empty() -> Self {
        Self {
            term: Term(0),
            owner: None,
            write_id: 0,
            open: BTreeMap::new(),
            segments: Vec::new(),
            next_segment: 0,
        }
    }

    /// Estimates the bytes of the open records.
    pub fn open_bytes(&self) -> usize {
        self.open.values().map(Record::size_bytes).sum()
    }
}
