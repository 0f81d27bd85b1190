//! A queue of events in time order, with a simulated clock that advances only
//! when an event or a timer is taken.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::time::Moment;

/// Wall-clock time at the start of a run, in seconds since the Unix epoch.
const START_UNIX_S: u64 = 1_000_000;

/// Pending events by due time, and the simulated clock.
///
/// Events that are due at the same time are delivered in the order in which they
/// were scheduled, so that a run is deterministic.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    start: Instant,
    now: Instant,
    events: BTreeMap<(Instant, u64), E>,
    last_number: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            now: start,
            events: BTreeMap::new(),
            last_number: 0,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.now
    }

    /// Returns the simulated time since the start of the run.
    pub(crate) fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Returns the monotonic and the wall-clock time of the simulated clock.
    pub(crate) fn moment(&self) -> Moment {
        Moment {
            now: self.now,
            unix_s: START_UNIX_S + self.elapsed().as_secs(),
        }
    }

    /// Adds an event that is due after a delay.
    pub(crate) fn schedule(&mut self, delay: Duration, event: E) {
        self.last_number += 1;
        self.events
            .insert((self.now + delay, self.last_number), event);
    }

    /// Advances the clock to the next event and removes it, or to `timer` if it
    /// is due before that event. Returns `None` if there is neither.
    pub(crate) fn pop(&mut self, timer: Option<Instant>) -> Option<Next<E>> {
        let event_at = self.events.keys().next().map(|(at, _)| *at);
        match (event_at, timer) {
            (Some(event), Some(timer)) if timer < event => self.advance_to_timer(timer),
            (None, Some(timer)) => self.advance_to_timer(timer),
            _ => {
                let ((at, _), event) = self.events.pop_first()?;
                self.now = self.now.max(at);
                Some(Next::Event(event))
            }
        }
    }

    fn advance_to_timer(&mut self, at: Instant) -> Option<Next<E>> {
        self.now = self.now.max(at);
        Some(Next::Timer)
    }
}

/// What is due next.
#[derive(Debug)]
pub(crate) enum Next<E> {
    /// A queued event.
    Event(E),
    /// The timer that was passed to [`EventQueue::pop`].
    Timer,
}
