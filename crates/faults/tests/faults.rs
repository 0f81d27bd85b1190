//! Every fault at every step, pairs of faults, and proof that checks can fail.

use wisteriawick_faults::Fault;
use wisteriawick_faults::FaultKind;
use wisteriawick_faults::Invariant;
use wisteriawick_faults::Matrix;
use wisteriawick_faults::Mutation;
use wisteriawick_faults::Scenario;
use wisteriawick_faults::run_case;
use wisteriawick_faults::run_random_pairs;
use wisteriawick_faults::run_single_faults;

/// Seed of the pairs that CI draws.
const SEED: u64 = 1;
/// Schedules of three faults that CI draws.
const SCHEDULES: usize = 1_500;
/// Pairs that CI draws for each scenario.
const PAIRS: usize = 400;

fn assert_clean(matrix: &Matrix) {
    let shown: Vec<_> = matrix.failures.iter().take(8).collect();
    let count = matrix.failures.len();
    assert!(count == 0, "{count} failures, the first: {shown:#?}");
}

#[test]
fn every_fault_at_every_step_keeps_every_promise() {
    let matrix = run_single_faults(&Scenario::ALL, None);
    for invariant in Invariant::ALL {
        assert!(
            matrix.cases(invariant) > 0,
            "{} is not tested",
            invariant.name()
        );
    }
    assert_clean(&matrix);
}

#[test]
fn pairs_of_faults_keep_every_promise() {
    assert_clean(&run_random_pairs(&Scenario::ALL, SEED, PAIRS));
}

/// Draws schedules of three faults.
#[test]
fn drawn_schedules_keep_every_promise() {
    bolero::check!()
        .with_iterations(SCHEDULES)
        .with_test_time(std::time::Duration::MAX)
        .with_type::<(u8, [(u8, u8); 3])>()
        .for_each(|(scenario, drawn)| {
            let scenario = Scenario::ALL[usize::from(*scenario) % Scenario::ALL.len()];
            let faults = drawn.map(|(kind, step)| Fault {
                kind: FaultKind::ALL[usize::from(kind) % FaultKind::ALL.len()],
                at_step: usize::from(step),
            });
            let broken = run_case(scenario, &faults, None);
            assert!(broken.is_empty(), "{scenario:?} {faults:?}: {broken:?}");
        });
}

#[test]
fn the_same_seed_gives_the_same_verdict() {
    let table = || run_random_pairs(&[Scenario::ShardTakeover], SEED, 30).to_string();
    assert_eq!(table(), table());
}

/// Breaks a core on purpose and expects the matrix to catch it.
fn assert_caught(mutation: Mutation, scenarios: &[Scenario], invariant: Invariant) {
    let matrix = run_single_faults(scenarios, Some(mutation));
    let caught = matrix
        .failures
        .iter()
        .any(|(.., v)| v.invariant == invariant);
    assert!(
        caught,
        "{mutation:?} does not break \"{}\"",
        invariant.name()
    );
}

#[test]
fn sending_before_the_claim_is_durable_is_caught() {
    let scenarios = [Scenario::RetriedBooking];
    assert_caught(Mutation::SendBeforeClaim, &scenarios, Invariant::AtMostOnce);
}

#[test]
fn forgetting_attempts_is_caught() {
    let scenarios = [Scenario::Booking, Scenario::RetriedBooking];
    assert_caught(Mutation::ForgetAttempts, &scenarios, Invariant::AtMostOnce);
}

#[test]
fn an_unproved_not_run_is_caught() {
    let scenarios = [Scenario::Booking, Scenario::RetriedBooking];
    assert_caught(Mutation::AssumeNotRun, &scenarios, Invariant::NotRun);
}

#[test]
fn trusting_a_lease_is_caught() {
    let scenarios = [Scenario::RetriedBooking, Scenario::ShardTakeover];
    assert_caught(
        Mutation::IgnoreWriteConflict,
        &scenarios,
        Invariant::AtMostOnce,
    );
}

#[test]
fn relaying_strays_is_caught() {
    let scenarios = [Scenario::Chat];
    assert_caught(
        Mutation::RelayStaleFrames,
        &scenarios,
        Invariant::CompleteResponse,
    );
}

#[test]
fn ignoring_a_leaving_runner_is_caught() {
    let scenarios = [Scenario::RunnerLeaves];
    assert_caught(
        Mutation::IgnoreLeaving,
        &scenarios,
        Invariant::NoNewWorkWhenLeaving,
    );
}

#[test]
fn dropping_work_on_shutdown_is_caught() {
    let scenarios = [Scenario::EntryShutsDown];
    assert_caught(
        Mutation::DropOnShutdown,
        &scenarios,
        Invariant::GracefulShutdown,
    );
}

#[test]
fn going_on_in_doubt_is_caught() {
    let scenarios = [Scenario::MapSwitch];
    assert_caught(
        Mutation::GoWithoutDecision,
        &scenarios,
        Invariant::OneMapPerStep,
    );
}

#[test]
fn taking_any_head_is_caught() {
    let scenarios = [Scenario::Ticket];
    assert_caught(
        Mutation::AcceptAnyHead,
        &scenarios,
        Invariant::TicketsInForce,
    );
}

#[test]
fn never_noticing_a_dead_link_is_caught() {
    let scenarios = [Scenario::Chat];
    assert_caught(
        Mutation::NeverDetectLostLinks,
        &scenarios,
        Invariant::Recovery,
    );
}
