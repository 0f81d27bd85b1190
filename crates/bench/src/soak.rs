//! Runs soak tests of the built `wisteriawick` binary, with one seed after another.

use std::path::Path;
use std::path::PathBuf;

use wisteriawick_soak::Soak;
use wisteriawick_soak::SoakReport;

use crate::report::Report;
use crate::report::Target;

/// Runs the seeds from `seed` to `seed + runs - 1`, and returns whether all runs
/// finished without a violated invariant.
pub(crate) async fn run(seed: u64, runs: u64, report: &mut Report) -> bool {
    let Some(binary) = soaked_binary() else {
        eprintln!(
            "no wisteriawick binary found next to this one; run `cargo build --release` first"
        );
        return false;
    };
    let mut passed = true;
    for seed in seed..seed + runs {
        let dir =
            std::env::temp_dir().join(format!("wisteriawick-soak-{}-{seed}", std::process::id()));
        match Soak::small(seed).run(&binary, &dir).await {
            Ok(soak_report) => {
                passed &= soak_report.passed();
                add_results(seed, &soak_report, &dir, report);
            }
            Err(e) => {
                eprintln!("seed {seed} could not run: {e}");
                passed = false;
            }
        }
    }
    passed
}

/// Reports a run, and prints its faults and violations if there are any violations.
fn add_results(seed: u64, soak_report: &SoakReport, dir: &Path, report: &mut Report) {
    let name = format!("seed {seed}");
    for (outcome, count) in soak_report.outcomes() {
        report.add(format!("{name}, {outcome}"), count as f64, "", Target::None);
    }
    if soak_report.passed() {
        // Logs are kept only for runs with violations.
        let _ = std::fs::remove_dir_all(dir);
        return;
    }
    eprintln!("seed {seed}: logs are in {}", dir.display());
    for line in soak_report.faults() {
        eprintln!("  fault   {line}");
    }
    for line in soak_report.violations() {
        eprintln!("  BROKEN  {line}");
    }
}

/// Returns the path of the `wisteriawick` binary next to this one, if it exists.
fn soaked_binary() -> Option<PathBuf> {
    let path = std::env::current_exe().ok()?.with_file_name("wisteriawick");
    path.exists().then_some(path)
}
