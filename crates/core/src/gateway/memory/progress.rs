//! Whether a client still moves the bytes for which memory is held.

use std::time::Duration;
use std::time::Instant;

/// Length of the intervals in which bytes are counted.
const INTERVAL: Duration = Duration::from_millis(1_000);
/// Fewest bytes in an interval that count as progress: an eighth of a second of a link of
/// 1 Mbit/s.
const MIN_BYTES: usize = 16 * 1024;

/// Bytes that moved in the current interval and in the one before.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    interval_start: Instant,
    bytes: usize,
    bytes_before: usize,
}

impl Progress {
    /// Begins with an interval that counts as progress.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            interval_start: now,
            bytes: 0,
            bytes_before: MIN_BYTES,
        }
    }

    /// Records that bytes moved.
    pub(super) fn record(&mut self, now: Instant, bytes: usize) {
        let age = now.saturating_duration_since(self.interval_start);
        if age >= INTERVAL {
            self.bytes_before = match age < INTERVAL * 2 {
                true => self.bytes,
                false => 0,
            };
            self.bytes = 0;
            self.interval_start = now;
        }
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Returns whether hardly anything has moved for an interval or more.
    pub(super) fn is_stalled(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.interval_start);
        let recent = match age < INTERVAL {
            true => self.bytes.saturating_add(self.bytes_before),
            false => self.bytes,
        };
        age >= INTERVAL * 2 || recent < MIN_BYTES
    }
}
