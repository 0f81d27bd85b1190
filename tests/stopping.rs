//! Entries and agents as processes of their own that are asked to stop: a request that
//! was taken is answered before the process ends, and one that can't be is refused.

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use support::Fixture;
use support::eventually;
use support::process::Process;
use support::process::instance;
use support::process::is_ready;
use support::process::spawn_with;
use support::small_fleet;
use support::with_timeout;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use wisteriawick::command::dev::DEV_OPERATOR_TOKEN;
use wisteriawick::command::dev::DevFleet;
use wisteriawick::settings::Settings;
use wisteriawick_core::fleet::KeyHash;
use wisteriawick_standins::address::own_address;

/// Longest time after the stop signal until an entry refuses connections.
const LISTENER_CLOSED: Duration = Duration::from_secs(2);
/// Longest time for a process without work to end after the stop signal.
const IDLE_EXIT: Duration = Duration::from_secs(4);

/// An entry that runs as a process, with a fleet behind it.
struct Stopping {
    fixture: Fixture,
    entry: Process,
    http: SocketAddr,
}

impl Stopping {
    /// Starts an entry with these keys in its settings.
    async fn start(keys: &str) -> Self {
        Self::start_in(Fixture::start(small_fleet()).await, keys).await
    }

    async fn start_in(mut fixture: Fixture, keys: &str) -> Self {
        let (link, http, ops) = (own_address(), own_address(), own_address());
        let section = format!(
            "[entry]\nhttp_address = \"{http}\"\nops_address = \"{ops}\"\n\
             ops_token_hashes = [\"{}\"]\n",
            KeyHash::new(DEV_OPERATOR_TOKEN).to_hex()
        );
        let entry = spawn_with(&fixture, "entry", "entry-9", link, keys, &section);
        fixture
            .fleet
            .add_instance(instance("entry-9", "entry", "", link));
        with_timeout(async {
            while !is_ready(&fixture.http, http).await
                || fixture.http.get(http, "/jobs/jobs/1").await.status != StatusCode::OK
            {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        })
        .await;
        Self {
            fixture,
            entry,
            http,
        }
    }

    async fn wait_for_exit(&mut self) {
        let entry = &mut self.entry;
        eventually(|| entry.has_ended()).await;
        assert!(entry.0.wait().expect("a child").success());
    }

    /// Starts a booking on a connection of its own, and waits until it runs.
    async fn begin_booking(&self, id: &str, wait_ms: u64) -> TcpStream {
        let body = format!("{{\"id\":\"{id}\",\"wait_ms\":{wait_ms}}}");
        let mut stream = TcpStream::connect(self.http).await.expect("a connection");
        let head = booking_head(id, body.len());
        let request = format!("{head}{body}");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the request is sent");
        let bookings = self.fixture.fleet.bookings.clone();
        eventually(|| bookings.runs().contains_key(id)).await;
        stream
    }
}

fn booking_head(id: &str, length: usize) -> String {
    format!(
        "POST /jobs/bookings HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {}\r\n\
         idempotency-key: {id}\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n",
        DevFleet::api_key(support::WORKSPACE)
    )
}

/// Reads until the other end closes the connection.
async fn read_all(stream: &mut TcpStream) -> Vec<u8> {
    let mut read = Vec::new();
    // A reset ends the response; what was read before is checked.
    let _ = with_timeout(stream.read_to_end(&mut read)).await;
    read
}

async fn read_text(stream: &mut TcpStream) -> String {
    String::from_utf8_lossy(&read_all(stream).await).to_string()
}

/// An endpoint that responds to every request with a body of this size, except to health
/// probes; it waits for the notice first.
async fn start_large_endpoint(size: usize, ready: Arc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond_large(stream, size, Arc::clone(&ready)));
        }
    });
    address
}

