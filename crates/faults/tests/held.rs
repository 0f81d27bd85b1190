//! Switches of the expert map behind a hold: no pass begins with two maps, whatever
//! faults are injected, and the group is held only briefly.

use wisteriawick_faults::HeldFaults;
use wisteriawick_faults::HeldSabotage;
use wisteriawick_faults::run_held;

/// Number of seeds for each mix of faults.
const SEEDS: u64 = 24;
/// Longest time, in milliseconds, that a complete group may be held in a run with
/// faults. A member begins to resolve a hold that it finds after a fraction of a
/// second, and each of its orders may be lost a few times.
const MAX_HOLD_MS: u64 = 3_000;

fn fault_mixes(seed: u64) -> Vec<HeldFaults> {
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
fn without_faults_maps_switch_often_and_holds_are_short() {
    let report = run_held(HeldFaults::none(1), None);
    assert_eq!(report.mixed_passes, 0);
    assert!(report.switches > 100, "{report:?}");
    assert!(report.longest_hold_ms < 100, "{report:?}");
}

#[test]
fn no_pass_begins_with_two_maps_under_any_mix_of_faults() {
    for seed in 0..SEEDS {
        for faults in fault_mixes(seed) {
            let report = run_held(faults, None);
            assert_eq!(report.mixed_passes, 0, "{faults:?} {report:?}");
            assert!(report.switches > 0, "{faults:?} {report:?}");
            assert!(
                report.longest_hold_ms < MAX_HOLD_MS,
                "{faults:?} {report:?}"
            );
        }
    }
}

/// Returns whether some run with the mutation begins a pass with two maps.
fn is_detected(mutation: HeldSabotage) -> bool {
    (0..SEEDS)
        .flat_map(fault_mixes)
        .any(|faults| run_held(faults, Some(mutation)).mixed_passes > 0)
}

#[test]
fn arming_without_a_hold_is_detected() {
    assert!(is_detected(HeldSabotage::NoHold));
}

#[test]
fn releasing_before_all_ranks_are_armed_is_detected() {
    assert!(is_detected(HeldSabotage::EarlyGo));
}

#[test]
fn releasing_a_found_hold_without_arming_is_detected() {
    assert!(is_detected(HeldSabotage::ReleaseUnarmed));
}
