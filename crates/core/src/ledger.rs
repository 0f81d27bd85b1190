//! The ledger: which keyed calls were claimed, and how they ended.
//!
//! Keys are spread over shards, one platform object each. The process whose
//! term stands in the object owns the shard; its conditional updates are the
//! fence, so an owner that was paused cannot write. Claims gather into one
//! write a batch. A claim is durable before anything is sent to an endpoint.

mod image;
mod key;
mod shard;
mod wire;

pub use image::Answer;
pub use image::Image;
pub use image::Owner;
pub use image::Record;
pub use image::RecordState;
pub use image::SegmentRef;
pub use key::CallKey;
pub use key::ClaimId;
pub use key::KeyDigest;
pub use key::SHARDS;
pub use key::ShardIndex;
pub use shard::CallerId;
pub use shard::Claim;
pub use shard::Input;
pub use shard::LedgerReply;
pub use shard::ObjectName;
pub use shard::OpId;
pub use shard::Output;
pub use shard::ReadResult;
pub use shard::Shard;
pub use shard::Stored;
pub use shard::WriteResult;
pub use wire::ImageWire;
pub use wire::SegmentWire;
