//! Measures how resource use grows with the size of a fleet, for docs/CAPACITY.md.
//!
//! Fleets with different numbers of agents run idle on loopback. The difference
//! between the smallest and the largest gives the CPU time and the traffic of
//! one link and the memory of one agent. A second part measures the size of a
//! configuration head, the time to read it and the time to look up a key in it.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::fleet::KeyHash;
use wisteriawick_core::ticket::AcceptStep;
use wisteriawick_core::ticket::Head;
use wisteriawick_core::ticket::HeadWire;
use wisteriawick_core::ticket::Ticket;

use crate::client::BenchFleet;
use crate::client::cpu_time;
use crate::client::fleet_spec;
use crate::client::resident_bytes;
use crate::report::Report;
use crate::report::Target;

/// Duration of each measurement of an idle fleet.
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);
const ENTRIES: usize = 2;

/// Resource use of a fleet of one size, over all processes and stand-ins.
struct Point {
    /// Links between processes: one for each pair of an entry and an agent, and
    /// two for each pair of entries.
    links: f64,
    agents: f64,
    cpu_cores: f64,
    /// Traffic on the loopback interface.
    bytes_per_s: f64,
    resident_bytes: f64,
}

pub(crate) async fn run(report: &mut Report) {
    let mut points = Vec::new();
    for agents in [12, 24, 48, 96] {
        let point = measure(agents).await;
        report.add(
            format!("{agents} agents, 2 entries: processor"),
            point.cpu_cores * 100.0,
            "% of a core",
            Target::None,
        );
        report.add(
            format!("{agents} agents, 2 entries: bytes on the loopback"),
            point.bytes_per_s,
            "bytes/s",
            Target::None,
        );
        report.add(
            format!("{agents} agents, 2 entries: resident"),
            point.resident_bytes / 1e6,
            "MB",
            Target::None,
        );
        points.push(point);
    }
    let (first, last) = (&points[0], &points[points.len() - 1]);
    let slope = |cost: fn(&Point) -> f64, count: fn(&Point) -> f64| {
        (cost(last) - cost(first)) / (count(last) - count(first))
    };
    let links = |p: &Point| p.links;
    let agents = |p: &Point| p.agents;
    report.add(
        "processor a link, both ends",
        slope(|p| p.cpu_cores, links) * 1e6,
        "µs/s",
        Target::None,
    );
    report.add(
        "bytes a link, both ways",
        slope(|p| p.bytes_per_s, links),
        "bytes/s",
        Target::None,
    );
    report.add(
        "resident an agent with its stand-in and links",
        slope(|p| p.resident_bytes, agents) / 1e6,
        "MB",
        Target::None,
    );
    measure_head(report);
}

async fn measure(agents: usize) -> Point {
    let fleet = BenchFleet::start(fleet_spec(ENTRIES, agents - 3, 3, 32)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (start, cpu_before, bytes_before) = (Instant::now(), cpu_time(), loopback_bytes());
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let wall_s = start.elapsed().as_secs_f64();
    let point = Point {
        links: (ENTRIES * agents + ENTRIES * (ENTRIES - 1)) as f64,
        agents: agents as f64,
        cpu_cores: (cpu_time() - cpu_before).as_secs_f64() / wall_s,
        bytes_per_s: (loopback_bytes() - bytes_before) as f64 / wall_s,
        resident_bytes: resident_bytes(std::process::id()) as f64,
    };
    drop(fleet);
    tokio::time::sleep(Duration::from_secs(1)).await;
    point
}

/// Returns the number of bytes that the loopback interface has received since boot.
fn loopback_bytes() -> u64 {
    let table = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = table
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    received.unwrap_or(0)
}

/// Measures a head of the planned size: 800 workspaces and 18 model services.
fn measure_head(report: &mut Report) {
    let mut text = String::from("number = 1\ntitle = \"planned size\"\n");
    for model in 0..18 {
        text.push_str(&format!("[service.model-{model}]\nkind = \"model\"\n"));
    }
    for workspace in 0..800 {
        let hash = KeyHash::new(&workspace.to_string()).to_hex();
        text.push_str(&format!(
            "[workspace.w{workspace}]\nkey_hashes = [\"{hash}\"]\nservices = [\"model-1\", \"model-2\"]\n"
        ));
    }
    let ticket = Ticket::parse("planned.toml", &text).expect("a valid ticket");
    let Ok(AcceptStep::Write(head)) = Head::empty().accept(&ticket, "bench") else {
        return;
    };
    let json = serde_json::to_vec(&HeadWire::from(&head)).unwrap_or_default();
    report.add(
        "head with 800 workspaces and 18 models",
        json.len() as f64,
        "bytes",
        Target::AtMost(1_000_000.0),
    );
    let start = Instant::now();
    let rounds = 20;
    for _ in 0..rounds {
        let wire: HeadWire = serde_json::from_slice(&json).expect("valid JSON");
        Head::try_from(wire).expect("a valid head");
    }
    let parse_ms = start.elapsed().as_secs_f64() * 1e3 / f64::from(rounds);
    report.add("reading that head", parse_ms, "ms", Target::None);
    let key = "799";
    let start = Instant::now();
    let lookups = 10_000;
    for _ in 0..lookups {
        assert!(head.fleet.workspace_by_key(key).is_some());
    }
    let lookup_us = start.elapsed().as_secs_f64() * 1e6 / f64::from(lookups);
    report.add(
        "finding the last workspace by its key",
        lookup_us,
        "µs",
        Target::None,
    );
}
