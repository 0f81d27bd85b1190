//! Structured lines about decisions, bounded in number and never blocking.
//!
//! A line is one JSON object on standard output: `ms` is the time of day, `up_ms`
//! the time since the process started, which no step of the clock changes. Lines about requests are
//! sampled by the request's identifier, so that of a sampled request every
//! line is there; failures and changes of state are always written. Beyond a
//! rate lines are left out and counted. A thread of its own writes, so a slow
//! reader of the output delays nobody.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

use serde_json::Map;
use serde_json::Value;
use wisteriawick_core::time::SharedClock;
use wisteriawick_core::time::unix_millis;

/// Lines that wait for the writer; more are left out.
const QUEUE_LINES: usize = 1024;
/// Lines a second over all kinds. At 300 bytes a line this is 60 kB a second.
const MAX_LINES_PER_S: u32 = 200;
/// One of so many successful requests is logged.
const SAMPLE: u64 = 16;

/// What a line is about, which decides whether it may be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventCategory {
    /// A change of what the process believes, or of its state.
    State,
    /// A request that failed, was refused or was tried again.
    Failure,
    /// A step of a request that goes well.
    Routine,
}

/// Writes the lines of one process.
#[derive(Clone, Debug)]
pub struct EventLog {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    process: String,
    clock: SharedClock,
    started: Instant,
    tx: SyncSender<String>,
    left_out: AtomicU64,
    window: Mutex<Window>,
}

#[derive(Debug)]
struct Window {
    began: Instant,
    lines: u32,
}

impl EventLog {
    /// Starts the writer.
    pub fn start(process: &str, clock: SharedClock) -> Self {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_lines(&rx));
        let window = Window {
            began: clock.now(),
            lines: 0,
        };
        Self {
            inner: Arc::new(Inner {
                process: process.to_string(),
                started: clock.now(),
                clock,
                tx,
                left_out: AtomicU64::new(0),
                window: Mutex::new(window),
            }),
        }
    }

    /// Writes a line of a kind; `fields` is a JSON object.
    pub fn line(&self, weight: EventCategory, kind: &str, fields: Value) {
        if !self.has_room() {
            self.inner.left_out.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let mut line = Map::new();
        line.insert("ms".into(), unix_millis(self.inner.clock.wall()).into());
        let up = self.inner.clock.now() - self.inner.started;
        line.insert("up_ms".into(), (up.as_micros() as f64 / 1000.0).into());
        line.insert("process".into(), self.inner.process.as_str().into());
        line.insert("event".into(), kind.into());
        if weight == EventCategory::Failure {
            line.insert("level".into(), "warn".into());
        }
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let left_out = self.inner.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            line.insert("left_out".into(), left_out.into());
        }
        let text = Value::Object(line).to_string();
        if self.inner.tx.try_send(text).is_err() {
            self.inner
                .left_out
                .fetch_add(left_out + 1, Ordering::Relaxed);
        }
    }

    /// Returns whether routine lines of a request are written.
    pub fn is_sampled(request: &str) -> bool {
        let digest = request.bytes().fold(0u64, |sum, byte| {
            sum.wrapping_mul(31).wrapping_add(byte.into())
        });
        digest.is_multiple_of(SAMPLE)
    }

    fn has_room(&self) -> bool {
        let now = self.inner.clock.now();
        let mut window = self.inner.window.lock().expect("no holder panics");
        if now.saturating_duration_since(window.began) >= Duration::from_secs(1) {
            window.began = now;
            window.lines = 0;
        }
        window.lines += 1;
        window.lines <= MAX_LINES_PER_S
    }
}

fn write_lines(rx: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(line) = rx.recv() {
        let mut buf = line;
        buf.push('\n');
        while let Ok(line) = rx.try_recv() {
            buf.push_str(&line);
            buf.push('\n');
        }
        // Nothing is left to tell when standard output is gone.
        let _ = out.write_all(buf.as_bytes());
        let _ = out.flush();
    }
}
