//! What requests may hold of a process: bytes of bodies, heads and answers, and
//! connections.
//!
//! A [`MemoryPlan`] divides the machine. The [`MemoryBudget`] charges the bytes before they
//! are read, and names who gives way when it is short. A [`ConnectionTable`] does the same
//! for connections. None of them reads a clock or waits.

mod budget;
mod connections;
mod plan;
mod progress;

pub use budget::Charge;
pub use budget::Decision;
pub use budget::HolderId;
pub use budget::HolderKind;
pub use budget::MemoryBudget;
pub use connections::ConnectionId;
pub use connections::ConnectionPhase;
pub use connections::ConnectionTable;
pub use connections::Entrance;
pub use plan::MemoryPlan;
pub use plan::SMALL_BODY_BYTES;
