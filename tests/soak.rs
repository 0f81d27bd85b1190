//! A short soak of the built program, with fixed seeds.

use std::path::Path;

use wisteriawick_soak::Soak;

/// Runs a seed; an odd one lets faults overlap.
async fn soak(seed: u64) {
    let binary = Path::new(env!("CARGO_BIN_EXE_wisteriawick"));
    let dir = std::env::temp_dir().join(format!("wisteriawick-{}-{seed}", std::process::id()));
    let verdict = Soak::small(seed).run(binary, &dir).await;
    let verdict = verdict.expect("processes and ports");
    let faults = verdict.faults().join("\n");
    let broken = verdict.broken_promises().join("\n");
    let dir = dir.display();
    assert!(
        verdict.is_kept(),
        "{broken}\nfaults:\n{faults}\nlogs: {dir}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_with_faults_one_after_the_other() {
    soak(2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_with_faults_that_overlap() {
    soak(1).await;
}
