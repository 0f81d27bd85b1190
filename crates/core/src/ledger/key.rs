//! Names of calls that may not be repeated.

use std::fmt;

use crate::ids::ServiceId;
use crate::ids::WorkspaceId;

/// Number of shards; more would raise the write rate at the planned size.
pub const SHARD_COUNT: u16 = 16;

/// Index of a ledger shard, below [`SHARD_COUNT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardIndex(pub u16);

/// The name that a caller gave to a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallKey {
    /// Whose call it is.
    pub workspace: WorkspaceId,
    /// What it calls.
    pub service: ServiceId,
    /// The caller's `Idempotency-Key`.
    pub key: String,
}

impl CallKey {
    /// Returns the hash under which the ledger keeps the call.
    pub fn digest(&self) -> KeyDigest {
        let mut hasher = blake3::Hasher::new();
        for part in [self.workspace.as_str(), self.service.as_str(), &self.key] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut head = [0; 16];
        head.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        KeyDigest(u128::from_le_bytes(head))
    }
}

/// Hash of a [`CallKey`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub u128);

impl KeyDigest {
    /// Returns the shard that keeps the call.
    pub fn shard(self) -> ShardIndex {
        ShardIndex((self.0 % u128::from(SHARD_COUNT)) as u16)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// One caller's wish to run a keyed call; the same on every try to claim.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(pub u128);

impl fmt::Debug for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
