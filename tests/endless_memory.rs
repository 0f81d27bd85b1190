//! Peak memory of an entry process while a hundred runners send bytes without end.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use wisteriawick_platform::SETTINGS_VARIABLE;
use wisteriawick_platform_standin::EndlessBytes;
use wisteriawick_platform_standin::Runner;
use wisteriawick_platform_standin::RunnerBehavior;
use wisteriawick_platform_standin::SendPace;
use wisteriawick_platform_standin::Store;
use wisteriawick_platform_standin::caller_request;
use wisteriawick_platform_standin::configuration;
use wisteriawick_platform_standin::entry_settings;
use wisteriawick_platform_standin::send;

const RUNNERS: usize = 100;
/// Requests that are sent at the same time.
const REQUESTS: usize = 200;
/// Longest time that the process takes to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of the requests.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Most memory that the runners may cost, in kB.
const MAX_GROWTH_KB: u64 = 16 * 1024;

/// A process that is killed when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Returns the peak of the resident memory in kB.
    fn peak_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.0.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .expect("a peak");
        let number = line.trim().trim_end_matches(" kB");
        number.parse().expect("a number")
    }
}

fn free_address() -> SocketAddr {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("an address")
}

async fn wait_until_it_serves(callers: SocketAddr) {
    let probe = async {
        loop {
            if let Ok(stream) = TcpStream::connect(callers).await {
                let req = caller_request("GET", "/safe/", "probe", REQUEST_TIMEOUT);
                if send(stream, req)
                    .await
                    .is_ok_and(|res| res.status.is_success())
                {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(START_TIMEOUT, probe)
        .await
        .expect("the process serves requests");
}

async fn send_one(callers: SocketAddr, n: usize, path: &'static str) {
    // The entry's listen queue may be full.
    let Ok(stream) = TcpStream::connect(callers).await else {
        return;
    };
    let req = caller_request("POST", path, &format!("r{n}"), REQUEST_TIMEOUT);
    // Callers whose response breaks off are not what is measured.
    let _ = send(stream, req).await;
}

/// Returns the peak memory of an entry whose runners all behave like this.
async fn peak_with(name: &str, behavior: RunnerBehavior, path: &'static str) -> u64 {
    let teardown = CancellationToken::new();
    let _guard = teardown.clone().drop_guard();
    let store = Store::start(teardown.clone()).await.expect("loopback");
    store.write("config", "main", configuration(1, 8_000));
    let mut runners = Vec::new();
    for n in 0..RUNNERS {
        let id = format!("i-{n}");
        let runner = Runner::start(&id, teardown.clone())
            .await
            .expect("loopback");
        runner.register(&store, "s", "ready");
        runners.push(runner);
    }
    let file: PathBuf = std::env::temp_dir().join(format!(
        "wisteriawick-endless-{}-{name}.toml",
        std::process::id()
    ));
    let callers = free_address();
    let text = entry_settings("entry-test", callers, free_address(), store.address());
    std::fs::write(&file, text).expect("the settings file is written");
    let child = Command::new(env!("CARGO_BIN_EXE_wisteriawick"))
        .arg("entry")
        .env(SETTINGS_VARIABLE, &file)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .expect("the binary starts");
    let process = Process(child);
    wait_until_it_serves(callers).await;
    for runner in &runners {
        runner.set_behavior(behavior);
    }
    let mut requests = JoinSet::new();
    for n in 0..REQUESTS {
        requests.spawn(send_one(callers, n, path));
    }
    requests.join_all().await;
    let reached = runners
        .iter()
        .filter(|runner| !runner.executed_requests().is_empty())
        .count();
    assert!(
        reached > RUNNERS * 9 / 10,
        "{name}: {reached} runners reached"
    );
    std::fs::remove_file(file).expect("the settings file exists");
    process.peak_kb()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hundred_runners_that_send_without_end_cost_little_memory() {
    let plain = peak_with("none", RunnerBehavior::Normal, "/once/").await;
    let stream = peak_with("no-stream", RunnerBehavior::Normal, "/stream/").await;
    println!("healthy runners: {plain} kB, with streams {stream} kB");
    let base = plain.min(stream);
    let cases = [
        (EndlessBytes::HeaderLine, "/once/"),
        (EndlessBytes::HeaderLines, "/once/"),
        (EndlessBytes::InformationalResponses, "/once/"),
        (EndlessBytes::ChunkExtension, "/once/"),
        (EndlessBytes::ChunkSize, "/once/"),
        (EndlessBytes::ChunkedBody, "/once/"),
        (EndlessBytes::LongBody, "/once/"),
        (EndlessBytes::BodyWithoutLength, "/once/"),
        (EndlessBytes::AfterResponse, "/once/"),
        (EndlessBytes::Event, "/stream/"),
    ];
    let mut excess = Vec::new();
    for (bytes, path) in cases {
        let name = format!("{bytes:?}");
        let behavior = RunnerBehavior::Endless(bytes, SendPace::Full);
        let peak = peak_with(&name, behavior, path).await;
        let growth = peak.saturating_sub(base);
        println!("{name}: {peak} kB, {growth} kB more");
        if growth >= MAX_GROWTH_KB {
            excess.push((name, growth));
        }
    }
    assert!(excess.is_empty(), "kB more: {excess:?}");
}
