//! Short soak tests of the built program with fixed seeds: invariants are checked while
//! faults are injected.

use std::path::Path;

use wisteriawick_soak::Soak;

/// Runs the soak test and asserts that it finds no violation.
async fn run_soak(soak: Soak) {
    let binary = Path::new(env!("CARGO_BIN_EXE_wisteriawick"));
    let dir = std::env::temp_dir().join(format!(
        "wisteriawick-{}-{:?}-{}",
        std::process::id(),
        soak.faults,
        soak.seed
    ));
    let report = soak.run(binary, &dir).await;
    let report = report.expect("the processes start");
    let faults = report.faults().join("\n");
    let violations = report.violations().join("\n");
    let dir = dir.display();
    assert!(
        report.passed(),
        "{violations}\nfaults:\n{faults}\nlogs: {dir}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invariants_hold_with_consecutive_faults() {
    run_soak(Soak::small(2)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invariants_hold_with_overlapping_faults() {
    run_soak(Soak::small(1)).await;
}

/// Callers use their connections until these are closed, some for long streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_is_lost_by_planned_stops() {
    run_soak(Soak::planned_stops(1)).await;
}
