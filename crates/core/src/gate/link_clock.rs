//! Measures the delay of messages on a link without synchronized clocks.
//!
//! Each message carries the time since its sender opened the link, by the sender's
//! monotonic clock. The receiver compares it with the time since the link opened by
//! its own clock. The smallest difference seen on the link counts as a message
//! without delay, and anything above it as delay. The two clocks only need to run
//! at nearly the same rate.

use std::time::Duration;
use std::time::Instant;

/// Maximum difference between the rates of two machines' clocks, in parts per million.
const MAX_CLOCK_DRIFT_PPM: u64 = 200;

/// Estimates the delays of messages on one link.
#[derive(Clone, Debug)]
pub struct LinkClock {
    opened: Instant,
    /// Smallest difference between receiver time and sender time so far.
    min_offset_micros: Option<i64>,
}

impl LinkClock {
    /// Returns a clock for a link that was opened at this time.
    pub fn new(opened: Instant) -> Self {
        Self {
            opened,
            min_offset_micros: None,
        }
    }

    /// Returns how much longer a message took than the fastest message so far.
    ///
    /// The message was sent when the sender's clock showed `sent` since the link was
    /// opened. Any difference that clock drift can explain does not count as delay.
    pub fn delay(&mut self, now: Instant, sent: Duration) -> Duration {
        let received = now.saturating_duration_since(self.opened);
        let offset_micros = received.as_micros() as i64 - sent.as_micros() as i64;
        let min_offset_micros = self
            .min_offset_micros
            .map_or(offset_micros, |min| min.min(offset_micros));
        self.min_offset_micros = Some(min_offset_micros);
        let max_drift_micros = received.as_micros() as u64 * MAX_CLOCK_DRIFT_PPM / 1_000_000;
        let excess_micros = (offset_micros - min_offset_micros) as u64;
        Duration::from_micros(excess_micros.saturating_sub(max_drift_micros))
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;
    use std::time::Instant;

    use super::LinkClock;

    #[test]
    fn delay_of_a_late_message_is_measured_without_synchronized_clocks() {
        let opened = Instant::now();
        let mut clock = LinkClock::new(opened);
        let at = |ms| opened + Duration::from_millis(ms);
        assert_eq!(clock.delay(at(5), Duration::from_millis(4)), Duration::ZERO);
        let delay = clock.delay(at(9_001), Duration::from_millis(1_000));
        assert!(delay >= Duration::from_millis(7_990), "{delay:?}");
        assert!(delay <= Duration::from_millis(8_000), "{delay:?}");
    }
}
