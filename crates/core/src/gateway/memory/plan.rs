//! How the memory and the descriptors of a machine are divided.

use crate::hosting::Resources;

/// Largest body or head that is held without a charge, in bytes. The share of
/// connections covers it.
pub const SMALL_BODY_BYTES: usize = 8 * 1024;
/// Memory of a process whose settings state none.
const DEFAULT_MEMORY_BYTES: u64 = 512_000_000;
/// Share of the memory that the process plans with, in hundredths. The rest stays free.
const PLANNED_PERCENT: u64 = 90;
/// Memory that the process itself takes, in bytes.
const OWN_BYTES: u64 = 16_000_000;
/// Share of what is left beside the process and its connections that bodies, heads and
/// responses above [`SMALL_BODY_BYTES`] may take, in hundredths. The allocator needs the
/// rest.
const CHARGED_PERCENT: u64 = 90;
/// Share of the memory for connections, in hundredths.
const CONNECTION_PERCENT: u64 = 56;
/// Most that a connection takes without a charge: the parser's buffers, a small body, the
/// state of its task, and what the system has received for it.
const CONNECTION_BYTES: u64 = 72 * 1024;
/// Bytes that the system may receive for a connection before they are read.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: u32 = 200;
/// Fewest connections, however small the machine.
const MIN_CONNECTIONS: usize = 16;

/// What the requests of a process may take of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Memory of the process, in bytes.
    memory: u64,
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
        let by_memory = percent(memory, CONNECTION_PERCENT) / CONNECTION_BYTES;
        let by_descriptors = resources.max_descriptors.map_or(u64::MAX, |descriptors| {
            let files = FILE_DESCRIPTORS.min(descriptors / 2);
            // A quarter is kept for runners, the store and links.
            u64::from((descriptors - files) / 4 * 3)
        });
        Self {
            memory,
            max_connections: saturating_usize(by_memory.min(by_descriptors)).max(MIN_CONNECTIONS),
            receive_buffer_bytes: resources.memory_bytes.map(|_| RECEIVE_BUFFER_BYTES),
        }
    }

    /// Returns how many bytes of bodies, heads and responses above [`SMALL_BODY_BYTES`] the
    /// process may hold while it has this many connections.
    pub fn charged_bytes(&self, connections: usize) -> usize {
        let connections = (connections as u64).saturating_mul(CONNECTION_BYTES);
        let left = percent(self.memory, PLANNED_PERCENT)
            .saturating_sub(OWN_BYTES)
            .saturating_sub(connections);
        saturating_usize(percent(left, CHARGED_PERCENT))
    }
}

/// Returns a share in hundredths, also of numbers near the largest one.
fn percent(number: u64, hundredths: u64) -> u64 {
    number / 100 * hundredths + number % 100 * hundredths / 100
}

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
