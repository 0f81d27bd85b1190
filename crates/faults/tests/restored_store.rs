//! What was in force stays in force when the store returns from an older copy, taken and
//! restored at any moment; each mutation is detected.

use wisteriawick_faults::RestoreFaults;
use wisteriawick_faults::RestoreMutation;
use wisteriawick_faults::RestoreReport;
use wisteriawick_faults::run_restored_store;

/// Steps at which the copy is taken.
const LAST_COPY: u64 = 260;
const COPY_AGES: [u64; 4] = [1, 20, 60, 110];
const OUTAGES: [u64; 3] = [1, 12, 60];

/// Returns a run for each moment, age and length, with one restore or two, and answers
/// that are late or not.
fn all_faults(seed: u64) -> impl Iterator<Item = RestoreFaults> {
    let moments = (5..LAST_COPY).step_by(5);
    moments.flat_map(move |copied_at| {
        let lengths = COPY_AGES.map(|age| OUTAGES.map(|outage| (age, outage)));
        lengths
            .into_iter()
            .flatten()
            .flat_map(move |(age, outage)| {
                [(1, 0.0), (1, 0.2), (2, 0.0), (2, 0.2)].map(move |(restores, late)| {
                    RestoreFaults {
                        seed: seed + copied_at,
                        copied_at,
                        copy_age: age,
                        outage,
                        restores,
                        answer_delay: 3,
                        late_answers: late,
                    }
                })
            })
    })
}

#[test]
fn nothing_is_violated_by_any_restore() {
    for seed in 0..2 {
        for faults in all_faults(seed * 1_000) {
            let report = run_restored_store(faults, None);
            assert!(report.passed(), "{faults:?}: {report:?}");
        }
    }
}

/// Returns the sum of what runs with a mutation violated.
fn violations(mutation: RestoreMutation) -> RestoreReport {
    let mut sum = RestoreReport::default();
    for faults in all_faults(0) {
        let report = run_restored_store(faults, Some(mutation));
        sum.declarations_back += report.declarations_back;
        sum.leaving_runners_used += report.leaving_runners_used;
        sum.entries_without_runner += report.entries_without_runner;
        sum.declarations_missing += report.declarations_missing;
        sum.wrong_runners += report.wrong_runners;
    }
    sum
}

#[test]
fn an_entry_that_ignores_eras_is_found() {
    let report = violations(RestoreMutation::IgnoresEra);
    assert!(report.leaving_runners_used > 0, "{report:?}");
}

#[test]
fn an_entry_that_takes_any_declaration_is_found() {
    let report = violations(RestoreMutation::TakesAnyDeclaration);
    assert!(report.declarations_back > 0, "{report:?}");
}

#[test]
fn an_entry_that_believes_answers_to_calls_it_gave_up_is_found() {
    let report = violations(RestoreMutation::BelievesLateAnswers);
    assert!(report.leaving_runners_used > 0, "{report:?}");
}
