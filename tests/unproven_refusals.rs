//! Responses of endpoints whose status promises that the call did not run, through the
//! entries and agents of fleets of our own.

mod support;

use serde_json::json;
use support::Fixture;
use support::Response;
use support::chat_body;
use support::small_fleet;
use wisteriawick_standins::engine::KILL_PROMPT;

/// Statuses that promise that the call did not run.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];

/// Panics if a response says in one way that the call did not run and not in the other.
fn assert_consistent(res: &Response, what: &str) {
    let is_promise = REFUSALS.contains(&res.status.as_u16());
    let is_proven = res.outcome() == "not-run";
    assert!(
        is_proven || !is_promise,
        "{what}: {} {}",
        res.status,
        res.outcome()
    );
}

/// Guards against the cause of review/9: an endpoint's 503 to a booking that had run was
/// relayed with its status, on which callers book again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_booking_that_ran_is_never_answered_as_not_run() {
    let fixture = Fixture::start(small_fleet()).await;
    for status in REFUSALS {
        let id = format!("van-{status}");
        let body = json!({ "id": id, "status": status });
        let keyed = [("idempotency-key", id.as_str())];
        for (entry, what) in [(0, "first"), (1, "replayed")] {
            let address = fixture.entry(entry);
            let res = fixture
                .http
                .post(address, "/jobs/bookings", &keyed, body.clone())
                .await;
            assert_consistent(&res, &format!("{id}, {what}"));
            assert_eq!(res.outcome(), "unknown", "{id}, {what}");
            assert!(res.text().contains(&id), "the endpoint's body is relayed");
        }
        let path = format!("/v1/calls/jobs/{id}");
        let res = fixture.http.get(fixture.entry(0), &path).await;
        assert_consistent(&res, &format!("{id}, looked up"));
        assert_eq!(fixture.fleet.bookings.runs()[&id], 1);

        let id = format!("unkeyed-{status}");
        let body = json!({ "id": id, "status": status });
        let res = fixture
            .http
            .post(fixture.entry(1), "/jobs/bookings", &[], body)
            .await;
        assert_consistent(&res, &id);
        assert_eq!(fixture.fleet.bookings.runs()[&id], 1);
    }
    fixture.stop();
}

/// Guards against a 429 or 503 of the entry's own for a call of which an attempt had begun.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_may_have_run_and_finds_no_runner_is_not_answered_as_not_run() {
    let mut spec = small_fleet();
    spec.services[0].runners = 1;
    let fixture = Fixture::start(spec).await;
    let headers = [("wisteriawick-deadline-ms", "1500")];
    let body = chat_body(KILL_PROMPT, 5, false);
    let res = fixture
        .http
        .post(fixture.entry(0), "/v1/chat/completions", &headers, body)
        .await;
    assert_eq!(res.outcome(), "unknown", "{}", res.text());
    assert_consistent(&res, "the call");
    fixture.stop();
}
