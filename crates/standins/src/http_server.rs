//! A loopback HTTP/1.1 server that drops all its connections when its token is cancelled.

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

/// The body of a stand-in's response.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// Returns a body that is sent in one piece.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Returns a response with a body that is sent in one piece.
pub fn response(status: StatusCode, content_type: &str, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(full(bytes));
    *res.status_mut() = status;
    if let Ok(value) = http::HeaderValue::from_str(content_type) {
        res.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    res
}

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    response(status, "application/json", value.to_string())
}

/// Binds a loopback port; zero lets the system choose.
///
/// # Errors
///
/// Fails when the port is in use.
pub async fn bind(port: u16) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

/// Serves requests with `handle` until the token is cancelled, then drops every
/// connection. Returns the listener, whose drop closes the port.
pub async fn serve<H, F>(listener: TcpListener, cx: CancellationToken, handle: H) -> TcpListener
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let handle = Arc::new(handle);
    accept_each(listener, cx, |stream| {
        // On loopback, low latency matters more than few packets.
        let _ = stream.set_nodelay(true);
        let handle = Arc::clone(&handle);
        async move {
            let service = service_fn(move |req| {
                let response = handle(req);
                async move { Ok::<_, Infallible>(response.await) }
            });
            // A failed connection is an error at the client, so none is reported here.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        }
    })
    .await
}

/// Accepts connections and runs `handle` for each in a task of its own. Cancelling
/// the token ends the accept loop and all tasks. Returns the listener, whose drop closes
/// the port.
pub async fn accept_each<F>(
    listener: TcpListener,
    cx: CancellationToken,
    handle: impl Fn(TcpStream) -> F,
) -> TcpListener
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            biased;
            () = cx.cancelled() => return listener,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue; // The client has to connect again.
        };
        let connection = handle(stream);
        let cx = cx.clone();
        tokio::spawn(async move {
            tokio::select! {
                // Nothing is served after the token is cancelled.
                biased;
                () = cx.cancelled() => {}
                () = connection => {}
            }
        });
    }
}
