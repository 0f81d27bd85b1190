//! The agent's part in the expert map of a group of runners.
//!
//! An expert map says which rank of the group holds which experts of the model. The
//! agents of a group plan its next map, have their engines load it, and vote to
//! switch to it at the same step. The decisions are made by state machines of
//! `wisteriawick_core::maps`; the modules here connect them to the engine, the
//! peers and the platform.

mod engine;
mod task;
mod wire;

pub use engine::EngineClient;
pub use engine::EngineLoad;
pub use engine::HttpEngineClient;
pub use task::MapHandle;
pub use wire::EngineLoadWire;
pub use wire::GroupMessageWire;
pub(crate) use wire::GroupSnapshotWire;
