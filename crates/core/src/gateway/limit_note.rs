//! What entries tell each other about the rate limit of a runner.

use std::time::Duration;

use crate::gateway::RateLimit;
use crate::ids::RunnerId;

/// A runner's rate limit, as one entry learned it from a response.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitNote {
    /// The runner.
    pub runner: RunnerId,
    /// Time of the runner's start in Unix milliseconds, if it is known. A runner that
    /// starts again under the same identifier is another one.
    pub started_unix_ms: Option<u64>,
    /// The limit; `None` if the runner has no limit any more.
    pub limit: Option<RateLimit>,
    /// Time since the limit was certainly so.
    pub age: Duration,
}
