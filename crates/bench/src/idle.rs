//! Measures what an idle fleet of the present size uses per process.
//!
//! The figures are CPU time, resident memory and calls to the platform. All
//! processes and their stand-ins run in the process of the benchmark.

use std::time::Duration;
use std::time::Instant;

use crate::client::BenchFleet;
use crate::client::cpu_time;
use crate::client::fleet_spec;
use crate::client::resident_bytes;
use crate::report::Report;
use crate::report::Target;

/// Duration of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(15);
const ENTRIES: usize = 4;
const ENGINES: usize = 16;
const PLAIN_INSTANCES: usize = 3;
const BYTES_PER_MB: f64 = 1e6;

pub(crate) async fn run(report: &mut Report) {
    let fleet = BenchFleet::start(fleet_spec(ENTRIES, ENGINES, PLAIN_INSTANCES, 32)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls_before = fleet.dev.platform.calls();
    let (start, cpu_before) = (Instant::now(), cpu_time());
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let wall_s = start.elapsed().as_secs_f64();
    let cores = (cpu_time() - cpu_before).as_secs_f64() / wall_s;
    let processes = (ENTRIES + ENGINES + PLAIN_INSTANCES) as f64;
    let calls_after = fleet.dev.platform.calls();
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
    let resident_mb = resident_bytes(std::process::id()) as f64 / BYTES_PER_MB;
    report.add(
        "resident, all processes with stand-ins",
        resident_mb,
        "MB",
        Target::None,
    );
    report.add(
        "resident, share of a process",
        resident_mb / processes,
        "MB",
        Target::AtMost(64.0),
    );
    let per_process_hour = 3_600.0 / wall_s / processes;
    let reads = (calls_after.reads - calls_before.reads) as f64 * per_process_hour;
    let writes = (calls_after.writes - calls_before.writes) as f64 * per_process_hour;
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
