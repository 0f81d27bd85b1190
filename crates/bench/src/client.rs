//! A fleet on loopback and a plain HTTP client for measurements over sockets.
//!
//! The fleet runs in the process of the benchmark, so CPU time and memory read
//! here include the product, the stand-ins and the client itself.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use wisteriawick::command::dev::DevFleet;
use wisteriawick::command::dev::FleetSpec;

/// Runs a future to completion on a new runtime.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(future)
}

/// A fleet on loopback that is stopped when this value is dropped.
pub(crate) struct BenchFleet {
    pub(crate) dev: DevFleet,
    cx: CancellationToken,
}

impl BenchFleet {
    pub(crate) async fn start(spec: FleetSpec) -> Self {
        let cx = CancellationToken::new();
        let number: u32 = rand::random();
        let dir = std::env::temp_dir().join(format!("wisteriawick-bench-{number:08x}"));
        let dev = DevFleet::start(spec, &dir, cx.clone())
            .await
            .expect("the fleet starts");
        dev.apply_tickets().await.expect("the fleet is ready");
        Self { dev, cx }
    }
}

impl Drop for BenchFleet {
    fn drop(&mut self) {
        self.cx.cancel();
        let _ = std::fs::remove_dir_all(&self.dev.dir);
    }
}

/// Returns the specification of a fleet with one model service, one plain service and
/// the workspaces `large` and `small`, which have equal weights.
pub(crate) fn fleet_spec(
    entries: usize,
    engines: usize,
    plain: usize,
    in_flight: u32,
) -> FleetSpec {
    let text = format!(
        r#"
region = "r"
places = ["p1", "p2", "p3"]
entries = {entries}
first_port = 0
services = [
  {{ name = "llm", kind = "model", runners = {engines}, max_in_flight = {in_flight} }},
  {{ name = "jobs", kind = "plain", runners = {plain}, max_in_flight = {in_flight} }},
]
workspaces = [{{ name = "large", weight = 1 }}, {{ name = "small", weight = 1 }}]
"#
    );
    parse_spec(&text)
}

fn parse_spec(text: &str) -> FleetSpec {
    let file = std::env::temp_dir().join(format!("wisteriawick-bench-{}.toml", std::process::id()));
    std::fs::write(&file, text).expect("a written file");
    let spec = FleetSpec::read(&file).expect("a valid specification");
    let _ = std::fs::remove_file(&file);
    spec
}

/// An HTTP connection that sends requests with the key of one workspace.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    addr: SocketAddr,
    workspace: &'static str,
}

/// Result and timing of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// Whether the status of the response was a success.
    pub(crate) ok: bool,
    pub(crate) first_byte: Duration,
    pub(crate) total: Duration,
}

impl Connection {
    pub(crate) async fn open(addr: SocketAddr, workspace: &'static str) -> Self {
        let stream = TcpStream::connect(addr).await.expect("a connection");
        stream.set_nodelay(true).expect("an open socket");
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .expect("a handshake");
        tokio::spawn(connection);
        Self {
            sender,
            addr,
            workspace,
        }
    }

    /// Requests a streamed chat completion and reads it to its end.
    pub(crate) async fn chat(&mut self, prompt: &str, tokens: u64) -> Timing {
        let body = json!({
            "model": "llm",
            "stream": true,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let body = Bytes::from(body.to_string());
        self.post("/v1/chat/completions", None, body).await
    }

    /// Sends a booking, with or without an idempotency key.
    pub(crate) async fn book(&mut self, path: &str, id: &str, with_key: bool) -> Timing {
        let body = Bytes::from(json!({ "id": id }).to_string());
        self.post(path, with_key.then_some(id), body).await
    }

    async fn post(&mut self, path: &str, key: Option<&str>, body: Bytes) -> Timing {
        let token = DevFleet::api_key(self.workspace);
        let mut req = Request::builder()
            .method("POST")
            .uri(path)
            .header("host", self.addr.to_string())
            .header("authorization", format!("Bearer {token}"));
        if let Some(key) = key {
            req = req.header("idempotency-key", key);
        }
        let req = req.body(Full::new(body)).expect("a valid request");
        let start = Instant::now();
        self.sender.ready().await.expect("an open connection");
        let res = self.sender.send_request(req).await.expect("a response");
        let ok = res.status().is_success();
        let mut body = res.into_body();
        let mut first_byte = None;
        while let Some(frame) = body.frame().await {
            frame.expect("a complete response");
            first_byte.get_or_insert_with(|| start.elapsed());
        }
        Timing {
            ok,
            first_byte: first_byte.unwrap_or_else(|| start.elapsed()),
            total: start.elapsed(),
        }
    }
}

/// Returns the user and system CPU time that this process has used.
pub(crate) fn cpu_time() -> Duration {
    /// Unit of the CPU times in `/proc` (`USER_HZ`).
    const TICKS_PER_S: u64 = 100;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks =
        |index: usize| -> u64 { fields.get(index).and_then(|f| f.parse().ok()).unwrap_or(0) };
    Duration::from_millis((ticks(11) + ticks(12)) * 1_000 / TICKS_PER_S)
}

/// Returns the resident memory of a process, in bytes.
pub(crate) fn resident_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}
