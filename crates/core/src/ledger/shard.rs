//! State machine of one ledger shard: ownership, batched writes and read-back.
//!
//! At most one write is in progress at a time. When a write conflicts or its
//! response is lost, the shard reads the object back to learn what happened.
//! Either the object holds the write's identifier and the write took effect, or
//! the object is unchanged and the write is retried, or another process owns the
//! shard. A write never counts as failed or successful without that evidence.

mod acquire;
mod batch;
mod store_io;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::collections::HashMap;
use crate::ids::Fingerprint;
use crate::ids::Term;
use crate::ledger::ClaimId;
use crate::ledger::KeyDigest;
use crate::ledger::Owner;
use crate::ledger::Record;
use crate::ledger::RecordedResponse;
use crate::ledger::SegmentRef;
use crate::ledger::ShardIndex;
use crate::ledger::ShardSnapshot;
use crate::time::Moment;

/// Shortest time between two writes of the shard; bounds the rate of writes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a call to the store is retried after it was unavailable.
const STORE_BACKOFF: Duration = Duration::from_millis(200);
/// Total size of the completed open records (those not in a segment yet) at which
/// they move to a segment.
const MIN_SEGMENT_BYTES: usize = 96 * 1024;
/// Total size of the open records at which new claims are rejected.
const MAX_OPEN_BYTES: usize = 640 * 1024;
/// Largest assumed difference between the wall clocks of two owners, in seconds.
const MAX_CLOCK_SKEW_S: u64 = 60;

/// Identifies a caller that waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Identifies a read or write that was sent to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);

/// A request to run a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The key of the call.
    pub key: KeyDigest,
    /// Hash of the request's content.
    pub fingerprint: Fingerprint,
    /// Identifies the claim; the same on every retry.
    pub id: ClaimId,
    /// Seconds since the Unix epoch after which the key may be used again.
    pub expires_s: u64,
    /// Time after which the caller no longer needs a reply.
    pub deadline: Instant,
}

/// An event or request that a shard handles.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardInput {
    /// Claims a call.
    Claim(CallerId, Claim),
    /// Records the response of a claimed call that ran.
    Settle {
        /// The caller that waits for the reply.
        caller: CallerId,
        /// The key of the call.
        key: KeyDigest,
        /// The claim under which it ran.
        claim: ClaimId,
        /// The response of the call.
        response: RecordedResponse,
    },
    /// Drops a claim whose call did not run and will not run under this claim.
    Release {
        /// The caller that waits for the reply.
        caller: CallerId,
        /// The key of the call.
        key: KeyDigest,
        /// The claim that is released.
        claim: ClaimId,
    },
    /// Queries the progress of a call.
    Lookup {
        /// The caller that waits for the reply.
        caller: CallerId,
        /// The key of the call.
        key: KeyDigest,
        /// Time after which the caller no longer needs a reply.
        deadline: Instant,
    },
    /// The result of a read.
    Read(OpId, ReadResult),
    /// The result of a write.
    Written(OpId, WriteResult),
    /// The time that [`Shard::next_deadline`] returned has passed.
    Tick,
}

/// The name of an object in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectName {
    /// The shard's own object.
    Shard(ShardIndex),
    /// A segment of the shard, by its number.
    Segment(ShardIndex, u64),
}

/// The content of an object.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredObject {
    /// The content of a shard's own object.
    Snapshot(ShardSnapshot),
    /// The records of a segment.
    Segment(Vec<(KeyDigest, Record)>),
}

/// The result of a read from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResult {
    /// The version and content of the object.
    Found(u64, StoredObject),
    /// The object does not exist.
    Missing,
    /// The store did not respond.
    Unavailable,
}

/// The result of a conditional write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write succeeded; the object now has this version.
    Written(u64),
    /// The object has another version than expected; nothing changed.
    Conflict,
    /// No response: the write may have taken effect, or may still do so.
    Unknown,
}

