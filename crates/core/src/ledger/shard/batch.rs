//! Building the next image out of the waiting changes.

use crate::ids::Fingerprint;
use crate::ledger::KeyDigest;
use crate::ledger::LedgerReply;
use crate::ledger::ObjectName;
use crate::ledger::Record;
use crate::ledger::RecordState;
use crate::ledger::ShardSnapshot;
use crate::ledger::shard::Change;
use crate::ledger::shard::Claim;
use crate::ledger::shard::MAX_OPEN_BYTES;
use crate::ledger::shard::Op;
use crate::ledger::shard::Payload;
use crate::ledger::shard::PendingRead;
use crate::ledger::shard::ROLL_BYTES;
use crate::ledger::shard::Shard;
use crate::ledger::shard::ShardOutput;
use crate::ledger::shard::WALL_SKEW_S;
use crate::ledger::shard::Waiter;
use crate::time::Moment;

/// What a waiting change comes to against the durable content.
enum Verdict {
    /// It changes the content.
    Apply,
    /// Nothing changes; the reply is final.
    Reply(LedgerReply),
    /// The key is held by another claim.
    Wait,
    /// The answer stands in a segment.
    Replay(u64),
}

impl Shard {
    /// Answers lookups, confirming with the store before a key is called absent.
    pub(super) fn pump_lookups(&mut self, out: &mut Vec<ShardOutput>) {
        if self.lookups.is_empty() || self.write.is_some() {
            return;
        }
        for (caller, key, deadline) in std::mem::take(&mut self.lookups) {
            let held = self
                .base
                .as_ref()
                .and_then(|base| base.image.open.get(&key));
            if let Some(record) = held {
                let reply = match &record.state {
                    RecordState::Claimed => LedgerReply::InProgress,
                    RecordState::Done(answer) => LedgerReply::Done(answer.clone()),
                };
                out.push(ShardOutput::Reply(caller, reply));
                continue;
            }
            let op = self.op_id();
            let (pending, name) = match self.rolled.get(&key) {
                Some(rolled) => (
                    PendingRead::Replay(caller, key, deadline),
                    ObjectName::Segment(self.index, rolled.segment),
                ),
                None => (PendingRead::Confirm(caller, key, deadline), self.name()),
            };
            self.reads.insert(op, pending);
            out.push(ShardOutput::Read(op, name));
        }
    }

    /// Writes the waiting changes, or rolls answered records into a segment.
    pub(super) fn pump_write(&mut self, at: Moment, out: &mut Vec<ShardOutput>) {
        if self.write.is_some() {
            return;
        }
        if self.queue.is_empty() && self.staged.is_none() {
            self.pump_roll(out);
            return;
        }
        if self.next_write_at.is_some_and(|due| at.now < due) {
            return;
        }
        if self.staged.is_none() && self.pump_roll(out) {
            return;
        }
        self.write_batch(at, out);
    }

    fn write_batch(&mut self, at: Moment, out: &mut Vec<ShardOutput>) {
        let Some(base) = &self.base else {
            return;
        };
        let if_version = base.version;
        let mut image = base.image.clone();
        self.include_staged(&mut image);
        drop_expired(&mut image, at.unix_s);
        let mut batch = Vec::new();
        let mut touched: Vec<KeyDigest> = Vec::new();
        for op in std::mem::take(&mut self.queue) {
            if touched.contains(&op.key()) {
                // A change of the same key must be durable first.
                self.queue.push(op);
                continue;
            }
            match self.judge(&op, &image) {
                Verdict::Apply => {
                    touched.push(op.key());
                    apply(&op, &mut image);
                    batch.push(op);
                }
                Verdict::Reply(reply) => {
                    out.extend(op.caller.map(|caller| ShardOutput::Reply(caller, reply)));
                }
                Verdict::Wait => self.wait(op),
                Verdict::Replay(segment) => self.replay(op, segment, out),
            }
        }
        if batch.is_empty() && self.staged.is_none() {
            return;
        }
        self.send_write(if_version, Payload::Head { image, batch }, out);
    }

    fn judge(&self, op: &Op, image: &ShardSnapshot) -> Verdict {
        let held = image
            .open
            .get(&op.key())
            .or_else(|| self.staged_record(op.key()));
        match &op.change {
            Change::Claim(claim) => self.judge_claim(claim, held, image),
            Change::Settle(_, claim, _) => match held {
                Some(record) if record.claim == *claim && !is_done(record) => Verdict::Apply,
                _ => Verdict::Reply(LedgerReply::Recorded),
            },
            Change::Release(_, claim) => match held {
                Some(record) if record.claim == *claim && !is_done(record) => Verdict::Apply,
                _ => Verdict::Reply(LedgerReply::Recorded),
            },
        }
    }

