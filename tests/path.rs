//! The whole path over sockets: whole answers, replays, clear errors.

mod support;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Method;
use http::StatusCode;
use serde_json::json;
use support::Fixture;
use support::assert_whole;
use support::chat_body;
use support::small_sizes;
use wisteriawick_standins::engine::expected_completion;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_hundred_crossing_streams_each_bring_their_own_answer() {
    let fixture = Fixture::start(small_sizes()).await;
    let asked = (0..200).map(|index| {
        let fixture = &fixture;
        async move {
            let prompt = format!("survey {index}");
            let tokens = 5 + index % 40;
            let answer = fixture.stream((index % 2) as usize, &prompt, tokens).await;
            assert_whole(&answer, &prompt, tokens);
        }
    });
    join_all(asked).await;
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_in_one_piece_is_relayed_whole() {
    let fixture = Fixture::start(small_sizes()).await;
    let body = chat_body("quote", 12, false);
    let answer = fixture
        .http
        .post(fixture.entry(0), "/v1/chat/completions", &[], body)
        .await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.outcome(), "ran");
    let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    let text = body["choices"][0]["message"]["content"].as_str();
    assert_eq!(text, Some(expected_completion("quote", 12).as_str()));
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_booking_sent_again_through_another_entry_runs_once() {
    let fixture = Fixture::start(small_sizes()).await;
    let (first, second) =
        tokio::join!(fixture.book(0, "van-1", 200), fixture.book(1, "van-1", 200));
    for answer in [&first, &second] {
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        assert_eq!(answer.outcome(), "ran");
    }
    assert_eq!(first.body, second.body);
    let third = fixture.book(1, "van-1", 200).await;
    assert_eq!(third.header("wisteriawick-replayed"), "true");
    assert_eq!(fixture.fleet.bookings.runs()["van-1"], 1);
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_used_for_another_body_is_refused() {
    let fixture = Fixture::start(small_sizes()).await;
    fixture.book(0, "van-2", 0).await;
    let answer = fixture
        .http
        .post(
            fixture.entry(1),
            "/jobs/bookings",
            &[("idempotency-key", "van-2")],
            json!({ "id": "other" }),
        )
        .await;
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(answer.outcome(), "not-run");
    assert!(!fixture.fleet.bookings.runs().contains_key("other"));
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outcome_can_be_looked_up_later() {
    let fixture = Fixture::start(small_sizes()).await;
    let booked = fixture.book(0, "van-3", 0).await;
    let settled = async {
        loop {
            let found = fixture
                .http
                .get(fixture.entry(1), "/v1/calls/jobs/van-3")
                .await;
            // The answer is recorded after the caller has it.
            if found.status != StatusCode::CONFLICT {
                return found;
            }
        }
    };
    let found = settled.await;
    assert_eq!(found.status, StatusCode::OK);
    assert_eq!(found.body, booked.body);
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
    let fixture = Fixture::start(small_sizes()).await;
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
    for (path, name, value, body, status, remedy) in cases {
        let answer = fixture
            .http
            .send(Method::POST, entry, path, &[(name, value)], body)
            .await;
        assert_eq!(answer.status.as_u16(), status, "{path}: {}", answer.text());
        assert_eq!(answer.outcome(), "not-run", "{path}");
        assert!(answer.text().contains(remedy), "{path}: {}", answer.text());
    }
    assert!(fixture.fleet.bookings.runs().is_empty());
    fixture.stop();
}
