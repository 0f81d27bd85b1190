//! Short soak tests of the built program with fixed seeds: invariants are checked while
//! faults are injected.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use wisteriawick_soak::CrashDefect;
use wisteriawick_soak::CrashSoak;
use wisteriawick_soak::Defect;
use wisteriawick_soak::EngineDefect;
use wisteriawick_soak::GroupSoak;
use wisteriawick_soak::Soak;
use wisteriawick_soak::SoakReport;

/// Runs the soak test and returns its report, and the directory of its logs.
async fn run(soak: Soak) -> (SoakReport, PathBuf) {
    let binary = Path::new(env!("CARGO_BIN_EXE_wisteriawick"));
    let Soak {
        seed,
        faults,
        defect,
        ..
    } = soak;
    let name = format!(
        "wisteriawick-{}-{seed}-{faults:?}-{defect:?}",
        std::process::id()
    );
    let dir = std::env::temp_dir().join(name);
    let report = soak.run(binary, &dir).await.expect("the processes start");
    (report, dir)
}

/// Asserts that a run found no violation.
fn assert_passed(report: &SoakReport, dir: &Path) {
    let faults = report.faults().join("\n");
    let violations = report.violations().join("\n");
    let dir = dir.display();
    assert!(
        report.passed(),
        "{violations}\nfaults:\n{faults}\nlogs: {dir}"
    );
}

/// Asserts that a run found a violation whose text contains this one.
fn assert_found(report: &SoakReport, expected: &str) {
    let violations = report.violations();
    assert!(
        violations.iter().any(|text| text.contains(expected)),
        "{expected:?} was not found: {violations:?}"
    );
}

/// Runs the soak test and asserts that it finds no violation.
async fn run_soak(soak: Soak) {
    let (report, dir) = run(soak).await;
    assert_passed(&report, &dir);
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

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_was_acknowledged_outlives_a_loss_of_power() {
    run_soak(Soak::power_losses(1)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forgotten_acknowledgements_are_found() {
    let soak = Soak {
        duration: Duration::from_secs(1),
        defect: Some(Defect::ForgetsAcknowledged),
        ..Soak::power_losses(3)
    };
    let (report, _) = run(soak).await;
    let violations = report.violations();
    for expected in ["without the acknowledged", "a runner that had left"] {
        assert!(
            violations.iter().any(|text| text.contains(expected)),
            "{expected}: {violations:?}"
        );
    }
}

/// A check that cannot fail shows nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_defect_is_found() {
    let defects = [
        (Defect::LosesResponses, "but it was"),
        (Defect::BreaksOff, "broken off"),
        (Defect::Lies, "but it was"),
        (Defect::Repeats, "was executed again"),
        (Defect::EndsEarly, "broken off"),
    ];
    for (defect, expected) in defects {
        let soak = Soak {
            duration: Duration::from_secs(2),
            defect: Some(defect),
            ..Soak::planned_stops(3)
        };
        let (report, _) = run(soak).await;
        let violations = report.violations();
        assert!(
            violations.iter().any(|text| text.contains(expected)),
            "{defect:?} was not found: {violations:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_runners_say_of_themselves_is_kept_while_entries_fail() {
    run_soak(Soak::notices(1)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_that_do_not_hear_runners_are_found() {
    let soak = Soak {
        defect: Some(Defect::HidesNotices),
        ..Soak::notices(1)
    };
    let (report, _) = run(soak).await;
    assert_found(&report, "to a runner that said");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_reaches_an_evacuated_data_centre_while_entries_and_the_store_fail() {
    run_soak(Soak::evacuations(1)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_that_do_not_hear_of_evacuations_are_found() {
    let soak = Soak {
        defect: Some(Defect::HidesEvacuations),
        duration: Duration::from_secs(1),
        ..Soak::evacuations(1)
    };
    let (report, _) = run(soak).await;
    assert_found(&report, "in an evacuated data centre");
}

async fn run_crashes(soak: CrashSoak) -> (SoakReport, PathBuf) {
    let binary = Path::new(env!("CARGO_BIN_EXE_wisteriawick"));
    let CrashSoak { seed, defect, .. } = soak;
    let name = format!(
        "wisteriawick-{}-{seed}-crashes-{defect:?}",
        std::process::id()
    );
    let dir = std::env::temp_dir().join(name);
    let report = soak.run(binary, &dir).await.expect("the processes start");
    (report, dir)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_crashes_runners_is_stopped_while_entries_and_agents_fail() {
    let (report, dir) = run_crashes(CrashSoak::small(1)).await;
    assert_passed(&report, &dir);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_that_tell_each_other_nothing_of_crashes_are_found() {
    let soak = CrashSoak {
        defect: Some(CrashDefect::Unlinked),
        ..CrashSoak::small(2)
    };
    let (report, _) = run_crashes(soak).await;
    assert_found(&report, "runners crashed");
}

async fn run_group(soak: GroupSoak) -> (SoakReport, PathBuf) {
    let binary = Path::new(env!("CARGO_BIN_EXE_wisteriawick"));
    let GroupSoak { seed, defect, .. } = soak;
    let name = format!(
        "wisteriawick-{}-{seed}-group-{defect:?}",
        std::process::id()
    );
    let dir = std::env::temp_dir().join(name);
    let report = soak.run(binary, &dir).await.expect("the processes start");
    (report, dir)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn group_keeps_one_map_while_its_agents_fail() {
    let (report, dir) = run_group(GroupSoak::small(1)).await;
    assert_passed(&report, &dir);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn defects_of_a_group_are_found() {
    let defects = [
        (EngineDefect::KeepsMap, "different maps"),
        (EngineDefect::IgnoresRelease, "was held"),
    ];
    for (defect, expected) in defects {
        let soak = GroupSoak {
            duration: Duration::from_millis(500),
            defect: Some(defect),
            ..GroupSoak::small(2)
        };
        let (report, _) = run_group(soak).await;
        let violations = report.violations();
        assert!(
            violations.iter().any(|text| text.contains(expected)),
            "{defect:?} was not found: {violations:?}"
        );
    }
}
