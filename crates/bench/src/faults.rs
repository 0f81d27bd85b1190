//! Runs the fault matrix with more cases than its tests do.
//!
//! Every scenario runs with each single fault and with random pairs of faults; the
//! booking scenario also runs with every possible pair.

use std::time::Instant;

use wisteriawick_faults::Scenario;
use wisteriawick_faults::run_all_pairs;
use wisteriawick_faults::run_random_pairs;
use wisteriawick_faults::run_single_faults;

use crate::report::Report;
use crate::report::Target;

pub(crate) fn run(seed: u64, cases: usize, report: &mut Report) {
    let start = Instant::now();
    let singles = run_single_faults(&Scenario::ALL, None);
    let pairs = run_random_pairs(&Scenario::ALL, seed, cases);
    report.add(
        "runs with one fault or none",
        singles.runs as f64,
        "runs",
        Target::None,
    );
    report.add(
        "runs with two faults",
        pairs.runs as f64,
        "runs",
        Target::None,
    );
    let all = run_all_pairs(Scenario::Booking);
    report.add(
        "runs with every pair of faults in a booking",
        all.runs as f64,
        "runs",
        Target::None,
    );
    let failures = singles.failures.len() + pairs.failures.len() + all.failures.len();
    report.add("promises broken", failures as f64, "", Target::AtMost(0.0));
    report.add("time", start.elapsed().as_secs_f64(), "s", Target::None);
    report.note(format!("\nOne fault; cases / failures:\n\n{singles}"));
    report.note(format!(
        "Two faults, seed {seed}; cases / failures:\n\n{pairs}"
    ));
    for (scenario, faults, violation) in singles
        .failures
        .iter()
        .chain(&pairs.failures)
        .chain(&all.failures)
        .take(20)
    {
        report.note(format!("{scenario:?} {faults:?}: {violation:?}"));
    }
}
