//! What an idle fleet of today's size costs a process.

use std::time::Duration;
use std::time::Instant;

use crate::client::Fleet;
use crate::client::cpu_time;
use crate::client::resident_bytes;
use crate::client::sizes;
use crate::report::Report;
use crate::report::Target;

const LENGTH: Duration = Duration::from_secs(15);
const ENTRIES: usize = 4;
const ENGINES: usize = 16;
const PLAIN: usize = 3;
const BYTES_PER_MB: f64 = 1e6;

pub(crate) async fn run(report: &mut Report) {
    let fleet = Fleet::start(sizes(ENTRIES, ENGINES, PLAIN, 32)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = fleet.fleet.platform.calls();
    let (start, before) = (Instant::now(), cpu_time());
    tokio::time::sleep(LENGTH).await;
    let wall_s = start.elapsed().as_secs_f64();
    let cores = (cpu_time() - before).as_secs_f64() / wall_s;
    let processes = (ENTRIES + ENGINES + PLAIN) as f64;
    let after = fleet.fleet.platform.calls();
    report.add(
        "processor, all processes with stand-ins",
        cores * 100.0,
        "% of a core",
        Target::None,
    );
    report.add(
        "processor, mean of a process with its stand-in",
        cores * 100.0 / processes,
        "% of a core",
        Target::AtMost(1.9),
    );
    let resident = resident_bytes(std::process::id()) as f64 / BYTES_PER_MB;
    report.add(
        "resident, all processes with stand-ins",
        resident,
        "MB",
        Target::None,
    );
    report.add(
        "resident, share of a process",
        resident / processes,
        "MB",
        Target::AtMost(64.0),
    );
    let per_hour = 3_600.0 / wall_s / processes;
    let reads = (after.reads - calls.reads) as f64 * per_hour;
    let writes = (after.writes - calls.writes) as f64 * per_hour;
    report.add(
        "platform reads and watches, a process and hour",
        reads,
        "calls",
        Target::None,
    );
    report.add(
        "platform writes, a process and hour",
        writes,
        "calls",
        Target::AtMost(0.0),
    );
}
