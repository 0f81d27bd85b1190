//! Responses of endpoints whose status no final response has, through the entries and agents
//! of fleets of our own.

mod support;

use serde_json::json;
use support::Fixture;
use support::small_fleet;

/// Statuses above the last class of final responses.
const STATUSES: [u16; 4] = [600, 601, 742, 999];

/// Guards against an endpoint's status that is passed on as an answer though it is none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_of_no_final_response_never_reaches_a_caller() {
    let fixture = Fixture::start(small_fleet()).await;
    for status in STATUSES {
        let id = format!("van-{status}");
        let body = json!({ "id": id, "status": status });
        let keyed = [("idempotency-key", id.as_str())];
        for (entry, headers) in [(0, &[][..]), (1, &keyed[..])] {
            let res = fixture
                .http
                .post(
                    fixture.entry(entry),
                    "/jobs/bookings",
                    headers,
                    body.clone(),
                )
                .await;
            assert_eq!(res.status, 502, "{id}: {}", res.text());
            assert_eq!(res.outcome(), "unknown", "{id}");
        }
        assert_eq!(fixture.fleet.bookings.runs()[&id], 2);
    }
    let booking = fixture.book(0, "van-1", 0).await;
    assert_eq!(booking.status, 200, "the service is still served");
    fixture.stop();
}
