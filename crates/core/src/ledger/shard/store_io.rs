//! Reads and writes of the store and the handling of their results.
//!
//! A write whose result is not certain is read back before anything else is
//! written. Callers get their replies only once their change is durable.

use std::time::Instant;

use crate::ids::Fingerprint;
use crate::ledger::CallerId;
use crate::ledger::KeyDigest;
use crate::ledger::LedgerReply;
use crate::ledger::ObjectName;
use crate::ledger::OpId;
use crate::ledger::ReadResult;
use crate::ledger::Record;
use crate::ledger::RecordState;
use crate::ledger::SegmentRef;
use crate::ledger::StoredObject;
use crate::ledger::WriteResult;
use crate::ledger::shard::Change;
use crate::ledger::shard::MIN_WRITE_INTERVAL;
use crate::ledger::shard::PendingRead;
use crate::ledger::shard::PendingWrite;
use crate::ledger::shard::Phase;
use crate::ledger::shard::QueuedChange;
use crate::ledger::shard::STORE_BACKOFF;
use crate::ledger::shard::SegmentEntry;
use crate::ledger::shard::Shard;
use crate::ledger::shard::ShardOutput;
use crate::ledger::shard::VersionedSnapshot;
use crate::ledger::shard::WritePayload;
use crate::ledger::shard::WriteProgress;
use crate::time::Moment;

impl Shard {
    /// Sends a write and records it as the one in progress. A snapshot gets a new
    /// write identifier.
    pub(super) fn send_write(
        &mut self,
        if_version: u64,
        payload: WritePayload,
        out: &mut Vec<ShardOutput>,
    ) {
        let write_id = self.new_write_id();
        let payload = match payload {
            WritePayload::Snapshot {
                mut snapshot,
                batch,
            } => {
                snapshot.write_id = write_id;
                WritePayload::Snapshot { snapshot, batch }
            }
            segment @ WritePayload::Segment { .. } => segment,
        };
        let op = self.next_op_id();
        let write = PendingWrite {
            if_version,
            payload,
            progress: WriteProgress::Sent(op),
        };
        out.push(self.write_output(op, &write));
        self.write = Some(write);
    }

    fn write_output(&self, op: OpId, write: &PendingWrite) -> ShardOutput {
        let (name, content) = match &write.payload {
            WritePayload::Snapshot { snapshot, .. } => {
                (self.object_name(), StoredObject::Snapshot(snapshot.clone()))
            }
            WritePayload::Segment { number, records } => (
                ObjectName::Segment(self.index, *number),
                StoredObject::Segment(records.clone()),
            ),
        };
        ShardOutput::Write(op, name, write.if_version, Box::new(content))
    }

    /// Reads back a write with an unknown result once its delay has passed.
    pub(super) fn start_read_back(&mut self, at: Moment, out: &mut Vec<ShardOutput>) {
        let Some(write) = &self.write else {
            return;
        };
        if !matches!(write.progress, WriteProgress::ReadBackAt(due) if due <= at.now) {
            return;
        }
        self.read_back_write(out);
    }

    fn read_back_write(&mut self, out: &mut Vec<ShardOutput>) {
        let op = self.next_op_id();
        let (shard, index) = (self.object_name(), self.index);
        let Some(write) = &mut self.write else {
            return;
        };
        write.progress = WriteProgress::ReadingBack(op);
        let name = match write.payload {
            WritePayload::Snapshot { .. } => shard,
            WritePayload::Segment { number, .. } => ObjectName::Segment(index, number),
        };
        out.push(ShardOutput::Read(op, name));
    }

    pub(super) fn handle_write_result(
        &mut self,
        at: Moment,
        op: OpId,
        result: WriteResult,
        out: &mut Vec<ShardOutput>,
    ) {
        let Some(write) = &mut self.write else {
            return;
        };
        if write.progress != WriteProgress::Sent(op) {
            return;
        }
        match result {
            WriteResult::Written(version) => self.complete_write(at, version, out),
            WriteResult::Conflict => self.read_back_write(out),
            WriteResult::Unknown => {
                write.progress = WriteProgress::ReadBackAt(at.now + STORE_BACKOFF)
            }
        }
    }

