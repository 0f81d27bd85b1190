//! A platform that sends bytes without end to the client of fleets of our own, or answers
//! with a status that no final response has.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use support::endless::ENDLESS_RESPONSES;
use support::endless::start_endless;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use wisteriawick::platform::PlatformClient;
use wisteriawick::platform::PlatformError;
use wisteriawick::settings::PlatformSettings;
use wisteriawick_core::time::SystemClock;

/// Longest time of a call in these tests.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Margin for a busy machine.
const MARGIN: Duration = Duration::from_secs(4);
/// Statuses that no final response has.
const NOT_FINAL: [&str; 4] = ["000", "101", "600", "999"];

fn client(address: SocketAddr) -> PlatformClient {
    let settings = PlatformSettings {
        address,
        timeout: CALL_TIMEOUT,
        max_calls_per_s: 100,
        list_interval: CALL_TIMEOUT,
    };
    PlatformClient::new(&settings, Arc::new(SystemClock))
}

/// Reads and writes an object: both calls end in time without a response, so that the write
/// may have taken effect.
async fn check_calls(address: SocketAddr, what: &str) {
    let platform = client(address);
    let calls = async {
        let read = platform.read::<Value>("object").await;
        let write = platform.write("object", 0, &json!(1)).await;
        (read, write)
    };
    let (read, write) = tokio::time::timeout(2 * CALL_TIMEOUT + MARGIN, calls)
        .await
        .unwrap_or_else(|_| panic!("{what}: the calls end"));
    assert!(
        matches!(read, Err(PlatformError::Unavailable(_))),
        "{what}: {read:?}"
    );
    assert!(
        matches!(write, Err(PlatformError::UnknownOutcome(_))),
        "{what}: {write:?}"
    );
}

async fn check_endless(is_slow: bool) {
    let calls = ENDLESS_RESPONSES.iter().map(|response| async move {
        let (address, _) = start_endless(*response, is_slow).await;
        check_calls(address, &format!("{response:?}")).await;
    });
    futures_util::future::join_all(calls).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_to_a_platform_that_sends_without_end_fail_in_time() {
    check_endless(false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_to_a_platform_that_drips_fail_in_time() {
    check_endless(true).await;
}

/// Starts a server that answers each connection with this status.
async fn start_server(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let body = "{\"version\":7}";
            let length = body.len();
            let text = format!("HTTP/1.1 {status} Text\r\nContent-Length: {length}\r\n\r\n{body}");
            if matches!(stream.read(&mut [0; 4_096]).await, Ok(1..)) {
                // Fails when the client has closed the connection.
                let _ = stream.write_all(text.as_bytes()).await;
            }
        }
    });
    address
}

/// Guards against a write of unknown outcome that counts as refused by its status.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_of_no_final_response_leaves_a_write_unknown() {
    for status in NOT_FINAL {
        check_calls(start_server(status).await, status).await;
    }
}
