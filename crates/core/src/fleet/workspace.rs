//! Workspaces: the customers, their API keys and their share of the services.

use std::fmt;

use crate::ids::ServiceId;

/// The BLAKE3 hash of a secret key, so that tickets and settings files hold no
/// secrets.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key.
    pub fn new(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Parses a hash of 64 hexadecimal digits; returns `None` for anything else.
    pub fn try_from_hex(hex: &str) -> Option<Self> {
        blake3::Hash::from_hex(hex)
            .ok()
            .map(|hash| Self(*hash.as_bytes()))
    }

    /// Returns the hash as 64 hexadecimal digits.
    pub fn to_hex(self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_hex())
    }
}

/// A customer, whose requests count against one common share.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Hashes of the API keys of the workspace.
    pub key_hashes: Vec<KeyHash>,
    /// Share of an overloaded service relative to other workspaces; at least one.
    pub weight: u32,
    /// Priority under overload; requests of a lower priority are rejected first.
    pub priority: u8,
    /// Services that the workspace may call.
    pub services: Vec<ServiceId>,
}
