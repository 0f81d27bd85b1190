//! Entries keep the rate limit of a runner together under every fault, use it, and notice
//! its end; each mutation is detected.

use wisteriawick_faults::LimitFaults;
use wisteriawick_faults::LimitMutation;
use wisteriawick_faults::LimitReport;
use wisteriawick_faults::run_rate_limits;

/// Seconds in which the limit must be kept.
const LIMITED_SECONDS: f64 = 14.0;
/// Least share of the limit that is used without faults.
const MIN_USED: f64 = 0.5;
/// Fewest requests in the four seconds after the end of a limit, of 80 or so for one of
/// four free runners.
const MIN_AFTER_END: usize = 40;

fn violations(faults: LimitFaults, report: LimitReport) -> Vec<String> {
    let mut violations = Vec::new();
    let allowed = (1.5 * 4.0 * faults.limit) as usize + 5;
    if report.most_in_window > allowed {
        violations.push(format!(
            "{} of {allowed} in a window",
            report.most_in_window
        ));
    }
    if report.after_end < MIN_AFTER_END {
        violations.push(format!("only {} after the end", report.after_end));
    }
    violations
}

fn each_fault(seed: u64) -> Vec<LimitFaults> {
    let sizes = [(4, 2.0, 1.0), (4, 3.0, 2.5), (8, 0.5, 1.5), (8, 1.8, 1.0)];
    let mut cases = Vec::new();
    for (entries, limit, skew) in sizes {
        let none = LimitFaults {
            seed,
            entries,
            limit,
            skew,
            message_delay: 1,
            entry_restart_interval: 0,
            leader_restart_interval: 0,
            link_break_interval: 0,
        };
        cases.push(none);
        cases.push(LimitFaults {
            message_delay: 40,
            ..none
        });
        cases.push(LimitFaults {
            entry_restart_interval: 300,
            ..none
        });
        cases.push(LimitFaults {
            leader_restart_interval: 400,
            ..none
        });
        cases.push(LimitFaults {
            link_break_interval: 100,
            ..none
        });
        cases.push(LimitFaults {
            message_delay: 20,
            entry_restart_interval: 600,
            leader_restart_interval: 900,
            link_break_interval: 300,
            ..none
        });
    }
    cases
}

#[test]
fn a_limit_is_kept_under_every_fault_and_its_end_is_noticed() {
    for faults in (0..20).flat_map(each_fault) {
        let report = run_rate_limits(faults, None);
        let violations = violations(faults, report);
        assert!(violations.is_empty(), "{faults:?}: {violations:?}");
    }
}

#[test]
fn a_limit_is_used_without_faults() {
    for seed in 0..20 {
        let faults = LimitFaults {
            seed,
            entries: 4,
            limit: 3.0,
            skew: 2.5,
            message_delay: 1,
            entry_restart_interval: 0,
            leader_restart_interval: 0,
            link_break_interval: 0,
        };
        let used = run_rate_limits(faults, None).while_limited as f64;
        let least = MIN_USED * faults.limit * LIMITED_SECONDS;
        assert!(used >= least, "seed {seed}: {used} of {least}");
    }
}

#[test]
fn each_mutation_is_detected() {
    for mutation in [
        LimitMutation::IgnoresLimit,
        LimitMutation::UsesWholeLimit,
        LimitMutation::NeverEnds,
    ] {
        let found = (0..5).flat_map(each_fault).any(|faults| {
            let report = run_rate_limits(faults, Some(mutation));
            !violations(faults, report).is_empty()
        });
        assert!(found, "{mutation:?} was not detected");
    }
}
