//! Tokens a second that the product relays for each core it uses.
//!
//! The stand-ins and the client run in the same process, so what they use is
//! measured by direct calls first and taken off.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;
use wisteriawick::command::dev::DevEndpoint;

use crate::client::Connection;
use crate::client::Fleet;
use crate::client::cpu_time;
use crate::client::sizes;
use crate::report::Report;
use crate::report::Target;

const STREAMS: usize = 200;
const LENGTH: Duration = Duration::from_secs(8);
const TOKENS: u64 = 1_000;

struct Cost {
    tokens: f64,
    cpu_s: f64,
    wall_s: f64,
}

pub(crate) async fn run(report: &mut Report) {
    let fleet = Fleet::start(sizes(1, 2, 1, 10_000)).await;
    let entry = fleet.fleet.entries[0].http_address;
    let DevEndpoint::Engine(engine) = &fleet.fleet.runners["llm-1"].endpoint else {
        return;
    };
    let direct = load(engine.addr()).await;
    let through = load(entry).await;
    let outside = direct.cpu_s / direct.tokens;
    let whole = through.cpu_s / through.tokens;
    let ours = (whole - outside).max(f64::MIN_POSITIVE);
    report.add(
        "tokens a second through the product",
        through.tokens / through.wall_s,
        "tokens/s",
        Target::None,
    );
    report.add(
        "cores used, with stand-ins and client",
        through.cpu_s / through.wall_s,
        "cores",
        Target::None,
    );
    report.add(
        "tokens a second a core, entry and agent",
        1.0 / ours,
        "tokens/s",
        Target::None,
    );
    // Half of the work is the agent's; the target is for the entry alone.
    report.add(
        "tokens a second a core, entry if half of it",
        2.0 / ours,
        "tokens/s",
        Target::AtLeast(200_000.0),
    );
}

async fn load(to: SocketAddr) -> Cost {
    let (start, before) = (Instant::now(), cpu_time());
    let mut tasks = JoinSet::new();
    for index in 0..STREAMS {
        tasks.spawn(async move {
            let mut connection = Connection::open(to, "large").await;
            let mut tokens = 0;
            while start.elapsed() < LENGTH {
                let timing = connection.chat(&format!("draft {index}"), TOKENS).await;
                tokens += if timing.ok { TOKENS } else { 0 };
            }
            tokens
        });
    }
    let tokens: u64 = tasks.join_all().await.into_iter().sum();
    Cost {
        tokens: tokens as f64,
        cpu_s: (cpu_time() - before).as_secs_f64(),
        wall_s: start.elapsed().as_secs_f64(),
    }
}
