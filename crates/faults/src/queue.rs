//! Events in time order, with a clock that moves only between them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::time::Moment;

/// Wall time at the start of a run, in seconds since the Unix epoch.
const START_UNIX_S: u64 = 1_000_000;

/// A queue of events.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    start: Instant,
    now: Instant,
    events: BTreeMap<(Instant, u64), E>,
    next: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            now: start,
            events: BTreeMap::new(),
            next: 0,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.now
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    pub(crate) fn moment(&self) -> Moment {
        Moment {
            now: self.now,
            unix_s: START_UNIX_S + self.elapsed().as_secs(),
        }
    }

    /// Adds an event after a pause.
    pub(crate) fn schedule(&mut self, pause: Duration, event: E) {
        self.next += 1;
        self.events.insert((self.now + pause, self.next), event);
    }

    /// Takes the next event, unless a timer that is due earlier comes first.
    pub(crate) fn pop(&mut self, timer: Option<Instant>) -> Option<Next<E>> {
        let event_at = self.events.keys().next().map(|(at, _)| *at);
        match (event_at, timer) {
            (Some(event), Some(timer)) if timer < event => self.timer(timer),
            (None, Some(timer)) => self.timer(timer),
            _ => {
                let ((at, _), event) = self.events.pop_first()?;
                self.now = self.now.max(at);
                Some(Next::Event(event))
            }
        }
    }

    fn timer(&mut self, at: Instant) -> Option<Next<E>> {
        self.now = self.now.max(at);
        Some(Next::Timer)
    }
}

/// What happens next.
#[derive(Debug)]
pub(crate) enum Next<E> {
    /// An event.
    Event(E),
    /// A timer is due.
    Timer,
}
