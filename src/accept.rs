//! Accept loop and a small HTTP server for ports that carry no callers'
//! requests: readiness, metrics and links to agents.
//!
//! Callers' connections are accepted in the gateway, since they have limits and
//! a graceful shutdown.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Delay before the next accept after a failed one, which mostly means that the
/// process is out of file descriptors.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections and spawns a task for each. Returns when `shutdown` is
/// cancelled, which ends all tasks too.
pub(crate) async fn serve_connections<F>(
    listener: TcpListener,
    shutdown: CancellationToken,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            // The peer connects again.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let task = serve(stream);
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = task => {}
                () = shutdown.cancelled() => {}
            }
        });
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
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
