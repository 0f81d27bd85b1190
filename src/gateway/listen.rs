//! Listens for callers and for the balancer, and stops without cutting off.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wisteriawick_platform::READINESS_PATH;

use crate::accept;
use crate::accept::ACCEPT_RETRY_DELAY;
use crate::error::Error;
use crate::error::Result;
use crate::eventlog::EventCategory;
use crate::gateway::exchange;
use crate::gateway::response::Body;
use crate::gateway::state::GatewayState;
use crate::gateway::upstream::enable_dead_peer_detection;

/// Connections that wait to be accepted; a full queue costs callers seconds.
const BACKLOG: u32 = 1024;
/// How long new connections are taken after a request to stop. The balancer
/// asks every second and needs two misses.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(3_500);
/// Time before the end of the grace at which what is left is cut off.
const STOP_MARGIN: Duration = Duration::from_millis(800);
/// Factor on the declared idle time after which a connection is closed, so
/// that callers who go by the declared time never meet the close.
const IDLE_TIMEOUT_FACTOR: u32 = 2;
/// Idle time before there is a declaration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Least buffer for a request's head that hyper takes, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// Binds an address.
///
/// # Errors
///
/// Fails when it is taken or not this machine's.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let failed = |e: std::io::Error| Error::Other(format!("{address}: {e}; free the address"));
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }
    .map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    socket.bind(address).map_err(failed)?;
    socket.listen(BACKLOG).map_err(failed)
}

/// Takes callers until `stop`, then finishes what is open.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    state: Arc<GatewayState>,
    stop: CancellationToken,
) {
    let tracker = TaskTracker::new();
    // Cancelled when connections must finish and close.
    let finish = CancellationToken::new();
    accept_until(&listener, &state, &tracker, &finish, stop.cancelled()).await;
    state.set_stopping();
    let grace = state.settings.bounds.grace;
    state.log.line(
        EventCategory::State,
        "stopping",
        json!({"connections": tracker.len(), "grace_ms": grace.as_millis() as u64}),
    );
    let end = tokio::time::Instant::now() + grace.saturating_sub(STOP_MARGIN);
    let closing = tokio::time::sleep(ACCEPT_AFTER_STOP.min(grace / 2));
    accept_until(&listener, &state, &tracker, &finish, closing).await;
    drop(listener);
    finish.cancel();
    tracker.close();
    if tokio::time::timeout_at(end, tracker.wait()).await.is_err() {
        let fields = json!({"connections": tracker.len()});
        state
            .log
            .line(EventCategory::Failure, "cut_off_at_end_of_grace", fields);
    }
}

async fn accept_until(
    listener: &TcpListener,
    state: &Arc<GatewayState>,
    tracker: &TaskTracker,
    finish: &CancellationToken,
    until: impl Future<Output = ()>,
) {
    tokio::pin!(until);
    loop {
        tokio::select! {
            () = &mut until => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tracker.spawn(serve_connection(stream, Arc::clone(state), finish.clone()));
                }
                Err(e) => {
                    let fields = json!({"error": e.to_string()});
                    state.log.line(EventCategory::Failure, "accept_failed", fields);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
}

async fn serve_connection(stream: TcpStream, state: Arc<GatewayState>, finish: CancellationToken) {
    if enable_dead_peer_detection(&stream).is_err() {
        return; // The caller is gone already.
    }
    let limits = state.declaration().map(|declaration| declaration.limits());
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
        limits.idle_timeout * IDLE_TIMEOUT_FACTOR
    });
    let head = limits.map_or(MIN_HEAD_BUFFER_BYTES, |limits| limits.max_head_bytes);
    let service = service_fn(move |req| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(serve_request(state, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(MIN_HEAD_BUFFER_BYTES) * 2)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // What the caller did wrong is of no use to others.
        _ = connection.as_mut() => return,
        () = finish.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn serve_request(state: Arc<GatewayState>, req: Request<Incoming>) -> Response<Body> {
    let stopping = state.is_stopping();
    let mut res = exchange::serve(state, req).await;
    if stopping {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    res
}

/// Tells the balancer whether callers should come.
pub(crate) async fn serve_readiness(
    listener: TcpListener,
    state: Arc<GatewayState>,
    end: CancellationToken,
) {
    accept::serve_connections(listener, end, |stream| {
        let state = Arc::clone(&state);
        accept::serve_http(stream, move |path| readiness(&state, path))
    })
    .await;
}

fn readiness(state: &GatewayState, path: &str) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = match path {
        READINESS_PATH if state.is_ready() => StatusCode::OK,
        READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    res
}
