//! Engines that send bytes without end to the agent beside them, at full speed or one at
//! a time: each call ends in time and closes its connection.

mod support;

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use wisteriawick::agent::Endpoint;
use wisteriawick::agent::maps::EngineClient;
use wisteriawick::agent::maps::HttpEngineClient;
use wisteriawick_core::maps::EngineOrder;
use wisteriawick_core::maps::EngineReport;

use support::endless::ENDLESS_RESPONSES;
use support::endless::start_endless;

/// Longest time of a call, with margin for a busy machine.
const MAX_CALL_TIME: Duration = Duration::from_secs(5);

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
        let (address, open) = start_endless(response, is_slow).await;
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
