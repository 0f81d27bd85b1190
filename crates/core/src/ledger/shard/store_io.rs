//! Calls to the store and what their answers mean.

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
use crate::ledger::shard::Durable;
use crate::ledger::shard::Op;
use crate::ledger::shard::Payload;
use crate::ledger::shard::PendingRead;
use crate::ledger::shard::Phase;
use crate::ledger::shard::Progress;
use crate::ledger::shard::Rolled;
use crate::ledger::shard::STORE_BACKOFF;
use crate::ledger::shard::Shard;
use crate::ledger::shard::ShardOutput;
use crate::ledger::shard::WRITE_GAP;
use crate::ledger::shard::Write;
use crate::time::Moment;

impl Shard {
    pub(super) fn send_write(
        &mut self,
        if_version: u64,
        payload: Payload,
        out: &mut Vec<ShardOutput>,
    ) {
        let write_id = self.draw_write_id();
        let payload = match payload {
            Payload::Head { mut image, batch } => {
                image.write_id = write_id;
                Payload::Head { image, batch }
            }
            segment @ Payload::Segment { .. } => segment,
        };
        let op = self.op_id();
        let write = Write {
            if_version,
            payload,
            progress: Progress::Sent(op),
        };
        out.push(self.write_output(op, &write));
        self.write = Some(write);
    }

    fn write_output(&self, op: OpId, write: &Write) -> ShardOutput {
        let (name, content) = match &write.payload {
            Payload::Head { image, .. } => (self.name(), StoredObject::Snapshot(image.clone())),
            Payload::Segment { number, records } => (
                ObjectName::Segment(self.index, *number),
                StoredObject::Segment(records.clone()),
            ),
        };
        ShardOutput::Write(op, name, write.if_version, Box::new(content))
    }

    /// Reads back a write whose fate is not known, once the store may answer.
    pub(super) fn pump_check(&mut self, at: Moment, out: &mut Vec<ShardOutput>) {
        let Some(write) = &self.write else {
            return;
        };
        if !matches!(write.progress, Progress::CheckAt(due) if due <= at.now) {
            return;
        }
        self.check_write(out);
    }

    fn check_write(&mut self, out: &mut Vec<ShardOutput>) {
        let op = self.op_id();
        let (shard, index) = (self.name(), self.index);
        let Some(write) = &mut self.write else {
            return;
        };
        write.progress = Progress::Checking(op);
        let name = match write.payload {
            Payload::Head { .. } => shard,
            Payload::Segment { number, .. } => ObjectName::Segment(index, number),
        };
        out.push(ShardOutput::Read(op, name));
    }

    pub(super) fn written(
        &mut self,
        at: Moment,
        op: OpId,
        result: WriteResult,
        out: &mut Vec<ShardOutput>,
    ) {
        let Some(write) = &mut self.write else {
            return;
        };
        if write.progress != Progress::Sent(op) {
            return;
        }
        match result {
            WriteResult::Written(version) => self.commit(at, version, out),
            WriteResult::Conflict => self.check_write(out),
            WriteResult::Unknown => write.progress = Progress::CheckAt(at.now + STORE_BACKOFF),
        }
    }

    pub(super) fn read(
        &mut self,
        at: Moment,
        op: OpId,
        result: ReadResult,
        out: &mut Vec<ShardOutput>,
    ) {
        if let Some(pending) = self.reads.remove(&op) {
            self.read_for_caller(at, pending, result, out);
            return;
        }
        match self.phase.clone() {
            Phase::Reading(expected) if expected == op => self.read_for_taking(at, result, out),
            Phase::Loading {
                op: expected,
                segment,
                rest,
            } if expected == op => self.segment_loaded(at, segment, rest, result, out),
            _ => self.read_back(at, op, result, out),
        }
    }

    fn read_back(&mut self, at: Moment, op: OpId, result: ReadResult, out: &mut Vec<ShardOutput>) {
        let Some(write) = &mut self.write else {
            return;
        };
        if write.progress != Progress::Checking(op) {
            return;
        }
        let (version, content) = match result {
            ReadResult::Found(version, content) => (version, Some(content)),
            ReadResult::Missing => (0, None),
            ReadResult::Unavailable => {
                write.progress = Progress::CheckAt(at.now + STORE_BACKOFF);
                return;
            }
        };
        let took_effect = match (&write.payload, &content) {
            (Payload::Head { image, .. }, Some(StoredObject::Snapshot(found))) => {
                image.write_id == found.write_id
            }
            (Payload::Segment { records, .. }, Some(StoredObject::Segment(found))) => {
                records == found
            }
            _ => false,
        };
        if took_effect {
            self.commit(at, version, out);
        } else if version == write.if_version {
            self.resend(version, out);
        } else if let Payload::Segment { .. } = write.payload {
            // Left by a former owner and not referred to: replace it.
            self.resend(version, out);
        } else {
            self.lose(at, out);
        }
    }

