//! Connections to runners.
//!
//! A connection carries one request at a time and is used again only after a
//! whole answer. Whoever holds it owns its socket: dropping it closes the
//! connection, which tells the runner to stop.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use wisteriawick_core::collections::HashMap;

use crate::gateway::state::lock;

/// Longest wait for a connection. Data centres are milliseconds apart; a lost
/// opening packet is sent again only after a second, when another runner is
/// the better choice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Unacknowledged data after which a connection counts as broken.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Silence after which the other end is probed.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest idle time of a kept connection, when the runner names none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time that is left unused of what a runner names, for its close and a
/// request not to cross.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);

/// A connection to one runner.
#[derive(Debug)]
pub(crate) struct Upstream {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    address: SocketAddr,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why no answer came.
#[derive(Debug)]
pub(crate) enum SendError {
    /// Nothing of the request was sent.
    NotSent(String),
    /// It may have been sent and run.
    MayHaveRun(String),
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub(crate) struct UpstreamPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleUpstream>>>,
}

#[derive(Debug)]
struct IdleUpstream {
    upstream: Upstream,
    until: Instant,
}

impl UpstreamPool {
    /// Takes an idle connection.
    pub(crate) fn take_idle(&self, now: Instant, address: SocketAddr) -> Option<Upstream> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&address)?;
        while let Some(held) = connections.pop() {
            if now < held.until && !held.upstream.sender.is_closed() {
                return Some(held.upstream);
            }
        }
        None
    }

    /// Keeps a connection after a whole answer.
    pub(crate) fn put_idle(&self, now: Instant, upstream: Upstream, keep_alive: Option<Duration>) {
        let idle_timeout = match keep_alive {
            Some(named) => named.saturating_sub(IDLE_TIMEOUT_MARGIN),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        if idle_timeout.is_zero() {
            return;
        }
        let held = IdleUpstream {
            until: now + idle_timeout,
            upstream,
        };
        let mut idle = lock(&self.idle);
        idle.entry(held.upstream.address).or_default().push(held);
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn close_idle(&self, now: Instant) {
        lock(&self.idle).retain(|_, connections| {
            connections.retain(|held| now < held.until && !held.upstream.sender.is_closed());
            !connections.is_empty()
        });
    }
}

impl Upstream {
    /// Opens a connection.
    pub(crate) async fn connect(address: SocketAddr) -> Result<Self, SendError> {
        let not_sent = |e: &dyn std::fmt::Display| SendError::NotSent(e.to_string());
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|e| not_sent(&e))?
            .map_err(|e| not_sent(&e))?;
        enable_dead_peer_detection(&stream).map_err(|e| not_sent(&e))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(&e))?;
        // Its error is also the error of the request on it.
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            address,
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender
            .ready()
            .await
            .map_err(|e| SendError::NotSent(e.to_string()))?;
        self.sender.try_send_request(req).await.map_err(|mut e| {
            let text = e.error().to_string();
            match e.take_message() {
                Some(_) => SendError::NotSent(text),
                None => SendError::MayHaveRun(text),
            }
        })
    }
}

/// Has the system find a peer that is gone without a word.
pub(crate) fn enable_dead_peer_detection(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
