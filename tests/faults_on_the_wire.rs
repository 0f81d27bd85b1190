//! Faults between the processes of a fleet: silent links, dying endpoints, outages of
//! the store, and unauthenticated peers.

mod support;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use http::StatusCode;
use support::Fixture;
use support::assert_complete;
use support::eventually;
use support::small_fleet;
use tokio_util::sync::CancellationToken;
use wisteriawick_standins::engine::KILL_PROMPT;
use wisteriawick_standins::relay::Direction;
use wisteriawick_standins::relay::Relay;

/// Starts a relay in front of a runner's agent, and waits until every entry has a link
/// through it.
async fn start_relay(fixture: &mut Fixture, runner: &str) -> Relay {
    let agent = fixture.fleet.runners[runner].agent.clone();
    let relay = Relay::start(agent.link_address, CancellationToken::new())
        .await
        .expect("a relay");
    let before = count_links_up(fixture, runner);
    fixture.fleet.set_instance_address(runner, relay.addr());
    eventually(|| count_links_up(fixture, runner) >= before + fixture.fleet.entries.len()).await;
    relay
}

/// Counts the links that the entries opened to a runner so far, closed ones included.
fn count_links_up(fixture: &Fixture, runner: &str) -> usize {
    let detail = format!("peer={runner}");
    let entries = fixture.fleet.entries.iter();
    entries
        .flat_map(|entry| entry.node.timeline.since(Default::default()))
        .filter(|event| event.kind == "link-up" && event.detail == detail)
        .count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_silent_link_is_replaced_and_streams_resume() {
    let mut spec = small_fleet();
    spec.services[0].runners = 2;
    let mut fixture = Fixture::start(spec).await;
    let relay = start_relay(&mut fixture, "llm-1").await;
    let before = count_links_up(&fixture, "llm-1");
    let engine = fixture.engine("llm-1");
    let streams = join_all((0..20).map(|index| {
        let fixture = &fixture;
        async move {
            let prompt = format!("silent {index}");
            let response = fixture.stream(index % 2, &prompt, 400).await;
            assert_complete(&response, &prompt, 400);
        }
    }));
    let silence = async {
        eventually(|| engine.requests() > 0).await;
        relay.blackhole_flows();
    };
    tokio::join!(streams, silence);
    eventually(|| count_links_up(&fixture, "llm-1") > before).await;
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_keyed_call_on_a_silent_link_is_recovered_and_runs_once() {
    let mut spec = small_fleet();
    spec.services[1].runners = 1;
    let mut fixture = Fixture::start(spec).await;
    let relay = start_relay(&mut fixture, "jobs-1").await;
    let bookings = fixture.fleet.bookings.clone();
    let silence = async {
        eventually(|| bookings.runs().contains_key("van-9")).await;
        relay.blackhole_flows();
    };
    let (response, ()) = tokio::join!(fixture.book(0, "van-9", 800), silence);
    assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    assert_eq!(response.outcome(), "ran");
    assert_eq!(fixture.fleet.bookings.runs()["van-9"], 1);
    fixture.stop();
}

/// Longest time from the silence of a link to the responses of the calls on it, as for the
/// probes of the fault matrix.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Silences links in one direction that have replaced silent ones: the link of one entry
/// while a keyed call runs on it, and that of the other before its call.
async fn silence_replaced_links_one_way(direction: Direction) {
    let mut spec = small_fleet();
    spec.services[1].runners = 1;
    let mut fixture = Fixture::start(spec).await;
    let relay = start_relay(&mut fixture, "jobs-1").await;
    let first = count_links_up(&fixture, "jobs-1");
    let entries = fixture.fleet.entries.len();
    relay.blackhole_flows();
    eventually(|| count_links_up(&fixture, "jobs-1") >= first + entries).await;
    let bookings = fixture.fleet.bookings.clone();
    let call_after_silence = async {
        eventually(|| bookings.runs().contains_key("van-8")).await;
        relay.blackhole_flows_one_way(direction);
        let silenced_at = Instant::now();
        (fixture.book(1, "van-9", 0).await, silenced_at)
    };
    let (running, (later, silenced_at)) =
        tokio::join!(fixture.book(0, "van-8", 800), call_after_silence);
    let responded_after = silenced_at.elapsed();
    assert!(responded_after < SILENCE_TIMEOUT, "{responded_after:?}");
    for (id, response) in [("van-8", running), ("van-9", later)] {
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
        assert_eq!(response.outcome(), "ran");
        assert_eq!(fixture.fleet.bookings.runs()[id], 1);
    }
    eventually(|| count_links_up(&fixture, "jobs-1") >= first + 2 * entries).await;
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_on_replaced_links_that_lose_requests_are_answered() {
    silence_replaced_links_one_way(Direction::Requests).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_on_replaced_links_that_lose_replies_are_answered() {
    silence_replaced_links_one_way(Direction::Replies).await;
}

/// Sends a request that kills endpoints beside other streams. The port of an endpoint that
/// died closes only after a delay.
async fn kill_endpoints(port_close_delay: Duration) {
    let fixture = Fixture::start(small_fleet()).await;
    for engine in fixture.engines() {
        engine.set_port_close_delay(port_close_delay);
    }
    let other_streams = join_all((0..40).map(|index| {
        let fixture = &fixture;
        async move {
            let prompt = format!("innocent {index}");
            let response = fixture.stream(index % 2, &prompt, 60).await;
            assert_complete(&response, &prompt, 60);
        }
    }));
    let killer = fixture.stream(0, KILL_PROMPT, 8);
    let (_, killer_result) = tokio::join!(other_streams, killer);
    let refused = killer_result.expect_err("the request is blocked");
    assert!(refused.contains("blocked"), "{refused}");
    let crashes = || fixture.engines().iter().map(|e| e.crashes()).sum::<u64>();
    assert_eq!(crashes(), 2);
    // Both entries block the request when its caller retries it.
    for entry in [0, 1, 0] {
        let response = fixture.stream(entry, KILL_PROMPT, 8).await;
        assert!(response.is_err());
    }
    assert_eq!(crashes(), 2);
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_kills_endpoints_is_blocked_after_the_second_death() {
    kill_endpoints(Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_other_request_is_blocked_while_the_port_of_a_dead_endpoint_is_open() {
    kill_endpoints(Duration::from_millis(100)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keyed_calls_do_not_run_while_the_store_is_down_but_other_calls_succeed() {
    let fixture = Fixture::start(small_fleet()).await;
    fixture
        .fleet
        .platform
        .set_faults(|faults| faults.down = true);
    let headers = [
        ("idempotency-key", "van-5"),
        ("wisteriawick-deadline-ms", "700"),
    ];
    let body = serde_json::json!({ "id": "van-5" });
    let booking = fixture
        .http
        .post(fixture.entry(0), "/jobs/bookings", &headers, body);
    let (booking, draft) = tokio::join!(booking, fixture.stream(0, "draft", 5));
    assert_complete(&draft, "draft", 5);
    assert_eq!(booking.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(booking.outcome(), "not-run");
    assert!(fixture.fleet.bookings.runs().is_empty());
    fixture
        .fleet
        .platform
        .set_faults(|faults| faults.down = false);
    let retried = fixture.book(1, "van-5", 0).await;
    assert_eq!(retried.status, StatusCode::OK, "{}", retried.text());
    assert_eq!(fixture.fleet.bookings.runs()["van-5"], 1);
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bookings_run_once_when_responses_of_the_store_are_lost() {
    let fixture = Fixture::start(small_fleet()).await;
    fixture
        .fleet
        .platform
        .set_faults(|faults| faults.lost_write_responses = 3);
    for index in 0..6 {
        let id = format!("van-{index}");
        let response = fixture.book(index % 2, &id, 0).await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    }
    assert!(
        fixture
            .fleet
            .bookings
            .runs()
            .values()
            .all(|runs| *runs == 1)
    );
    fixture.stop();
}

/// Sends a message to a link address with a self-signed certificate or with none.
///
/// Returns an error if the connection is refused or no response arrives.
async fn connect_unauthenticated(to: std::net::SocketAddr, with_cert: bool) -> Result<(), String> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("TLS 1.3")
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AcceptAnyServer));
    let key = rcgen::generate_simple_self_signed(["entry-1.wisteriawick.internal".to_string()])
        .expect("a certificate");
    let mut config = if with_cert {
        let chain = vec![key.cert.der().clone()];
        let private =
            rustls::pki_types::PrivateKeyDer::Pkcs8(key.signing_key.serialize_der().into());
        builder
            .with_client_auth_cert(chain, private)
            .expect("a matching key")
    } else {
        builder.with_no_client_auth()
    };
    config.alpn_protocols = vec![b"wisteriawick/1".to_vec()];
    let quic = quinn::crypto::rustls::QuicClientConfig::try_from(config).expect("TLS 1.3");
    let endpoint =
        quinn::Endpoint::client("127.0.0.1:0".parse().expect("an address")).expect("a socket");
    let connection = endpoint
        .connect_with(
            quinn::ClientConfig::new(Arc::new(quic)),
            to,
            "llm-1.wisteriawick.internal",
        )
        .expect("a valid name")
        .await
        .map_err(|e| e.to_string())?;
    // With TLS 1.3 the server refuses a client's certificate only after the handshake is
    // complete for the client, so the refusal shows on the first stream.
    let (mut tx, mut rx) = connection.open_bi().await.map_err(|e| e.to_string())?;
    tx.write_all(b"hello").await.map_err(|e| e.to_string())?;
    let read = rx.read_to_end(1024).await.map_err(|e| e.to_string())?;
    if read.is_empty() {
        return Err("empty response".into());
    }
    Ok(())
}

/// Accepts the certificate of any server, so that only the server's check of the client
/// decides.
#[derive(Debug)]
struct AcceptAnyServer;

impl rustls::client::danger::ServerCertVerifier for AcceptAnyServer {
    fn verify_server_cert(
        &self,
        _: &rustls::pki_types::CertificateDer<'_>,
        _: &[rustls::pki_types::CertificateDer<'_>],
        _: &rustls::pki_types::ServerName<'_>,
        _: &[u8],
        _: rustls::pki_types::UnixTime,
    ) -> Result<rustls::client::danger::ServerCertVerified, rustls::Error> {
        Ok(rustls::client::danger::ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &rustls::pki_types::CertificateDer<'_>,
        _: &rustls::DigitallySignedStruct,
    ) -> Result<rustls::client::danger::HandshakeSignatureValid, rustls::Error> {
        Err(rustls::Error::General("TLS 1.3 only".into()))
    }

    fn verify_tls13_signature(
        &self,
        _: &[u8],
        _: &rustls::pki_types::CertificateDer<'_>,
        _: &rustls::DigitallySignedStruct,
    ) -> Result<rustls::client::danger::HandshakeSignatureValid, rustls::Error> {
        Ok(rustls::client::danger::HandshakeSignatureValid::assertion())
    }

    fn supported_verify_schemes(&self) -> Vec<rustls::SignatureScheme> {
        vec![
            rustls::SignatureScheme::ECDSA_NISTP256_SHA256,
            rustls::SignatureScheme::ED25519,
        ]
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_unauthenticated_peer_gets_no_response_on_any_port() {
    let fixture = Fixture::start(small_fleet()).await;
    let agent = fixture.fleet.runners["llm-1"].agent.link_address;
    let entry = fixture.fleet.entries[0].link_address;
    for address in [agent, entry] {
        for with_cert in [false, true] {
            let result = connect_unauthenticated(address, with_cert).await;
            assert!(
                result.is_err(),
                "{address} responded, with_cert: {with_cert}"
            );
        }
    }
    let ops = fixture.fleet.entries[0].ops_address;
    for path in ["/status", "/timeline", "/metrics", "/config"] {
        let response = fixture
            .http
            .send(
                http::Method::GET,
                ops,
                path,
                &[("authorization", "Bearer wrong")],
                bytes::Bytes::new(),
            )
            .await;
        assert_eq!(response.status, StatusCode::UNAUTHORIZED, "{path}");
    }
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_endpoint_that_restarts_gets_requests_again() {
    let mut spec = small_fleet();
    spec.services[0].runners = 1;
    let fixture = Fixture::start(spec).await;
    let engine = fixture.engine("llm-1");
    engine.kill();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let first_response = async {
        loop {
            if let Ok(text) = fixture.stream(0, "after the restart", 3).await {
                return Ok(text);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    assert_complete(&first_response.await, "after the restart", 3);
    fixture.stop();
}
