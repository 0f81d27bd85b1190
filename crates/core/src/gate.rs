//! The agent's decisions: which attempts reach the endpoint beside it.
//!
//! The gate is the only way to an endpoint. A refusal is evidence: the attempt
//! did not run, and a late copy of it will not run either.

mod core;
mod link_clock;

pub use core::Gate;
pub use core::Input;
pub use core::Offer;
pub use core::Output;
pub use core::Refusal;
pub use core::RunVerdict;
pub use link_clock::LinkClock;
