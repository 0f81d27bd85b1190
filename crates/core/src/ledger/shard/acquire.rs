//! Taking ownership of a shard.

use crate::ledger::ObjectName;
use crate::ledger::ReadResult;
use crate::ledger::SegmentRef;
use crate::ledger::StoredObject;
use crate::ledger::shard::Durable;
use crate::ledger::shard::Payload;
use crate::ledger::shard::Phase;
use crate::ledger::shard::Rolled;
use crate::ledger::shard::STORE_BACKOFF;
use crate::ledger::shard::Shard;
use crate::ledger::shard::ShardOutput;
use crate::ledger::snapshot::ShardSnapshot;
use crate::time::Moment;

impl Shard {
    /// Reads the shard's object when somebody wants the shard.
    pub(super) fn pump_acquire(&mut self, at: Moment, out: &mut Vec<ShardOutput>) {
        let Phase::Idle { retry_at } = self.phase else {
            return;
        };
        if !self.is_wanted() || retry_at.is_some_and(|retry_at| at.now < retry_at) {
            return;
        }
        let op = self.op_id();
        self.phase = Phase::Reading(op);
        out.push(ShardOutput::Read(op, self.name()));
    }

    pub(super) fn read_for_taking(
        &mut self,
        at: Moment,
        result: ReadResult,
        out: &mut Vec<ShardOutput>,
    ) {
        let durable = match result {
            ReadResult::Found(version, StoredObject::Snapshot(image)) => Durable { version, image },
            ReadResult::Missing => Durable {
                version: 0,
                image: ShardSnapshot::empty(),
            },
            ReadResult::Found(..) | ReadResult::Unavailable => {
                self.phase = Phase::Idle {
                    retry_at: Some(at.now + STORE_BACKOFF),
                };
                return;
            }
        };
        let segments = durable.image.segments.clone();
        self.base = Some(durable);
        self.rolled.clear();
        self.load_next(segments, out);
    }

    pub(super) fn segment_loaded(
        &mut self,
        at: Moment,
        segment: SegmentRef,
        rest: Vec<SegmentRef>,
        result: ReadResult,
        out: &mut Vec<ShardOutput>,
    ) {
        let records = match result {
            ReadResult::Found(version, StoredObject::Segment(records))
                if version == segment.version =>
            {
                records
            }
            _ => {
                // Without its records the shard could grant a used key: start again.
                self.base = None;
                self.phase = Phase::Idle {
                    retry_at: Some(at.now + STORE_BACKOFF),
                };
                return;
            }
        };
        for (key, record) in records {
            let rolled = Rolled {
                fingerprint: record.fingerprint,
                segment: segment.number,
            };
            self.rolled.insert(key, rolled);
        }
        self.load_next(rest, out);
    }

    fn load_next(&mut self, mut segments: Vec<SegmentRef>, out: &mut Vec<ShardOutput>) {
        let Some(segment) = segments.pop() else {
            self.phase = Phase::Held;
            self.write_own_term(out);
            return;
        };
        let op = self.op_id();
        self.phase = Phase::Loading {
            op,
            segment,
            rest: segments,
        };
        let name = ObjectName::Segment(self.index, segment.number);
        out.push(ShardOutput::Read(op, name));
    }

    fn write_own_term(&mut self, out: &mut Vec<ShardOutput>) {
        let Some(base) = &self.base else {
            return;
        };
        let mut image = base.image.clone();
        image.term = image.term.next();
        image.owner = Some(self.me.clone());
        let if_version = base.version;
        let payload = Payload::Head {
            image,
            batch: Vec::new(),
        };
        self.send_write(if_version, payload, out);
    }
}