    fn resend(&mut self, if_version: u64, out: &mut Vec<ShardOutput>) {
        let op = self.op_id();
        let Some(mut write) = self.write.take() else {
            return;
        };
        write.if_version = if_version;
        write.progress = Progress::Sent(op);
        out.push(self.write_output(op, &write));
        self.write = Some(write);
    }

    fn commit(&mut self, at: Moment, version: u64, out: &mut Vec<ShardOutput>) {
        let Some(write) = self.write.take() else {
            return;
        };
        match write.payload {
            Payload::Segment { number, records } => {
                self.commit_segment(number, version, &records);
            }
            Payload::Head { image, batch } => {
                self.next_write_at = Some(at.now + WRITE_GAP);
                self.commit_head(Durable { version, image }, batch, out);
            }
        }
    }

    fn commit_segment(&mut self, number: u64, version: u64, records: &[(KeyDigest, Record)]) {
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
        self.staged = Some((segment, keys));
    }

    fn commit_head(&mut self, durable: Durable, batch: Vec<Op>, out: &mut Vec<ShardOutput>) {
        let owned_before = self.term().is_some();
        let term = durable.image.term;
        self.index_rolled(&durable);
        self.remove_expired_segments(&durable, out);
        self.base = Some(durable);
        if !owned_before {
            out.push(ShardOutput::Acquired(term));
        }
        for op in batch {
            match (op.change, op.caller) {
                (Change::Claim(_), Some(caller)) => {
                    out.push(ShardOutput::Reply(caller, LedgerReply::Granted(term)));
                }
                (Change::Claim(claim), None) => {
                    // Its caller was told that nothing runs under it.
                    self.enqueue(None, Change::Release(claim.key, claim.id));
                }
                (Change::Settle(key, _, answer), caller) => {
                    out.extend(caller.map(|c| ShardOutput::Reply(c, LedgerReply::Recorded)));
                    for waiter in self.waiters.remove(&key).unwrap_or_default() {
                        let reply = LedgerReply::Done(answer.clone());
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

    fn index_rolled(&mut self, durable: &Durable) {
        let Some((segment, keys)) = self.staged.take() else {
            return;
        };
        if !durable.image.segments.contains(&segment) {
            self.staged = Some((segment, keys));
            return;
        }
        for (key, fingerprint) in keys {
            let rolled = Rolled {
                fingerprint,
                segment: segment.number,
            };
            self.rolled.insert(key, rolled);
        }
    }

    fn remove_expired_segments(&mut self, durable: &Durable, out: &mut Vec<ShardOutput>) {
        let Some(base) = &self.base else {
            return;
        };
        for segment in &base.image.segments {
            if !durable.image.segments.contains(segment) {
                let name = ObjectName::Segment(self.index, segment.number);
                out.push(ShardOutput::Remove(name, segment.version));
                self.rolled.retain(|_, r| r.segment != segment.number);
            }
        }
    }

    fn read_for_caller(
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
                let answer = records.into_iter().find(|(held, _)| *held == key);
                let reply = match answer.map(|(_, record)| record.state) {
                    Some(RecordState::Done(answer)) => LedgerReply::Done(answer),
                    _ => LedgerReply::InProgress,
                };
                (caller, reply)
            }
            (PendingRead::Replay(caller, ..), _) => (caller, LedgerReply::InProgress),
            (PendingRead::Confirm(caller, ..), ReadResult::Unavailable) => {
                (caller, LedgerReply::Unavailable)
            }
            (PendingRead::Confirm(caller, key, deadline), result) => {
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

    /// Calls a key absent only if the base is the store's newest content.
    fn confirm_absent(
        &mut self,
        at: Moment,
        caller: CallerId,
        key: KeyDigest,
        deadline: Instant,
        version: u64,
        out: &mut Vec<ShardOutput>,
    ) {
        let base = self.base.as_ref().map_or(0, |base| base.version);
        if version == base && self.write.is_none() {
            out.push(ShardOutput::Reply(caller, LedgerReply::Absent));
        } else if version > base && self.write.is_none() {
            out.push(ShardOutput::Reply(caller, LedgerReply::NotOwner));
            self.lose(at, out);
        } else {
            // Our own write moves the version: look again after it.
            self.lookups.push((caller, key, deadline));
        }
    }
}
