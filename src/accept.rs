//! Accept loop and a small HTTP server for ports that carry no callers'
//! requests: readiness, metrics and links to agents.
//!
//! Callers' connections are accepted in the gateway, since they have limits and
//! a graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::connection_slots::ConnectionSlot;
use crate::connection_slots::ConnectionSlots;
use crate::connection_slots::GiveWay;

/// Delay before the next accept after a failed one, which mostly means that the
/// process is out of file descriptors.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Most connections at a time to a port for readiness or metrics.
const MAX_SIDE_CONNECTIONS: usize = 32;
/// Longest time for a head on such a port, and between two requests there.
const SIDE_HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest head on such a port, in bytes.
const SIDE_HEAD_BYTES: usize = 16 * 1024;

/// Returns the places of a port for readiness or metrics, where the oldest connection
/// gives way.
pub(crate) fn side_slots() -> Arc<ConnectionSlots> {
    ConnectionSlots::new(MAX_SIDE_CONNECTIONS, GiveWay::Waiting)
}

/// Accepts connections and spawns a task for each that gets a place. Returns when `shutdown` is
/// cancelled, which ends all tasks too.
pub(crate) async fn serve_connections<F>(
    listener: TcpListener,
    slots: Arc<ConnectionSlots>,
    shutdown: CancellationToken,
    serve: impl Fn(TcpStream, Arc<ConnectionSlot>) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => return,
        };
        let Ok((stream, peer)) = accepted else {
            // The peer connects again.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(slot) = slots.enter(peer.ip()) else {
            continue;
        };
        let slot = Arc::new(slot);
        let closing = slot.closing().clone();
        let task = serve(stream, slot);
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = task => {}
                () = shutdown.cancelled() => {}
                () = closing.cancelled() => {}
            }
        });
        slots.let_close().await;
    }
}

/// Serves HTTP/1.1 on a connection; `respond` maps a request's path to the
/// response.
pub(crate) async fn serve_http(stream: TcpStream, respond: impl Fn(&str) -> Response<Full<Bytes>>) {
    let service = service_fn(move |req: Request<Incoming>| {
        let res = respond(req.uri().path());
        async move { Ok::<_, Infallible>(res) }
    });
    // A client whose request fails sends it again.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(SIDE_HEAD_TIMEOUT)
        .max_buf_size(SIDE_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
