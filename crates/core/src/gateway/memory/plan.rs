//! How the memory and the descriptors of a machine are divided.

use crate::hosting::Resources;

/// Largest body or head that is held without a charge, in bytes. The share of
/// connections covers it.
pub const SMALL_BODY_BYTES: usize = 8 * 1024;
/// Memory of a process whose settings state none.
const DEFAULT_MEMORY_BYTES: u64 = 512_000_000;
/// Share of the memory for bodies, heads and answers above [`SMALL_BODY_BYTES`], in
/// hundredths. A share of 30 is left to the process itself.
const CHARGED_PERCENT: u64 = 40;
/// Share of the memory for connections, in hundredths.
const CONNECTION_PERCENT: u64 = 30;
/// Most that a connection takes without a charge: the parser's buffer, a small body, the
/// state of its task, and what the system has received for it.
const CONNECTION_BYTES: u64 = 40 * 1024;
/// Bytes that the system may receive for a connection before they are read.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: u32 = 200;
/// Fewest connections, however small the machine.
const MIN_CONNECTIONS: usize = 16;

/// What the requests of a process may take of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Most bytes of bodies, heads and answers above [`SMALL_BODY_BYTES`], all together.
    pub charged_bytes: usize,
    /// Most connections that are open at a time.
    pub max_connections: usize,
    /// Size of a connection's receive buffer, in bytes; `None` leaves it to the system
    /// where the settings state no memory.
    pub receive_buffer_bytes: Option<usize>,
}

impl MemoryPlan {
    /// Divides what a machine gives to the process.
    pub fn new(resources: &Resources) -> Self {
        let memory = resources.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        let by_memory = memory * CONNECTION_PERCENT / 100 / CONNECTION_BYTES;
        let by_descriptors = resources.max_descriptors.map_or(u64::MAX, |descriptors| {
            let files = FILE_DESCRIPTORS.min(descriptors / 2);
            // A quarter is kept for runners, the store and links.
            u64::from((descriptors - files) / 4 * 3)
        });
        Self {
            charged_bytes: saturating_usize(memory * CHARGED_PERCENT / 100),
            max_connections: saturating_usize(by_memory.min(by_descriptors)).max(MIN_CONNECTIONS),
            receive_buffer_bytes: resources.memory_bytes.map(|_| RECEIVE_BUFFER_BYTES),
        }
    }
}

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
