//! Measures how long a message was under way without comparing two clocks.
//!
//! Each message carries the sender's monotonic time since the link opened. The
//! smallest difference to the receiver's time seen on the link stands for an
//! undelayed message; what exceeds it is delay. The two clocks only need to
//! run at the same rate.

use std::time::Duration;
use std::time::Instant;

/// Bound on how much two machines' clocks differ in rate, in parts per million.
const RATE_SKEW_PPM: u64 = 200;

/// Estimates delays on one link.
#[derive(Clone, Debug)]
pub struct LinkClock {
    opened: Instant,
    /// Smallest receiver time less sender time, in microseconds.
    least_micros: Option<i64>,
}

impl LinkClock {
    /// Returns a clock for a link that opened now.
    pub fn new(opened: Instant) -> Self {
        Self {
            opened,
            least_micros: None,
        }
    }

    /// Returns how much longer than the fastest message this one was under way.
    ///
    /// `sent` is the sender's time since it opened the link.
    pub fn delay(&mut self, now: Instant, sent: Duration) -> Duration {
        let received = now.saturating_duration_since(self.opened);
        let difference = received.as_micros() as i64 - sent.as_micros() as i64;
        let least = self.least_micros.map_or(difference, |l| l.min(difference));
        self.least_micros = Some(least);
        let skew = received.as_micros() as u64 * RATE_SKEW_PPM / 1_000_000;
        let excess = (difference - least) as u64;
        Duration::from_micros(excess.saturating_sub(skew))
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;
    use std::time::Instant;

    use super::LinkClock;

    #[test]
    fn a_held_up_message_shows_its_delay() {
        let opened = Instant::now();
        let mut clock = LinkClock::new(opened);
        let at = |ms| opened + Duration::from_millis(ms);
        assert_eq!(clock.delay(at(5), Duration::from_millis(4)), Duration::ZERO);
        let delay = clock.delay(at(9_001), Duration::from_millis(1_000));
        assert!(delay >= Duration::from_millis(7_990), "{delay:?}");
        assert!(delay <= Duration::from_millis(8_000), "{delay:?}");
    }
}