/// An action that the shard requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardOutput {
    /// Reads an object.
    Read(OpId, ObjectName),
    /// Writes an object if it has the given version; version 0 means that it
    /// must not exist.
    Write(OpId, ObjectName, u64, Box<StoredObject>),
    /// Removes an unreferenced object if it has the given version; no result is
    /// reported back.
    Remove(ObjectName, u64),
    /// Replies to a caller.
    Reply(CallerId, LedgerReply),
    /// This process has acquired ownership of the shard, under this term.
    Acquired(Term),
    /// This process has lost ownership to another one.
    Lost,
}

/// The reply to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerReply {
    /// The claim is durable; the call may run once under it.
    Granted(Term),
    /// The call ran before and had this response.
    Done(RecordedResponse),
    /// The call is claimed under another claim; whether it ran is not known.
    InProgress,
    /// The key was already used for a request with other content.
    KeyReused,
    /// The shard is at its size limit and accepts no new key.
    Full,
    /// Another process owns the shard; nothing was claimed.
    NotOwner,
    /// The store did not respond before the deadline; the caller must not run
    /// the call under this claim.
    Unavailable,
    /// The settlement or release is durable.
    Recorded,
    /// No call with this key has been claimed.
    Absent,
}

/// A modification of one record.
#[derive(Clone, Debug)]
enum Change {
    Claim(Claim),
    Settle(KeyDigest, ClaimId, RecordedResponse),
    Release(KeyDigest, ClaimId),
}

/// A change that waits to be written, or is part of the write in progress.
#[derive(Clone, Debug)]
struct QueuedChange {
    /// The caller to reply to; `None` after its deadline and for the shard's own changes.
    caller: Option<CallerId>,
    change: Change,
}

impl QueuedChange {
    fn key(&self) -> KeyDigest {
        match &self.change {
            Change::Claim(claim) => claim.key,
            Change::Settle(key, ..) | Change::Release(key, _) => *key,
        }
    }

    fn deadline(&self) -> Option<Instant> {
        match (&self.change, self.caller) {
            (Change::Claim(claim), Some(_)) => Some(claim.deadline),
            _ => None,
        }
    }
}