    /// Passes the result of a read to the operation that requested it.
    pub(super) fn handle_read(
        &mut self,
        at: Moment,
        op: OpId,
        result: ReadResult,
        out: &mut Vec<ShardOutput>,
    ) {
        if let Some(pending) = self.pending_reads.remove(&op) {
            self.handle_caller_read(at, pending, result, out);
            return;
        }
        match self.phase.clone() {
            Phase::ReadingShard(expected) if expected == op => {
                self.handle_shard_read(at, result, out)
            }
            Phase::LoadingSegments {
                op: expected,
                segment,
                rest,
            } if expected == op => self.handle_segment_read(at, segment, rest, result, out),
            _ => self.handle_read_back(at, op, result, out),
        }
    }

    /// Decides from the object as it is now whether the write in progress took
    /// effect, is to be retried, or was prevented by another owner.
    fn handle_read_back(
        &mut self,
        at: Moment,
        op: OpId,
        result: ReadResult,
        out: &mut Vec<ShardOutput>,
    ) {
        let Some(write) = &mut self.write else {
            return;
        };
        if write.progress != WriteProgress::ReadingBack(op) {
            return;
        }
        let (version, content) = match result {
            ReadResult::Found(version, content) => (version, Some(content)),
            ReadResult::Missing => (0, None),
            ReadResult::Unavailable => {
                write.progress = WriteProgress::ReadBackAt(at.now + STORE_BACKOFF);
                return;
            }
        };
        let took_effect = match (&write.payload, &content) {
            (WritePayload::Snapshot { snapshot, .. }, Some(StoredObject::Snapshot(found))) => {
                snapshot.write_id == found.write_id
            }
            (WritePayload::Segment { records, .. }, Some(StoredObject::Segment(found))) => {
                records == found
            }
            _ => false,
        };
        if took_effect {
            self.complete_write(at, version, out);
        } else if version == write.if_version {
            self.retry_write(version, out);
        } else if let WritePayload::Segment { .. } = write.payload {
            // The object is a segment that a former owner wrote and no snapshot
            // refers to, so it may be replaced.
            self.retry_write(version, out);
        } else {
            self.drop_ownership(at, out);
        }
    }

    /// Sends the write in progress again. It keeps its write identifier, so that an
    /// earlier attempt that takes effect late is recognized.
    fn retry_write(&mut self, if_version: u64, out: &mut Vec<ShardOutput>) {
        let op = self.next_op_id();
        let Some(mut write) = self.write.take() else {
            return;
        };
        write.if_version = if_version;
        write.progress = WriteProgress::Sent(op);
        out.push(self.write_output(op, &write));
        self.write = Some(write);
    }

    fn complete_write(&mut self, at: Moment, version: u64, out: &mut Vec<ShardOutput>) {
        let Some(write) = self.write.take() else {
            return;
        };
        match write.payload {
            WritePayload::Segment { number, records } => {
                self.complete_segment_write(number, version, &records);
            }
            WritePayload::Snapshot { snapshot, batch } => {
                self.next_write_at = Some(at.now + MIN_WRITE_INTERVAL);
                self.complete_snapshot_write(VersionedSnapshot { version, snapshot }, batch, out);
            }
        }
    }

    /// Stages a stored segment; the next snapshot refers to it.
    fn complete_segment_write(
        &mut self,
        number: u64,
        version: u64,
        records: &[(KeyDigest, Record)],
    ) {
        let expires_s = records.iter().map(|(_, r)| r.expires_s).max().unwrap_or(0);
        let segment = SegmentRef {
            number,
            version,
            expires_s,
        };
        let keys: Vec<(KeyDigest, Fingerprint)> = records
            .iter()
            .map(|(key, r)| (*key, r.fingerprint))
            .collect();
        self.staged_segment = Some((segment, keys));
    }

