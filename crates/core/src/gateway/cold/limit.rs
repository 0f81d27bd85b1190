//! The requests that all entries together may send to a runner in any second.

use std::time::Duration;

use crate::gateway::ColdStart;
use crate::hosting::ColdAllowance;

/// Share of the bound that is kept as a margin, for entries that start or wake up and do
/// not know yet how many there are.
const MARGIN: f64 = 0.05;
/// Smallest margin, in requests.
const MIN_MARGIN: f64 = 1.0;
/// A bucket holds at least one request, so a runner gets at least one in a second.
const MIN_REQUESTS: u32 = 1;

/// The bound on the requests to each runner of a service that declares a cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// How long a runner counts as cold if nothing else is known.
    pub time: Duration,
    /// Requests in any second to a runner that may turn cold unseen.
    pub standing: u32,
    /// Requests in any second to a runner that is known to be cold.
    pub cold: u32,
}

impl ColdLimit {
    /// Returns the bound for what a service declares and the deployment allows.
    pub fn new(start: ColdStart, allowance: ColdAllowance) -> Self {
        let rate = start.per_second * allowance.factor;
        let bound = rate + allowance.extra;
        let margin = (bound * MARGIN).max(MIN_MARGIN);
        let standing = ((bound - margin) as u32).max(MIN_REQUESTS);
        Self {
            time: start.time,
            standing,
            cold: (rate as u32).clamp(MIN_REQUESTS, standing),
        }
    }
}
