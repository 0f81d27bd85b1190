//! A service and every limit that operators turn on it.

use std::time::Duration;

/// What stands behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines that speak the chat API.
    Model,
    /// A plain HTTP service.
    Plain,
}

/// A set of interchangeable runners with its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// What stands behind the service.
    pub kind: ServiceKind,
    /// Requests that one runner may hold at a time; at least one.
    pub max_in_flight: u32,
    /// Requests that one entry may queue; more are refused.
    pub max_queue: u32,
    /// Deadline of a request that states none.
    pub default_deadline: Duration,
    /// Upper bound of any request's deadline.
    pub max_deadline: Duration,
    /// Longest silence of a stream before its link is replaced.
    pub progress_timeout: Duration,
    /// Share of successes that may be spent on retries, within 0 and 1.
    pub retry_share: f64,
    /// Time within which a leaving runner finishes what it holds.
    pub drain_timeout: Duration,
    /// How long a request that kills endpoints stays blocked.
    pub block_duration: Duration,
    /// Whether the endpoints refuse an order with an old fencing number.
    pub checks_fencing: bool,
    /// How long a keyed call's outcome is kept.
    pub key_retention: Duration,
    /// Methods whose calls without a key may be retried.
    pub idempotent_methods: Vec<String>,
}

impl Service {
    /// Returns a service with the defaults that the operators' page lists.
    pub fn new(kind: ServiceKind) -> Self {
        Self {
            kind,
            max_in_flight: 32,
            max_queue: 512,
            default_deadline: Duration::from_secs(30),
            max_deadline: Duration::from_secs(300),
            progress_timeout: Duration::from_secs(5),
            retry_share: 0.1,
            drain_timeout: Duration::from_secs(60),
            block_duration: Duration::from_secs(600),
            checks_fencing: false,
            key_retention: Duration::from_secs(24 * 3600),
            idempotent_methods: vec!["GET".into(), "HEAD".into()],
        }
    }
}
