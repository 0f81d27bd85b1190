//! Slopes for docs/CAPACITY.md: what a link, a ticket and a key cost.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::fleet::KeyHash;
use wisteriawick_core::ticket::AcceptStep;
use wisteriawick_core::ticket::Head;
use wisteriawick_core::ticket::HeadWire;
use wisteriawick_core::ticket::Ticket;

use crate::client::Fleet;
use crate::client::cpu_time;
use crate::client::resident_bytes;
use crate::client::sizes;
use crate::report::Report;
use crate::report::Target;

const LENGTH: Duration = Duration::from_secs(8);
const ENTRIES: usize = 2;

struct Point {
    links: f64,
    agents: f64,
    cpu: f64,
    bytes: f64,
    resident: f64,
}

pub(crate) async fn run(report: &mut Report) {
    let mut points = Vec::new();
    for agents in [12, 24, 48, 96] {
        let point = measure(agents).await;
        report.add(
            format!("{agents} agents, 2 entries: processor"),
            point.cpu * 100.0,
            "% of a core",
            Target::None,
        );
        report.add(
            format!("{agents} agents, 2 entries: bytes on the loopback"),
            point.bytes,
            "bytes/s",
            Target::None,
        );
        report.add(
            format!("{agents} agents, 2 entries: resident"),
            point.resident / 1e6,
            "MB",
            Target::None,
        );
        points.push(point);
    }
    let (first, last) = (&points[0], &points[points.len() - 1]);
    let per = |value: fn(&Point) -> f64, of: fn(&Point) -> f64| {
        (value(last) - value(first)) / (of(last) - of(first))
    };
    let links = |p: &Point| p.links;
    let agents = |p: &Point| p.agents;
    report.add(
        "processor a link, both ends",
        per(|p| p.cpu, links) * 1e6,
        "µs/s",
        Target::None,
    );
    report.add(
        "bytes a link, both ways",
        per(|p| p.bytes, links),
        "bytes/s",
        Target::None,
    );
    report.add(
        "resident an agent with its stand-in and links",
        per(|p| p.resident, agents) / 1e6,
        "MB",
        Target::None,
    );
    head(report);
}

async fn measure(agents: usize) -> Point {
    let fleet = Fleet::start(sizes(ENTRIES, agents - 3, 3, 32)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (start, cpu, bytes) = (Instant::now(), cpu_time(), loopback_bytes());
    tokio::time::sleep(LENGTH).await;
    let wall_s = start.elapsed().as_secs_f64();
    let point = Point {
        links: (ENTRIES * agents + ENTRIES * (ENTRIES - 1)) as f64,
        agents: agents as f64,
        cpu: (cpu_time() - cpu).as_secs_f64() / wall_s,
        bytes: (loopback_bytes() - bytes) as f64 / wall_s,
        resident: resident_bytes(std::process::id()) as f64,
    };
    drop(fleet);
    tokio::time::sleep(Duration::from_secs(1)).await;
    point
}

/// Returns the bytes that the loopback interface has carried.
fn loopback_bytes() -> u64 {
    let table = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = table
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let first = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    first.unwrap_or(0)
}

/// The head with the planned number of workspaces and models.
fn head(report: &mut Report) {
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
