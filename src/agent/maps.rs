//! The expert map of the group that the runner beside this agent belongs to.

mod engine;
mod task;
mod wire;

pub use engine::EngineClient;
pub use engine::EngineLoad;
pub use engine::HttpEngineClient;
pub use task::MapHandle;
pub use wire::EngineLoadWire;
pub(crate) use wire::GroupImageWire;
pub use wire::GroupMessageWire;
