//! An entry and an agent as separate processes, started from the built program.

mod support;

use std::process::Command;

use http::StatusCode;
use support::Fixture;
use support::eventually;
use support::process::instance;
use support::process::is_ready;
use support::process::spawn;
use support::small_fleet;
use support::with_timeout;
use tokio_util::sync::CancellationToken;
use wisteriawick::command::dev::DEV_OPERATOR_TOKEN;
use wisteriawick_core::fleet::KeyHash;
use wisteriawick_standins::address::own_address;
use wisteriawick_standins::plain::PlainService;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn separate_processes_serve_and_complete_requests_on_shutdown() {
    let mut spec = small_fleet();
    spec.services[1].runners = 0;
    let mut fixture = Fixture::start(spec).await;
    let bookings = fixture.fleet.bookings.clone();
    let plain = PlainService::start("jobs-9".into(), 0, bookings, CancellationToken::new())
        .await
        .expect("a plain service");
    let (agent_link, entry_link) = (own_address(), own_address());
    let (http, ops) = (own_address(), own_address());
    let section = format!(
        "[agent]\nservice = \"jobs\"\nendpoint_address = \"{}\"\n",
        plain.addr()
    );
    let _agent = spawn(&fixture, "agent", "jobs-9", agent_link, &section);
    let section = format!(
        "[entry]\nhttp_address = \"{http}\"\nops_address = \"{ops}\"\n\
         ops_token_hashes = [\"{}\"]\n",
        KeyHash::new(DEV_OPERATOR_TOKEN).to_hex()
    );
    let mut entry = spawn(&fixture, "entry", "entry-9", entry_link, &section);
    fixture
        .fleet
        .add_instance(instance("jobs-9", "agent", "jobs", agent_link));
    fixture
        .fleet
        .add_instance(instance("entry-9", "entry", "", entry_link));

    with_timeout(async {
        while !is_ready(&fixture.http, http).await {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        // The agent process is the only runner of the service, so this succeeds once the
        // entry has a link to it.
        while fixture.http.get(http, "/jobs/jobs/1").await.status != StatusCode::OK {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    })
    .await;

    let body = serde_json::json!({ "id": "van-77", "wait_ms": 700 });
    let headers = [("idempotency-key", "van-77")];
    let booking = fixture
        .http
        .post(http, "/jobs/bookings", &headers, body.clone());
    let pid = entry.0.id().to_string();
    let bookings = fixture.fleet.bookings.clone();
    let terminate = async {
        eventually(|| bookings.runs().contains_key("van-77")).await;
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.expect("kill runs").success());
    };
    let (response, ()) = with_timeout(async { tokio::join!(booking, terminate) }).await;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    assert_eq!(response.outcome(), "ran");
    eventually(|| entry.0.try_wait().expect("a child").is_some()).await;
    assert!(entry.0.wait().expect("a child").success());

    let entry = fixture.entry(0);
    let replayed = fixture
        .http
        .post(entry, "/jobs/bookings", &headers, body)
        .await;
    assert_eq!(
        replayed.header("wisteriawick-replayed"),
        "true",
        "{}",
        replayed.text()
    );
    assert_eq!(fixture.fleet.bookings.runs()["van-77"], 1);
    fixture.stop();
}
