//! Responses whose status no final response has, as an endpoint may send them.

use std::net::SocketAddr;

use http::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::Body;
use super::CallError;
use super::Endpoint;

/// Starts a server that answers each connection with this status.
async fn start_server(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4_096];
            let text = format!("HTTP/1.1 {status} Text\r\nContent-Length: 4\r\n\r\ntext");
            if matches!(stream.read(&mut buf).await, Ok(1..)) {
                // Fails when the client has closed the connection.
                let _ = stream.write_all(text.as_bytes()).await;
            }
        }
    });
    address
}

/// Guards against a status such as 000 or 600 that is passed on as an answer, or that a
/// health probe takes for health.
#[tokio::test]
async fn a_status_that_no_final_response_has_is_no_answer() {
    for status in ["000", "042", "099", "101", "150", "600", "742", "999"] {
        let endpoint = Endpoint::new(start_server(status).await);
        let req = Request::post("/").body(Body::default()).expect("a request");
        let error = endpoint.call(req).await.err();
        assert!(
            matches!(
                error,
                Some(CallError::NotFinal(_) | CallError::ConnectionLost(_))
            ),
            "{status}: {error:?}"
        );
        assert!(!endpoint.is_healthy().await, "{status}");
    }
    let endpoint = Endpoint::new(start_server("404").await);
    assert!(
        endpoint.is_healthy().await,
        "a plain service without the path"
    );
}
