//! A hosted entry as a process: what it logs when the store returns from a copy.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::time::Duration;

use serde_json::Value;
use tokio_util::sync::CancellationToken;
use wisteriawick_platform::SETTINGS_VARIABLE;
use wisteriawick_platform_standin::Store;
use wisteriawick_platform_standin::configuration;
use wisteriawick_platform_standin::entry_settings;
use wisteriawick_standins::address::own_address;

/// Longest time until an expected line is logged.
const LINE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a line would be logged again.
const REPEAT_TIME: Duration = Duration::from_secs(3);

/// A process that is killed when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the next line of an event.
fn next_line(lines: &mpsc::Receiver<Value>, event: &str, timeout: Duration) -> Option<Value> {
    let end = std::time::Instant::now() + timeout;
    loop {
        let left = end.saturating_duration_since(std::time::Instant::now());
        let line = lines.recv_timeout(left).ok()?;
        if line["event"] == event {
            return Some(line);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn older_declaration_of_a_restored_store_is_logged_once_with_versions_and_eras() {
    let teardown = CancellationToken::new();
    let store = Store::start(teardown.clone()).await.expect("loopback");
    let name = format!("wisteriawick-restored-{}.toml", std::process::id());
    let settings = std::env::temp_dir().join(name);
    let text = entry_settings("entry-test", own_address(), own_address(), store.address());
    std::fs::write(&settings, text).expect("the settings file is written");
    let child = Command::new(env!("CARGO_BIN_EXE_wisteriawick"))
        .arg("entry")
        .env(SETTINGS_VARIABLE, &settings)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut process = Process(child);
    let stdout = process.0.stdout.take().expect("piped");
    let (tx, lines) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let line = serde_json::from_str(&line).expect("a JSON line");
            if tx.send(line).is_err() {
                return;
            }
        }
    });
    store.write_configuration(configuration(4, 2_000));
    let copy = store.copy();
    store.write_configuration(configuration(7, 2_000));
    let in_force = |lines: &mpsc::Receiver<Value>, version: u64| loop {
        let line = next_line(lines, "declaration", LINE_TIMEOUT).expect("in force");
        if line["version"] == version {
            return line;
        }
    };
    assert_eq!(in_force(&lines, 7)["era"], 1);
    store.restore(&copy);
    let behind = next_line(&lines, "store_behind", LINE_TIMEOUT).expect("logged");
    let fields = ["in_force", "in_force_era", "listed", "listed_era"];
    assert_eq!(
        fields.map(|field| behind[field].as_u64()),
        [7, 1, 4, 2].map(Some)
    );
    store.forget_history();
    assert_eq!(next_line(&lines, "store_behind", REPEAT_TIME), None);
    store.write_configuration(configuration(7, 2_000));
    assert_eq!(in_force(&lines, 7)["era"], 2);
    std::fs::remove_file(settings).expect("the settings file exists");
    teardown.cancel();
}
