//! Samples the resident memory of the entry processes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::fixture::Fixture;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of samples after which a process has begun its regular work.
const WARM_UP_SAMPLES: u32 = 5;
/// Growth of the peak beyond the resident memory after the start that is a violation.
const MAX_GROWTH_KIB: u64 = 16 * 1024;

/// What is known of a process.
#[derive(Debug, Default)]
struct Samples {
    count: u32,
    resident_kib: u64,
    is_reported: bool,
}

/// Samples all processes until the token is cancelled, and records a violation for each whose
/// peak of resident memory grows too far.
pub(crate) async fn watch(fixture: Arc<Fixture>, cx: CancellationToken) {
    let mut processes: BTreeMap<u32, Samples> = BTreeMap::new();
    while !cx.is_cancelled() {
        for entry in &fixture.entries {
            let Some(pid) = entry.process.id() else {
                continue;
            };
            // The file is gone or empty if the process has just exited.
            let Ok(status) = std::fs::read_to_string(format!("/proc/{pid}/status")) else {
                continue;
            };
            let (Some(resident), Some(peak)) = (kib(&status, "VmRSS:"), kib(&status, "VmHWM:"))
            else {
                continue;
            };
            fixture.report.record_peak_memory(peak);
            let samples = processes.entry(pid).or_default();
            samples.count += 1;
            if samples.count <= WARM_UP_SAMPLES {
                samples.resident_kib = resident;
                continue;
            }
            let growth = peak.saturating_sub(samples.resident_kib);
            if growth > MAX_GROWTH_KIB && !samples.is_reported {
                samples.is_reported = true;
                let name = &entry.process.name;
                fixture
                    .report
                    .record_violation(format!("{name}: memory grew by {growth} KiB to {peak} KiB"));
            }
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Returns a value in KiB of a process's status file.
fn kib(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
