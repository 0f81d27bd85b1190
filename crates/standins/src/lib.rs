//! Small stand-ins for the systems that wisteriawick depends on.
//!
//! There are four: the platform's object service, a model engine, a plain
//! service, and a network path that drops the packets of existing flows. Each is
//! a server on loopback that can show faults of the real system. Tests,
//! benchmarks and the `dev` command use them. They share no code with the product.
//! [`address`] gives tests the addresses of processes that they start.

pub mod address;
pub mod engine;
pub mod http_server;
pub mod plain;
pub mod platform;
pub mod relay;
