//! Measures whether a stream of events meets the latency targets of its route.
//!
//! A stream is late once its first event or one gap between two events takes
//! longer than the route allows. Which of the two happened first shows where to
//! look: a late first event points to queueing before the runners, a long gap
//! to the speed of their group.

use std::time::Duration;
use std::time::Instant;

/// Which event made a stream late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateCause {
    /// The first event was sent too late.
    FirstEvent,
    /// The gap between two events was too long.
    EventGap,
}

/// Times at which the events of one stream are sent to the caller.
#[derive(Clone, Copy, Debug)]
pub struct StreamLatency {
    /// Longest time to the first event of a stream that is on time.
    latency_target: Duration,
    /// Longest gap between events of a stream that is on time, if the route has
    /// such a target.
    max_event_gap: Option<Duration>,
    time_to_first_event: Option<Duration>,
    /// Time of the last event, or of the request's arrival before the first one.
    last_at: Instant,
    longest_gap: Duration,
}

impl StreamLatency {
    /// Returns the state of a request that arrived at `arrived`.
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

    /// Returns the time of the last event, or of the request's arrival before the first.
    pub fn last_at(&self) -> Instant {
        self.last_at
    }

    /// Records an event. Returns the cause if this event made the stream late.
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

    /// Returns the longest gap between two events so far.
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
