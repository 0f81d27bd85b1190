//! The timeline of a process: a shared handle to its ring of recent events, and
//! the encoding of events for links and command output.
//!
//! Events carry stamps of a hybrid logical clock, so that the events of all
//! processes can be merged in an order that respects cause and effect.

use std::sync::Arc;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;
use wisteriawick_core::event::Event;
use wisteriawick_core::event::EventKind;
use wisteriawick_core::event::EventRing;
use wisteriawick_core::hlc::HlcStamp;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::time::SharedClock;

/// Most recent events that a process keeps.
const RING_CAPACITY: usize = 8_192;

/// Encoding of a clock stamp.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
pub struct StampWire {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Counter that orders stamps within one millisecond.
    pub counter: u32,
}

impl From<HlcStamp> for StampWire {
    fn from(stamp: HlcStamp) -> Self {
        Self {
            millis: stamp.millis,
            counter: stamp.counter,
        }
    }
}

impl From<StampWire> for HlcStamp {
    fn from(wire: StampWire) -> Self {
        Self {
            millis: wire.millis,
            counter: wire.counter,
        }
    }
}

/// Encoding of an event, on links and in the output of `timeline --json`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EventWire {
    /// Time of the event.
    pub at: StampWire,
    /// Process that recorded the event.
    pub process: String,
    /// Name of the kind of event.
    pub kind: String,
    /// Fields of the event, as `name=value` pairs.
    pub detail: String,
    /// Workspace that the event concerns, if any.
    pub workspace: Option<String>,
}

impl From<&Event> for EventWire {
    fn from(event: &Event) -> Self {
        Self {
            at: event.at.into(),
            process: event.process.to_string(),
            kind: event.kind.name().to_string(),
            detail: event.kind.to_string(),
            workspace: event.kind.workspace().map(ToString::to_string),
        }
    }
}

/// A shared handle to the events and the logical clock of this process.
///
/// A mutex guards the ring instead of a task that owns it, because stamping a
/// heartbeat must not wait for a task. No code awaits or performs I/O while it
/// holds the mutex.
#[derive(Clone, Debug)]
pub struct Timeline {
    clock: SharedClock,
    ring: Arc<Mutex<EventRing>>,
}

impl Timeline {
    /// Returns a timeline without events.
    pub fn new(process: ProcessId, clock: SharedClock) -> Self {
        Self {
            clock,
            ring: Arc::new(Mutex::new(EventRing::new(process, RING_CAPACITY))),
        }
    }

    /// Records an event and logs it at level `info`.
    pub fn record(&self, kind: EventKind) {
        log::info!("{} {kind}", kind.name());
        self.lock().push(self.clock.wall(), kind);
    }

    /// Advances the clock and returns a stamp for a message to be sent.
    pub fn stamp(&self) -> HlcStamp {
        self.lock().stamp(self.clock.wall())
    }

    /// Advances the clock to the stamp of a received message, unless it is ahead.
    pub fn observe(&self, stamp: HlcStamp) {
        self.lock().observe(stamp);
    }

    /// Returns the events at or after a stamp.
    pub fn since(&self, since: HlcStamp) -> Vec<EventWire> {
        self.lock().since(since).map(EventWire::from).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, EventRing> {
        self.ring.lock().expect("no holder panics")
    }
}