    /// Finds a record that the next image moves to a segment.
    fn staged_record(&self, key: KeyDigest) -> Option<&Record> {
        let (_, keys) = self.staged.as_ref()?;
        let staged = keys.iter().any(|(held, _)| *held == key);
        let base = self.base.as_ref()?;
        staged.then(|| base.image.open.get(&key)).flatten()
    }

    fn judge_claim(&self, claim: &Claim, held: Option<&Record>, image: &ShardSnapshot) -> Verdict {
        if let Some(record) = held {
            return judge_held(claim, record, image);
        }
        if let Some(rolled) = self.rolled.get(&claim.key) {
            return replay_if_same(claim, rolled.fingerprint, rolled.segment);
        }
        if image.open_bytes() >= MAX_OPEN_BYTES {
            return Verdict::Reply(LedgerReply::Full);
        }
        Verdict::Apply
    }

    fn wait(&mut self, op: Op) {
        if let (Change::Claim(claim), Some(caller)) = (op.change, op.caller) {
            let waiter = Waiter { caller, claim };
            self.waiters
                .entry(waiter.claim.key)
                .or_default()
                .push(waiter);
        }
    }

    fn replay(&mut self, op: Op, segment: u64, out: &mut Vec<ShardOutput>) {
        let (Change::Claim(claim), Some(caller)) = (op.change, op.caller) else {
            return;
        };
        let read = self.op_id();
        let pending = PendingRead::Replay(caller, claim.key, claim.deadline);
        self.reads.insert(read, pending);
        out.push(ShardOutput::Read(
            read,
            ObjectName::Segment(self.index, segment),
        ));
    }

    fn include_staged(&self, image: &mut ShardSnapshot) {
        let Some((segment, keys)) = &self.staged else {
            return;
        };
        for (key, _) in keys {
            image.open.remove(key);
        }
        image.segments.push(*segment);
        image.next_segment = segment.number + 1;
    }

    /// Starts a segment when enough answered records are open.
    fn pump_roll(&mut self, out: &mut Vec<ShardOutput>) -> bool {
        let Some(base) = &self.base else {
            return false;
        };
        let answered = base.image.open.iter().filter(|(_, r)| is_done(r));
        let bytes: usize = answered.clone().map(|(_, r)| r.size_bytes()).sum();
        if bytes < ROLL_BYTES {
            return false;
        }
        let records = answered.map(|(key, r)| (*key, r.clone())).collect();
        let number = base.image.next_segment;
        self.send_write(0, Payload::Segment { number, records }, out);
        true
    }
}

fn is_done(record: &Record) -> bool {
    matches!(record.state, RecordState::Done(_))
}

fn judge_held(claim: &Claim, record: &Record, image: &ShardSnapshot) -> Verdict {
    if record.fingerprint != claim.fingerprint {
        return Verdict::Reply(LedgerReply::KeyReused);
    }
    match &record.state {
        RecordState::Done(answer) => Verdict::Reply(LedgerReply::Done(answer.clone())),
        RecordState::Claimed if record.claim == claim.id => {
            Verdict::Reply(LedgerReply::Granted(image.term))
        }
        RecordState::Claimed => Verdict::Wait,
    }
}

fn replay_if_same(claim: &Claim, fingerprint: Fingerprint, segment: u64) -> Verdict {
    if fingerprint == claim.fingerprint {
        Verdict::Replay(segment)
    } else {
        Verdict::Reply(LedgerReply::KeyReused)
    }
}

fn apply(op: &Op, image: &mut ShardSnapshot) {
    match &op.change {
        Change::Claim(claim) => {
            let record = Record {
                fingerprint: claim.fingerprint,
                claim: claim.id,
                expires_s: claim.expires_s,
                state: RecordState::Claimed,
            };
            image.open.insert(claim.key, record);
        }
        Change::Settle(key, _, answer) => {
            if let Some(record) = image.open.get_mut(key) {
                record.state = RecordState::Done(answer.clone());
            }
        }
        Change::Release(key, _) => {
            image.open.remove(key);
        }
    }
}

fn drop_expired(image: &mut ShardSnapshot, unix_s: u64) {
    let expired = |expires_s: u64| expires_s + WALL_SKEW_S < unix_s;
    image.open.retain(|_, record| !expired(record.expires_s));
    image.segments.retain(|segment| !expired(segment.expires_s));
}