    /// Makes a stored snapshot the durable one and replies to the callers of its
    /// batch.
    fn complete_snapshot_write(
        &mut self,
        written: VersionedSnapshot,
        batch: Vec<QueuedChange>,
        out: &mut Vec<ShardOutput>,
    ) {
        let owned_before = self.term().is_some();
        let term = written.snapshot.term;
        self.index_staged_segment(&written);
        self.remove_expired_segments(&written, out);
        self.durable = Some(written);
        if !owned_before {
            out.push(ShardOutput::Acquired(term));
        }
        for queued in batch {
            match (queued.change, queued.caller) {
                (Change::Claim(_), Some(caller)) => {
                    out.push(ShardOutput::Reply(caller, LedgerReply::Granted(term)));
                }
                (Change::Claim(claim), None) => {
                    // The caller got `Unavailable` and will not run the call.
                    self.enqueue(None, Change::Release(claim.key, claim.id));
                }
                (Change::Settle(key, _, response), caller) => {
                    out.extend(caller.map(|c| ShardOutput::Reply(c, LedgerReply::Recorded)));
                    for waiter in self.waiters.remove(&key).unwrap_or_default() {
                        let reply = LedgerReply::Done(response.clone());
                        out.push(ShardOutput::Reply(waiter.caller, reply));
                    }
                }
                (Change::Release(key, _), caller) => {
                    out.extend(caller.map(|c| ShardOutput::Reply(c, LedgerReply::Recorded)));
                    for waiter in self.waiters.remove(&key).unwrap_or_default() {
                        self.enqueue(Some(waiter.caller), Change::Claim(waiter.claim));
                    }
                }
            }
        }
    }

    /// Indexes the keys of the staged segment once the written snapshot refers to it.
    fn index_staged_segment(&mut self, written: &VersionedSnapshot) {
        let Some((segment, keys)) = self.staged_segment.take() else {
            return;
        };
        if !written.snapshot.segments.contains(&segment) {
            self.staged_segment = Some((segment, keys));
            return;
        }
        for (key, fingerprint) in keys {
            let entry = SegmentEntry {
                fingerprint,
                segment: segment.number,
            };
            self.segment_index.insert(key, entry);
        }
    }

    /// Removes the segments that the written snapshot no longer refers to.
    fn remove_expired_segments(&mut self, written: &VersionedSnapshot, out: &mut Vec<ShardOutput>) {
        let Some(durable) = &self.durable else {
            return;
        };
        for segment in &durable.snapshot.segments {
            if !written.snapshot.segments.contains(segment) {
                let name = ObjectName::Segment(self.index, segment.number);
                out.push(ShardOutput::Remove(name, segment.version));
                self.segment_index
                    .retain(|_, entry| entry.segment != segment.number);
            }
        }
    }

    fn handle_caller_read(
        &mut self,
        at: Moment,
        pending: PendingRead,
        result: ReadResult,
        out: &mut Vec<ShardOutput>,
    ) {
        let (caller, reply) = match (pending, result) {
            (
                PendingRead::Replay(caller, key, _),
                ReadResult::Found(_, StoredObject::Segment(records)),
            ) => {
                let found = records.into_iter().find(|(stored, _)| *stored == key);
                let reply = match found.map(|(_, record)| record.state) {
                    Some(RecordState::Done(response)) => LedgerReply::Done(response),
                    _ => LedgerReply::InProgress,
                };
                (caller, reply)
            }
            (PendingRead::Replay(caller, ..), _) => (caller, LedgerReply::InProgress),
            (PendingRead::ConfirmAbsent(caller, ..), ReadResult::Unavailable) => {
                (caller, LedgerReply::Unavailable)
            }
            (PendingRead::ConfirmAbsent(caller, key, deadline), result) => {
                let version = match result {
                    ReadResult::Found(version, _) => version,
                    _ => 0,
                };
                self.confirm_absent(at, caller, key, deadline, version, out);
                return;
            }
        };
        out.push(ShardOutput::Reply(caller, reply));
    }

    /// Reports a key absent only if the loaded snapshot is the newest in the store.
    ///
    /// A newer version without a write in progress shows that another process owns
    /// the shard.
    fn confirm_absent(
        &mut self,
        at: Moment,
        caller: CallerId,
        key: KeyDigest,
        deadline: Instant,
        version: u64,
        out: &mut Vec<ShardOutput>,
    ) {
        let loaded_version = self.durable.as_ref().map_or(0, |durable| durable.version);
        if version == loaded_version && self.write.is_none() {
            out.push(ShardOutput::Reply(caller, LedgerReply::Absent));
        } else if version > loaded_version && self.write.is_none() {
            out.push(ShardOutput::Reply(caller, LedgerReply::NotOwner));
            self.drop_ownership(at, out);
        } else {
            // The shard's own write changes the version: look the key up again after it.
            self.lookups.push((caller, key, deadline));
        }
    }
}
