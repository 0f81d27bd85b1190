//! The ledger: which keyed calls were claimed, and how they ended.
//!
//! Keys are spread over shards, one platform object each. The process whose
//! term stands in the object owns the shard; its conditional updates are the
//! fence, so an owner that was paused cannot write. Claims gather into one
//! write a batch. A claim is durable before anything is sent to an endpoint.

mod key;
mod shard;
mod snapshot;
mod wire;

pub use key::CallKey;
pub use key::ClaimId;
pub use key::KeyDigest;
pub use key::SHARD_COUNT;
pub use key::ShardIndex;
pub use shard::CallerId;
pub use shard::Claim;
pub use shard::LedgerReply;
pub use shard::ObjectName;
pub use shard::OpId;
pub use shard::ReadResult;
pub use shard::Shard;
pub use shard::ShardInput;
pub use shard::ShardOutput;
pub use shard::StoredObject;
pub use shard::WriteResult;
pub use snapshot::Owner;
pub use snapshot::Record;
pub use snapshot::RecordState;
pub use snapshot::RecordedResponse;
pub use snapshot::SegmentRef;
pub use snapshot::ShardSnapshot;
pub use wire::SegmentWire;
pub use wire::ShardSnapshotWire;
