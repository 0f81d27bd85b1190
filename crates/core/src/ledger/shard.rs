//! One shard of the ledger: ownership, group commit and read-back.
//!
//! The state machine has at most one write under way. A write whose answer
//! was lost is settled by reading back: either its identifier stands in the
//! object, or the object is unchanged and the same write is sent again, or
//! another process owns the shard. Nothing is assumed.

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

/// Least time between two writes of a busy shard; bounds the write rate.
const WRITE_GAP: Duration = Duration::from_millis(50);
/// Wait before the store is asked again after it did not answer.
const STORE_BACKOFF: Duration = Duration::from_millis(200);
/// Open records, in bytes, at which answered ones move to a segment.
const ROLL_BYTES: usize = 96 * 1024;
/// Open records, in bytes, above which no claim is taken.
const MAX_OPEN_BYTES: usize = 640 * 1024;
/// Bound on how much wall clocks of owners differ, in seconds.
const WALL_SKEW_S: u64 = 60;

/// Identifies who waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Identifies a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);

/// A wish to run a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The call.
    pub key: KeyDigest,
    /// Hash of what it asks for.
    pub fingerprint: Fingerprint,
    /// Identifies the wish; the same on every try.
    pub id: ClaimId,
    /// Seconds since the Unix epoch after which the key may be used again.
    pub expires_s: u64,
    /// When the reply is worthless.
    pub deadline: Instant,
}

/// What a shard is told.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardInput {
    /// Claim a call.
    Claim(CallerId, Claim),
    /// A claimed call ran; keep its answer.
    Settle {
        /// Who waits for the reply.
        caller: CallerId,
        /// The call.
        key: KeyDigest,
        /// The claim under which it ran.
        claim: ClaimId,
        /// Its answer.
        response: RecordedResponse,
    },
    /// A claimed call did not run and will not run under this claim.
    Release {
        /// Who waits for the reply.
        caller: CallerId,
        /// The call.
        key: KeyDigest,
        /// The claim that is given up.
        claim: ClaimId,
    },
    /// Ask how far a call got.
    Lookup {
        /// Who waits for the reply.
        caller: CallerId,
        /// The call.
        key: KeyDigest,
        /// When the reply is worthless.
        deadline: Instant,
    },
    /// The store answered a read.
    Read(OpId, ReadResult),
    /// The store answered a write, or did not.
    Written(OpId, WriteResult),
    /// Time passed.
    Tick,
}

/// Names an object of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectName {
    /// The shard's own object.
    Shard(ShardIndex),
    /// A closed segment of the shard.
    Segment(ShardIndex, u64),
}

/// The content of an object.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredObject {
    /// A shard's object.
    Snapshot(ShardSnapshot),
    /// A segment's records.
    Segment(Vec<(KeyDigest, Record)>),
}

/// What a read brought.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResult {
    /// The object and its version.
    Found(u64, StoredObject),
    /// There is no such object.
    Missing,
    /// The store did not answer.
    Unavailable,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect and made this version.
    Written(u64),
    /// The object has another version; nothing changed.
    Conflict,
    /// No answer: it may have taken effect, or may still.
    Unknown,
}

/// What a shard wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardOutput {
    /// Read an object.
    Read(OpId, ObjectName),
    /// Write an object if it has the version given; zero: if it does not exist.
    Write(OpId, ObjectName, u64, Box<StoredObject>),
    /// Remove an object that nothing refers to; no answer is needed.
    Remove(ObjectName, u64),
    /// Answer a caller.
    Reply(CallerId, LedgerReply),
    /// The shard is owned here from now on.
    Acquired(Term),
    /// Another process owns the shard.
    Lost,
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerReply {
    /// The claim is durable; the call may run once under it.
    Granted(Term),
    /// The call ran before; this was its answer.
    Done(RecordedResponse),
    /// Another claim holds the call; whether it ran is not known.
    InProgress,
    /// The key was used for another call.
    KeyReused,
    /// The shard has no room for another key.
    Full,
    /// Another process owns the shard; nothing was claimed.
    NotOwner,
    /// The store did not answer in time; nothing runs under this claim.
    Unavailable,
    /// The settlement or release is durable.
    Recorded,
    /// No call with this key has been claimed.
    Absent,
}

