//! The stored state of a ledger shard: its owner, records and segments.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::call::Outcome;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::ProcessId;
use crate::ids::Term;
use crate::ledger::ClaimId;
use crate::ledger::KeyDigest;
use crate::response_status::is_final;
use crate::response_status::promises_not_run;

/// Upper estimate of the bytes that a stored record takes without a response body.
const RECORD_BASE_BYTES: usize = 220;

/// The response of a keyed call. It is replayed when the call is retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// HTTP content type; empty when the response had none.
    pub content_type: String,
    /// The body; `None` when it was too large to record.
    pub body: Option<Bytes>,
}

impl RecordedResponse {
    /// Largest body that is recorded, in bytes.
    pub const MAX_BODY_BYTES: usize = 2048;

    /// Creates a response, dropping a body above [`Self::MAX_BODY_BYTES`].
    pub fn new(status: u16, content_type: impl Into<String>, body: Bytes) -> Self {
        Self {
            status,
            content_type: content_type.into(),
            body: (body.len() <= Self::MAX_BODY_BYTES).then_some(body),
        }
    }

    /// Returns whether the request ran, as far as the endpoint's response shows. A status
    /// that promises the contrary, or that no response has, proves neither.
    pub fn outcome(&self) -> Outcome {
        match is_final(self.status) && !promises_not_run(self.status) {
            true => Outcome::Ran,
            false => Outcome::Unknown,
        }
    }
}

/// The progress of a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// The call is claimed: it may be about to run, be running, or have run.
    Claimed,
    /// The call ran and had this response.
    Done(RecordedResponse),
}

/// A keyed call's entry in the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Hash of the request's content, to detect reuse of the key for another request.
    pub fingerprint: Fingerprint,
    /// The claim under which the call may run.
    pub claim: ClaimId,
    /// Seconds since the Unix epoch after which the record may be dropped.
    pub expires_s: u64,
    /// The progress of the call.
    pub state: RecordState,
}

impl Record {
    /// Estimates how many bytes the record takes in the stored object.
    pub fn size_bytes(&self) -> usize {
        match &self.state {
            RecordState::Claimed => RECORD_BASE_BYTES,
            RecordState::Done(response) => {
                // Bodies are stored as hexadecimal digits.
                RECORD_BASE_BYTES + response.body.as_ref().map_or(0, |body| body.len() * 2)
            }
        }
    }
}

/// The process that may write a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Name of the process.
    pub process: ProcessId,
    /// Incarnation of the process; distinguishes it from earlier runs under the same name.
    pub incarnation: Incarnation,
}

/// Refers to a segment: an immutable set of completed records in an object of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentRef {
    /// Number of the segment within the shard; not reused while a snapshot refers to it.
    pub number: u64,
    /// Version of the segment's object.
    pub version: u64,
    /// Seconds since the Unix epoch after which every record has expired.
    pub expires_s: u64,
}

/// The content of a shard's object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardSnapshot {
    /// The owner's fencing number; grows with each change of owner.
    pub term: Term,
    /// The owner; `None` when the shard never had one.
    pub owner: Option<Owner>,
    /// Identifies the write that stored this snapshot, so that its writer can
    /// recognize it after a lost response.
    pub write_id: u128,
    /// Records that are not in a segment yet.
    pub open: BTreeMap<KeyDigest, Record>,
    /// Segments, oldest first.
    pub segments: Vec<SegmentRef>,
    /// Number of the next segment.
    pub next_segment: u64,
}

impl ShardSnapshot {
    /// Returns the snapshot of a shard that was never written.
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
