//! HTTP calls to the endpoint beside the agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::agent::gate_task::GateHandle;

/// Idle connections that are kept.
const MAX_IDLE: usize = 64;
/// Longest time to connect to a process on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two looks whether the endpoint answers.
const PROBE_EVERY: Duration = Duration::from_millis(250);
/// Longest time for a look.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Failed looks in a row after which the endpoint counts as down.
const PROBE_FAILURES: u32 = 2;
/// Path that answers when the endpoint is healthy.
const HEALTH_PATH: &str = "/healthz";

type Body = Full<Bytes>;

/// Why a call brought no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// Nothing was sent.
    #[error("the endpoint does not accept connections ({0})")]
    NotSent(String),
    /// The request was sent, or part of it.
    #[error("the endpoint closed the connection ({0})")]
    Broken(String),
}

/// An endpoint and the connections to it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<SendRequest<Body>>>>,
}

impl Endpoint {
    /// Returns an endpoint; nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Arc::default(),
        }
    }

    /// Sends a request once.
    ///
    /// The error says whether anything was sent. The connection returns to the
    /// pool through [`Self::recycle`] once the answer was read.
    pub(crate) async fn call(
        &self,
        mut req: Request<Body>,
    ) -> Result<(Response<Incoming>, Lease), CallError> {
        while let Some(mut sender) = self.take_idle() {
            match sender.try_send_request(req).await {
                Ok(res) => return Ok((res, Lease(sender))),
                Err(mut e) => match e.take_message() {
                    // The connection was closed before anything was written.
                    Some(unsent) => req = unsent,
                    None => return Err(CallError::Broken(e.error().to_string())),
                },
            }
        }
        let mut sender = self.connect().await?;
        match sender.try_send_request(req).await {
            Ok(res) => Ok((res, Lease(sender))),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let message = e.error().to_string();
                Err(match unsent {
                    true => CallError::NotSent(message),
                    false => CallError::Broken(message),
                })
            }
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn recycle(&self, lease: Lease) {
        let mut idle = self.idle.lock().expect("no holder panics");
        if idle.len() < MAX_IDLE {
            idle.push(lease.0);
        }
    }

    fn take_idle(&self) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.lock().expect("no holder panics");
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self) -> Result<SendRequest<Body>, CallError> {
        let not_sent = |message: String| CallError::NotSent(message);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| not_sent("no connection in time".into()))?
            .map_err(|e| not_sent(e.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| not_sent(e.to_string()))?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        // The sender's calls report how the connection ends.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Returns whether the endpoint accepts a connection now.
    pub(crate) async fn accepts(&self) -> bool {
        self.connect().await.is_ok()
    }

    async fn is_healthy(&self) -> bool {
        let req = Request::get(HEALTH_PATH)
            .header(http::header::HOST, self.address.to_string())
            .body(Body::default())
            .expect("the constant parts make a request");
        let Ok(mut sender) = self.connect().await else {
            return false;
        };
        matches!(
            timeout(PROBE_TIMEOUT, sender.send_request(req)).await,
            Ok(Ok(res)) if !res.status().is_server_error()
        )
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A connection in use.
#[derive(Debug)]
pub(crate) struct Lease(SendRequest<Body>);

/// Tells the gate whether the endpoint answers.
pub(crate) async fn probe(endpoint: Endpoint, gate: GateHandle, cx: CancellationToken) {
    let mut failures = 0;
    let mut ticks = tokio::time::interval(PROBE_EVERY);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = cx.cancelled() => return,
        }
        failures = if endpoint.is_healthy().await {
            0
        } else {
            failures + 1
        };
        // One failure may be a busy endpoint; calls report a closed port at once.
        if failures == 0 || failures >= PROBE_FAILURES {
            gate.endpoint_up(failures == 0).await;
        }
    }
}
