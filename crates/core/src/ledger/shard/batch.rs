//! Batched writes: builds the next snapshot from the queued changes.
//!
//! Completed records move to segments, so that the shard's object, which every
//! write sends whole, stays small.

use crate::ids::Fingerprint;
use crate::ledger::KeyDigest;
use crate::ledger::LedgerReply;
use crate::ledger::ObjectName;
use crate::ledger::Record;
use crate::ledger::RecordState;
use crate::ledger::ShardSnapshot;
use crate::ledger::shard::Change;
use crate::ledger::shard::Claim;
use crate::ledger::shard::MAX_CLOCK_SKEW_S;
use crate::ledger::shard::MAX_OPEN_BYTES;
use crate::ledger::shard::MIN_SEGMENT_BYTES;
use crate::ledger::shard::PendingRead;
use crate::ledger::shard::QueuedChange;
use crate::ledger::shard::Shard;
use crate::ledger::shard::ShardOutput;
use crate::ledger::shard::Waiter;
use crate::ledger::shard::WritePayload;
use crate::time::Moment;

/// What to do with a queued change, given the snapshot that the write starts from.
enum Decision {
    /// Apply it to the snapshot.
    Apply,
    /// Reply to the caller; nothing changes.
    Reply(LedgerReply),
    /// Wait until the other claim to the key is settled or released.
    Wait,
    /// Read the recorded response from the segment with this number.
    Replay(u64),
}

impl Shard {
    /// Replies to lookups from the snapshot. Reads the store where the record is
    /// in a segment, and before a key is reported absent.
    pub(super) fn process_lookups(&mut self, out: &mut Vec<ShardOutput>) {
        if self.lookups.is_empty() || self.write.is_some() {
            return;
        }
        for (caller, key, deadline) in std::mem::take(&mut self.lookups) {
            let existing = self
                .durable
                .as_ref()
                .and_then(|durable| durable.snapshot.open.get(&key));
            if let Some(record) = existing {
                let reply = match &record.state {
                    RecordState::Claimed => LedgerReply::InProgress,
                    RecordState::Done(response) => LedgerReply::Done(response.clone()),
                };
                out.push(ShardOutput::Reply(caller, reply));
                continue;
            }
            let op = self.next_op_id();
            let (pending, name) = match self.segment_index.get(&key) {
                Some(entry) => (
                    PendingRead::Replay(caller, key, deadline),
                    ObjectName::Segment(self.index, entry.segment),
                ),
                None => (
                    PendingRead::ConfirmAbsent(caller, key, deadline),
                    self.object_name(),
                ),
            };
            self.pending_reads.insert(op, pending);
            out.push(ShardOutput::Read(op, name));
        }
    }

    /// Starts a write, if none is in progress: of a segment when one is due,
    /// otherwise of the queued changes.
    pub(super) fn start_write(&mut self, at: Moment, out: &mut Vec<ShardOutput>) {
        if self.write.is_some() {
            return;
        }
        if self.queue.is_empty() && self.staged_segment.is_none() {
            self.start_segment_write(out);
            return;
        }
        if self.next_write_at.is_some_and(|due| at.now < due) {
            return;
        }
        if self.staged_segment.is_none() && self.start_segment_write(out) {
            return;
        }
        self.write_batch(at, out);
    }

    /// Writes a snapshot with every queued change that can be applied now.
    fn write_batch(&mut self, at: Moment, out: &mut Vec<ShardOutput>) {
        let Some(durable) = &self.durable else {
            return;
        };
        let if_version = durable.version;
        let mut snapshot = durable.snapshot.clone();
        self.include_staged_segment(&mut snapshot);
        drop_expired(&mut snapshot, at.unix_s);
        let mut batch = Vec::new();
        let mut touched: Vec<KeyDigest> = Vec::new();
        for queued in std::mem::take(&mut self.queue) {
            if touched.contains(&queued.key()) {
                // The earlier change of the same key must become durable first.
                self.queue.push(queued);
                continue;
            }
            match self.decide(&queued, &snapshot) {
                Decision::Apply => {
                    touched.push(queued.key());
                    apply(&queued, &mut snapshot);
                    batch.push(queued);
                }
                Decision::Reply(reply) => {
                    out.extend(
                        queued
                            .caller
                            .map(|caller| ShardOutput::Reply(caller, reply)),
                    );
                }
                Decision::Wait => self.add_waiter(queued),
                Decision::Replay(segment) => self.read_for_replay(queued, segment, out),
            }
        }
        if batch.is_empty() && self.staged_segment.is_none() {
            return;
        }
        self.send_write(if_version, WritePayload::Snapshot { snapshot, batch }, out);
    }

    fn decide(&self, queued: &QueuedChange, snapshot: &ShardSnapshot) -> Decision {
        let existing = snapshot
            .open
            .get(&queued.key())
            .or_else(|| self.staged_record(queued.key()));
        match &queued.change {
            Change::Claim(claim) => self.decide_claim(claim, existing, snapshot),
            Change::Settle(_, claim, _) => match existing {
                Some(record) if record.claim == *claim && !is_done(record) => Decision::Apply,
                _ => Decision::Reply(LedgerReply::Recorded),
            },
            Change::Release(_, claim) => match existing {
                Some(record) if record.claim == *claim && !is_done(record) => Decision::Apply,
                _ => Decision::Reply(LedgerReply::Recorded),
            },
        }
    }

