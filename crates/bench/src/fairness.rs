//! A small workspace's latency while a large one sends ten times its share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use crate::client::Connection;
use crate::client::Fleet;
use crate::client::sizes;
use crate::report::Report;
use crate::report::Target;
use crate::report::quantile;

const LENGTH: Duration = Duration::from_secs(8);
/// Requests that one runner may hold.
const IN_FLIGHT: u32 = 4;
const RUNNERS: usize = 4;
/// Connections of the small workspace: within its half of the slots.
const SMALL: usize = 4;
/// Connections of the large one: ten times its half of the slots.
const LARGE: usize = 80;
const TOKENS: u64 = 16;

pub(crate) async fn run(report: &mut Report) {
    let fleet = Fleet::start(sizes(1, RUNNERS, 1, IN_FLIGHT)).await;
    let entry = fleet.fleet.entries[0].http_address;
    let mut alone = measure(entry, "small", SMALL, LENGTH).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut noise = JoinSet::new();
    for _ in 0..LARGE {
        let stop = Arc::clone(&stop);
        noise.spawn(async move {
            let mut connection = Connection::open(entry, "large").await;
            while !stop.load(Ordering::Relaxed) {
                connection.chat("load", TOKENS).await;
            }
        });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut beside = measure(entry, "small", SMALL, LENGTH).await;
    stop.store(true, Ordering::Relaxed);
    noise.join_all().await;
    for (name, share) in [("median", 0.5), ("95th percentile", 0.95)] {
        let (a, b) = (quantile(&mut alone, share), quantile(&mut beside, share));
        report.add(
            format!("small workspace alone, {name}"),
            a,
            "ms",
            Target::None,
        );
        report.add(format!("beside a large one, {name}"), b, "ms", Target::None);
        report.add(
            format!("ratio, {name}"),
            b / a,
            "ratio",
            Target::AtMost(1.2),
        );
    }
}

async fn measure(
    to: SocketAddr,
    workspace: &'static str,
    connections: usize,
    length: Duration,
) -> Vec<f64> {
    let mut tasks = JoinSet::new();
    for _ in 0..connections {
        tasks.spawn(async move {
            let mut connection = Connection::open(to, workspace).await;
            let until = Instant::now() + length;
            let mut samples = Vec::new();
            while Instant::now() < until {
                let timing = connection.chat("note", TOKENS).await;
                samples.push(timing.total.as_secs_f64() * 1e3);
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            samples
        });
    }
    tasks.join_all().await.concat()
}
