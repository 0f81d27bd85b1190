//! Measures how many tokens a second the product relays with one core.
//!
//! The stand-ins and the client run in the same process as the product. Their CPU
//! time for each token is measured first, by direct calls, and subtracted.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;
use wisteriawick::command::dev::DevEndpoint;

use crate::client::BenchFleet;
use crate::client::Connection;
use crate::client::cpu_time;
use crate::client::fleet_spec;
use crate::report::Report;
use crate::report::Target;

const CONCURRENT_STREAMS: usize = 200;
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);
const TOKENS_PER_RESPONSE: u64 = 1_000;

/// Work done and resources used in one measurement.
struct Usage {
    tokens: f64,
    cpu_s: f64,
    wall_s: f64,
}

pub(crate) async fn run(report: &mut Report) {
    let fleet = BenchFleet::start(fleet_spec(1, 2, 1, 10_000)).await;
    let entry = fleet.dev.entries[0].http_address;
    let DevEndpoint::Engine(engine) = &fleet.dev.runners["llm-1"].endpoint else {
        return;
    };
    let direct = measure(engine.addr()).await;
    let proxied = measure(entry).await;
    let direct_cpu_s = direct.cpu_s / direct.tokens;
    let proxied_cpu_s = proxied.cpu_s / proxied.tokens;
    let product_cpu_s = (proxied_cpu_s - direct_cpu_s).max(f64::MIN_POSITIVE);
    report.add(
        "tokens a second through the product",
        proxied.tokens / proxied.wall_s,
        "tokens/s",
        Target::None,
    );
    report.add(
        "cores used, with stand-ins and client",
        proxied.cpu_s / proxied.wall_s,
        "cores",
        Target::None,
    );
    report.add(
        "tokens a second a core, entry and agent",
        1.0 / product_cpu_s,
        "tokens/s",
        Target::None,
    );
    // The target is for the entry alone, which is assumed to do half of the work; the
    // agent does the rest.
    report.add(
        "tokens a second a core, entry if half of it",
        2.0 / product_cpu_s,
        "tokens/s",
        Target::AtLeast(200_000.0),
    );
}

/// Keeps all streams busy and returns the tokens received and the CPU time used.
async fn measure(addr: SocketAddr) -> Usage {
    let (start, cpu_before) = (Instant::now(), cpu_time());
    let mut tasks = JoinSet::new();
    for index in 0..CONCURRENT_STREAMS {
        tasks.spawn(async move {
            let mut connection = Connection::open(addr, "large").await;
            let mut tokens = 0;
            while start.elapsed() < MEASUREMENT_TIME {
                let timing = connection
                    .chat(&format!("draft {index}"), TOKENS_PER_RESPONSE)
                    .await;
                tokens += if timing.ok { TOKENS_PER_RESPONSE } else { 0 };
            }
            tokens
        });
    }
    let tokens: u64 = tasks.join_all().await.into_iter().sum();
    Usage {
        tokens: tokens as f64,
        cpu_s: (cpu_time() - cpu_before).as_secs_f64(),
        wall_s: start.elapsed().as_secs_f64(),
    }
}
