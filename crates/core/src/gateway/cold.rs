//! Bounds the requests to runners that are or may be cold.
//!
//! A runner that is cold bears a stated rate of requests and crashes well above it, and a
//! rank that crashes stops its whole group. A data centre that returns, or a single runner
//! that has just started beside busy ones, attracts more than that. Each entry therefore
//! keeps to a quota such that all of them together stay within the bound in any second.

mod limit;
mod quota;
mod status;

pub use limit::ColdLimit;
pub use quota::ColdQuota;
pub use quota::EntryQuota;
pub use status::ColdSource;
pub use status::ColdStatus;
