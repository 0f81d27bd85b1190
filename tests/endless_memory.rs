//! Peak memory of an entry process while a hundred runners, or the store, send bytes
//! without end.

#[path = "support/hosted_process.rs"]
mod hosted_process;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use wisteriawick_platform_standin::EndlessBytes;
use wisteriawick_platform_standin::Runner;
use wisteriawick_platform_standin::RunnerBehavior;
use wisteriawick_platform_standin::SendPace;
use wisteriawick_platform_standin::Store;
use wisteriawick_platform_standin::caller_request;
use wisteriawick_platform_standin::configuration;
use wisteriawick_platform_standin::entry_settings;
use wisteriawick_platform_standin::send;
use wisteriawick_standins::address::own_address;

use crate::hosted_process::HostedProcess;

const RUNNERS: usize = 100;
/// Requests that are sent at the same time.
const REQUESTS: usize = 200;
/// Longest time that the process takes to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of the requests.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an entry runs beside a store.
const STORE_TIME: Duration = Duration::from_secs(3);
/// Most memory that they may cost, in kB.
const MAX_GROWTH_KB: u64 = 16 * 1024;

/// Starts an entry beside a store.
fn start_entry(name: &str, callers: SocketAddr, store: SocketAddr) -> HostedProcess {
    let settings = entry_settings("entry-test", callers, own_address(), store);
    HostedProcess::start("entry", name, &settings)
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
    let callers = own_address();
    let process = start_entry(name, callers, store.address());
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
    process.peak_kb()
}

/// Returns the peak memory of an entry beside a store.
async fn peak_beside_store(name: &str, store: SocketAddr) -> u64 {
    let process = start_entry(name, own_address(), store);
    tokio::time::sleep(STORE_TIME).await;
    process.peak_kb()
}

/// Starts a store that sends a body without end on each connection.
async fn endless_store() -> SocketAddr {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let chunk = chunk.clone();
            tokio::spawn(async move {
                let mut sent = stream.write_all(HEAD.as_bytes()).await;
                while sent.is_ok() {
                    sent = stream.write_all(chunk.as_bytes()).await;
                }
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_sends_without_end_costs_little_memory() {
    let teardown = CancellationToken::new();
    let _guard = teardown.clone().drop_guard();
    let store = Store::start(teardown.clone()).await.expect("loopback");
    let base = peak_beside_store("store", store.address()).await;
    let peak = peak_beside_store("endless-store", endless_store().await).await;
    let growth = peak.saturating_sub(base);
    println!("healthy store: {base} kB; endless store: {peak} kB, {growth} kB more");
    assert!(growth < MAX_GROWTH_KB, "{growth} kB more");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hundred_runners_that_send_without_end_cost_little_memory() {
    let plain = peak_with("none", RunnerBehavior::Normal, "/once/").await;
    let stream = peak_with("no-stream", RunnerBehavior::Normal, "/stream/").await;
    println!("healthy runners: {plain} kB, with streams {stream} kB");
    let base = plain.min(stream);
    let cases = [
        (EndlessBytes::NoResponse, "/once/"),
        (EndlessBytes::EmptyLines, "/once/"),
        (EndlessBytes::StatusLine, "/once/"),
        (EndlessBytes::InformationalHeaders, "/once/"),
        (EndlessBytes::TinyChunks, "/once/"),
        (EndlessBytes::TrailerLine, "/once/"),
        (EndlessBytes::TrailerLines, "/once/"),
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