#[derive(Clone, Debug)]
enum Change {
    Claim(Claim),
    Settle(KeyDigest, ClaimId, RecordedResponse),
    Release(KeyDigest, ClaimId),
}

#[derive(Clone, Debug)]
struct Op {
    /// `None` once the caller was answered or for the shard's own changes.
    caller: Option<CallerId>,
    change: Change,
}

impl Op {
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
enum Payload {
    Head {
        image: ShardSnapshot,
        batch: Vec<Op>,
    },
    Segment {
        number: u64,
        records: Vec<(KeyDigest, Record)>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Sent(OpId),
    Checking(OpId),
    CheckAt(Instant),
}

#[derive(Clone, Debug)]
struct Write {
    if_version: u64,
    payload: Payload,
    progress: Progress,
}

#[derive(Clone, Debug)]
enum Phase {
    Idle {
        retry_at: Option<Instant>,
    },
    Reading(OpId),
    Loading {
        op: OpId,
        segment: SegmentRef,
        rest: Vec<SegmentRef>,
    },
    /// The base image is current as far as known; a write makes it ours.
    Held,
}

#[derive(Clone, Debug)]
struct Durable {
    version: u64,
    image: ShardSnapshot,
}

/// A record that was moved to a segment.
#[derive(Clone, Copy, Debug)]
struct Rolled {
    fingerprint: Fingerprint,
    segment: u64,
}

#[derive(Clone, Debug)]
struct Waiter {
    caller: CallerId,
    claim: Claim,
}

#[derive(Clone, Debug)]
enum PendingRead {
    /// The answer of a rolled record, for a replay.
    Replay(CallerId, KeyDigest, Instant),
    /// Confirms that the base is current before a key is called absent.
    Confirm(CallerId, KeyDigest, Instant),
}

/// One shard of the ledger in one process.
#[derive(Debug)]
pub struct Shard {
    index: ShardIndex,
    me: Owner,
    phase: Phase,
    /// The last content known to be durable; set in `Phase::Held`.
    base: Option<Durable>,
    rolled: HashMap<KeyDigest, Rolled>,
    /// A written segment that the next image will refer to.
    staged: Option<(SegmentRef, Vec<(KeyDigest, Fingerprint)>)>,
    queue: Vec<Op>,
    write: Option<Write>,
    next_write_at: Option<Instant>,
    /// Re-sent calls that wait for the claim that holds their key.
    waiters: BTreeMap<KeyDigest, Vec<Waiter>>,
    reads: BTreeMap<OpId, PendingRead>,
    lookups: Vec<(CallerId, KeyDigest, Instant)>,
    next_op: u64,
    rng: SmallRng,
}

impl Shard {
    /// Returns a shard that is not owned yet; `seed` makes its draws repeatable.
    pub fn new(index: ShardIndex, me: Owner, seed: u64) -> Self {
        Self {
            index,
            me,
            phase: Phase::Idle { retry_at: None },
            base: None,
            rolled: HashMap::default(),
            staged: None,
            queue: Vec::new(),
            write: None,
            next_write_at: None,
            waiters: BTreeMap::new(),
            reads: BTreeMap::new(),
            lookups: Vec::new(),
            next_op: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes an input and appends what has to be done.
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
            ShardInput::Read(op, result) => self.read(at, op, result, out),
            ShardInput::Written(op, result) => self.written(at, op, result, out),
            ShardInput::Tick => {}
        }
        self.expire(at, out);
        self.pump(at, out);
    }

    /// Returns when `ShardInput::Tick` is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        let mut due: Vec<Instant> = Vec::new();
        due.extend(self.queue.iter().filter_map(Op::deadline));
        due.extend(self.lookups.iter().map(|(_, _, deadline)| *deadline));
        due.extend(
            self.waiters
                .values()
                .flatten()
                .map(|waiter| waiter.claim.deadline),
        );
        due.extend(self.reads.values().map(|read| match read {
            PendingRead::Replay(_, _, deadline) | PendingRead::Confirm(_, _, deadline) => *deadline,
        }));
        if let Some(write) = &self.write {
            if let Payload::Head { batch, .. } = &write.payload {
                due.extend(batch.iter().filter_map(Op::deadline));
            }
            if let Progress::CheckAt(at) = write.progress {
                due.push(at);
            }
        }
        if let Phase::Idle {
            retry_at: Some(at), ..
        } = self.phase
            && self.is_wanted()
        {
            due.push(at);
        }
        if self.term().is_some() && self.write.is_none() && !self.queue.is_empty() {
            due.extend(self.next_write_at);
        }
        due.into_iter().min()
    }

