//! wisteriawick: a load balancer for expert-parallel model groups.
//!
//! This library holds the tasks that own sockets and timers and drive the
//! state machines of [`wisteriawick_core`], which do no I/O. One binary runs
//! them in several roles. They are a library so that tests, benchmarks and the
//! `dev` command run the same code as production.

mod accept;
pub mod agent;
mod binding;
pub mod cli;
pub mod command;
mod connection_slots;
mod crash_board;
pub mod entry;
pub mod error;
mod evacuation_board;
pub mod eventlog;
pub mod gateway;
pub mod link;
pub mod logging;
pub mod node;
pub mod platform;
pub mod rank;
pub mod settings;
pub mod telemetry;
pub mod timeline;
pub mod tls;
