//! The time line of a process: a handle to its event ring, and the wire form.

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

/// Events that a process keeps.
const RING_CAPACITY: usize = 8_192;

/// A stamp as it travels.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
pub struct StampWire {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Orders stamps within one millisecond.
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

/// An event as it travels and as `timeline --json` prints it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EventWire {
    /// When it happened.
    pub at: StampWire,
    /// Where it happened.
    pub process: String,
    /// Name of what happened.
    pub kind: String,
    /// Its particulars, as `name=value` pairs.
    pub detail: String,
    /// The workspace that it concerns.
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

/// A shared handle to the events of this process.
///
/// The ring is behind a lock rather than a task because stamping a heartbeat
/// must not wait; no holder awaits or calls out.
#[derive(Clone, Debug)]
pub struct Timeline {
    clock: SharedClock,
    ring: Arc<Mutex<EventRing>>,
}

impl Timeline {
    /// Returns an empty time line.
    pub fn new(process: ProcessId, clock: SharedClock) -> Self {
        Self {
            clock,
            ring: Arc::new(Mutex::new(EventRing::new(process, RING_CAPACITY))),
        }
    }

    /// Records an event and logs it as a change of state.
    pub fn record(&self, kind: EventKind) {
        log::info!("{} {kind}", kind.name());
        self.lock().push(self.clock.wall(), kind);
    }

    /// Returns a stamp for a message that is about to leave.
    pub fn stamp(&self) -> HlcStamp {
        self.lock().stamp(self.clock.wall())
    }

    /// Takes note of a stamp that came with a message.
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
