//! A model engine: streamed chat completions, and orders for expert maps.
//!
//! Tokens are a fixed function of the prompt, so that tests can tell a whole
//! answer from a damaged one, and a resumed stream continues where the caller
//! is. A prompt that contains [`KILL_PROMPT`] kills the engine for a while.

mod chat;
mod lockstep;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::json;
use tokio_util::sync::CancellationToken;

pub use chat::expected_completion;
pub use lockstep::LockstepConfig;
pub use lockstep::LockstepGroup;
pub use lockstep::StepRecord;

use crate::http_server::Body;
use crate::http_server::bind;
use crate::http_server::json as json_response;
use crate::http_server::response;
use crate::http_server::serve;

/// A prompt that contains this kills the engine.
pub const KILL_PROMPT: &str = "kill-this-engine";

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Time from a request to its first token.
    pub first_token_delay: Duration,
    /// Time between two tokens.
    pub token_interval: Duration,
    /// How long a killed engine stays dead.
    pub restart_delay: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            first_token_delay: Duration::from_millis(5),
            token_interval: Duration::from_millis(2),
            restart_delay: Duration::from_millis(300),
        }
    }
}

#[derive(Debug, Default)]
struct Counters {
    requests: u64,
    crashes: u64,
    stalled: bool,
}

/// A running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    addr: SocketAddr,
    config: Arc<EngineConfig>,
    counters: Arc<Mutex<Counters>>,
    /// Cancelled when the current life of the engine ends.
    life: Arc<Mutex<CancellationToken>>,
    group: Option<(LockstepGroup, usize)>,
}

impl Engine {
    /// Starts an engine on a loopback port; zero lets the system choose.
    ///
    /// An engine of a lock-step group is given the group and the index of its
    /// runner in it.
    ///
    /// # Errors
    ///
    /// Fails when the port is taken.
    pub async fn start(
        port: u16,
        config: EngineConfig,
        group: Option<(LockstepGroup, usize)>,
        cx: CancellationToken,
    ) -> std::io::Result<Self> {
        let (listener, addr) = bind(port).await?;
        let engine = Self {
            addr,
            config: Arc::new(config),
            counters: Arc::default(),
            life: Arc::new(Mutex::new(cx.child_token())),
            group,
        };
        tokio::spawn(engine.clone().live(listener, cx));
        Ok(engine)
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns how many requests came in.
    pub fn requests(&self) -> u64 {
        self.lock().requests
    }

    /// Returns how often the engine died.
    pub fn crashes(&self) -> u64 {
        self.lock().crashes
    }

    /// Makes streams stop without an end, or go on.
    pub fn set_stalled(&self, stalled: bool) {
        self.lock().stalled = stalled;
    }

    /// Ends the current life: every connection drops, and the port is closed
    /// until the restart.
    pub fn kill(&self) {
        self.lock().crashes += 1;
        if let Some((group, runner)) = &self.group {
            group.reset_runner(*runner);
        }
        self.life.lock().expect("no holder panics").cancel();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Counters> {
        self.counters.lock().expect("no holder panics")
    }

    async fn live(self, first: tokio::net::TcpListener, cx: CancellationToken) {
        let mut listener = first;
        loop {
            let life = self.life.lock().expect("no holder panics").clone();
            let engine = self.clone();
            serve(listener, life, move |req| {
                let engine = engine.clone();
                async move { engine.handle(req).await }
            })
            .await;
            tokio::select! {
                () = tokio::time::sleep(self.config.restart_delay) => {}
                () = cx.cancelled() => return,
            }
            listener = loop {
                match bind(self.addr.port()).await {
                    Ok((listener, _)) => break listener,
                    Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                }
            };
            *self.life.lock().expect("no holder panics") = cx.child_token();
        }
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_string();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/healthz") => response(StatusCode::OK, "text/plain", "ok\n"),
            (&Method::POST, "/v1/chat/completions") => {
                self.lock().requests += 1;
                chat::complete(self, req).await
            }
            (_, path) if path.starts_with("/v1/engine/") => match &self.group {
                Some((group, runner)) => lockstep::handle(group, *runner, req).await,
                None => {
                    let body = json!({ "error": "this engine belongs to no group" });
                    json_response(StatusCode::NOT_FOUND, &body)
                }
            },
            _ => json_response(StatusCode::NOT_FOUND, &json!({ "error": "no such path" })),
        }
    }
}
