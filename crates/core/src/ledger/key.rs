//! Keys of calls that must not run twice, and their hashing onto shards.

use std::fmt;

use crate::ids::ServiceId;
use crate::ids::WorkspaceId;

/// Number of ledger shards. More shards would raise the rate of writes to the
/// object service at the planned load.
pub const SHARD_COUNT: u16 = 16;

/// Index of a ledger shard, below [`SHARD_COUNT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardIndex(pub u16);

/// Identifies a call that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallKey {
    /// The workspace of the caller.
    pub workspace: WorkspaceId,
    /// The service that is called.
    pub service: ServiceId,
    /// The `Idempotency-Key` that the caller sent.
    pub key: String,
}

impl CallKey {
    /// Returns the hash under which the ledger stores the call.
    pub fn digest(&self) -> KeyDigest {
        let mut hasher = blake3::Hasher::new();
        for part in [self.workspace.as_str(), self.service.as_str(), &self.key] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut prefix = [0; 16];
        prefix.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        KeyDigest(u128::from_le_bytes(prefix))
    }
}

/// Hash of a [`CallKey`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub u128);

impl KeyDigest {
    /// Returns the shard that stores the call.
    pub fn shard(self) -> ShardIndex {
        ShardIndex((self.0 % u128::from(SHARD_COUNT)) as u16)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifies one caller's claim to run a keyed call. Retries of the claim use
/// the same identifier.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(pub u128);

impl fmt::Debug for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
