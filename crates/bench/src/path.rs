//! Measures the latency that the product adds to a request.
//!
//! The same engine stand-in is called directly and through an entry and an agent,
//! at a constant rate of requests. The difference is reported for the first byte
//! and for each token.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;
use wisteriawick::command::dev::DevEndpoint;

use crate::client::BenchFleet;
use crate::client::Connection;
use crate::client::fleet_spec;
use crate::report::Report;
use crate::report::Target;
use crate::report::quantile;

/// Requests a second, over all connections.
const REQUESTS_PER_S: u32 = 500;
/// Duration of each measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(6);
/// Connections; each sends an equal share of the requests.
const CONNECTIONS: u32 = 50;
/// Tokens of a response.
const TOKENS_PER_RESPONSE: u64 = 4;

struct Samples {
    first_byte_ms: Vec<f64>,
    total_ms: Vec<f64>,
    failed: u64,
}

pub(crate) async fn run(report: &mut Report) {
    let fleet = BenchFleet::start(fleet_spec(1, 1, 1, 10_000)).await;
    let entry = fleet.dev.entries[0].http_address;
    let DevEndpoint::Engine(engine) = &fleet.dev.runners["llm-1"].endpoint else {
        return;
    };
    measure(entry, Duration::from_secs(2)).await;
    let mut direct = measure(engine.addr(), MEASUREMENT_TIME).await;
    let mut proxied = measure(entry, MEASUREMENT_TIME).await;
    report.add(
        "requests that failed",
        (direct.failed + proxied.failed) as f64,
        "requests",
        Target::AtMost(0.0),
    );
    for (name, share, bound) in [("median", 0.5, 0.3), ("99th percentile", 0.99, 2.0)] {
        let added = quantile(&mut proxied.first_byte_ms, share)
            - quantile(&mut direct.first_byte_ms, share);
        report.add(
            format!("added to first byte, {name}"),
            added,
            "ms",
            Target::AtMost(bound),
        );
        let added = quantile(&mut proxied.total_ms, share) - quantile(&mut direct.total_ms, share);
        let per_token = added / TOKENS_PER_RESPONSE as f64;
        report.add(
            format!("added a token, {name}"),
            per_token,
            "ms",
            Target::AtMost(bound),
        );
    }
    report.note(format!(
        "{REQUESTS_PER_S} requests a second of {TOKENS_PER_RESPONSE} tokens, one entry, one agent, \
         debug of nothing else"
    ));
}

/// Sends requests at the constant rate and returns their timings.
async fn measure(addr: SocketAddr, duration: Duration) -> Samples {
    let send_interval = Duration::from_secs(1) * CONNECTIONS / REQUESTS_PER_S;
    let mut tasks = JoinSet::new();
    for index in 0..CONNECTIONS {
        tasks.spawn(async move {
            let mut connection = Connection::open(addr, "large").await;
            tokio::time::sleep(send_interval * index / CONNECTIONS).await;
            let until = Instant::now() + duration;
            let mut ticker = tokio::time::interval(send_interval);
            let mut timings = Vec::new();
            while Instant::now() < until {
                ticker.tick().await;
                timings.push(connection.chat("survey", TOKENS_PER_RESPONSE).await);
            }
            timings
        });
    }
    let mut samples = Samples {
        first_byte_ms: Vec::new(),
        total_ms: Vec::new(),
        failed: 0,
    };
    for timing in tasks.join_all().await.into_iter().flatten() {
        samples.failed += u64::from(!timing.ok);
        samples
            .first_byte_ms
            .push(timing.first_byte.as_secs_f64() * 1e3);
        samples.total_ms.push(timing.total.as_secs_f64() * 1e3);
    }
    samples
}
