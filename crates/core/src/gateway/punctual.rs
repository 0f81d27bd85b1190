//! Whether a stream was on time, and if not, why.
//!
//! A stream is late once its first event or one pause between two events takes
//! longer than its route allows. Which of them came first tells where to look:
//! at what waits before runners, or at the pace of their groups.

use std::time::Duration;
use std::time::Instant;

/// What made a stream late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lateness {
    /// Its first event.
    FirstEvent,
    /// A pause between two events.
    Pause,
}

/// Times of a stream's events, as they go to the caller.
#[derive(Clone, Copy, Debug)]
pub struct Punctuality {
    /// Bound of the time to the first event.
    objective: Duration,
    /// Bound of a pause between events, if the route has one.
    pause: Option<Duration>,
    first: Option<Duration>,
    last: Instant,
    longest_pause: Duration,
}

impl Punctuality {
    /// Returns the record of a request that arrived at `arrived`.
    pub fn new(arrived: Instant, objective: Duration, pause: Option<Duration>) -> Self {
        Self {
            objective,
            pause,
            first: None,
            last: arrived,
            longest_pause: Duration::ZERO,
        }
    }

    /// Records an event; returns what has just made the stream late, if this
    /// event did.
    pub fn event(&mut self, now: Instant) -> Option<Lateness> {
        let was_late = self.is_late();
        let gap = now.saturating_duration_since(self.last);
        self.last = now;
        let cause = match self.first {
            None => {
                self.first = Some(gap);
                Lateness::FirstEvent
            }
            Some(_) => {
                self.longest_pause = self.longest_pause.max(gap);
                Lateness::Pause
            }
        };
        (self.is_late() && !was_late).then_some(cause)
    }

    /// Returns the time from arrival to the first event.
    pub fn first(&self) -> Option<Duration> {
        self.first
    }

    /// Returns the longest pause between two events so far.
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause
    }

    fn is_late(&self) -> bool {
        self.first.is_some_and(|first| first > self.objective)
            || self.pause.is_some_and(|pause| self.longest_pause > pause)
    }
}
