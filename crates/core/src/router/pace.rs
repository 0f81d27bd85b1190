//! How fast a busy service answers, for advice when to come back.

use std::time::Duration;
use std::time::Instant;

/// Weight of the newest sample in the mean time between answers.
const PACE_GAIN: f64 = 0.05;
/// Answers before the pace is trusted for early rejection.
const MIN_PACE_SAMPLES: u32 = 32;
/// Gap between answers that says nothing about the pace under load.
const IDLE_GAP: Duration = Duration::from_secs(1);

/// The mean time between answers while the service is busy.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    /// Seconds; zero before the first sample.
    mean_gap: f64,
    last: Option<Instant>,
    samples: u32,
}

impl Pace {
    /// Records an answer.
    pub(crate) fn answered(&mut self, now: Instant) {
        if let Some(last) = self.last {
            let gap = now.saturating_duration_since(last);
            if gap < IDLE_GAP {
                self.mean_gap += PACE_GAIN * (gap.as_secs_f64() - self.mean_gap);
                self.samples = self.samples.saturating_add(1);
            }
        }
        self.last = Some(now);
    }

    /// Returns how long the request at a position of the queue waits; `None`
    /// until enough answers came.
    pub(crate) fn wait_for(&self, position: usize) -> Option<Duration> {
        let trusted = self.samples >= MIN_PACE_SAMPLES;
        trusted.then(|| Duration::from_secs_f64(self.mean_gap * position as f64))
    }
}
