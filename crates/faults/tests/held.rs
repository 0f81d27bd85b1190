//! Maps changed behind a hold keep one map a pass, whatever goes wrong.

use wisteriawick_faults::HeldFaults;
use wisteriawick_faults::HeldSabotage;
use wisteriawick_faults::run_held;

/// Seeds of each mix that CI plays.
const SEEDS: u64 = 24;
/// Longest standstill of a whole group that is allowed in a run with faults,
/// in milliseconds: a member begins to resolve after a fraction of a second,
/// and each of its orders may be lost a few times.
const LONGEST_HOLD_MS: u64 = 3_000;

fn mixes(seed: u64) -> Vec<HeldFaults> {
    let none = HeldFaults::none(seed);
    vec![
        HeldFaults { lost: 0.3, ..none },
        HeldFaults { late: 0.35, ..none },
        HeldFaults {
            doubled: 0.5,
            late: 0.2,
            ..none
        },
        HeldFaults {
            freeze_every_ms: 700,
            late: 0.2,
            ..none
        },
        HeldFaults {
            kill_every_ms: 500,
            late: 0.3,
            ..none
        },
        HeldFaults {
            break_every_ms: 900,
            late: 0.3,
            lost: 0.1,
            ..none
        },
        HeldFaults {
            lost: 0.2,
            late: 0.2,
            doubled: 0.2,
            freeze_every_ms: 1_500,
            kill_every_ms: 1_500,
            break_every_ms: 2_500,
            ..none
        },
    ]
}

#[test]
fn without_faults_maps_change_often_and_the_group_hardly_stands() {
    let report = run_held(HeldFaults::none(1), None);
    assert_eq!(report.mixed_passes, 0);
    assert!(report.switches > 100, "{report:?}");
    assert!(report.longest_hold_ms < 100, "{report:?}");
}

#[test]
fn no_pass_begins_with_two_maps_whatever_goes_wrong() {
    for seed in 0..SEEDS {
        for faults in mixes(seed) {
            let report = run_held(faults, None);
            assert_eq!(report.mixed_passes, 0, "{faults:?} {report:?}");
            assert!(report.switches > 0, "{faults:?} {report:?}");
            assert!(
                report.longest_hold_ms < LONGEST_HOLD_MS,
                "{faults:?} {report:?}"
            );
        }
    }
}

fn is_caught(mutation: HeldSabotage) -> bool {
    (0..SEEDS)
        .flat_map(mixes)
        .any(|faults| run_held(faults, Some(mutation)).mixed_passes > 0)
}

#[test]
fn arms_without_a_hold_are_caught() {
    assert!(is_caught(HeldSabotage::NoHold));
}

#[test]
fn leave_before_all_are_armed_is_caught() {
    assert!(is_caught(HeldSabotage::EarlyGo));
}

#[test]
fn a_hold_released_without_arming_is_caught() {
    assert!(is_caught(HeldSabotage::ReleaseUnarmed));
}
