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
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::response_status::is_final;

use crate::agent::gate_task::GateHandle;
use crate::agent::response_room::ResponseRoom;
use crate::gateway::received::CountedStream;
use crate::gateway::received::ReceivedBytes;
use crate::gateway::response_body::ResponseBody;

/// Most idle connections that are kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Size of a connection's read buffer, and largest head of a response, in bytes.
pub(crate) const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Most bytes up to the end of the head of a response, with interim responses before it.
const MAX_HEAD_BYTES: u64 = 2 * READ_BUFFER_BYTES as u64;
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
    idle: Arc<Mutex<Vec<Connection>>>,
    room: ResponseRoom,
}

/// A connection to the endpoint, which closes when this is dropped.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Body>,
    task: AbortHandle,
    received: Arc<ReceivedBytes>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns the request with the error if nothing of it was written.
    async fn send(
        &mut self,
        req: Request<Body>,
    ) -> Result<Response<ResponseBody>, (CallError, Option<Request<Body>>)> {
        let end = self.received.count() + MAX_HEAD_BYTES;
        let result = tokio::select! {
            biased;
            result = self.sender.try_send_request(req) => result,
            () = self.received.exceed(end) => {
                let message = format!("no head of a response within {MAX_HEAD_BYTES} bytes");
                return Err((CallError::ConnectionLost(message), None));
            }
        };
        let received = &self.received;
        match result {
            Ok(res) => Ok(res.map(|body| ResponseBody::new(body, Arc::clone(received)))),
            Err(mut e) => {
                let message = e.error().to_string();
                Err(match e.take_message() {
                    Some(unsent) => (CallError::NotSent(message), Some(unsent)),
                    None => (CallError::ConnectionLost(message), None),
                })
            }
        }
    }
}

impl Endpoint {
    /// Returns a client without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Arc::default(),
            room: ResponseRoom::default(),
        }
    }

    /// Sends a request, at most once.
    ///
    /// The error says whether anything was sent. When the response has been read to
    /// its end, the caller returns the connection to the pool by [`Self::recycle`].
    pub(crate) async fn call(
        &self,
        req: Request<Body>,
    ) -> Result<(Response<ResponseBody>, Lease), CallError> {
        let (res, lease) = self.send(req).await?;
        match is_final(res.status().as_u16()) {
            true => Ok((res, lease)),
            false => Err(CallError::NotFinal(res.status().as_u16())),
        }
    }

    async fn send(
        &self,
        mut req: Request<Body>,
    ) -> Result<(Response<ResponseBody>, Lease), CallError> {
        while let Some(mut connection) = self.take_idle() {
            match connection.send(req).await {
                Ok(res) => return Ok((res, Lease(connection))),
                // The idle connection was closed before anything was written.
                Err((_, Some(unsent))) => req = unsent,
                Err((e, None)) => return Err(e),
            }
        }
        let mut connection = self.connect().await?;
        match connection.send(req).await {
            Ok(res) => Ok((res, Lease(connection))),
            Err((e, _)) => Err(e),
        }
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub(crate) fn recycle(&self, lease: Lease) {
        let mut idle = self.idle.lock().expect("no holder panics");
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(lease.0);
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no holder panics");
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let not_sent = |message: String| CallError::NotSent(message);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| not_sent("connecting timed out".into()))?
            .map_err(|e| not_sent(e.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| not_sent(e.to_string()))?;
        let received = Arc::new(ReceivedBytes::default());
        let stream = CountedStream::new(stream, Arc::clone(&received));
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        // The sender's calls report an error of the connection, so it is ignored here.
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            received,
        })
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
        let Ok(mut connection) = self.connect().await else {
            return false;
        };
        matches!(
            timeout(PROBE_TIMEOUT, connection.send(req)).await,
            Ok(Ok(res)) if is_final(res.status().as_u16()) && !res.status().is_server_error()
        )
    }

    /// Returns the room for responses that are buffered.
    pub(crate) fn room(&self) -> &ResponseRoom {
        &self.room
    }

    /// Returns the endpoint's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A connection that is in use by a call.
#[derive(Debug)]
pub(crate) struct Lease(Connection);

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
