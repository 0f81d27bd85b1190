//! Short soak tests of the built program with fixed seeds: invariants are checked while
//! faults are injected.

use std::path::Path;

use wisteriawick_soak::Soak;

/// Runs the soak test with a seed. With an odd seed, faults may overlap.
async fn run_soak(seed: u64) {
    let binary = Path::new(env!("CARGO_BIN_EXE_wisteriawick"));
    let dir = std::env::temp_dir().join(format!("wisteriawick-{}-{seed}", std::process::id()));
    let report = Soak::small(seed).run(binary, &dir).await;
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
    run_soak(2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invariants_hold_with_overlapping_faults() {
    run_soak(1).await;
}
