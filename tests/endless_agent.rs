//! Peak memory of an agent process of fleets of our own whose endpoint sends bytes without
//! end in place of each response.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use support::Fixture;
use support::chat_body;
use support::process::Process;
use support::process::instance;
use support::process::spawn;
use support::small_fleet;
use support::with_timeout;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use wisteriawick_standins::address::own_address;

/// Calls that are sent at the same time; the service takes as many.
const CALLS: usize = 100;
/// Most memory of an agent, half of that of the smallest machine that one runs on, in kB.
const MAX_PEAK_KB: u64 = 64 * 1024;
/// Time that a call may take, in milliseconds.
const CALL_MS: u64 = 3_000;
/// Time after which an agent that serves no call counts as hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);
const CHAT_PATH: &str = "/v1/chat/completions";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Prompt of a call that is answered.
const ORDINARY_PROMPT: &str = "ordinary-prompt";
const BLOCK_BYTES: usize = 64 * 1024;

/// One test at a time, so that neither slows the other down.
static ALONE: Mutex<()> = Mutex::const_new(());

/// What comes first and what is repeated, by the place where a response goes on without end.
fn endless_responses() -> Vec<(&'static str, String, String)> {
    let filler = "x".repeat(1_024);
    let chunk = format!("400\r\n{filler}\r\n");
    let ok = |headers: &str| format!("HTTP/1.1 200 OK\r\n{headers}");
    vec![
        ("bytes of no response", String::new(), filler.clone()),
        ("empty lines", String::new(), "\r\n".into()),
        ("status line", "HTTP/1.1 200 ".into(), filler.clone()),
        ("header line", ok("Filler: "), filler.clone()),
        ("header lines", ok(""), "Filler: x\r\n".into()),
        (
            "interim responses",
            String::new(),
            format!("HTTP/1.1 103 Early Hints\r\nFiller: {filler}\r\n\r\n"),
        ),
        ("chunk size", CHUNKED.into(), "0".into()),
        ("chunk extension", format!("{CHUNKED}5;"), filler.clone()),
        ("chunked body", CHUNKED.into(), chunk),
        ("chunks of a byte", CHUNKED.into(), "1\r\nx\r\n".into()),
        (
            "trailer line",
            format!("{CHUNKED}0\r\nFiller: "),
            filler.clone(),
        ),
        (
            "trailer lines",
            format!("{CHUNKED}0\r\n"),
            "Filler: x\r\n".into(),
        ),
        (
            "long body",
            ok("Content-Length: 1000000000000\r\n\r\n"),
            filler.clone(),
        ),
        (
            "body without length",
            ok("Connection: close\r\n\r\n"),
            filler,
        ),
    ]
}

/// Answers health probes, lookups and ordinary prompts, and any other request without end.
async fn serve(mut stream: TcpStream, first: String, repeated: String) -> std::io::Result<()> {
    let mut buf = [0; 4_096];
    loop {
        let length = stream.read(&mut buf).await?;
        if length == 0 {
            return Ok(());
        }
        let request = String::from_utf8_lossy(&buf[..length]);
        if request.starts_with("GET /") || request.contains(ORDINARY_PROMPT) {
            let ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
            stream.write_all(ok.as_bytes()).await?;
        } else {
            break;
        }
    }
    stream.write_all(first.as_bytes()).await?;
    let block = repeated.repeat(BLOCK_BYTES.div_ceil(repeated.len()));
    loop {
        stream.write_all(block.as_bytes()).await?;
    }
}

async fn start_endpoint(first: String, repeated: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // Ends with the connection.
            tokio::spawn(serve(stream, first.clone(), repeated.clone()));
        }
    });
    address
}

/// Starts an agent process beside an endpoint, the only runner of its service.
async fn start_agent(fixture: &mut Fixture, service: &str, endpoint: SocketAddr) -> Process {
    let name = format!("{service}-9");
    let link = own_address();
    let section = format!("[agent]\nservice = \"{service}\"\nendpoint_address = \"{endpoint}\"\n");
    let agent = spawn(fixture, "agent", &name, link, &section);
    fixture
        .fleet
        .add_instance(instance(&name, "agent", service, link));
    agent
}

