//! Time added to the first byte and to each token, against a direct call to
//! the same stand-in, at a steady rate of requests.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;
use wisteriawick::command::dev::DevEndpoint;

use crate::client::Connection;
use crate::client::Fleet;
use crate::client::sizes;
use crate::report::Report;
use crate::report::Target;
use crate::report::quantile;

/// Requests a second.
const RATE: u32 = 500;
/// Length of each measurement.
const LENGTH: Duration = Duration::from_secs(6);
/// Connections, each with a share of the rate.
const CONNECTIONS: u32 = 50;
/// Tokens of an answer.
const TOKENS: u64 = 4;

struct Samples {
    first_byte: Vec<f64>,
    total: Vec<f64>,
    failed: u64,
}

pub(crate) async fn run(report: &mut Report) {
    let fleet = Fleet::start(sizes(1, 1, 1, 10_000)).await;
    let entry = fleet.fleet.entries[0].http_address;
    let DevEndpoint::Engine(engine) = &fleet.fleet.runners["llm-1"].endpoint else {
        return;
    };
    load(entry, Duration::from_secs(2)).await;
    let mut direct = load(engine.addr(), LENGTH).await;
    let mut through = load(entry, LENGTH).await;
    report.add(
        "requests that failed",
        (direct.failed + through.failed) as f64,
        "requests",
        Target::AtMost(0.0),
    );
    for (name, share, bound) in [("median", 0.5, 0.3), ("99th percentile", 0.99, 2.0)] {
        let added =
            quantile(&mut through.first_byte, share) - quantile(&mut direct.first_byte, share);
        report.add(
            format!("added to first byte, {name}"),
            added,
            "ms",
            Target::AtMost(bound),
        );
        let added = quantile(&mut through.total, share) - quantile(&mut direct.total, share);
        let per_token = added / TOKENS as f64;
        report.add(
            format!("added a token, {name}"),
            per_token,
            "ms",
            Target::AtMost(bound),
        );
    }
    report.note(format!(
        "{RATE} requests a second of {TOKENS} tokens, one entry, one agent, debug of nothing else"
    ));
}

async fn load(to: SocketAddr, length: Duration) -> Samples {
    let gap = Duration::from_secs(1) * CONNECTIONS / RATE;
    let mut tasks = JoinSet::new();
    for index in 0..CONNECTIONS {
        tasks.spawn(async move {
            let mut connection = Connection::open(to, "large").await;
            tokio::time::sleep(gap * index / CONNECTIONS).await;
            let until = Instant::now() + length;
            let mut ticks = tokio::time::interval(gap);
            let mut timings = Vec::new();
            while Instant::now() < until {
                ticks.tick().await;
                timings.push(connection.chat("survey", TOKENS).await);
            }
            timings
        });
    }
    let mut samples = Samples {
        first_byte: Vec::new(),
        total: Vec::new(),
        failed: 0,
    };
    for timing in tasks.join_all().await.into_iter().flatten() {
        samples.failed += u64::from(!timing.ok);
        samples
            .first_byte
            .push(timing.first_byte.as_secs_f64() * 1e3);
        samples.total.push(timing.total.as_secs_f64() * 1e3);
    }
    samples
}
