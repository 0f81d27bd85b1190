//! Callers that leave at the moment in which their call gets a slot or a claim. Neither is
//! held on to by a call that has ended.

mod support;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use serde_json::json;
use support::Fixture;
use support::process::instance;
use support::process::is_ready;
use support::process::spawn;
use support::small_fleet;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use wisteriawick::command::dev::DEV_OPERATOR_TOKEN;
use wisteriawick::command::dev::DevFleet;
use wisteriawick_core::fleet::KeyHash;
use wisteriawick_standins::address::own_address;

/// Calls that the only runner of the plain service takes at a time.
const CAPACITY: u32 = 4;

/// Sends a booking, with this as its key if there is one, and closes the connection after
/// a time.
async fn send_and_leave(to: SocketAddr, id: String, key: Option<&str>, leaves_after: Duration) {
    let mut stream = TcpStream::connect(to).await.expect("accepted");
    let body = json!({ "id": id, "wait_ms": 1 }).to_string();
    let key = key.map_or(String::new(), |key| format!("idempotency-key: {key}\r\n"));
    let head = format!(
        "POST /jobs/bookings HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {}\r\n{key}\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        DevFleet::api_key(support::WORKSPACE),
        body.len()
    );
    stream
        .write_all(format!("{head}{body}").as_bytes())
        .await
        .expect("sent");
    tokio::time::sleep(leaves_after).await;
}

/// Makes as many calls at once as the runner takes, each of this length.
fn fill(fixture: &Fixture, round: usize, wait_ms: u64) -> JoinSet<support::Response> {
    let mut calls = JoinSet::new();
    for n in 0..CAPACITY {
        let (http, entry) = (fixture.http.clone(), fixture.entry(0));
        let body = json!({ "id": format!("fill-{round}-{n}"), "wait_ms": wait_ms });
        calls.spawn(async move { http.post(entry, "/jobs/bookings", &[], body).await });
    }
    calls
}

/// The slot of a call whose caller had left was never free again, until the runner had
/// none for this entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_slot_assigned_to_a_caller_that_leaves_is_released() {
    const ROUNDS: usize = 60;
    const LEAVING: u32 = 40;
    /// Length of the last calls, which all run at the same time.
    const LAST_MS: u64 = 1_000;
    let mut spec = small_fleet();
    spec.services[1].runners = 1;
    spec.services[1].max_in_flight = CAPACITY;
    let fixture = Fixture::start(spec).await;
    for round in 0..ROUNDS {
        let filling = fill(&fixture, round, 30);
        tokio::time::sleep(Duration::from_millis(10)).await;
        let mut leaving = JoinSet::new();
        for n in 0..LEAVING {
            let id = format!("left-{round}-{n}");
            let leaves_after = Duration::from_millis(8) + Duration::from_micros(500) * n;
            leaving.spawn(send_and_leave(fixture.entry(0), id, None, leaves_after));
        }
        leaving.join_all().await;
        for res in support::with_timeout(filling.join_all()).await {
            assert_eq!(res.status, StatusCode::OK, "round {round}: {}", res.text());
        }
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let begun = Instant::now();
    for res in support::with_timeout(fill(&fixture, ROUNDS, LAST_MS).join_all()).await {
        assert_eq!(res.status, StatusCode::OK, "{}", res.text());
    }
    let took = begun.elapsed();
    assert!(
        took < Duration::from_millis(2 * LAST_MS),
        "{took:?}: slots are lost"
    );
    fixture.stop();
}

/// Returns which of these calls count as in progress.
async fn still_claimed(fixture: &Fixture, calls: &[usize]) -> Vec<usize> {
    let mut claimed = Vec::new();
    for n in calls {
        let path = format!("/v1/calls/jobs/key-{n}");
        let found = fixture.http.get(fixture.entry(0), &path).await;
        if found.status == StatusCode::CONFLICT {
            claimed.push(*n);
        }
    }
    claimed
}

/// A claim that was granted after its caller had left stayed for as long as keys are kept:
/// whoever sent the key again was told that the call is in progress.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_claim_that_is_granted_after_its_caller_left_is_released() {
    /// Calls while the keys of the entry that ends get another owner.
    const CALLS: usize = 1_200;
    const CALL_INTERVAL: Duration = Duration::from_millis(2);
    /// The call at which that entry ends.
    const ENDS_AT: usize = 200;
    const LEAVES_AFTER: Duration = Duration::from_millis(40);
    /// Time for the last calls to end. Keys are kept for much longer.
    const RELEASE_TIMEOUT: Duration = Duration::from_secs(15);
    let mut spec = small_fleet();
    spec.entries = 1;
    let mut fixture = Fixture::start(spec).await;
    let (link, http) = (own_address(), own_address());
    let section = format!(
        "[entry]\nhttp_address = \"{http}\"\nops_address = \"{}\"\n\
         ops_token_hashes = [\"{}\"]\n",
        own_address(),
        KeyHash::new(DEV_OPERATOR_TOKEN).to_hex()
    );
    let ends = spawn(&fixture, "entry", "entry-9", link, &section);
    let listed = instance("entry-9", "entry", "", link);
    fixture.fleet.add_instance(listed);
    support::with_timeout(async {
        while !is_ready(&fixture.http, http).await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let entry = fixture.entry(0);
    let mut ends = Some(ends);
    let mut leaving = JoinSet::new();
    for n in 0..CALLS {
        if n == ENDS_AT {
            ends = None;
        }
        leaving.spawn(async move {
            let id = format!("key-{n}");
            send_and_leave(entry, id.clone(), Some(&id), LEAVES_AFTER).await;
        });
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    assert!(ends.is_none());
    leaving.join_all().await;
    let mut held: Vec<usize> = (0..CALLS).collect();
    let give_up_at = Instant::now() + RELEASE_TIMEOUT;
    while !held.is_empty() && Instant::now() < give_up_at {
        held = still_claimed(&fixture, &held).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(held, [0; 0], "keys are claimed and no call runs");
    fixture.stop();
}
