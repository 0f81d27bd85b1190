//! The event log when its process ends.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::json;
use wisteriawick::eventlog::EventCategory;
use wisteriawick::eventlog::EventLog;
use wisteriawick_core::time::SystemClock;

/// An output that takes a while for each write.
#[derive(Clone, Default)]
struct SlowOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SlowOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(20));
        self.0.lock().expect("no panic").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[tokio::test]
async fn lines_logged_before_a_flush_are_written_when_it_returns() {
    let out = SlowOutput::default();
    let log = EventLog::start_with_output("entry-test", Arc::new(SystemClock), out.clone());
    for n in 0..3 {
        log.line(EventCategory::State, "stopped", json!({"n": n}));
    }
    log.flush().await;
    let written = out.0.lock().expect("no panic").clone();
    let text = String::from_utf8(written).expect("UTF-8");
    assert_eq!(text.lines().count(), 3, "{text}");
}
