//! The path of a request from a caller through an entry and an agent to an endpoint and
//! back, over sockets: complete responses, replays of keyed calls and errors.

mod support;

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Method;
use http::StatusCode;
use serde_json::json;
use support::Fixture;
use support::assert_complete;
use support::chat_body;
use support::small_fleet;
use wisteriawick_standins::engine::DRIP_PROMPT;
use wisteriawick_standins::engine::ENDLESS_PROMPT;
use wisteriawick_standins::engine::expected_completion;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_hundred_concurrent_streams_each_return_their_own_response() {
    let fixture = Fixture::start(small_fleet()).await;
    let streams = (0..200).map(|index| {
        let fixture = &fixture;
        async move {
            let prompt = format!("survey {index}");
            let tokens = 5 + index % 40;
            let response = fixture.stream((index % 2) as usize, &prompt, tokens).await;
            assert_complete(&response, &prompt, tokens);
        }
    });
    join_all(streams).await;
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_that_is_not_streamed_is_relayed_completely() {
    let fixture = Fixture::start(small_fleet()).await;
    let body = chat_body("quote", 12, false);
    let response = fixture
        .http
        .post(fixture.entry(0), "/v1/chat/completions", &[], body)
        .await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.outcome(), "ran");
    let body: serde_json::Value = serde_json::from_slice(&response.body).expect("JSON");
    let text = body["choices"][0]["message"]["content"].as_str();
    assert_eq!(text, Some(expected_completion("quote", 12).as_str()));
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_goes_on_after_its_end_event_is_complete() {
    const TIMEOUT: Duration = Duration::from_secs(5);
    let fixture = Fixture::start(small_fleet()).await;
    for prompt in [ENDLESS_PROMPT, DRIP_PROMPT] {
        for _ in 0..4 {
            let response = tokio::time::timeout(TIMEOUT, fixture.stream(0, prompt, 5))
                .await
                .expect("the stream ends");
            assert_complete(&response, prompt, 5);
        }
    }
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_booking_retried_through_another_entry_runs_once() {
    let fixture = Fixture::start(small_fleet()).await;
    let (first, second) =
        tokio::join!(fixture.book(0, "van-1", 200), fixture.book(1, "van-1", 200));
    for response in [&first, &second] {
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
        assert_eq!(response.outcome(), "ran");
    }
    assert_eq!(first.body, second.body);
    let third = fixture.book(1, "van-1", 200).await;
    assert_eq!(third.header("wisteriawick-replayed"), "true");
    assert_eq!(fixture.fleet.bookings.runs()["van-1"], 1);
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idempotency_key_reused_for_another_body_is_refused() {
    let fixture = Fixture::start(small_fleet()).await;
    fixture.book(0, "van-2", 0).await;
    let response = fixture
        .http
        .post(
            fixture.entry(1),
            "/jobs/bookings",
            &[("idempotency-key", "van-2")],
            json!({ "id": "other" }),
        )
        .await;
    assert_eq!(response.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(response.outcome(), "not-run");
    assert!(!fixture.fleet.bookings.runs().contains_key("other"));
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_outcome_of_a_keyed_call_can_be_looked_up_later() {
    let fixture = Fixture::start(small_fleet()).await;
    let booking = fixture.book(0, "van-3", 0).await;
    let recorded = async {
        loop {
            let found = fixture
                .http
                .get(fixture.entry(1), "/v1/calls/jobs/van-3")
                .await;
            // The caller gets the response before it is recorded, and until then the
            // call counts as in progress.
            if found.status != StatusCode::CONFLICT {
                return found;
            }
        }
    };
    let found = recorded.await;
    assert_eq!(found.status, StatusCode::OK);
    assert_eq!(found.body, booking.body);
    let absent = fixture
        .http
        .get(fixture.entry(1), "/v1/calls/jobs/no-such-key")
        .await;
    assert_eq!(absent.status, StatusCode::NOT_FOUND);
    assert_eq!(absent.outcome(), "unknown");
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_gets_a_clear_error_and_runs_nothing() {
    let fixture = Fixture::start(small_fleet()).await;
    let entry = fixture.entry(0);
    let too_large = Bytes::from(vec![b'x'; 9 * 1024 * 1024]);
    let chat = "/v1/chat/completions";
    let cases = [
        (
            "/jobs/bookings",
            "authorization",
            "Bearer no-such-key",
            Bytes::new(),
            401,
            "check the key",
        ),
        (
            "/no-such-service/x",
            "x-unused",
            "",
            Bytes::new(),
            404,
            "check the name",
        ),
        (
            "/jobs/bookings",
            "x-unused",
            "",
            too_large,
            413,
            "send less",
        ),
        (
            chat,
            "x-unused",
            "",
            Bytes::from("{\"model\":"),
            400,
            "not a chat request",
        ),
        (
            "/jobs/bookings",
            "wisteriawick-deadline-ms",
            "-1",
            Bytes::new(),
            400,
            "whole milliseconds",
        ),
        (
            "/jobs/bookings",
            "idempotency-key",
            "",
            Bytes::new(),
            400,
            "choose another",
        ),
    ];
    for (path, name, value, body, status, advice) in cases {
        let response = fixture
            .http
            .send(Method::POST, entry, path, &[(name, value)], body)
            .await;
        assert_eq!(
            response.status.as_u16(),
            status,
            "{path}: {}",
            response.text()
        );
        assert_eq!(response.outcome(), "not-run", "{path}");
        assert!(
            response.text().contains(advice),
            "{path}: {}",
            response.text()
        );
    }
    assert!(fixture.fleet.bookings.runs().is_empty());
    fixture.stop();
}
