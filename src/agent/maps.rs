//! The expert map of the group that the runner beside this agent belongs to.

mod engine;
mod task;
mod wire;

pub use engine::EngineEdge;
pub use engine::EngineLoad;
pub use engine::HttpEngine;
pub use task::MapHandle;
pub(crate) use wire::GroupImageWire;
pub use wire::GroupLoadWire;
pub use wire::MapWire;
