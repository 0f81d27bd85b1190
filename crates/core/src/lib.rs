//! The decisions of wisteriawick, as plain state machines.
//!
//! Nothing in this crate owns a socket, a task, a lock or a clock. Every core
//! takes the time and an input and returns what has to be done, so the same
//! code serves in production, in the fault matrix and in benchmarks.

pub mod call;
pub mod collections;
pub mod event;
pub mod fleet;
pub mod gate;
pub mod gateway;
pub mod hlc;
pub mod hosting;
pub mod ids;
pub mod ledger;
pub mod maps;
pub mod membership;
pub mod router;
pub mod ticket;
pub mod time;
