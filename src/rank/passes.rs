//! Measures how long the passes of a group take.

use std::time::Duration;
use std::time::Instant;

/// Weight of the newest passes in the moving average.
const NEWEST_WEIGHT: f64 = 0.4;
/// Intervals longer than this are not counted, because the group was idle.
const IDLE_GAP: Duration = Duration::from_secs(1);
const MICROS_PER_SECOND: f64 = 1e6;

/// A moving average of the time that a pass takes.
#[derive(Debug, Default)]
pub(crate) struct PassTimes {
    /// The last pass that was recorded, and when.
    last: Option<(Instant, u64)>,
    mean_us: f64,
}

impl PassTimes {
    /// Records the number of the last pass that the group began.
    pub(crate) fn record(&mut self, now: Instant, pass: u64) {
        let Some((at, last_pass)) = self.last else {
            self.last = Some((now, pass));
            return;
        };
        if pass == last_pass {
            return;
        }
        self.last = Some((now, pass));
        let elapsed = now.saturating_duration_since(at);
        if pass < last_pass || elapsed > IDLE_GAP {
            return;
        }
        let pass_us = elapsed.as_secs_f64() * MICROS_PER_SECOND / (pass - last_pass) as f64;
        self.mean_us = match self.mean_us {
            0.0 => pass_us,
            mean => mean + NEWEST_WEIGHT * (pass_us - mean),
        };
    }

    /// Returns the average in microseconds; zero as long as none is known.
    pub(crate) fn mean_us(&self) -> u32 {
        self.mean_us as u32
    }
}
