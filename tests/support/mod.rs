//! Starts a small fleet in the test's process, and sends it HTTP requests as a caller
//! does. The fleet's processes communicate over real sockets.

#![allow(dead_code, unreachable_pub)]

pub mod endless;
pub mod process;

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use tokio_util::sync::CancellationToken;
use wisteriawick::command::dev::DevEndpoint;
use wisteriawick::command::dev::DevFleet;
use wisteriawick::command::dev::FleetSpec;
use wisteriawick_standins::engine::Engine;
use wisteriawick_standins::engine::expected_completion;

/// The workspace whose API key requests have unless a test sets another one.
pub const WORKSPACE: &str = "alpha";
/// Longest time for one wait, so that a test cannot hang. No test's result depends on
/// its value.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

static NEXT_DIR: AtomicU32 = AtomicU32::new(0);

/// Returns a directory that no other test uses.
pub fn fresh_dir() -> PathBuf {
    let number = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("wisteriawick-test-{}-{number}", std::process::id()))
}

/// Returns the specification of a small fleet: two entries, three runners of the model
/// service `llm` and two runners of the plain service `jobs`.
pub fn small_fleet() -> FleetSpec {
    toml::from_str(
        r#"
region = "r"
places = ["p1", "p2"]
entries = 2
first_port = 0
services = [
  { name = "llm", kind = "model", runners = 3, max_in_flight = 100 },
  { name = "jobs", kind = "plain", runners = 2, max_in_flight = 100 },
]
workspaces = [{ name = "alpha", weight = 1 }, { name = "beta", weight = 1 }]
"#,
    )
    .expect("the specification is valid")
}

/// A small fleet that a test runs against.
pub struct Fixture {
    pub fleet: DevFleet,
    pub http: HttpClient,
    cx: CancellationToken,
}

impl Fixture {
    /// Starts a fleet and waits until its first ticket is in force.
    pub async fn start(spec: FleetSpec) -> Self {
        let cx = CancellationToken::new();
        let fleet = DevFleet::start(spec, &fresh_dir(), cx.clone())
            .await
            .expect("the fleet starts");
        fleet.apply_tickets().await.expect("the fleet is ready");
        Self {
            fleet,
            http: HttpClient::new(),
            cx,
        }
    }

    /// Returns the address on which an entry accepts callers.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.fleet.entries[index].http_address
    }

    /// Returns the engine beside an agent.
    pub fn engine(&self, runner: &str) -> Engine {
        match &self.fleet.runners[runner].endpoint {
            DevEndpoint::Engine(engine) => engine.clone(),
            DevEndpoint::Plain(_) => panic!("{runner} does not have an engine"),
        }
    }

    /// Returns all engines of the model service.
    pub fn engines(&self) -> Vec<Engine> {
        let names = self.fleet.runners.iter();
        names
            .filter(|(_, runner)| runner.service == "llm")
            .map(|(name, _)| self.engine(name))
            .collect()
    }

    /// Requests a streamed response; returns its text if it is complete.
    pub async fn stream(&self, entry: usize, prompt: &str, tokens: u64) -> Result<String, String> {
        stream(&self.http, self.entry(entry), prompt, tokens).await
    }

    /// Makes a booking at the plain service, as a keyed call.
    ///
    /// `id` is also the idempotency key. `wait_ms` is how long the booking runs.
    pub async fn book(&self, entry: usize, id: &str, wait_ms: u64) -> Response {
        let body = json!({ "id": id, "wait_ms": wait_ms });
        let headers = [("idempotency-key", id)];
        self.http
            .post(self.entry(entry), "/jobs/bookings", &headers, body)
            .await
    }

    /// Stops the fleet and removes its files.
    pub fn stop(self) {
        self.cx.cancel();
        let _ = std::fs::remove_dir_all(&self.fleet.dir);
    }
}

/// Requests a streamed response; returns its text if it is complete.
pub async fn stream(
    http: &HttpClient,
    entry: SocketAddr,
    prompt: &str,
    tokens: u64,
) -> Result<String, String> {
    let body = chat_body(prompt, tokens, true);
    let response = http.post(entry, "/v1/chat/completions", &[], body).await;
    if response.status != StatusCode::OK {
        return Err(format!("{}: {}", response.status, response.text()));
    }
    stream_text(&response.text())
}

/// Returns the body of a chat request.
pub fn chat_body(prompt: &str, tokens: u64, stream: bool) -> Value {
    json!({
        "model": "llm",
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": prompt }],
    })
}

/// Returns the text of a streamed response; fails if it is incomplete or malformed.
pub fn stream_text(events: &str) -> Result<String, String> {
    let mut text = String::new();
    for event in events.split_terminator("\n\n") {
        let Some(data) = event.strip_prefix("data: ") else {
            return Err(format!("an event without data: {event}"));
        };
        if data == "[DONE]" {
            return Ok(text);
        }
        let chunk: Value = serde_json::from_str(data).map_err(|e| format!("{e}: {data}"))?;
        let token = chunk["choices"][0]["delta"]["content"].as_str();
        text.push_str(token.ok_or_else(|| format!("an event without a token: {data}"))?);
    }
    Err("the stream has no end event".into())
}

/// Panics unless a response is complete and belongs to the prompt.
pub fn assert_complete(response: &Result<String, String>, prompt: &str, tokens: u64) {
    assert_eq!(
        response.as_deref(),
        Ok(expected_completion(prompt, tokens).as_str())
    );
}

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Response {
    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).to_string()
    }

    /// Returns a header's value; empty if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Returns what the response says about whether the call ran.
    pub fn outcome(&self) -> &str {
        self.header("wisteriawick-outcome")
    }
}

/// An HTTP client that sends the API key of [`WORKSPACE`].
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    pub fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a POST request with a JSON body.
    pub async fn post(
        &self,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Value,
    ) -> Response {
        let body = Bytes::from(body.to_string());
        self.send(Method::POST, to, path, headers, body).await
    }

    /// Sends a GET request.
    pub async fn get(&self, to: SocketAddr, path: &str) -> Response {
        self.send(Method::GET, to, path, &[], Bytes::new()).await
    }

    /// Sends a request with the API key of [`WORKSPACE`], unless the headers have another.
    pub async fn send(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Response {
        let key = format!("Bearer {}", DevFleet::api_key(WORKSPACE));
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"));
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            req = req.header("authorization", key);
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body)).expect("a valid request");
        let exchange = async {
            let res = self.client.request(req).await.expect("a response");
            let (parts, body) = res.into_parts();
            // If the stream breaks, the body is empty, which no test accepts as complete.
            let body = body.collect().await.map(|b| b.to_bytes());
            Response {
                status: parts.status,
                headers: parts.headers,
                body: body.unwrap_or_default(),
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, exchange)
            .await
            .expect("the wait ends before WAIT_TIMEOUT")
    }
}

/// Waits for a future; panics after [`WAIT_TIMEOUT`].
pub async fn with_timeout<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(WAIT_TIMEOUT, future)
        .await
        .expect("the wait ends before WAIT_TIMEOUT")
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub async fn eventually(mut condition: impl FnMut() -> bool) {
    let waited = tokio::time::timeout(WAIT_TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    waited
        .await
        .expect("the condition holds before WAIT_TIMEOUT");
}
