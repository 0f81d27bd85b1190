//! Small stand-ins for what surrounds wisteriawick.
//!
//! Each is a server on loopback with switches for the faults that the real
//! thing has: the platform's object service, a model engine, a plain service,
//! and a network path that forgets connections. They serve tests, benchmarks
//! and the `dev` command, and share no code with the product.

pub mod engine;
pub mod http_server;
pub mod plain;
pub mod platform;
pub mod relay;
