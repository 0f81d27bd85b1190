//! Services and their operator-configurable limits.

use std::time::Duration;

/// The kind of endpoint that runs a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines that serve the chat API.
    Model,
    /// A plain HTTP service.
    Plain,
}

/// A set of interchangeable runners and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The kind of endpoint that runs the service.
    pub kind: ServiceKind,
    /// Most concurrent requests on one runner; at least one.
    pub max_in_flight: u32,
    /// Most requests that one entry queues; further requests are rejected.
    pub max_queue: u32,
    /// Deadline of a request that does not set one.
    pub default_deadline: Duration,
    /// Upper bound on the deadline of any request.
    pub max_deadline: Duration,
    /// Longest time without any data on a stream before its link is replaced.
    pub progress_timeout: Duration,
    /// Retries allowed as a share of successful requests, from 0 to 1.
    pub retry_share: f64,
    /// Time that a leaving runner has to finish its requests.
    pub drain_timeout: Duration,
    /// How long a poison request, which crashes endpoints, stays blocked.
    pub block_duration: Duration,
    /// Whether the endpoints refuse requests with an outdated fencing number.
    pub checks_fencing: bool,
    /// How long the ledger stores the outcome of a keyed call.
    pub key_retention: Duration,
    /// HTTP methods whose requests may be retried without an idempotency key.
    pub idempotent_methods: Vec<String>,
}

impl Service {
    /// Returns a service with the default limits, which the operators' documentation
    /// lists.
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
