//! How long a group's passes take.

use std::time::Duration;
use std::time::Instant;

/// Weight of the newest passes in the mean.
const NEWEST_WEIGHT: f64 = 0.4;
/// Time without a pass after which the next interval says nothing: the group
/// was idle.
const IDLE_GAP: Duration = Duration::from_secs(1);
/// Microseconds of a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// A running mean of the time of a pass.
#[derive(Debug, Default)]
pub(crate) struct PassTimes {
    last: Option<(Instant, u64)>,
    mean_us: f64,
}

impl PassTimes {
    /// Takes the number of the last pass that was begun.
    pub(crate) fn record(&mut self, now: Instant, pass: u64) {
        let Some((at, before)) = self.last else {
            self.last = Some((now, pass));
            return;
        };
        if pass == before {
            return;
        }
        self.last = Some((now, pass));
        let passed = now.saturating_duration_since(at);
        if pass < before || passed > IDLE_GAP {
            return;
        }
        let each = passed.as_secs_f64() * MICROS_PER_SECOND / (pass - before) as f64;
        self.mean_us = match self.mean_us {
            0.0 => each,
            mean => mean + NEWEST_WEIGHT * (each - mean),
        };
    }

    /// Returns the mean in microseconds; zero while none is known.
    pub(crate) fn mean_us(&self) -> u32 {
        self.mean_us as u32
    }
}
