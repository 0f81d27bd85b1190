//! Accepts connections until an end, and answers small HTTP requests on them.
//!
//! For ports beside the path of requests: readiness, metrics, links of agents.
//! Callers' connections have limits and an end of their own, in the gateway.

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

/// Pause after a failed accept, which is mostly a lack of descriptors.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Runs a task for each connection; all end with `end`.
pub(crate) async fn serve_connections<F>(
    listener: TcpListener,
    end: CancellationToken,
    task: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = end.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Whoever dialled dials again.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let work = task(stream);
        let end = end.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = work => {}
                () = end.cancelled() => {}
            }
        });
    }
}

/// Answers every request of a connection by its path.
pub(crate) async fn serve_http(stream: TcpStream, answer: impl Fn(&str) -> Response<Full<Bytes>>) {
    let service = service_fn(move |req: Request<Incoming>| {
        let res = answer(req.uri().path());
        async move { Ok::<_, Infallible>(res) }
    });
    // Whoever asked asks again after a failure.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
