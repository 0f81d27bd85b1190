//! A stand-in for a model engine.
//!
//! It serves chat completions and, as a member of a lockstep group, orders to
//! switch expert maps. Tokens are a fixed function of the prompt, so that tests
//! can check a response for completeness, and a resumed stream continues at the
//! event that the caller asks for. A prompt that contains [`KILL_PROMPT`] crashes
//! the engine, which restarts after a delay.

mod chat;
mod lockstep;

use std::net::Ipv4Addr;
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
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio_util::sync::CancellationToken;

pub use chat::expected_completion;
pub use lockstep::LockstepConfig;
pub use lockstep::LockstepGroup;
pub use lockstep::StepRecord;

use crate::http_server::Body;
use crate::http_server::json as json_response;
use crate::http_server::response;
use crate::http_server::serve;

/// A prompt that contains this text crashes the engine.
pub const KILL_PROMPT: &str = "kill-this-engine";

/// Length of the accept queue.
const BACKLOG: u32 = 1024;
/// A stream whose prompt contains this text goes on without end after its end event.
pub const ENDLESS_PROMPT: &str = "send-without-end";

/// The same with one byte per [`DRIP_INTERVAL`].
pub const DRIP_PROMPT: &str = "drip-without-end";

/// Time between two bytes of a stream that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);

/// The timing of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Time from a request to the first token of its response.
    pub first_token_delay: Duration,
    /// Time between two tokens of a response.
    pub token_interval: Duration,
    /// Time from a crash of the engine until it restarts.
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
struct State {
    requests: u64,
    crashes: u64,
    stalled: bool,
    /// Time from a crash until the port closes.
    port_close_delay: Duration,
}

/// A handle to a running engine; all clones refer to the same engine.
#[derive(Clone, Debug)]
pub struct Engine {
    addr: SocketAddr,
    config: Arc<EngineConfig>,
    state: Arc<Mutex<State>>,
    /// Cancelled when the current incarnation of the engine ends.
    incarnation: Arc<Mutex<CancellationToken>>,
    /// The lockstep group of the engine and the index of its runner in it.
    group: Option<(LockstepGroup, usize)>,
}

impl Engine {
    /// Starts an engine on a loopback port; zero lets the system choose.
    ///
    /// For an engine in a lockstep group, `group` gives the group and the index of
    /// the engine's runner in it.
    ///
    /// # Errors
    ///
    /// Fails when the port is in use.
    pub async fn start(
        port: u16,
        config: EngineConfig,
        group: Option<(LockstepGroup, usize)>,
        cx: CancellationToken,
    ) -> std::io::Result<Self> {
        let (reservation, addr) = reserve(port)?;
        let listener = listen(addr)?;
        let engine = Self {
            addr,
            config: Arc::new(config),
            state: Arc::default(),
            incarnation: Arc::new(Mutex::new(cx.child_token())),
            group,
        };
        tokio::spawn(engine.clone().run(reservation, listener, cx));
        Ok(engine)
    }

    /// Returns the address that the engine listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of completion requests received.
    pub fn requests(&self) -> u64 {
        self.lock().requests
    }

    /// Returns how often the engine crashed.
    pub fn crashes(&self) -> u64 {
        self.lock().crashes
    }

    /// Makes streams stall without ending, or resume.
    pub fn set_stalled(&self, stalled: bool) {
        self.lock().stalled = stalled;
    }

    /// Sets the time from a crash until the port closes. Meanwhile the system accepts
    /// connections, and resets them when the port closes.
    pub fn set_port_close_delay(&self, delay: Duration) {
        self.lock().port_close_delay = delay;
    }

    /// Crashes the engine: every connection drops, the port is closed until the
    /// restart, and the engine loses its state in a lockstep group.
    pub fn kill(&self) {
        self.lock().crashes += 1;
        if let Some((group, runner)) = &self.group {
            group.reset_runner(*runner);
        }
        self.incarnation.lock().expect("no holder panics").cancel();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Serves one incarnation after another until the token is cancelled. Holds the
    /// reservation of the port meanwhile.
    async fn run(
        self,
        _reservation: TcpSocket,
        first_listener: TcpListener,
        cx: CancellationToken,
    ) {
        let mut listener = first_listener;
        loop {
            let incarnation = self.incarnation.lock().expect("no holder panics").clone();
            let engine = self.clone();
            let open_port = serve(listener, incarnation, move |req| {
                let engine = engine.clone();
                async move { engine.handle(req).await }
            })
            .await;
            let port_close_delay = self.lock().port_close_delay;
            tokio::time::sleep(port_close_delay).await;
            drop(open_port);
            tokio::select! {
                () = tokio::time::sleep(self.config.restart_delay) => {}
                () = cx.cancelled() => return,
            }
            listener = loop {
                match listen(self.addr) {
                    Ok(listener) => break listener,
                    Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                }
            };
            *self.incarnation.lock().expect("no holder panics") = cx.child_token();
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

/// Binds a loopback port without listening; zero lets the system choose. While the
/// socket is kept, the system gives the port to nobody else, also between a crash of
/// the engine and its restart.
fn reserve(port: u16) -> std::io::Result<(TcpSocket, SocketAddr)> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))?;
    let addr = socket.local_addr()?;
    Ok((socket, addr))
}

/// Listens on an address that is reserved.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
