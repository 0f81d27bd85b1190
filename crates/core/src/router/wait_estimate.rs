//! Estimates how long a request waits in the queue of a busy service.
//!
//! The estimate is the mean time between responses, multiplied by the position in
//! the queue. The router uses it for the `Retry-After` time that it gives to
//! rejected callers, and to reject a request at once that would miss its deadline
//! in the queue.

use std::time::Duration;
use std::time::Instant;

/// Weight of the newest sample in the moving average of the time between responses.
const MEAN_GAP_WEIGHT: f64 = 0.05;
/// Samples that are needed before there is an estimate.
const MIN_SAMPLES: u32 = 32;
/// Longer gaps between responses are ignored, since the service was idle.
const MAX_BUSY_GAP: Duration = Duration::from_secs(1);

/// A moving average of the time between responses while the service is busy.
#[derive(Debug, Default)]
pub(crate) struct WaitEstimator {
    /// Zero before the first sample.
    mean_gap_s: f64,
    last_response: Option<Instant>,
    samples: u32,
}

impl WaitEstimator {
    /// Records that a response was completed.
    pub(crate) fn record_response(&mut self, now: Instant) {
        if let Some(last_response) = self.last_response {
            let gap = now.saturating_duration_since(last_response);
            if gap < MAX_BUSY_GAP {
                self.mean_gap_s += MEAN_GAP_WEIGHT * (gap.as_secs_f64() - self.mean_gap_s);
                self.samples = self.samples.saturating_add(1);
            }
        }
        self.last_response = Some(now);
    }

    /// Returns how long the request at a position of the queue is expected to wait;
    /// `None` until there are enough samples.
    pub(crate) fn estimate(&self, position: usize) -> Option<Duration> {
        let trusted = self.samples >= MIN_SAMPLES;
        trusted.then(|| Duration::from_secs_f64(self.mean_gap_s * position as f64))
    }
}
