//! The rate of arrivals by priority.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::gateway::smoothed_rate::SmoothedRate;

/// Number of priorities from which on those without arrivals are dropped.
const MAX_PRIORITIES: usize = 16;
/// Requests per second below which a priority counts as unused.
const MIN_RATE: f64 = 0.05;

/// Requests per second that this entry gets for a service, by priority.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    rates: BTreeMap<u32, SmoothedRate>,
}

impl Arrivals {
    pub(super) fn record(&mut self, now: Instant, priority: u32) {
        if self.rates.len() >= MAX_PRIORITIES && !self.rates.contains_key(&priority) {
            self.rates.retain(|_, rate| rate.at(now) >= MIN_RATE);
        }
        let rate = self.rates.entry(priority);
        rate.or_insert_with(|| SmoothedRate::new(now)).record(now);
    }

    /// Returns the rate of the requests that are more urgent than a priority.
    pub(super) fn more_urgent(&self, now: Instant, priority: u32) -> f64 {
        let rates = self.rates.range(..priority).map(|(_, rate)| rate.at(now));
        rates.filter(|rate| *rate >= MIN_RATE).sum()
    }

    /// Returns the rate of a priority, and that of all priorities.
    pub(super) fn of_total(&self, now: Instant, priority: u32) -> (f64, f64) {
        let rate = |(_, rate): (&u32, &SmoothedRate)| rate.at(now);
        let own = self.rates.get(&priority).map_or(0.0, |rate| rate.at(now));
        (own, self.rates.iter().map(rate).sum())
    }

    /// Returns the priorities in use and their rates, the most urgent first.
    pub(super) fn in_use(&self, now: Instant) -> impl Iterator<Item = (u32, f64)> {
        let rates = self.rates.iter().map(move |(p, rate)| (*p, rate.at(now)));
        rates.filter(|(_, rate)| *rate >= MIN_RATE)
    }
}
