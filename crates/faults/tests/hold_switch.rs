//! Switches of the expert map behind a hold: no pass begins with two maps, whatever
//! faults are injected, and the group is held only briefly.

use wisteriawick_faults::HoldFaults;
use wisteriawick_faults::HoldMutation;
use wisteriawick_faults::HoldReport;
use wisteriawick_faults::StopCounts;
use wisteriawick_faults::run_hold_switch;

/// Number of seeds for each mix of faults.
const SEEDS: u64 = 24;
/// Longest time, in milliseconds, that a complete group may be held in a run with
/// faults. A member begins to resolve a hold that it finds after a fraction of a
/// second, and each of its orders may be lost a few times.
const MAX_HOLD_MS: u64 = 3_000;
/// Longest time, in milliseconds, that a group may be held while nothing else fails.
/// Members begin to resolve a hold after this time.
const MAX_UNDISTURBED_HOLD_MS: u64 = 100;

fn fault_mixes(seed: u64) -> Vec<HoldFaults> {
    let none = HoldFaults::none(seed);
    vec![
        HoldFaults { lost: 0.3, ..none },
        HoldFaults { late: 0.35, ..none },
        HoldFaults {
            duplicated: 0.5,
            late: 0.2,
            ..none
        },
        HoldFaults {
            freeze_interval_ms: 700,
            late: 0.2,
            ..none
        },
        HoldFaults {
            kill_interval_ms: 500,
            late: 0.3,
            ..none
        },
        HoldFaults {
            stop_interval_ms: 500,
            late: 0.3,
            ..none
        },
        HoldFaults {
            unlink_interval_ms: 500,
            late: 0.3,
            ..none
        },
        HoldFaults {
            break_interval_ms: 900,
            late: 0.3,
            lost: 0.1,
            ..none
        },
        HoldFaults {
            lost: 0.2,
            late: 0.2,
            duplicated: 0.2,
            freeze_interval_ms: 1_500,
            kill_interval_ms: 1_500,
            stop_interval_ms: 1_500,
            unlink_interval_ms: 1_500,
            break_interval_ms: 2_500,
            ..none
        },
    ]
}

#[test]
fn without_faults_maps_switch_often_and_holds_are_short() {
    let report = run_hold_switch(HoldFaults::none(1), None);
    assert_eq!(report.mixed_map_passes, 0);
    assert!(report.switches > 100, "{report:?}");
    assert!(
        report.longest_hold_ms < MAX_UNDISTURBED_HOLD_MS,
        "{report:?}"
    );
}

#[test]
fn no_pass_begins_with_two_maps_under_any_mix_of_faults() {
    for seed in 0..SEEDS {
        for faults in fault_mixes(seed) {
            let report = run_hold_switch(faults, None);
            assert_eq!(report.mixed_map_passes, 0, "{faults:?} {report:?}");
            assert!(report.switches > 0, "{faults:?} {report:?}");
            assert!(
                report.longest_hold_ms < MAX_HOLD_MS,
                "{faults:?} {report:?}"
            );
        }
    }
}

/// Returns runs in which the leader is told to stop again and again, without any
/// other fault.
fn runs_with_stops(mutation: Option<HoldMutation>) -> Vec<HoldReport> {
    (0..SEEDS)
        .map(|seed| {
            let faults = HoldFaults {
                stop_interval_ms: 100,
                ..HoldFaults::none(seed)
            };
            run_hold_switch(faults, mutation)
        })
        .collect()
}

#[test]
fn a_leader_that_stops_at_any_step_leaves_no_hold() {
    let reports = runs_with_stops(None);
    for report in &reports {
        assert_eq!(report.holds_left, 0, "{report:?}");
        assert_eq!(report.mixed_map_passes, 0, "{report:?}");
        assert!(
            report.longest_hold_ms < MAX_UNDISTURBED_HOLD_MS,
            "{report:?}"
        );
    }
    let stops_at = |count: fn(&StopCounts) -> u32| -> u32 {
        reports.iter().map(|report| count(&report.stops)).sum()
    };
    assert!(stops_at(|stops| stops.without_hold) > 0);
    assert!(stops_at(|stops| stops.hold_ordered) > 0);
    assert!(stops_at(|stops| stops.unarmed) > 0);
    assert!(stops_at(|stops| stops.unreleased) > 0);
}

#[test]
fn a_leader_that_ends_in_the_middle_of_a_change_is_detected() {
    let reports = runs_with_stops(Some(HoldMutation::EndAtOnce));
    assert!(reports.iter().all(|report| report.holds_left > 0));
    assert!(
        reports
            .iter()
            .all(|report| report.longest_hold_ms > MAX_UNDISTURBED_HOLD_MS)
    );
}

#[test]
fn a_member_whose_agent_ends_delays_no_pass() {
    for seed in 0..SEEDS {
        let faults = HoldFaults {
            unlink_interval_ms: 100,
            ..HoldFaults::none(seed)
        };
        let report = run_hold_switch(faults, None);
        assert_eq!(report.mixed_map_passes, 0, "{report:?}");
        assert!(
            report.longest_hold_ms < MAX_UNDISTURBED_HOLD_MS,
            "{report:?}"
        );
    }
}

/// Returns whether some run with the mutation begins a pass with two maps.
fn is_detected(mutation: HoldMutation) -> bool {
    (0..SEEDS)
        .flat_map(fault_mixes)
        .any(|faults| run_hold_switch(faults, Some(mutation)).mixed_map_passes > 0)
}

#[test]
fn arming_without_a_hold_is_detected() {
    assert!(is_detected(HoldMutation::NoHold));
}

#[test]
fn releasing_before_all_ranks_are_armed_is_detected() {
    assert!(is_detected(HoldMutation::EarlyGo));
}

#[test]
fn releasing_a_found_hold_without_arming_is_detected() {
    assert!(is_detected(HoldMutation::ReleaseUnarmed));
}
