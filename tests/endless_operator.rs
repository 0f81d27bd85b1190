//! Operator ports that send bytes without end to a command, at full speed or one at a
//! time.

mod support;

use std::time::Duration;

use wisteriawick::command::OperatorClient;

use support::endless::ENDLESS_RESPONSES;
use support::endless::start_endless;

/// Longest time of a fetch in these tests.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Margin for a busy machine.
const MARGIN: Duration = Duration::from_secs(4);

async fn check_fetches(is_slow: bool) {
    let fetches = ENDLESS_RESPONSES.iter().map(|response| async move {
        let (address, _) = start_endless(*response, is_slow).await;
        let client =
            OperatorClient::new(&format!("http://{address}"), "token").with_timeout(FETCH_TIMEOUT);
        let fetch = tokio::time::timeout(FETCH_TIMEOUT + MARGIN, client.get_bytes("/timeline"));
        let result = fetch
            .await
            .unwrap_or_else(|_| panic!("{response:?}: the fetch ends"));
        let error = result.expect_err("no document").to_string();
        assert!(error.contains("/timeline"), "{error}");
    });
    futures_util::future::join_all(fetches).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fetch_from_a_port_that_sends_without_end_fails_in_time() {
    check_fetches(false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fetch_from_a_port_that_drips_fails_in_time() {
    check_fetches(true).await;
}
