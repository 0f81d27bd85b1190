//! What the tests over sockets share: a small fleet and an HTTP client.

#![allow(dead_code, unreachable_pub)]

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

/// The workspace that most tests call from.
pub const WORKSPACE: &str = "alpha";
/// Ends a test that hangs; no verdict depends on it.
const HANG: Duration = Duration::from_secs(60);

static NEXT_DIR: AtomicU32 = AtomicU32::new(0);

/// Returns a directory that no other test uses.
pub fn fresh_dir() -> PathBuf {
    let number = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("wisteriawick-test-{}-{number}", std::process::id()))
}

/// Returns the sizes of a small fleet.
pub fn small_sizes() -> FleetSpec {
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
    .expect("the sizes are valid")
}

/// A small fleet that a test runs against.
pub struct Fixture {
    pub fleet: DevFleet,
    pub http: HttpClient,
    cx: CancellationToken,
}

impl Fixture {
    /// Brings a fleet up with its first ticket in force.
    pub async fn start(sizes: FleetSpec) -> Self {
        let cx = CancellationToken::new();
        let fleet = DevFleet::start(sizes, &fresh_dir(), cx.clone())
            .await
            .expect("the fleet starts");
        fleet.apply_tickets().await.expect("the fleet is ready");
        Self {
            fleet,
            http: HttpClient::new(),
            cx,
        }
    }

    /// Returns the callers' address of an entry.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.fleet.entries[index].http_address
    }

    /// Returns the engine beside an agent.
    pub fn engine(&self, runner: &str) -> Engine {
        match &self.fleet.runners[runner].endpoint {
            DevEndpoint::Engine(engine) => engine.clone(),
            DevEndpoint::Plain(_) => panic!("{runner} is no engine"),
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

    /// Asks for a streamed answer; returns its text if it is whole.
    pub async fn stream(&self, entry: usize, prompt: &str, tokens: u64) -> Result<String, String> {
        stream(&self.http, self.entry(entry), prompt, tokens).await
    }

    /// Books with a key.
    pub async fn book(&self, entry: usize, id: &str, wait_ms: u64) -> Answer {
        let body = json!({ "id": id, "wait_ms": wait_ms });
        let headers = [("idempotency-key", id)];
        self.http
            .post(self.entry(entry), "/jobs/bookings", &headers, body)
            .await
    }

    /// Ends the fleet.
    pub fn stop(self) {
        self.cx.cancel();
        let _ = std::fs::remove_dir_all(&self.fleet.dir);
    }
}

/// Asks for a streamed answer; returns its text if it is whole.
pub async fn stream(
    http: &HttpClient,
    entry: SocketAddr,
    prompt: &str,
    tokens: u64,
) -> Result<String, String> {
    let body = chat_body(prompt, tokens, true);
    let answer = http.post(entry, "/v1/chat/completions", &[], body).await;
    if answer.status != StatusCode::OK {
        return Err(format!("{}: {}", answer.status, answer.text()));
    }
    stream_text(&answer.text())
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

/// Returns the text of a streamed answer that ends as a whole one does.
pub fn stream_text(events: &str) -> Result<String, String> {
    let mut text = String::new();
    for event in events.split_terminator("\n\n") {
        let Some(data) = event.strip_prefix("data: ") else {
            return Err(format!("an event that is no data: {event}"));
        };
        if data == "[DONE]" {
            return Ok(text);
        }
        let chunk: Value = serde_json::from_str(data).map_err(|e| format!("{e}: {data}"))?;
        let token = chunk["choices"][0]["delta"]["content"].as_str();
        text.push_str(token.ok_or_else(|| format!("no token: {data}"))?);
    }
    Err("the stream has no end".into())
}

/// Panics unless an answer is the one that belongs to the prompt.
pub fn assert_whole(answer: &Result<String, String>, prompt: &str, tokens: u64) {
    assert_eq!(
        answer.as_deref(),
        Ok(expected_completion(prompt, tokens).as_str())
    );
}

/// An answer over HTTP.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).to_string()
    }

    /// Returns a header's value.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Returns what the caller is told of the effect.
    pub fn outcome(&self) -> &str {
        self.header("wisteriawick-outcome")
    }
}

/// An HTTP client with the key of one workspace.
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

    /// Posts JSON.
    pub async fn post(
        &self,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Value,
    ) -> Answer {
        let body = Bytes::from(body.to_string());
        self.send(Method::POST, to, path, headers, body).await
    }

    /// Gets a document.
    pub async fn get(&self, to: SocketAddr, path: &str) -> Answer {
        self.send(Method::GET, to, path, &[], Bytes::new()).await
    }

    /// Sends a request as the test's workspace unless the headers say otherwise.
    pub async fn send(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Answer {
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
            let res = self.client.request(req).await.expect("an answer");
            let (parts, body) = res.into_parts();
            // A stream that is cut keeps what came before.
            let body = body.collect().await.map(|b| b.to_bytes());
            Answer {
                status: parts.status,
                headers: parts.headers,
                body: body.unwrap_or_default(),
            }
        };
        tokio::time::timeout(HANG, exchange)
            .await
            .expect("the test does not hang")
    }
}

/// Waits for something that comes unless the test fails.
pub async fn within<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(HANG, future)
        .await
        .expect("the test does not hang")
}

/// Waits until a condition holds.
pub async fn eventually(mut condition: impl FnMut() -> bool) {
    let waited = tokio::time::timeout(HANG, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    waited.await.expect("the condition comes to hold");
}
