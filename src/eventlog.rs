//! Structured event log on standard output, limited in rate and never blocking.
//!
//! Each line is one JSON object. `ms` is the wall-clock time and `up_ms` the
//! monotonic time since the process started, which clock adjustments don't
//! change. Routine lines about requests are sampled by the identifier of the
//! request, so that a sampled request has all of its lines; failures and state
//! changes are not sampled. Lines beyond the rate limit are dropped and counted
//! in the `left_out` field of the next line. A separate thread writes, so a slow
//! reader of the output delays no request.

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
use tokio::sync::oneshot;
use wisteriawick_core::time::SharedClock;
use wisteriawick_core::time::unix_millis;

/// Lines queued for the writer thread; further ones are dropped.
const QUEUE_LINES: usize = 1024;
/// Lines per second over all categories. At 300 bytes a line this is 60 kB/s.
const MAX_LINES_PER_S: u32 = 200;
/// One in this many successful requests is logged.
const SAMPLE_INTERVAL: u64 = 16;
/// Longest time that the end of a process waits for its last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// What the writer thread does next.
#[derive(Debug)]
enum Output {
    /// Writes a line.
    Line(String),
    /// Reports that all lines queued before are written.
    Flush(oneshot::Sender<()>),
}

/// Subject of a line. Callers sample `Routine` lines with
/// [`EventLog::is_sampled`]; `Failure` lines have level `warn`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventCategory {
    /// A change of the state of the process, or of its view of others.
    State,
    /// A failure, such as a request that failed, was rejected or was retried.
    Failure,
    /// A step of a request without a failure.
    Routine,
}

/// A handle to the event log of one process.
#[derive(Clone, Debug)]
pub struct EventLog {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    process: String,
    clock: SharedClock,
    started: Instant,
    tx: SyncSender<Output>,
    dropped_lines: AtomicU64,
    window: Mutex<RateWindow>,
}

#[derive(Debug)]
struct RateWindow {
    start: Instant,
    lines: u32,
}

impl EventLog {
    /// Starts the writer thread, which writes to standard output; `process` appears in
    /// every line.
    pub fn start(process: &str, clock: SharedClock) -> Self {
        Self::start_with_output(process, clock, std::io::stdout())
    }

    /// Starts the writer thread with another output.
    pub fn start_with_output(
        process: &str,
        clock: SharedClock,
        out: impl Write + Send + 'static,
    ) -> Self {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_queued(&rx, out));
        let window = RateWindow {
            start: clock.now(),
            lines: 0,
        };
        Self {
            inner: Arc::new(Inner {
                process: process.to_string(),
                started: clock.now(),
                clock,
                tx,
                dropped_lines: AtomicU64::new(0),
                window: Mutex::new(window),
            }),
        }
    }

    /// Queues a line about an event with this name; `fields` is a JSON object.
    /// Drops the line if the rate limit is reached or the queue is full.
    pub fn line(&self, category: EventCategory, event: &str, fields: Value) {
        if !self.is_within_rate() {
            self.inner.dropped_lines.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let mut line = Map::new();
        line.insert("ms".into(), unix_millis(self.inner.clock.wall()).into());
        let uptime = self.inner.clock.now() - self.inner.started;
        line.insert("up_ms".into(), (uptime.as_micros() as f64 / 1000.0).into());
        line.insert("process".into(), self.inner.process.as_str().into());
        line.insert("event".into(), event.into());
        if category == EventCategory::Failure {
            line.insert("level".into(), "warn".into());
        }
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let dropped_lines = self.inner.dropped_lines.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            line.insert("left_out".into(), dropped_lines.into());
        }
        let text = Value::Object(line).to_string();
        if self.inner.tx.try_send(Output::Line(text)).is_err() {
            self.inner
                .dropped_lines
                .fetch_add(dropped_lines + 1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines queued so far are written, but only for a short time.
    /// A process calls this before it ends, which loses the lines still queued.
    pub async fn flush(&self) {
        let (tx, rx) = oneshot::channel();
        if self.inner.tx.try_send(Output::Flush(tx)).is_ok() {
            // Lines that take longer are lost, as with a reader that is stuck.
            let _ = tokio::time::timeout(FLUSH_TIMEOUT, rx).await;
        }
    }

    /// Returns whether routine lines about this request are to be written.
    pub fn is_sampled(request: &str) -> bool {
        let hash = request.bytes().fold(0u64, |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(byte.into())
        });
        hash.is_multiple_of(SAMPLE_INTERVAL)
    }

    /// Counts a line; returns whether it is within the limit of this second.
    fn is_within_rate(&self) -> bool {
        let now = self.inner.clock.now();
        let mut window = self.inner.window.lock().expect("no holder panics");
        if now.saturating_duration_since(window.start) >= Duration::from_secs(1) {
            window.start = now;
            window.lines = 0;
        }
        window.lines += 1;
        window.lines <= MAX_LINES_PER_S
    }
}

fn write_queued(rx: &Receiver<Output>, mut out: impl Write) {
    while let Ok(first) = rx.recv() {
        let mut buf = String::new();
        let mut flushes = Vec::new();
        for output in std::iter::once(first).chain(rx.try_iter()) {
            match output {
                Output::Line(line) => {
                    buf.push_str(&line);
                    buf.push('\n');
                }
                Output::Flush(tx) => flushes.push(tx),
            }
        }
        // A failure of the output cannot be reported anywhere.
        let _ = out.write_all(buf.as_bytes());
        let _ = out.flush();
        for tx in flushes {
            // The process may have stopped waiting.
            let _ = tx.send(());
        }
    }
}
