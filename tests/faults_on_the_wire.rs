//! Faults between processes: silent links, dying endpoints, strangers, outages.

mod support;

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use support::Fixture;
use support::assert_whole;
use support::eventually;
use support::small_sizes;
use tokio_util::sync::CancellationToken;
use wisteriawick_standins::engine::KILL_PROMPT;
use wisteriawick_standins::relay::Relay;

/// Puts a relay before a runner's agent and waits until entries use it.
async fn behind_relay(fixture: &mut Fixture, runner: &str) -> Relay {
    let agent = fixture.fleet.runners[runner].agent.clone();
    let relay = Relay::start(agent.link_address, CancellationToken::new())
        .await
        .expect("a relay");
    let before = links_up(fixture, runner);
    fixture.fleet.set_instance_address(runner, relay.addr());
    eventually(|| links_up(fixture, runner) >= before + fixture.fleet.entries.len()).await;
    relay
}

/// Counts how often entries opened a link to a runner.
fn links_up(fixture: &Fixture, runner: &str) -> usize {
    let detail = format!("peer={runner}");
    let entries = fixture.fleet.entries.iter();
    entries
        .flat_map(|entry| entry.node.timeline.since(Default::default()))
        .filter(|event| event.kind == "link-up" && event.detail == detail)
        .count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_silent_link_is_replaced_and_streams_resume() {
    let mut sizes = small_sizes();
    sizes.services[0].runners = 2;
    let mut fixture = Fixture::start(sizes).await;
    let relay = behind_relay(&mut fixture, "llm-1").await;
    let before = links_up(&fixture, "llm-1");
    let engine = fixture.engine("llm-1");
    let load = join_all((0..20).map(|index| {
        let fixture = &fixture;
        async move {
            let prompt = format!("silent {index}");
            let answer = fixture.stream(index % 2, &prompt, 400).await;
            assert_whole(&answer, &prompt, 400);
        }
    }));
    let cut = async {
        eventually(|| engine.requests() > 0).await;
        relay.blackhole_flows();
    };
    tokio::join!(load, cut);
    eventually(|| links_up(&fixture, "llm-1") > before).await;
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_keyed_call_on_a_silent_link_is_recovered_and_runs_once() {
    let mut sizes = small_sizes();
    sizes.services[1].runners = 1;
    let mut fixture = Fixture::start(sizes).await;
    let relay = behind_relay(&mut fixture, "jobs-1").await;
    let bookings = fixture.fleet.bookings.clone();
    let cut = async {
        eventually(|| bookings.runs().contains_key("van-9")).await;
        relay.blackhole_flows();
    };
    let (answer, ()) = tokio::join!(fixture.book(0, "van-9", 800), cut);
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    assert_eq!(answer.outcome(), "ran");
    assert_eq!(fixture.fleet.bookings.runs()["van-9"], 1);
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_kills_endpoints_is_stopped_after_the_second() {
    let fixture = Fixture::start(small_sizes()).await;
    let others = join_all((0..40).map(|index| {
        let fixture = &fixture;
        async move {
            let prompt = format!("innocent {index}");
            let answer = fixture.stream(index % 2, &prompt, 60).await;
            assert_whole(&answer, &prompt, 60);
        }
    }));
    let killer = fixture.stream(0, KILL_PROMPT, 8);
    let (_, killed) = tokio::join!(others, killer);
    let refused = killed.expect_err("the request is blocked");
    assert!(refused.contains("blocked"), "{refused}");
    let crashes = || fixture.engines().iter().map(|e| e.crashes()).sum::<u64>();
    assert_eq!(crashes(), 2);
    // Its caller sends it again, through either entry.
    for entry in [0, 1, 0] {
        let answer = fixture.stream(entry, KILL_PROMPT, 8).await;
        assert!(answer.is_err());
    }
    assert_eq!(crashes(), 2);
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keyed_calls_are_not_run_while_the_store_is_down_and_others_go_on() {
    let fixture = Fixture::start(small_sizes()).await;
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
    assert_whole(&draft, "draft", 5);
    assert_eq!(booking.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(booking.outcome(), "not-run");
    assert!(fixture.fleet.bookings.runs().is_empty());
    fixture
        .fleet
        .platform
        .set_faults(|faults| faults.down = false);
    let again = fixture.book(1, "van-5", 0).await;
    assert_eq!(again.status, StatusCode::OK, "{}", again.text());
    assert_eq!(fixture.fleet.bookings.runs()["van-5"], 1);
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bookings_survive_lost_answers_of_the_store() {
    let fixture = Fixture::start(small_sizes()).await;
    fixture
        .fleet
        .platform
        .set_faults(|faults| faults.lost_write_responses = 3);
    for index in 0..6 {
        let id = format!("van-{index}");
        let answer = fixture.book(index % 2, &id, 0).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
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

/// A client of an authority that the fleet does not know, or of none.
async fn stranger(to: std::net::SocketAddr, with_cert: bool) -> Result<(), String> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("TLS 1.3")
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AcceptAny));
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
    // A server refuses a client's certificate only after the client is done.
    let (mut tx, mut rx) = connection.open_bi().await.map_err(|e| e.to_string())?;
    tx.write_all(b"hello").await.map_err(|e| e.to_string())?;
    let read = rx.read_to_end(1024).await.map_err(|e| e.to_string())?;
    if read.is_empty() {
        return Err("nothing".into());
    }
    Ok(())
}

#[derive(Debug)]
struct AcceptAny;

impl rustls::client::danger::ServerCertVerifier for AcceptAny {
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
async fn a_stranger_gets_nothing_on_any_port() {
    let fixture = Fixture::start(small_sizes()).await;
    let agent = fixture.fleet.runners["llm-1"].agent.link_address;
    let entry = fixture.fleet.entries[0].link_address;
    for address in [agent, entry] {
        for with_cert in [false, true] {
            let got = stranger(address, with_cert).await;
            assert!(got.is_err(), "{address} answered a stranger");
        }
    }
    let ops = fixture.fleet.entries[0].ops_address;
    for path in ["/status", "/timeline", "/metrics", "/config"] {
        let answer = fixture
            .http
            .send(
                http::Method::GET,
                ops,
                path,
                &[("authorization", "Bearer wrong")],
                bytes::Bytes::new(),
            )
            .await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{path}");
    }
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_endpoint_that_restarts_gets_work_again() {
    let mut sizes = small_sizes();
    sizes.services[0].runners = 1;
    let fixture = Fixture::start(sizes).await;
    let engine = fixture.engine("llm-1");
    engine.kill();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let served = async {
        loop {
            if let Ok(text) = fixture.stream(0, "after the restart", 3).await {
                return Ok(text);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    assert_whole(&served.await, "after the restart", 3);
    fixture.stop();
}
