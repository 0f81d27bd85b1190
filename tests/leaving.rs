//! Graceful shutdown of agents and entries: running responses are completed, and a
//! process that is leaving gets no new requests.

mod support;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::future::join_all;
use support::Fixture;
use support::assert_complete;
use support::eventually;
use support::small_fleet;
use support::stream;
use support::with_timeout;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wisteriawick::agent::Agent;
use wisteriawick::command::ticket;
use wisteriawick::link::AttemptWire;
use wisteriawick::link::Link;
use wisteriawick::link::LinkEvent;
use wisteriawick::link::OutcomeQuery;
use wisteriawick::link::RefusalWire;
use wisteriawick::link::Reply;
use wisteriawick::link::StreamRequest;
use wisteriawick::link::spawn_dialer;
use wisteriawick::node::Node;
use wisteriawick::settings::Settings;
use wisteriawick_core::time::SystemClock;
use wisteriawick_standins::relay::Relay;

/// A dial that takes a little longer than its limits allow for the handshake and the hello
/// frame, so that it fails and the next one succeeds.
const SLOW_DIAL: Duration = Duration::from_millis(2_200);

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_agent_that_shuts_down_under_load_completes_every_response() {
    let fixture = Fixture::start(small_fleet()).await;
    let agent = fixture.fleet.runners["llm-1"].agent.clone();
    let streams = (0..60).map(|index| {
        let fixture = &fixture;
        async move {
            let prompt = format!("load {index}");
            let response = fixture.stream(index % 2, &prompt, 60).await;
            assert_complete(&response, &prompt, 60);
        }
    });
    with_timeout(async { tokio::join!(join_all(streams), agent.shut_down()) }).await;
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_that_shuts_down_under_load_completes_every_response() {
    let fixture = Fixture::start(small_fleet()).await;
    let leaving = fixture.fleet.entries[0].clone();
    let streams = join_all((0..40).map(|index| {
        let http = fixture.http.clone();
        let entry = fixture.entry(0);
        async move {
            let prompt = format!("draft {index}");
            let response = stream(&http, entry, &prompt, 80).await;
            assert_complete(&response, &prompt, 80);
        }
    }));
    let shut_down = async {
        support::eventually(|| fixture.engines().iter().any(|e| e.requests() > 0)).await;
        leaving.shut_down().await;
    };
    with_timeout(async { tokio::join!(streams, shut_down) }).await;
    let ready = fixture.http.get(fixture.entry(1), "/readyz").await;
    assert_eq!(ready.status, 200);
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_runner_gets_no_new_requests_while_it_is_still_listed_as_live() {
    let fixture = Fixture::start(small_fleet()).await;
    let agent = fixture.fleet.runners["llm-2"].agent.clone();
    // The platform's list still shows the runner as live, so the entries learn only from
    // the agent's heartbeats that it is leaving.
    let running = fixture.stream(0, "hold the runners", 50);
    let shut_down = async {
        agent.shut_down().await;
    };
    let (response, ()) = with_timeout(async { tokio::join!(running, shut_down) }).await;
    assert_complete(&response, "hold the runners", 50);
    for entry in &fixture.fleet.entries {
        with_timeout(entry.wait_for_leaving(&agent.node.name)).await;
    }
    let before = fixture.engine("llm-2").requests();
    for index in 0..50 {
        let prompt = format!("after {index}");
        let response = fixture.stream(index % 2, &prompt, 2).await;
        assert_complete(&response, &prompt, 2);
    }
    assert_eq!(fixture.engine("llm-2").requests(), before);
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_on_a_link_that_is_replaced_continue_on_it() {
    let mut spec = small_fleet();
    spec.services[0].runners = 1;
    let mut fixture = Fixture::start(spec).await;
    let agent = fixture.fleet.runners["llm-1"].agent.clone();
    let relay = Relay::start(agent.link_address, CancellationToken::new())
        .await
        .expect("a relay");
    let streams = join_all((0..20).map(|index| {
        let http = fixture.http.clone();
        let entry = fixture.entry(index % 2);
        async move {
            let prompt = format!("moved {index}");
            let response = stream(&http, entry, &prompt, 400).await;
            assert_complete(&response, &prompt, 400);
        }
    }));
    let engine = fixture.engine("llm-1");
    let move_link = async {
        eventually(|| engine.requests() == 20).await;
        fixture.fleet.set_instance_address("llm-1", relay.addr());
    };
    with_timeout(async { tokio::join!(streams, move_link) }).await;
    assert_eq!(engine.requests(), 20, "no stream had to be resumed");
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_attempt_that_is_still_arriving_at_a_leaving_agent_is_refused() {
    let fixture = Fixture::start(small_fleet()).await;
    let agent = fixture.fleet.runners["jobs-1"].agent.clone();
    let (link, _events) = open_link(&fixture, "entry-8", &agent).await;
    let attempt = booking_attempt(&agent, Bytes::from(vec![b' '; 7 * 1024 * 1024]));
    let (mut tx, mut rx) = link.open_stream().await.expect("a stream");
    tx.push(&attempt).expect("the attempt fits in a frame");
    let reply = {
        let flush = tx.flush();
        tokio::pin!(flush);
        // The first part is sent, as much as the link takes at a time.
        let first = tokio::time::timeout(Duration::ZERO, &mut flush).await;
        assert!(first.is_err(), "the whole attempt was sent at once");
        let rest = async {
            tokio::time::sleep(Duration::from_secs(2)).await;
            flush.await.expect("the link is open");
            rx.read::<Reply>().await.expect("the link is open")
        };
        with_timeout(async { tokio::join!(rest, agent.shut_down()) })
            .await
            .0
    };
    assert!(
        matches!(reply, Some(Reply::Refused(RefusalWire::Leaving))),
        "{reply:?}"
    );
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_agent_stops_attempts_when_the_time_to_drain_is_over() {
    let mut spec = small_fleet();
    spec.services[1].runners = 1;
    let fixture = Fixture::start(spec).await;
    let text = "number = 2\ntitle = \"drain\"\n\n[service.jobs]\nkind = \"plain\"\n\
                drain_ms = 1500\n";
    let dir = fixture.fleet.ticket_dir();
    std::fs::write(dir.join("0002.toml"), text).expect("the ticket is written");
    let client = ticket::platform_client(fixture.fleet.platform.addr());
    ticket::apply(&dir, &client, "submitter-1")
        .await
        .expect("accepted");
    fixture.fleet.wait_until_in_force(2).await;
    let agent = fixture.fleet.runners["jobs-1"].agent.clone();
    let bookings = fixture.fleet.bookings.clone();
    let shut_down = async {
        eventually(|| bookings.runs().contains_key("van-7")).await;
        let asked = Instant::now();
        agent.shut_down().await;
        asked.elapsed()
    };
    let booking = fixture.book(0, "van-7", 15_000);
    let (response, took) = with_timeout(async { tokio::join!(booking, shut_down) }).await;
    assert_eq!(response.outcome(), "unknown", "{}", response.text());
    assert!(took >= Duration::from_millis(1_500), "{took:?}");
    assert!(took < Duration::from_secs(10), "{took:?}");
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_reply_whose_link_was_lost_is_recovered_from_a_leaving_agent() {
    let fixture = Fixture::start(small_fleet()).await;
    let agent = fixture.fleet.runners["jobs-1"].agent.clone();
    let (link, events) = open_link(&fixture, "entry-8", &agent).await;
    let next = node(&fixture, "entry-8");
    let body = Bytes::from("{\"id\":\"van-8\",\"wait_ms\":2000}");
    let (mut tx, mut rx) = link.open_stream().await.expect("a stream");
    tx.write(&booking_attempt(&agent, body))
        .await
        .expect("the link is open");
    tx.finish();
    let bookings = fixture.fleet.bookings.clone();
    eventually(|| bookings.runs().contains_key("van-8")).await;
    let load = agent.node.load.clone().expect("an agent has a load");
    let recover = async {
        drop(events);
        let lost = rx.read::<Reply>().await;
        assert!(lost.is_err(), "the link is closed: {lost:?}");
        // The booking ends without a link, and the entry's next link opens after that.
        eventually(|| load.report_for(&next.name).in_flight == 0).await;
        tokio::time::sleep(SLOW_DIAL).await;
        let (link, _events) = dial(next, &agent).await;
        let query = StreamRequest::Recover(OutcomeQuery {
            attempt: 1,
            meant_for: agent.node.incarnation.0,
            remaining_us: 20_000_000,
            sent_us: 0,
        });
        link.request(&query).await.expect("the link is open")
    };
    let (reply, ()) = with_timeout(async { tokio::join!(recover, agent.shut_down()) }).await;
    assert!(
        matches!(reply, Reply::Response { status: 200, .. }),
        "{reply:?}"
    );
    fixture.stop();
}

/// Returns an attempt at a booking.
fn booking_attempt(agent: &Agent, body: Bytes) -> StreamRequest {
    StreamRequest::Attempt(AttemptWire {
        attempt: 1,
        meant_for: agent.node.incarnation.0,
        remaining_us: 30_000_000,
        sent_us: 0,
        suspect: false,
        stream: false,
        resume_from: 0,
        term: None,
        fingerprint: 1,
        method: "POST".into(),
        path: "/bookings".into(),
        content_type: "application/json".into(),
        body,
    })
}

/// Opens a link to an agent as an entry does. It closes when its events are dropped.
async fn open_link(
    fixture: &Fixture,
    name: &str,
    agent: &Agent,
) -> (Link, mpsc::Receiver<LinkEvent>) {
    dial(node(fixture, name), agent).await
}

/// Returns the state of an entry that has no links yet.
fn node(fixture: &Fixture, name: &str) -> Arc<Node> {
    let tls = fixture
        .fleet
        .issue_certificate(name)
        .expect("a certificate");
    let text = format!(
        "name = \"{name}\"\nplace = \"p1\"\nlink_address = \"127.0.0.1:0\"\n\n\
         [platform]\naddress = \"{}\"\n\n\
         [tls]\nca_file = {:?}\ncert_file = {:?}\nkey_file = {:?}\n\n\
         [entry]\nhttp_address = \"127.0.0.1:0\"\nops_address = \"127.0.0.1:0\"\n\
         ops_token_hashes = []\n",
        fixture.fleet.platform.addr(),
        tls.ca_file,
        tls.cert_file,
        tls.key_file
    );
    let settings = Settings::parse(Path::new("entry.toml"), &text).expect("valid settings");
    Node::new(&settings, Arc::new(SystemClock), None).expect("a node")
}

/// Opens a link to an agent. It closes when its events are dropped.
async fn dial(node: Arc<Node>, agent: &Agent) -> (Link, mpsc::Receiver<LinkEvent>) {
    let (events, mut rx) = mpsc::channel(64);
    let peer = agent.node.name.clone();
    let address = agent.link_address;
    spawn_dialer(node, peer, address, events, CancellationToken::new());
    let link = with_timeout(async {
        loop {
            if let Some(LinkEvent::Up(_, link)) = rx.recv().await {
                return link;
            }
        }
    })
    .await;
    (link, rx)
}