async fn respond_large(mut stream: TcpStream, size: usize, ready: Arc<Notify>) {
    let mut buf = vec![0; 64 * 1024];
    while let Ok(read @ 1..) = stream.read(&mut buf).await {
        let head = String::from_utf8_lossy(&buf[..read]).to_string();
        let large = head.contains(" /large ");
        if large {
            ready.notified().await;
        }
        let body = vec![b'x'; if large { size } else { 2 }];
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let sent = stream.write_all(&[head.as_bytes(), &body].concat()).await;
        if sent.is_err() {
            return;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_response_that_its_caller_reads_slowly_is_delivered_whole() {
    const SIZE: usize = 8 * 1024 * 1024;
    let mut spec = small_fleet();
    spec.services[1].runners = 0;
    let mut fixture = Fixture::start(spec).await;
    let ready = Arc::new(Notify::new());
    let endpoint = start_large_endpoint(SIZE, Arc::clone(&ready)).await;
    let link = own_address();
    let section = format!("[agent]\nservice = \"jobs\"\nendpoint_address = \"{endpoint}\"\n");
    let _agent = spawn_with(&fixture, "agent", "jobs-9", link, "", &section);
    fixture
        .fleet
        .add_instance(instance("jobs-9", "agent", "jobs", link));
    let mut stopping = Stopping::start_in(fixture, "").await;

    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small buffer");
    let mut stream = socket.connect(stopping.http).await.expect("a connection");
    let request = format!(
        "GET /jobs/large HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {}\r\n\r\n",
        DevFleet::api_key(support::WORKSPACE)
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    ready.notify_one();
    let mut first = vec![0; 64];
    stream.read_exact(&mut first).await.expect("a response");
    stopping.entry.terminate();
    tokio::time::sleep(Duration::from_secs(2)).await;

    let rest = read_all(&mut stream).await;
    let response = [first, rest].concat();
    let body_at = response
        .windows(4)
        .position(|end| end == b"\r\n\r\n")
        .expect("a head");
    assert_eq!(response.len() - body_at - 4, SIZE);
    stopping.wait_for_exit().await;
    stopping.fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_is_still_arriving_is_answered() {
    let mut stopping = Stopping::start("").await;
    let body = "{\"id\":\"van-3\",\"wait_ms\":300}";
    let mut stream = TcpStream::connect(stopping.http)
        .await
        .expect("a connection");
    let head = booking_head("van-3", body.len());
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the head is sent");
    stream
        .write_all(&body.as_bytes()[..5])
        .await
        .expect("a part is sent");
    stopping.entry.terminate();
    tokio::time::sleep(Duration::from_secs(2)).await;
    // Fails if the process has ended, which the response shows.
    let _ = stream.write_all(&body.as_bytes()[5..]).await;
    let response = read_text(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert!(
        response.contains("wisteriawick-outcome: ran"),
        "{response:?}"
    );
    stopping.wait_for_exit().await;
    assert_eq!(stopping.fixture.fleet.bookings.runs()["van-3"], 1);
    stopping.fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_new_connection_is_refused_at_once_while_a_call_is_finished() {
    let mut stopping = Stopping::start("").await;
    let mut running = stopping.begin_booking("van-4", 4_000).await;
    let asked = Instant::now();
    stopping.entry.terminate();
    while TcpStream::connect(stopping.http).await.is_ok() {
        assert!(
            asked.elapsed() < LISTENER_CLOSED,
            "connected, with nobody to respond"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let response = read_text(&mut running).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    stopping.wait_for_exit().await;
    stopping.fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_on_kept_connections_are_answered_until_the_connections_close() {
    let mut stopping = Stopping::start("").await;
    let mut stream = TcpStream::connect(stopping.http)
        .await
        .expect("a connection");
    let request = format!(
        "GET /jobs/jobs/1 HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {}\r\n\r\n",
        DevFleet::api_key(support::WORKSPACE)
    );
    let mut buf = vec![0; 4_096];
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    let read = stream.read(&mut buf).await.expect("a response");
    assert!(buf[..read].starts_with(b"HTTP/1.1 200"));
    stopping.entry.terminate();
    let http = stopping.http;
    let leaving = async {
        // Each of these connections is new; the one above stays open meanwhile.
        while stopping.fixture.http.get(http, "/readyz").await.status == StatusCode::OK {}
    };
    with_timeout(leaving).await;
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    let response = read_text(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert!(response.contains("connection: close"), "{response:?}");
    stopping.wait_for_exit().await;
    stopping.fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_and_unused_connections_do_not_delay_the_exit() {
    let mut stopping = Stopping::start("").await;
    let _unused = TcpStream::connect(stopping.http)
        .await
        .expect("a connection");
    let mut idle = TcpStream::connect(stopping.http)
        .await
        .expect("a connection");
    idle.write_all(b"GET /livez HTTP/1.1\r\nhost: entry\r\n\r\n")
        .await
        .expect("the request is sent");
    let mut buf = vec![0; 4_096];
    assert!(idle.read(&mut buf).await.expect("a response") > 0);
    let asked = Instant::now();
    stopping.entry.terminate();
    stopping.wait_for_exit().await;
    assert!(asked.elapsed() < IDLE_EXIT, "{:?}", asked.elapsed());
    stopping.fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_at_its_shutdown_limit_answers_each_caller_by_evidence() {
    let mut stopping = Stopping::start("shutdown_ms = 4000\n").await;
    let mut running = stopping.begin_booking("van-5", 25_000).await;
    let mut arriving = TcpStream::connect(stopping.http)
        .await
        .expect("a connection");
    let head = booking_head("van-6", 1_000);
    arriving
        .write_all(head.as_bytes())
        .await
        .expect("the head is sent");
    let ended = stopping.entry.watch_end();
    let asked = Instant::now();
    stopping.entry.terminate();
    let response = read_text(&mut running).await;
    assert!(response.starts_with("HTTP/1.1 504"), "{response:?}");
    assert!(
        response.contains("wisteriawick-outcome: unknown"),
        "{response:?}"
    );
    let response = read_text(&mut arriving).await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
    assert!(
        response.contains("wisteriawick-outcome: not-run"),
        "{response:?}"
    );
    let ended = with_timeout(ended).await.expect("the process is watched");
    stopping.wait_for_exit().await;
    let took = ended - asked;
    assert!(took < Duration::from_secs(4), "{took:?}");
    assert!(!stopping.fixture.fleet.bookings.runs().contains_key("van-6"));
    stopping.fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_agent_at_its_shutdown_limit_reports_each_attempt_as_unfinished() {
    let mut spec = small_fleet();
    spec.services[1].runners = 0;
    let mut fixture = Fixture::start(spec).await;
    let ready = Arc::new(Notify::new());
    let endpoint = start_large_endpoint(1_000, ready).await;
    let link = own_address();
    let section = format!("[agent]\nservice = \"jobs\"\nendpoint_address = \"{endpoint}\"\n");
    let keys = "shutdown_ms = 4000\n";
    let mut agent = spawn_with(&fixture, "agent", "jobs-9", link, keys, &section);
    fixture
        .fleet
        .add_instance(instance("jobs-9", "agent", "jobs", link));
    let entry = fixture.entry(0);
    with_timeout(async {
        while fixture.http.get(entry, "/jobs/x").await.status != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
    let asked = Instant::now();
    let body = serde_json::json!({});
    let call = async { fixture.http.post(entry, "/jobs/large", &[], body).await };
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        agent.terminate();
        eventually(|| agent.has_ended()).await;
        asked.elapsed()
    };
    let (response, stopped_after) = with_timeout(async { tokio::join!(call, stop) }).await;
    assert_eq!(response.outcome(), "unknown", "{}", response.text());
    assert!(
        stopped_after < Duration::from_millis(4_500),
        "{stopped_after:?}"
    );
    assert!(
        asked.elapsed() < Duration::from_secs(15),
        "{:?}",
        asked.elapsed()
    );
    fixture.stop();
}

#[test]
fn a_shutdown_limit_without_time_for_responses_is_refused() {
    let text = "shutdown_ms = 2999\nname = \"a\"\nplace = \"p1\"\n\
                link_address = \"127.0.0.1:1\"\n\n[platform]\naddress = \"127.0.0.1:2\"\n\n\
                [tls]\nca_file = \"ca\"\ncert_file = \"cert\"\nkey_file = \"key\"\n\n\
                [agent]\nservice = \"s\"\nendpoint_address = \"127.0.0.1:3\"\n";
    let path = Path::new("agent.toml");
    let refused = Settings::parse(path, text)
        .expect_err("too short")
        .to_string();
    assert!(refused.contains("line 1: shutdown_ms"), "{refused}");
    assert!(refused.contains("use 3000 or more"), "{refused}");
    let settings = Settings::parse(path, &text.replace("2999", "3000")).expect("valid");
    assert_eq!(settings.shutdown_limit, Duration::from_secs(3));
}