    /// Returns a record that the next snapshot moves to the staged segment.
    fn staged_record(&self, key: KeyDigest) -> Option<&Record> {
        let (_, keys) = self.staged_segment.as_ref()?;
        let is_staged = keys.iter().any(|(staged, _)| *staged == key);
        let durable = self.durable.as_ref()?;
        is_staged.then(|| durable.snapshot.open.get(&key)).flatten()
    }

    fn decide_claim(
        &self,
        claim: &Claim,
        existing: Option<&Record>,
        snapshot: &ShardSnapshot,
    ) -> Decision {
        if let Some(record) = existing {
            return decide_existing(claim, record, snapshot);
        }
        if let Some(entry) = self.segment_index.get(&claim.key) {
            return replay_if_same_request(claim, entry.fingerprint, entry.segment);
        }
        if snapshot.open_bytes() >= MAX_OPEN_BYTES {
            return Decision::Reply(LedgerReply::Full);
        }
        Decision::Apply
    }

    /// Lets a claim wait for the outcome of the claim that is recorded for its key.
    fn add_waiter(&mut self, queued: QueuedChange) {
        if let (Change::Claim(claim), Some(caller)) = (queued.change, queued.caller) {
            let waiter = Waiter { caller, claim };
            self.waiters
                .entry(waiter.claim.key)
                .or_default()
                .push(waiter);
        }
    }

    fn read_for_replay(&mut self, queued: QueuedChange, segment: u64, out: &mut Vec<ShardOutput>) {
        let (Change::Claim(claim), Some(caller)) = (queued.change, queued.caller) else {
            return;
        };
        let read = self.next_op_id();
        let pending = PendingRead::Replay(caller, claim.key, claim.deadline);
        self.pending_reads.insert(read, pending);
        out.push(ShardOutput::Read(
            read,
            ObjectName::Segment(self.index, segment),
        ));
    }

    /// Moves the records of the staged segment out of the snapshot and refers to it.
    fn include_staged_segment(&self, snapshot: &mut ShardSnapshot) {
        let Some((segment, keys)) = &self.staged_segment else {
            return;
        };
        for (key, _) in keys {
            snapshot.open.remove(key);
        }
        snapshot.segments.push(*segment);
        snapshot.next_segment = segment.number + 1;
    }

    /// Writes the completed open records to a segment once they reach
    /// [`MIN_SEGMENT_BYTES`]. Returns whether it started the write.
    fn start_segment_write(&mut self, out: &mut Vec<ShardOutput>) -> bool {
        let Some(durable) = &self.durable else {
            return false;
        };
        let completed = durable.snapshot.open.iter().filter(|(_, r)| is_done(r));
        let bytes: usize = completed.clone().map(|(_, r)| r.size_bytes()).sum();
        if bytes < MIN_SEGMENT_BYTES {
            return false;
        }
        let records = completed.map(|(key, r)| (*key, r.clone())).collect();
        let number = durable.snapshot.next_segment;
        self.send_write(0, WritePayload::Segment { number, records }, out);
        true
    }
}

fn is_done(record: &Record) -> bool {
    matches!(record.state, RecordState::Done(_))
}

fn decide_existing(claim: &Claim, record: &Record, snapshot: &ShardSnapshot) -> Decision {
    if record.fingerprint != claim.fingerprint {
        return Decision::Reply(LedgerReply::KeyReused);
    }
    match &record.state {
        RecordState::Done(response) => Decision::Reply(LedgerReply::Done(response.clone())),
        RecordState::Claimed if record.claim == claim.id => {
            Decision::Reply(LedgerReply::Granted(snapshot.term))
        }
        RecordState::Claimed => Decision::Wait,
    }
}

fn replay_if_same_request(claim: &Claim, fingerprint: Fingerprint, segment: u64) -> Decision {
    if fingerprint == claim.fingerprint {
        Decision::Replay(segment)
    } else {
        Decision::Reply(LedgerReply::KeyReused)
    }
}

fn apply(queued: &QueuedChange, snapshot: &mut ShardSnapshot) {
    match &queued.change {
        Change::Claim(claim) => {
            let record = Record {
                fingerprint: claim.fingerprint,
                claim: claim.id,
                expires_s: claim.expires_s,
                state: RecordState::Claimed,
            };
            snapshot.open.insert(claim.key, record);
        }
        Change::Settle(key, _, response) => {
            if let Some(record) = snapshot.open.get_mut(key) {
                record.state = RecordState::Done(response.clone());
            }
        }
        Change::Release(key, _) => {
            snapshot.open.remove(key);
        }
    }
}

/// Drops expired records and segments. The margin keeps an owner whose clock is ahead
/// from dropping keys too early.
fn drop_expired(snapshot: &mut ShardSnapshot, unix_s: u64) {
    let expired = |expires_s: u64| expires_s + MAX_CLOCK_SKEW_S < unix_s;
    snapshot.open.retain(|_, record| !expired(record.expires_s));
    snapshot
        .segments
        .retain(|segment| !expired(segment.expires_s));
}
