//! Engines that send bytes without end to the agent beside them, at full speed or one at
//! a time: each call ends in time and closes its connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use wisteriawick::agent::Endpoint;
use wisteriawick::agent::maps::EngineClient;
use wisteriawick::agent::maps::HttpEngineClient;
use wisteriawick_core::maps::EngineOrder;
use wisteriawick_core::maps::EngineReport;

/// Longest time of a call, with margin for a busy machine.
const MAX_CALL_TIME: Duration = Duration::from_secs(5);
/// Time between two bytes of a slow engine.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);

/// Responses without an end: what comes first, and what is repeated.
const ENDLESS_RESPONSES: [(&str, &str); 7] = [
    ("", ""),
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

/// Starts an engine; returns its address and the number of its open connections.
async fn start_engine(
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

async fn wait_until_closed(open: &AtomicUsize) {
    let closed = async {
        while open.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(MAX_CALL_TIME, closed)
        .await
        .expect("the connections are closed");
}

async fn check_calls(is_slow: bool) {
    for response in ENDLESS_RESPONSES {
        let (address, open) = start_engine(response, is_slow).await;
        let client = HttpEngineClient::new(Endpoint::new(address));
        let calls =
            async { tokio::join!(client.load(), client.order(EngineOrder::ReadBack, None)) };
        let (load, report) = tokio::time::timeout(MAX_CALL_TIME, calls)
            .await
            .unwrap_or_else(|_| panic!("{response:?}: the calls end"));
        assert!(load.is_none(), "{response:?}");
        assert!(matches!(report, EngineReport::Unknown(_)), "{response:?}");
        wait_until_closed(&open).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_to_an_engine_that_sends_without_end_fail_in_time() {
    check_calls(false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_to_an_engine_that_drips_fail_in_time() {
    check_calls(true).await;
}
