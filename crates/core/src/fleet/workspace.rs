//! A workspace: whose requests are admitted, and with what share.

use std::fmt;

use crate::ids::ServiceId;

/// The hash of an API key; the key itself never enters a ticket.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes an API key.
    pub fn new(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Parses 64 hexadecimal digits; `None` for anything else.
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

/// A customer whose requests are accounted together.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Hashes of the API keys that belong to it.
    pub key_hashes: Vec<KeyHash>,
    /// Share of a busy service relative to other workspaces; at least one.
    pub weight: u32,
    /// Priority under overload; a lower class is shed first.
    pub priority: u8,
    /// Services that it may call.
    pub services: Vec<ServiceId>,
}
