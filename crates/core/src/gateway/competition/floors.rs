//! The least that each priority is served.
//!
//! Strict order serves only the most urgent requests while they alone need more than
//! there is. Each priority therefore gets a slot in its turn, at a rate in proportion to
//! its arrivals.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::gateway::competition::arrivals::Arrivals;

/// Least share of the completions that a priority gets, in proportion to its arrivals.
/// Callers of a kind count as starved below a quarter.
const FLOOR_SHARE: f64 = 1.0 / 3.0;
/// Most turns that a priority saves up while it has no request.
const MAX_OWED: f64 = 1.0;

/// Turns that priorities are owed.
#[derive(Debug)]
pub(super) struct Floors {
    at: Instant,
    owed: BTreeMap<u32, f64>,
}

impl Floors {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            at: now,
            owed: BTreeMap::new(),
        }
    }

    pub(super) fn record_start(&mut self, priority: u32) {
        if let Some(owed) = self.owed.get_mut(&priority) {
            *owed = (*owed - 1.0).max(0.0);
        }
    }

    /// Returns the priorities that are owed a slot, the most urgent first. The most urgent
    /// one in use isn't among them, since it goes first anyway.
    pub(super) fn owed(
        &mut self,
        now: Instant,
        arrivals: &Arrivals,
        completion_rate: f64,
    ) -> Vec<u32> {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let previous = std::mem::take(&mut self.owed);
        for (priority, _) in arrivals.in_use(now).skip(1) {
            let turns = elapsed * rate(now, arrivals, priority, completion_rate);
            let before = previous.get(&priority).copied().unwrap_or_default();
            self.owed.insert(priority, (before + turns).min(MAX_OWED));
        }
        let is_owed = |(_, owed): &(&u32, &f64)| **owed >= 1.0;
        self.owed.iter().filter(is_owed).map(|(p, _)| *p).collect()
    }
}

/// Returns the requests per second of a priority that are served at least.
pub(super) fn rate(now: Instant, arrivals: &Arrivals, priority: u32, completion_rate: f64) -> f64 {
    let (own, total) = arrivals.of_total(now, priority);
    match total > 0.0 {
        true => FLOOR_SHARE * completion_rate * own / total,
        false => 0.0,
    }
}
