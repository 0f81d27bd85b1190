//! Memory for large bodies, which the system has back as soon as it is dropped.
//!
//! The allocator keeps what was freed between small blocks that live on. A body's parts are
//! therefore mapped on their own, so that a crowd of large bodies leaves nothing behind.

use std::io;

use bytes::Bytes;
use memmap2::MmapMut;

/// Size of a part, in bytes.
pub(crate) const PART_BYTES: usize = 64 * 1024;

/// A part of a body that is being filled.
#[derive(Debug)]
pub(crate) struct BodyPart {
    map: MmapMut,
    length: usize,
}

impl BodyPart {
    /// Maps an empty part.
    ///
    /// # Errors
    ///
    /// Fails if the system has no memory or no mapping left.
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Self {
            map: MmapMut::map_anon(PART_BYTES)?,
            length: 0,
        })
    }

    pub(crate) fn is_full(&self) -> bool {
        self.length == PART_BYTES
    }

    /// Takes as many bytes as it has room for; returns the others.
    pub(crate) fn fill<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let (taken, rest) = data.split_at(data.len().min(PART_BYTES - self.length));
        self.map[self.length..][..taken.len()].copy_from_slice(taken);
        self.length += taken.len();
        rest
    }

    /// Returns the bytes that it holds.
    pub(crate) fn into_bytes(self) -> Bytes {
        let length = self.length;
        Bytes::from_owner(self.map).slice(..length)
    }
}
