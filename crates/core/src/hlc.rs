//! A hybrid logical clock (HLC), which orders the events of different processes.
//!
//! Stamps follow wall time as closely as causality allows: the receipt of a message
//! always has a later stamp than its sending, even if the receiver's clock is slow.
//! Stamps are not meant for deadlines.

use std::time::SystemTime;

use crate::time::unix_millis;

/// A position on the timeline that merges the events of all processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HlcStamp {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Orders stamps within one millisecond.
    pub counter: u32,
}

/// The hybrid logical clock of one process.
#[derive(Clone, Debug, Default)]
pub struct Hlc {
    /// Never decreases.
    last: HlcStamp,
}

impl Hlc {
    /// Returns a stamp later than every stamp returned or observed before.
    pub fn stamp(&mut self, wall: SystemTime) -> HlcStamp {
        let millis = unix_millis(wall);
        self.last = if millis > self.last.millis {
            HlcStamp { millis, counter: 0 }
        } else {
            HlcStamp {
                millis: self.last.millis,
                counter: self.last.counter + 1,
            }
        };
        self.last
    }

    /// Records the stamp of a received message, so that later stamps exceed it.
    pub fn observe(&mut self, remote: HlcStamp) {
        self.last = self.last.max(remote);
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;
    use std::time::SystemTime;

    use super::Hlc;

    #[test]
    fn receipt_is_stamped_after_sending_when_the_receivers_clock_is_slow() {
        let mut sender = Hlc::default();
        let mut receiver = Hlc::default();
        let late = SystemTime::UNIX_EPOCH + Duration::from_secs(10);
        let early = SystemTime::UNIX_EPOCH + Duration::from_secs(1);
        let sent = sender.stamp(late);
        receiver.observe(sent);
        assert!(receiver.stamp(early) > sent);
    }
}
