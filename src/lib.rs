//! wisteriawick: a load balancer for expert-parallel model groups.
//!
//! One binary with several roles. This library holds the tasks that own
//! sockets and feed the cores of [`wisteriawick_core`]; it exists so that
//! tests, benchmarks and the `dev` command run the code that serves.

mod accept;
pub mod agent;
pub mod cli;
pub mod command;
pub mod entry;
pub mod error;
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
