//! Measures whether one workspace's overload slows down another workspace.
//!
//! Two workspaces of equal weight share the runners of a service. The latency of
//! the small one is measured alone, and again while the large one sends ten times
//! as many concurrent requests as its share of the slots.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use crate::client::BenchFleet;
use crate::client::Connection;
use crate::client::fleet_spec;
use crate::report::Report;
use crate::report::Target;
use crate::report::quantile;

const MEASUREMENT_TIME: Duration = Duration::from_secs(8);
/// Most requests in flight at one runner.
const MAX_IN_FLIGHT: u32 = 4;
const RUNNERS: usize = 4;
/// Connections of the small workspace; they need fewer than its half of the 16 slots.
const SMALL_CONNECTIONS: usize = 4;
/// Connections of the large workspace: ten times its half of the 16 slots.
const LARGE_CONNECTIONS: usize = 80;
const TOKENS_PER_RESPONSE: u64 = 16;

pub(crate) async fn run(report: &mut Report) {
    let fleet = BenchFleet::start(fleet_spec(1, RUNNERS, 1, MAX_IN_FLIGHT)).await;
    let entry = fleet.dev.entries[0].http_address;
    let mut alone_ms = measure(entry, "small", SMALL_CONNECTIONS, MEASUREMENT_TIME).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut background_load = JoinSet::new();
    for _ in 0..LARGE_CONNECTIONS {
        let stop = Arc::clone(&stop);
        background_load.spawn(async move {
            let mut connection = Connection::open(entry, "large").await;
            while !stop.load(Ordering::Relaxed) {
                connection.chat("load", TOKENS_PER_RESPONSE).await;
            }
        });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut contended_ms = measure(entry, "small", SMALL_CONNECTIONS, MEASUREMENT_TIME).await;
    stop.store(true, Ordering::Relaxed);
    background_load.join_all().await;
    for (name, share) in [("median", 0.5), ("95th percentile", 0.95)] {
        let (alone, contended) = (
            quantile(&mut alone_ms, share),
            quantile(&mut contended_ms, share),
        );
        report.add(
            format!("small workspace alone, {name}"),
            alone,
            "ms",
            Target::None,
        );
        report.add(
            format!("beside a large one, {name}"),
            contended,
            "ms",
            Target::None,
        );
        report.add(
            format!("ratio, {name}"),
            contended / alone,
            "ratio",
            Target::AtMost(1.2),
        );
    }
}

/// Sends requests on several connections and returns their latencies in milliseconds.
async fn measure(
    addr: SocketAddr,
    workspace: &'static str,
    connections: usize,
    duration: Duration,
) -> Vec<f64> {
    let mut tasks = JoinSet::new();
    for _ in 0..connections {
        tasks.spawn(async move {
            let mut connection = Connection::open(addr, workspace).await;
            let until = Instant::now() + duration;
            let mut samples = Vec::new();
            while Instant::now() < until {
                let timing = connection.chat("note", TOKENS_PER_RESPONSE).await;
                samples.push(timing.total.as_secs_f64() * 1e3);
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            samples
        });
    }
    tasks.join_all().await.concat()
}
