//! Whether a stream was on time, and if not, why.
//!
//! A stream is late once its first event or one pause between two events takes
//! longer than its route allows. Which of them came first tells where to look:
//! at what waits before runners, or at the pace of their groups.

use std::time::Duration;
use std::time::Instant;

/// What made a stream late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateCause {
    /// Its first event.
    FirstEvent,
    /// A pause between two events.
    EventGap,
}

/// Times of a stream's events, as they go to the caller.
#[derive(Clone, Copy, Debug)]
pub struct StreamLatency {
    /// Bound of the time to the first event.
    latency_target: Duration,
    /// Bound of a pause between events, if the route has one.
    max_event_gap: Option<Duration>,
    time_to_first_event: Option<Duration>,
    last_at: Instant,
    longest_gap: Duration,
}

impl StreamLatency {
    /// Returns the record of a request that arrived at `arrived`.
    pub fn new(
        arrived: Instant,
        latency_target: Duration,
        max_event_gap: Option<Duration>,
    ) -> Self {
        Self {
            latency_target,
            max_event_gap,
            time_to_first_event: None,
            last_at: arrived,
            longest_gap: Duration::ZERO,
        }
    }

    /// Records an event; returns what has just made the stream late, if this
    /// event did.
    pub fn record_event(&mut self, now: Instant) -> Option<LateCause> {
        let was_late = self.is_late();
        let gap = now.saturating_duration_since(self.last_at);
        self.last_at = now;
        let cause = match self.time_to_first_event {
            None => {
                self.time_to_first_event = Some(gap);
                LateCause::FirstEvent
            }
            Some(_) => {
                self.longest_gap = self.longest_gap.max(gap);
                LateCause::EventGap
            }
        };
        (self.is_late() && !was_late).then_some(cause)
    }

    /// Returns the time from arrival to the first event.
    pub fn time_to_first_event(&self) -> Option<Duration> {
        self.time_to_first_event
    }

    /// Returns the longest pause between two events so far.
    pub fn longest_gap(&self) -> Duration {
        self.longest_gap
    }

    fn is_late(&self) -> bool {
        self.time_to_first_event
            .is_some_and(|time| time > self.latency_target)
            || self
                .max_event_gap
                .is_some_and(|max_event_gap| self.longest_gap > max_event_gap)
    }
}
