//! A clock as a trait, so that tests can control the time.

use std::fmt::Debug;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// A source of monotonic and wall time.
pub trait Clock: Debug + Send + Sync {
    /// Returns monotonic time, for deadlines and ages.
    fn now(&self) -> Instant;

    /// Returns wall time, for records that outlive a process.
    fn wall(&self) -> SystemTime;
}

/// A shared handle to a clock.
pub type SharedClock = Arc<dyn Clock>;

/// One reading of the monotonic and the wall time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic time, for deadlines.
    pub now: Instant,
    /// Seconds since the Unix epoch, for records that outlive a process.
    pub unix_s: u64,
}

impl Moment {
    /// Reads both times of a clock.
    pub fn read(clock: &dyn Clock) -> Self {
        Self {
            now: clock.now(),
            unix_s: unix_seconds(clock.wall()),
        }
    }
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests, which moves only when [`advance`](Self::advance) is called.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Returns a clock at its start: now in monotonic time, the epoch in wall time.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self
            .elapsed
            .lock()
            .expect("no thread panics while it holds the lock") += by;
    }

    fn elapsed(&self) -> Duration {
        *self
            .elapsed
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}

/// Returns whole seconds since the Unix epoch; zero for earlier times.
pub fn unix_seconds(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

/// Returns whole milliseconds since the Unix epoch; zero for earlier times.
pub fn unix_millis(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
