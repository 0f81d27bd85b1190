//! A loopback HTTP server whose connections can be cut.

use std::convert::Infallible;
use std::future::Future;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// The body of a stand-in's answer.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// Returns a body in one piece.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Returns an answer in one piece.
pub fn response(status: StatusCode, content_type: &str, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(full(bytes));
    *res.status_mut() = status;
    if let Ok(value) = http::HeaderValue::from_str(content_type) {
        res.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    res
}

/// Returns a JSON answer.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    response(status, "application/json", value.to_string())
}

/// Binds a loopback port; zero lets the system choose.
///
/// # Errors
///
/// Fails when the port is taken.
pub async fn bind(port: u16) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

/// Serves until the token is cancelled, then drops every connection.
pub async fn serve<H, F>(listener: TcpListener, cx: CancellationToken, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let handle = Arc::new(handle);
    accept_each(listener, cx, |stream| {
        // Latency matters more than packet count on loopback.
        let _ = stream.set_nodelay(true);
        let handle = Arc::clone(&handle);
        async move {
            let service = service_fn(move |req| {
                let response = handle(req);
                async move { Ok::<_, Infallible>(response.await) }
            });
            // Whoever asked sees the failure.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        }
    })
    .await;
}

/// Runs a task for each connection; all end with the token.
pub async fn accept_each<F>(
    listener: TcpListener,
    cx: CancellationToken,
    task: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = cx.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            continue; // Whoever dialled dials again.
        };
        let work = task(stream);
        let cx = cx.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = work => {}
                () = cx.cancelled() => {}
            }
        });
    }
}
