//! The decision logic of wisteriawick, a load balancer, as state machines without I/O.
//!
//! Each state machine ("core") receives the current time and an input and returns the
//! actions that its caller has to execute. Cores own no sockets, tasks, locks or
//! clocks, so the same code runs in production, in the fault matrix (simulations with
//! injected faults) and in benchmarks.

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
pub mod response_status;
pub mod router;
pub mod ticket;
pub mod time;
pub mod uri;
