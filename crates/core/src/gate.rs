//! Admission control in front of one endpoint.
//!
//! An agent is the process that runs beside an endpoint, and every attempt reaches
//! the endpoint through the agent's [`Gate`]. The gate limits the number of attempts
//! in flight and remembers which attempts it saw. Its refusal is therefore evidence
//! for an entry that the attempt did not run, and that a copy of it which arrives
//! later will not run either.

mod core;
mod link_clock;

pub use core::Gate;
pub use core::Input;
pub use core::Offer;
pub use core::Output;
pub use core::Refusal;
pub use core::RunVerdict;
pub use link_clock::LinkClock;