/// Returns the peak of a process's resident memory in kB.
fn peak_kb(agent: &Process) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", agent.0.id()));
    let status = status.expect("the agent lives");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = peak.expect("a peak").trim().trim_end_matches(" kB");
    number.parse().expect("a number")
}

/// Sends an ordinary call of a service until it is served.
async fn wait_until_served(fixture: &Fixture, service: &str) {
    let call = async || {
        let entry = fixture.entry(0);
        match service {
            "jobs" => fixture.http.get(entry, "/jobs/jobs/1").await,
            _ => {
                let body = chat_body(ORDINARY_PROMPT, 5, false);
                fixture.http.post(entry, CHAT_PATH, &[], body).await
            }
        }
    };
    let served = async {
        while call().await.status != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(HANG_TIMEOUT, served)
        .await
        .expect("an ordinary call is served");
}

/// Sends many calls at once to the only runner of a service; returns the agent's peak of
/// memory in kB.
async fn peak_with(
    place: &str,
    service: &str,
    (first, repeated): (String, String),
    call: impl Fn(usize) -> (&'static str, Value),
) -> u64 {
    let mut spec = small_fleet();
    for declared in &mut spec.services {
        declared.runners = 0;
    }
    let mut fixture = Fixture::start(spec).await;
    let endpoint = start_endpoint(first, repeated).await;
    let agent = start_agent(&mut fixture, service, endpoint).await;
    wait_until_served(&fixture, service).await;
    let timeout = CALL_MS.to_string();
    let calls = (0..CALLS).map(|n| {
        let (path, body) = call(n);
        let headers = [("wisteriawick-deadline-ms", timeout.as_str())];
        let entry = fixture.entry(n % 2);
        let http = &fixture.http;
        async move { http.post(entry, path, &headers, body).await }
    });
    for res in with_timeout(join_all(calls)).await {
        let is_promise = [408, 421, 429, 503].contains(&res.status.as_u16());
        let is_proven = res.outcome() == "not-run";
        assert!(is_proven || !is_promise, "{place}: {}", res.status);
        assert!(
            !res.text().contains("[DONE]"),
            "{place}: no response is complete"
        );
        assert!(service != "jobs" || !res.status.is_success(), "{place}");
    }
    let peak = peak_kb(&agent);
    println!("{place}: {peak} kB");
    wait_until_served(&fixture, service).await;
    fixture.stop();
    peak
}

/// Guards against an agent that keeps all that its endpoint sends, for each call.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_endpoint_that_sends_without_end_costs_its_agent_little_memory() {
    let _alone = ALONE.lock().await;
    let mut excess = Vec::new();
    for (place, first, repeated) in endless_responses() {
        let call = |n| ("/jobs/bookings", json!({ "id": format!("van-{n}") }));
        let peak = peak_with(place, "jobs", (first, repeated), call).await;
        if peak > MAX_PEAK_KB {
            excess.push((place, peak));
        }
    }
    assert!(excess.is_empty(), "kB: {excess:?}");
}

/// As above, in one event of a stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_event_without_end_costs_the_agent_little_memory() {
    let _alone = ALONE.lock().await;
    let filler = "x".repeat(1_024);
    let mut excess = Vec::new();
    for (place, repeated) in [
        ("event", format!("400\r\n{filler}\r\n")),
        ("event in chunks of a byte", "1\r\nx\r\n".into()),
    ] {
        let first = format!("{CHUNKED}6\r\ndata: \r\n");
        let call = |n| (CHAT_PATH, chat_body(&format!("prompt {n}"), 5, true));
        let peak = peak_with(place, "llm", (first, repeated), call).await;
        if peak > MAX_PEAK_KB {
            excess.push((place, peak));
        }
    }
    assert!(excess.is_empty(), "kB: {excess:?}");
}
