//! Acquiring ownership of a shard.
//!
//! The process reads the shard's object and all its segments, then writes the
//! object with itself as the owner under the next term. The former owner's next
//! conditional write fails, which shows it that it lost the shard.

use crate::ledger::ObjectName;
use crate::ledger::ReadResult;
use crate::ledger::SegmentRef;
use crate::ledger::StoredObject;
use crate::ledger::shard::Phase;
use crate::ledger::shard::STORE_BACKOFF;
use crate::ledger::shard::SegmentEntry;
use crate::ledger::shard::Shard;
use crate::ledger::shard::ShardOutput;
use crate::ledger::shard::VersionedSnapshot;
use crate::ledger::shard::WritePayload;
use crate::ledger::snapshot::ShardSnapshot;
use crate::time::Moment;

impl Shard {
    /// Reads the shard's object if a request waits and the shard is not loaded.
    pub(super) fn start_acquire(&mut self, at: Moment, out: &mut Vec<ShardOutput>) {
        let Phase::Idle { retry_at } = self.phase else {
            return;
        };
        if !self.has_pending_requests() || retry_at.is_some_and(|retry_at| at.now < retry_at) {
            return;
        }
        let op = self.next_op_id();
        self.phase = Phase::ReadingShard(op);
        out.push(ShardOutput::Read(op, self.object_name()));
    }

    /// Handles the read of the shard's object and starts loading its segments.
    pub(super) fn handle_shard_read(
        &mut self,
        at: Moment,
        result: ReadResult,
        out: &mut Vec<ShardOutput>,
    ) {
        let durable = match result {
            ReadResult::Found(version, StoredObject::Snapshot(snapshot)) => {
                VersionedSnapshot { version, snapshot }
            }
            ReadResult::Missing => VersionedSnapshot {
                version: 0,
                snapshot: ShardSnapshot::empty(),
            },
            ReadResult::Found(..) | ReadResult::Unavailable => {
                self.phase = Phase::Idle {
                    retry_at: Some(at.now + STORE_BACKOFF),
                };
                return;
            }
        };
        let segments = durable.snapshot.segments.clone();
        self.durable = Some(durable);
        self.segment_index.clear();
        self.load_next_segment(segments, out);
    }

    /// Indexes the records of a loaded segment and continues with the next.
    pub(super) fn handle_segment_read(
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
                // Without these records the shard could grant a key that was used
                // before, so it reads the shard's object again.
                self.durable = None;
                self.phase = Phase::Idle {
                    retry_at: Some(at.now + STORE_BACKOFF),
                };
                return;
            }
        };
        for (key, record) in records {
            let entry = SegmentEntry {
                fingerprint: record.fingerprint,
                segment: segment.number,
            };
            self.segment_index.insert(key, entry);
        }
        self.load_next_segment(rest, out);
    }

    fn load_next_segment(&mut self, mut segments: Vec<SegmentRef>, out: &mut Vec<ShardOutput>) {
        let Some(segment) = segments.pop() else {
            self.phase = Phase::Loaded;
            self.write_ownership(out);
            return;
        };
        let op = self.next_op_id();
        self.phase = Phase::LoadingSegments {
            op,
            segment,
            rest: segments,
        };
        let name = ObjectName::Segment(self.index, segment.number);
        out.push(ShardOutput::Read(op, name));
    }

    /// Writes the snapshot with this process as the owner, under the next term.
    fn write_ownership(&mut self, out: &mut Vec<ShardOutput>) {
        let Some(durable) = &self.durable else {
            return;
        };
        let mut snapshot = durable.snapshot.clone();
        snapshot.term = snapshot.term.next();
        snapshot.owner = Some(self.local_owner.clone());
        let if_version = durable.version;
        let payload = WritePayload::Snapshot {
            snapshot,
            batch: Vec::new(),
        };
        self.send_write(if_version, payload, out);
    }
}
