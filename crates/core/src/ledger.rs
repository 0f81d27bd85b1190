//! The ledger of keyed calls: which calls were claimed, and their responses.
//!
//! A keyed call carries an `Idempotency-Key` and must not run twice. The
//! ledger records a claim durably before the call is sent to an endpoint, and
//! replays the recorded response when a caller retries.
//!
//! Keys are hashed onto shards, and each shard is stored in one object of the
//! platform's object service. One process owns a shard at a time: the object
//! holds the owner's term, a fencing number, and every write is conditional on
//! the object's version. A former owner that was paused therefore cannot write.
//! Each write carries a batch of claims.

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
