//! Entries keep the bound for cold runners together under every fault, and serve their
//! callers meanwhile; each mutation is detected.

use wisteriawick_faults::ColdFaults;
use wisteriawick_faults::ColdMutation;
use wisteriawick_faults::run_cold_runners;

/// Least part of the requests that is sent without faults, though a sixth or more of the
/// runners are cold at any time.
const MIN_SENT: f64 = 0.9;

fn without_faults(seed: u64) -> Vec<ColdFaults> {
    let sizes = [
        (2, 4.0, 1.0),
        (6, 4.0, 1.0),
        (6, 4.0, 1.5),
        (6, 26.0, 2.0),
        (14, 4.0, 1.0),
    ];
    let case = |(entries, per_second, skew)| ColdFaults {
        seed,
        entries,
        per_second,
        skew,
        message_delay: 1,
        entry_restart_interval: 0,
        freeze_interval: 0,
        cut_interval: 0,
        leader_restart_interval: 0,
        loses_runners: false,
    };
    sizes.into_iter().map(case).collect()
}

fn each_fault(seed: u64) -> Vec<ColdFaults> {
    let mut cases = Vec::new();
    for none in without_faults(seed) {
        cases.push(none);
        cases.push(ColdFaults {
            loses_runners: true,
            ..none
        });
        cases.push(ColdFaults {
            message_delay: 40,
            ..none
        });
        cases.push(ColdFaults {
            entry_restart_interval: 300,
            ..none
        });
        cases.push(ColdFaults {
            freeze_interval: 200,
            ..none
        });
        cases.push(ColdFaults {
            cut_interval: 200,
            ..none
        });
        cases.push(ColdFaults {
            leader_restart_interval: 400,
            ..none
        });
        cases.push(ColdFaults {
            message_delay: 20,
            entry_restart_interval: 600,
            freeze_interval: 500,
            cut_interval: 500,
            leader_restart_interval: 900,
            loses_runners: true,
            ..none
        });
    }
    cases
}

#[test]
fn the_bound_is_kept_in_any_second_under_every_fault() {
    for faults in (0..12).flat_map(each_fault) {
        let most = run_cold_runners(faults, None).most_in_second;
        let bound = faults.bound();
        assert!(most as f64 <= bound, "{faults:?}: {most} of {bound}");
    }
}

#[test]
fn callers_are_served_without_faults() {
    for faults in (0..4).flat_map(without_faults) {
        let report = run_cold_runners(faults, None);
        let least = MIN_SENT * report.requests as f64;
        assert!(report.sent as f64 >= least, "{faults:?}: {report:?}");
    }
}

#[test]
fn each_mutation_is_detected() {
    for mutation in [ColdMutation::IgnoresBound, ColdMutation::CountsTooFew] {
        let found = (0..4).flat_map(each_fault).any(|faults| {
            let report = run_cold_runners(faults, Some(mutation));
            report.most_in_second as f64 > faults.bound()
        });
        assert!(found, "{mutation:?} was not detected");
    }
}
