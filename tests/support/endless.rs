//! A server that sends bytes without end instead of a response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Time between two bytes of a slow server.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);

/// Responses without an end: what comes first, and what is repeated.
pub const ENDLESS_RESPONSES: [(&str, &str); 15] = [
    ("", ""),
    ("", "x"),
    ("", "\r\n"),
    ("HTTP/1.1 200 ", "x"),
    ("HTTP/1.1 103 Early Hints\r\n", "Filler: x\r\n"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nFiller: ",
        "x",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "Filler: x\r\n",
    ),
    ("HTTP/1.1 200 OK\r\n\r\n", "x"),
    ("HTTP/1.1 200 OK\r\nFiller: ", "x"),
    ("HTTP/1.1 200 OK\r\n", "Filler: x\r\n"),
    ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
        "x",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\nabcd\r\n",
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
        "x",
    ),
];

async fn send_endless(mut stream: TcpStream, first: &str, repeated: &str, is_slow: bool) {
    let mut sent = stream.write_all(first.as_bytes()).await;
    if repeated.is_empty() {
        // Ends when the client closes the connection.
        let mut buf = [0; 4_096];
        while matches!(stream.read(&mut buf).await, Ok(1..)) {}
        return;
    }
    let block = repeated.repeat(1_024);
    let mut bytes = repeated.bytes().cycle();
    while sent.is_ok() {
        sent = match (is_slow, bytes.next()) {
            (true, Some(byte)) => {
                tokio::time::sleep(DRIP_INTERVAL).await;
                stream.write_all(&[byte]).await
            }
            _ => stream.write_all(block.as_bytes()).await,
        };
    }
}

/// Starts a server; returns its address and the number of its open connections.
pub async fn start_endless(
    (first, repeated): (&'static str, &'static str),
    is_slow: bool,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    let open = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&open);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let open = Arc::clone(&counted);
            open.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                send_endless(stream, first, repeated, is_slow).await;
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    (address, open)
}
