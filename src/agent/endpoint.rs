//! HTTP client for the endpoint beside the agent, and its health probe.
//!
//! A failed call says whether anything was sent to the endpoint, because only a
//! request that was not sent can be refused with certainty.

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
use wisteriawick_core::response_status::is_final;

use crate::agent::gate_task::GateHandle;

/// Most idle connections that are kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Size of a connection's read buffer, and largest head of a response, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Longest time to connect to the endpoint, which runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two health probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time to wait for the response to a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time to wait for a response that shows that the endpoint survived the loss of a
/// connection.
const SURVIVAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Failed probes in a row after which the endpoint counts as down.
const PROBE_FAILURES: u32 = 2;
/// Path of the health probe.
const HEALTH_PATH: &str = "/healthz";

type Body = Full<Bytes>;

/// Why a call brought no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// Nothing was sent to the endpoint.
    #[error("the endpoint does not accept connections ({0})")]
    NotSent(String),
    /// The request or a part of it was sent; the endpoint may have run it.
    #[error("the endpoint closed the connection ({0})")]
    ConnectionLost(String),
    /// The endpoint responded with a status that no final response has; it may have run the
    /// request.
    #[error("the endpoint sent status {0}, which no final response has; check the endpoint")]
    NotFinal(u16),
}

/// A client of one endpoint with a pool of idle connections.
#[derive(Clone, Debug)]
pub struct Endpoint {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<SendRequest<Body>>>>,
}

impl Endpoint {
    /// Returns a client without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Arc::default(),
        }
    }

    /// Sends a request, at most once.
    ///
    /// The error says whether anything was sent. When the response has been read to
    /// its end, the caller returns the connection to the pool by [`Self::recycle`].
    pub(crate) async fn call(
        &self,
        req: Request<Body>,
    ) -> Result<(Response<Incoming>, Lease), CallError> {
        let (res, lease) = self.send(req).await?;
        match is_final(res.status().as_u16()) {
            true => Ok((res, lease)),
            false => Err(CallError::NotFinal(res.status().as_u16())),
        }
    }

    async fn send(&self, mut req: Request<Body>) -> Result<(Response<Incoming>, Lease), CallError> {
        while let Some(mut sender) = self.take_idle() {
            match sender.try_send_request(req).await {
                Ok(res) => return Ok((res, Lease(sender))),
                Err(mut e) => match e.take_message() {
                    // The idle connection was closed before anything was written.
                    Some(unsent) => req = unsent,
                    None => return Err(CallError::ConnectionLost(e.error().to_string())),
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
                    false => CallError::ConnectionLost(message),
                })
            }
        }
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub(crate) fn recycle(&self, lease: Lease) {
        let mut idle = self.idle.lock().expect("no holder panics");
        if idle.len() < MAX_IDLE_CONNECTIONS {
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
            .map_err(|_| not_sent("connecting timed out".into()))?
            .map_err(|e| not_sent(e.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| not_sent(e.to_string()))?;
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        // The sender's calls report an error of the connection, so it is ignored here.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Returns whether the endpoint responds after it closed a connection.
    ///
    /// An accepted connection does not show that: the system accepts connections until the
    /// port of a dead endpoint closes.
    pub(crate) async fn survived(&self) -> bool {
        timeout(SURVIVAL_TIMEOUT, self.is_healthy())
            .await
            .unwrap_or(false)
    }

    async fn is_healthy(&self) -> bool {
        let req = Request::get(HEALTH_PATH)
            .header(http::header::HOST, self.address.to_string())
            .body(Body::default())
            .expect("the parts of the request are valid");
        let Ok(mut sender) = self.connect().await else {
            return false;
        };
        matches!(
            timeout(PROBE_TIMEOUT, sender.send_request(req)).await,
            Ok(Ok(res)) if is_final(res.status().as_u16()) && !res.status().is_server_error()
        )
    }

    /// Returns the endpoint's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A connection that is in use by a call.
#[derive(Debug)]
pub(crate) struct Lease(SendRequest<Body>);

/// Probes the endpoint's health at regular intervals and reports it to the gate.
pub(crate) async fn probe(endpoint: Endpoint, gate: GateHandle, cx: CancellationToken) {
    let mut failures = 0;
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
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
        // A single failure may mean only that the endpoint is busy. If it no longer
        // accepts connections, the calls report that without waiting for probes.
        if failures == 0 || failures >= PROBE_FAILURES {
            gate.set_endpoint_up(failures == 0).await;
        }
    }
}

#[cfg(test)]
mod tests;