    /// Returns the term under which the shard is owned here.
    pub fn term(&self) -> Option<Term> {
        let image = &self.base.as_ref()?.image;
        (image.owner.as_ref() == Some(&self.me)).then_some(image.term)
    }

    /// Returns how many keys the shard remembers.
    pub fn len(&self) -> usize {
        self.rolled.len() + self.base.as_ref().map_or(0, |base| base.image.open.len())
    }

    /// Returns whether the shard remembers no key.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn enqueue(&mut self, caller: Option<CallerId>, change: Change) {
        self.queue.push(Op { caller, change });
    }

    fn is_wanted(&self) -> bool {
        !self.queue.is_empty() || !self.lookups.is_empty()
    }

    fn op_id(&mut self) -> OpId {
        self.next_op += 1;
        OpId(self.next_op)
    }

    fn name(&self) -> ObjectName {
        ObjectName::Shard(self.index)
    }

    /// Starts whatever the state allows.
    fn pump(&mut self, at: Moment, out: &mut Vec<ShardOutput>) {
        self.pump_acquire(at, out);
        self.pump_check(at, out);
        if self.term().is_some() {
            self.pump_lookups(out);
            self.pump_write(at, out);
        }
    }

    /// Answers callers whose deadline has passed.
    fn expire(&mut self, at: Moment, out: &mut Vec<ShardOutput>) {
        let now = at.now;
        let late = |op: &Op| op.deadline().is_some_and(|deadline| deadline <= now);
        let unavailable = |caller| ShardOutput::Reply(caller, LedgerReply::Unavailable);
        for op in self.queue.extract_if(.., |op| late(op)) {
            out.extend(op.caller.map(unavailable));
        }
        if let Some(Write {
            payload: Payload::Head { batch, .. },
            ..
        }) = &mut self.write
        {
            for op in batch.iter_mut().filter(|op| late(op)) {
                // The write may still take effect; the claim is then released.
                out.extend(op.caller.take().map(unavailable));
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
        self.reads.retain(|_, read| {
            let (PendingRead::Replay(caller, _, deadline)
            | PendingRead::Confirm(caller, _, deadline)) = read;
            if *deadline <= now {
                out.push(unavailable(*caller));
            }
            *deadline > now
        });
    }

    /// Gives the shard up: another process owns it.
    fn lose(&mut self, at: Moment, out: &mut Vec<ShardOutput>) {
        let was_owned = self.term().is_some();
        let not_owner = |caller| ShardOutput::Reply(caller, LedgerReply::NotOwner);
        if let Some(Write {
            payload: Payload::Head { batch, .. },
            ..
        }) = self.write.take()
        {
            out.extend(batch.into_iter().filter_map(|op| op.caller).map(not_owner));
        }
        out.extend(
            self.queue
                .drain(..)
                .filter_map(|op| op.caller)
                .map(not_owner),
        );
        for waiter in std::mem::take(&mut self.waiters).into_values().flatten() {
            out.push(not_owner(waiter.caller));
        }
        for (caller, _, _) in self.lookups.drain(..) {
            out.push(not_owner(caller));
        }
        for (_, read) in std::mem::take(&mut self.reads) {
            let (PendingRead::Replay(caller, ..) | PendingRead::Confirm(caller, ..)) = read;
            out.push(not_owner(caller));
        }
        self.phase = Phase::Idle {
            retry_at: Some(at.now + STORE_BACKOFF),
        };
        self.base = None;
        self.staged = None;
        self.next_write_at = None;
        self.rolled = HashMap::default();
        if was_owned {
            out.push(ShardOutput::Lost);
        }
    }

    fn draw_write_id(&mut self) -> u128 {
        let high = u128::from(self.rng.next_u64());
        let low = u128::from(self.rng.next_u64());
        // Zero stands for a shard that was never written.
        (high << 64 | low).max(1)
    }
}