#[derive(Clone, Debug)]
enum WritePayload {
    Snapshot {
        snapshot: ShardSnapshot,
        batch: Vec<QueuedChange>,
    },
    Segment {
        number: u64,
        records: Vec<(KeyDigest, Record)>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteProgress {
    /// The write was sent and has no result yet.
    Sent(OpId),
    /// The object is being read back to learn whether the write took effect.
    ReadingBack(OpId),
    /// The result is unknown; the object is read back at this time.
    ReadBackAt(Instant),
}

#[derive(Clone, Debug)]
struct PendingWrite {
    /// The write takes effect only if the object has this version; 0 if it must not
    /// exist.
    if_version: u64,
    payload: WritePayload,
    progress: WriteProgress,
}

/// The steps of acquiring ownership.
#[derive(Clone, Debug)]
enum Phase {
    /// Nothing is loaded; loading may start at `retry_at`.
    Idle { retry_at: Option<Instant> },
    /// The shard's own object is being read.
    ReadingShard(OpId),
    /// The segments are being read, one after another.
    LoadingSegments {
        op: OpId,
        segment: SegmentRef,
        rest: Vec<SegmentRef>,
    },
    /// Everything is loaded. The process owns the shard once a write of its own
    /// term succeeded.
    Loaded,
}

#[derive(Clone, Debug)]
struct VersionedSnapshot {
    version: u64,
    snapshot: ShardSnapshot,
}

/// Index entry of a record that was moved to a segment.
#[derive(Clone, Copy, Debug)]
struct SegmentEntry {
    fingerprint: Fingerprint,
    segment: u64,
}

/// A claim that waits for the outcome of another claim to the same key.
#[derive(Clone, Debug)]
struct Waiter {
    caller: CallerId,
    claim: Claim,
}

/// A read on behalf of one caller, with its key and deadline.
#[derive(Clone, Debug)]
enum PendingRead {
    /// Reads a segment to replay the response of one of its records.
    Replay(CallerId, KeyDigest, Instant),
    /// Checks that the loaded snapshot is current before a key is reported absent.
    ConfirmAbsent(CallerId, KeyDigest, Instant),
}

/// One shard of the ledger in one process.
#[derive(Debug)]
pub struct Shard {
    index: ShardIndex,
    local_owner: Owner,
    phase: Phase,
    /// The last content known to be durable; `None` while nothing is loaded.
    durable: Option<VersionedSnapshot>,
    /// All keys whose records are in segments.
    segment_index: HashMap<KeyDigest, SegmentEntry>,
    /// A stored segment that no durable snapshot refers to yet, with its keys.
    staged_segment: Option<(SegmentRef, Vec<(KeyDigest, Fingerprint)>)>,
    queue: Vec<QueuedChange>,
    /// The only write in progress.
    write: Option<PendingWrite>,
    next_write_at: Option<Instant>,
    /// Claims that wait for the outcome of the claim recorded for their key.
    waiters: BTreeMap<KeyDigest, Vec<Waiter>>,
    pending_reads: BTreeMap<OpId, PendingRead>,
    lookups: Vec<(CallerId, KeyDigest, Instant)>,
    last_op: u64,
    rng: SmallRng,
}

impl Shard {
    /// Creates a shard that is not owned yet. `seed` makes its write identifiers
    /// reproducible.
    pub fn new(index: ShardIndex, local_owner: Owner, seed: u64) -> Self {
        Self {
            index,
            local_owner,
            phase: Phase::Idle { retry_at: None },
            durable: None,
            segment_index: HashMap::default(),
            staged_segment: None,
            queue: Vec::new(),
            write: None,
            next_write_at: None,
            waiters: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            lookups: Vec::new(),
            last_op: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Handles an input and appends the resulting actions to `out`.
    pub fn handle(&mut self, at: Moment, input: ShardInput, out: &mut Vec<ShardOutput>) {
        match input {
            ShardInput::Claim(caller, claim) => self.enqueue(Some(caller), Change::Claim(claim)),
            ShardInput::Settle {
                caller,
                key,
                claim,
                response,
            } => self.enqueue(Some(caller), Change::Settle(key, claim, response)),
            ShardInput::Release { caller, key, claim } => {
                self.enqueue(Some(caller), Change::Release(key, claim));
            }
            ShardInput::Lookup {
                caller,
                key,
                deadline,
            } => self.lookups.push((caller, key, deadline)),
            ShardInput::Read(op, result) => self.handle_read(at, op, result, out),
            ShardInput::Written(op, result) => self.handle_write_result(at, op, result, out),
            ShardInput::Tick => {}
        }
        self.expire_deadlines(at, out);
        self.advance(at, out);
    }

    /// Returns when the next [`ShardInput::Tick`] is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        let mut due: Vec<Instant> = Vec::new();
        due.extend(self.queue.iter().filter_map(QueuedChange::deadline));
        due.extend(self.lookups.iter().map(|(_, _, deadline)| *deadline));
        due.extend(
            self.waiters
                .values()
                .flatten()
                .map(|waiter| waiter.claim.deadline),
        );
        due.extend(self.pending_reads.values().map(|read| match read {
            PendingRead::Replay(_, _, deadline) | PendingRead::ConfirmAbsent(_, _, deadline) => {
                *deadline
            }
        }));
        if let Some(write) = &self.write {
            if let WritePayload::Snapshot { batch, .. } = &write.payload {
                due.extend(batch.iter().filter_map(QueuedChange::deadline));
            }
            if let WriteProgress::ReadBackAt(at) = write.progress {
                due.push(at);
            }
        }
        if let Phase::Idle {
            retry_at: Some(at), ..
        } = self.phase
            && self.has_pending_requests()
        {
            due.push(at);
        }
        if self.term().is_some() && self.write.is_none() && !self.queue.is_empty() {
            due.extend(self.next_write_at);
        }
        due.into_iter().min()
    }

    /// Returns the term under which this process owns the shard.
    pub fn term(&self) -> Option<Term> {
        let snapshot = &self.durable.as_ref()?.snapshot;
        (snapshot.owner.as_ref() == Some(&self.local_owner)).then_some(snapshot.term)
    }

    /// Returns the number of keys that the shard stores.
    pub fn len(&self) -> usize {
        self.segment_index.len()
            + self
                .durable
                .as_ref()
                .map_or(0, |durable| durable.snapshot.open.len())
    }

    /// Returns whether the shard stores no key.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn enqueue(&mut self, caller: Option<CallerId>, change: Change) {
        self.queue.push(QueuedChange { caller, change });
    }

    fn has_pending_requests(&self) -> bool {
        !self.queue.is_empty() || !self.lookups.is_empty()
    }

    fn next_op_id(&mut self) -> OpId {
        self.last_op += 1;
        OpId(self.last_op)
    }

    fn object_name(&self) -> ObjectName {
        ObjectName::Shard(self.index)
    }

    /// Starts every store operation that the state allows.
    fn advance(&mut self, at: Moment, out: &mut Vec<ShardOutput>) {
        self.start_acquire(at, out);
        self.start_read_back(at, out);
        if self.term().is_some() {
            self.process_lookups(out);
            self.start_write(at, out);
        }
    }

    /// Replies to callers whose deadline has passed.
    fn expire_deadlines(&mut self, at: Moment, out: &mut Vec<ShardOutput>) {
        let now = at.now;
        let is_late =
            |queued: &QueuedChange| queued.deadline().is_some_and(|deadline| deadline <= now);
        let unavailable = |caller| ShardOutput::Reply(caller, LedgerReply::Unavailable);
        for queued in self.queue.extract_if(.., |queued| is_late(queued)) {
            out.extend(queued.caller.map(unavailable));
        }
        if let Some(PendingWrite {
            payload: WritePayload::Snapshot { batch, .. },
            ..
        }) = &mut self.write
        {
            for queued in batch.iter_mut().filter(|queued| is_late(queued)) {
                // The write may still take effect; complete_snapshot_write then
                // releases the claim.
                out.extend(queued.caller.take().map(unavailable));
            }
        }
        for waiters in self.waiters.values_mut() {
            for waiter in waiters.extract_if(.., |w| w.claim.deadline <= now) {
                out.push(ShardOutput::Reply(waiter.caller, LedgerReply::InProgress));
            }
        }
        self.waiters.retain(|_, waiters| !waiters.is_empty());
        let late_lookups = self
            .lookups
            .extract_if(.., |(_, _, deadline)| *deadline <= now);
        for (caller, _, _) in late_lookups {
            out.push(unavailable(caller));
        }
        self.pending_reads.retain(|_, read| {
            let (PendingRead::Replay(caller, _, deadline)
            | PendingRead::ConfirmAbsent(caller, _, deadline)) = read;
            if *deadline <= now {
                out.push(unavailable(*caller));
            }
            *deadline > now
        });
    }

    /// Drops all state and replies `NotOwner`, because another process owns the shard.
    fn drop_ownership(&mut self, at: Moment, out: &mut Vec<ShardOutput>) {
        let was_owned = self.term().is_some();
        let not_owner = |caller| ShardOutput::Reply(caller, LedgerReply::NotOwner);
        if let Some(PendingWrite {
            payload: WritePayload::Snapshot { batch, .. },
            ..
        }) = self.write.take()
        {
            out.extend(
                batch
                    .into_iter()
                    .filter_map(|queued| queued.caller)
                    .map(not_owner),
            );
        }
        out.extend(
            self.queue
                .drain(..)
                .filter_map(|queued| queued.caller)
                .map(not_owner),
        );
        for waiter in std::mem::take(&mut self.waiters).into_values().flatten() {
            out.push(not_owner(waiter.caller));
        }
        for (caller, _, _) in self.lookups.drain(..) {
            out.push(not_owner(caller));
        }
        for (_, read) in std::mem::take(&mut self.pending_reads) {
            let (PendingRead::Replay(caller, ..) | PendingRead::ConfirmAbsent(caller, ..)) = read;
            out.push(not_owner(caller));
        }
        self.phase = Phase::Idle {
            retry_at: Some(at.now + STORE_BACKOFF),
        };
        self.durable = None;
        self.staged_segment = None;
        self.next_write_at = None;
        self.segment_index = HashMap::default();
        if was_owned {
            out.push(ShardOutput::Lost);
        }
    }

    fn new_write_id(&mut self) -> u128 {
        let high = u128::from(self.rng.next_u64());
        let low = u128::from(self.rng.next_u64());
        // Zero is reserved for a shard that was never written.
        (high << 64 | low).max(1)
    }
}
