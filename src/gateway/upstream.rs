//! HTTP connections to runners and a pool of idle ones.
//!
//! A connection carries one request at a time and is reused only after a complete
//! response. Dropping an [`Upstream`] closes its socket, which tells the runner to
//! stop working on the request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http::Response;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use wisteriawick_core::collections::HashMap;

use crate::gateway::received::CountedStream;
use crate::gateway::received::ReceivedBytes;
use crate::gateway::request_body::RequestBody;
use crate::gateway::response_body::ResponseBody;
use crate::gateway::state::lock;

/// Longest time to establish a connection. Data centres are milliseconds apart.
/// TCP resends a lost SYN only after a second, and by then another runner is the
/// better choice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time after which a connection to a runner or an agent with unacknowledged data is broken.
pub(crate) const PEER_USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Size of a connection's read buffer, and largest head of a response, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Most bytes of interim responses before the head of the final one.
const MAX_INTERIM_BYTES: u64 = 64 * 1024;
/// Longest time from the first byte of a response to the end of its head.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle time before the first TCP keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest idle time of a pooled connection if the runner announced none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin by which a connection is dropped before the idle time that the runner
/// announced, so that no request is sent while the runner closes it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);

/// An HTTP/1 connection to one runner.
#[derive(Debug)]
pub(crate) struct Upstream {
    sender: http1::SendRequest<RequestBody>,
    task: AbortHandle,
    address: SocketAddr,
    received: Arc<ReceivedBytes>,
    /// Whether it has been in the pool of idle connections.
    is_reused: bool,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why a runner could not be connected to.
#[derive(Debug)]
pub(crate) enum ConnectError {
    /// Nothing listens at its address.
    Refused(String),
    /// Any other failure.
    Failed(String),
}

impl ConnectError {
    fn new(error: &std::io::Error) -> Self {
        match error.kind() {
            std::io::ErrorKind::ConnectionRefused => Self::Refused(error.to_string()),
            _ => Self::Failed(error.to_string()),
        }
    }

    pub(crate) fn into_detail(self) -> String {
        let (Self::Refused(detail) | Self::Failed(detail)) = self;
        detail
    }
}

/// Why a request got no response.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have been sent and executed.
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
    /// Removes an idle connection to an address from the pool and returns it.
    pub(crate) fn take_idle(&self, now: Instant, address: SocketAddr) -> Option<Upstream> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&address)?;
        while let Some(idle_upstream) = connections.pop() {
            if now < idle_upstream.until && !idle_upstream.upstream.sender.is_closed() {
                let mut upstream = idle_upstream.upstream;
                upstream.is_reused = true;
                return Some(upstream);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response. `keep_alive` is
    /// the idle time that the runner announced.
    pub(crate) fn put_idle(&self, now: Instant, upstream: Upstream, keep_alive: Option<Duration>) {
        let idle_timeout = match keep_alive {
            Some(announced) => announced.saturating_sub(IDLE_TIMEOUT_MARGIN),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        if idle_timeout.is_zero() {
            return;
        }
        let idle_upstream = IdleUpstream {
            until: now + idle_timeout,
            upstream,
        };
        let mut idle = lock(&self.idle);
        idle.entry(idle_upstream.upstream.address)
            .or_default()
            .push(idle_upstream);
    }

    /// Closes the idle connections to an address whose runner broke a connection or did
    /// not respond. A request on one of them would be lost in the same way, while a new
    /// connection shows whether the runner is reached.
    pub(crate) fn close_address(&self, address: SocketAddr) {
        lock(&self.idle).remove(&address);
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&self, now: Instant) {
        lock(&self.idle).retain(|_, connections| {
            connections.retain(|idle_upstream| {
                now < idle_upstream.until && !idle_upstream.upstream.sender.is_closed()
            });
            !connections.is_empty()
        });
    }
}

impl Upstream {
    /// Opens a connection.
    pub(crate) async fn connect(address: SocketAddr) -> Result<Self, ConnectError> {
        let failed = |e: &dyn std::fmt::Display| ConnectError::Failed(e.to_string());
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|e| failed(&e))?
            .map_err(|e| ConnectError::new(&e))?;
        enable_dead_peer_detection(&stream, PEER_USER_TIMEOUT).map_err(|e| failed(&e))?;
        // Closing the connection resets it. A cancelled request that the network still
        // holds is then not delivered late.
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .map_err(|e| failed(&e))?;
        let received = Arc::new(ReceivedBytes::default());
        let stream = CountedStream::new(stream, Arc::clone(&received));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| failed(&e))?;
        // An error of the connection is also returned by the request on it.
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            address,
            received,
            is_reused: false,
        })
    }

    /// Returns whether the connection may have carried a request before this one, so that
    /// what arrives on it may belong to that one.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns whether the connection has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the response head. Calls `begun` if the
    /// head has begun and has not ended.
    pub(crate) async fn send(
        &mut self,
        req: Request<RequestBody>,
        begun: impl FnOnce(),
    ) -> Result<Response<ResponseBody>, SendError> {
        self.sender
            .ready()
            .await
            .map_err(|e| SendError::NotSent(e.to_string()))?;
        let before = self.received.count();
        let received = &self.received;
        let overdue = async {
            received.exceed(before).await;
            begun();
            let limit = received.exceed(before + MAX_INTERIM_BYTES);
            match tokio::time::timeout(HEAD_TIMEOUT, limit).await {
                Ok(()) => "too many interim responses",
                Err(_) => "the head of the response did not end in time",
            }
        };
        let result = tokio::select! {
            biased;
            result = self.sender.try_send_request(req) => result,
            problem = overdue => return Err(SendError::MayHaveRun(problem.into())),
        };
        let res = result.map_err(|mut e| {
            let text = e.error().to_string();
            match e.take_message() {
                Some(_) => SendError::NotSent(text),
                None => SendError::MayHaveRun(text),
            }
        })?;
        Ok(res.map(|body| ResponseBody::new(body, Arc::clone(received))))
    }
}

/// Configures a socket to detect a peer that is gone without closing the
/// connection. Also disables Nagle's algorithm. `user_timeout` is how long sent data may
/// stay unacknowledged, or the peer may not read.
pub(crate) fn enable_dead_peer_detection(
    stream: &TcpStream,
    user_timeout: Duration,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}
