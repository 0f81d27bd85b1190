//! Runs the fault matrix: single faults, random pairs and random triples keep all
//! invariants, and each mutation of the protocol is detected.

use std::io::Write;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriawick_faults::Fault;
use wisteriawick_faults::FaultKind;
use wisteriawick_faults::Invariant;
use wisteriawick_faults::Matrix;
use wisteriawick_faults::Mutation;
use wisteriawick_faults::Scenario;
use wisteriawick_faults::run_case;
use wisteriawick_faults::run_random_pairs;
use wisteriawick_faults::run_single_faults;

/// Seed of the random pairs of faults.
const SEED: u64 = 1;
/// Seed of the random schedules unless [`SEED_VARIABLE`] has another.
const SCHEDULE_SEED: u64 = 4711;
/// Environment variable with the seed of the random schedules; `fresh` draws one.
const SEED_VARIABLE: &str = "WISTERIAWICK_SCHEDULE_SEED";
/// Number of random schedules of three faults.
const RANDOM_SCHEDULES: usize = 1_500;
/// Number of random pairs of faults for each scenario.
const RANDOM_PAIRS: usize = 400;

fn assert_no_violations(matrix: &Matrix) {
    let first: Vec<_> = matrix.failures.iter().take(8).collect();
    let count = matrix.failures.len();
    assert!(count == 0, "{count} violations, the first: {first:#?}");
}

#[test]
fn every_fault_at_every_step_keeps_all_invariants() {
    let matrix = run_single_faults(&Scenario::ALL, None);
    for invariant in Invariant::ALL {
        assert!(
            matrix.cases(invariant) > 0,
            "no run checked \"{}\"",
            invariant.name()
        );
    }
    assert_no_violations(&matrix);
}

#[test]
fn random_pairs_of_faults_keep_all_invariants() {
    assert_no_violations(&run_random_pairs(&Scenario::ALL, SEED, RANDOM_PAIRS));
}

/// A scenario and the three faults injected into it.
#[derive(Clone, Debug, PartialEq)]
struct Schedule {
    scenario: Scenario,
    faults: [Fault; 3],
}

impl Schedule {
    fn draw(rng: &mut SmallRng) -> Self {
        let (scenario, faults): (u8, [(u8, u8); 3]) = rng.random();
        Self {
            scenario: Scenario::ALL[usize::from(scenario) % Scenario::ALL.len()],
            faults: faults.map(|(kind, step)| Fault {
                kind: FaultKind::ALL[usize::from(kind) % FaultKind::ALL.len()],
                at_step: usize::from(step),
            }),
        }
    }
}

/// Draws all random schedules from one seed.
fn random_schedules(seed: u64) -> Vec<Schedule> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let schedules = (0..RANDOM_SCHEDULES).map(|_| Schedule::draw(&mut rng));
    schedules.collect()
}

/// Returns the seed from [`SEED_VARIABLE`], or else the one that CI uses.
fn schedule_seed() -> u64 {
    match std::env::var(SEED_VARIABLE) {
        Ok(text) if text == "fresh" => rand::random(),
        Ok(text) => text.parse().expect("the seed is a number or \"fresh\""),
        Err(_) => SCHEDULE_SEED,
    }
}

fn assert_schedule_keeps_all_invariants(schedule: &Schedule) {
    let violations = run_case(schedule.scenario, &schedule.faults, None);
    assert!(violations.is_empty(), "{schedule:?}: {violations:?}");
}

/// Random schedules of three faults keep all invariants.
#[test]
fn random_schedules_keep_all_invariants() {
    let seed = schedule_seed();
    // The test harness captures what the print macros write.
    let line = format!("{RANDOM_SCHEDULES} schedules of {SEED_VARIABLE}={seed}\n");
    std::io::stderr().write_all(line.as_bytes()).expect("open");
    for schedule in random_schedules(seed) {
        assert_schedule_keeps_all_invariants(&schedule);
    }
}

/// Schedules that once failed.
///
/// A link went silent at a message of the link before it, and the silence of the new
/// link was never noticed.
const FAILED_SCHEDULES: [(Scenario, [(FaultKind, usize); 3]); 12] = [
    (
        Scenario::RunnerLeaves,
        [
            (FaultKind::SilentOneWay, 171),
            (FaultKind::Paused, 36),
            (FaultKind::Lost, 0),
        ],
    ),
    (
        Scenario::RunnerLeaves,
        [
            (FaultKind::SilentOneWay, 206),
            (FaultKind::Paused, 36),
            (FaultKind::Lost, 0),
        ],
    ),
    (
        Scenario::EntryShutsDown,
        [
            (FaultKind::StoreSlow, 0),
            (FaultKind::SilentOneWay, 149),
            (FaultKind::Paused, 22),
        ],
    ),
    (
        Scenario::RunnerLeaves,
        [
            (FaultKind::Delayed, 2),
            (FaultKind::SilentOneWay, 156),
            (FaultKind::Lost, 0),
        ],
    ),
    (
        Scenario::RunnerLeaves,
        [
            (FaultKind::SilentBothWays, 199),
            (FaultKind::Paused, 79),
            (FaultKind::Delayed, 215),
        ],
    ),
    (
        Scenario::RunnerLeaves,
        [
            (FaultKind::SilentOneWay, 164),
            (FaultKind::Paused, 60),
            (FaultKind::ResponseLost, 174),
        ],
    ),
    (
        Scenario::RunnerLeaves,
        [
            (FaultKind::Paused, 60),
            (FaultKind::SilentBothWays, 172),
            (FaultKind::Reordered, 116),
        ],
    ),
    (
        Scenario::RunnerLeaves,
        [
            (FaultKind::Delayed, 136),
            (FaultKind::Killed, 5),
            (FaultKind::SilentBothWays, 194),
        ],
    ),
    (
        Scenario::RunnerLeaves,
        [
            (FaultKind::SilentOneWay, 176),
            (FaultKind::Paused, 79),
            (FaultKind::SilentBothWays, 175),
        ],
    ),
    (
        Scenario::Chat,
        [
            (FaultKind::Delayed, 8),
            (FaultKind::SilentOneWay, 44),
            (FaultKind::ResponseLost, 56),
        ],
    ),
    (
        Scenario::RetriedBooking,
        [
            (FaultKind::Delayed, 16),
            (FaultKind::SilentBothWays, 37),
            (FaultKind::Reordered, 115),
        ],
    ),
    (
        Scenario::Chat,
        [
            (FaultKind::Delayed, 8),
            (FaultKind::OperatorRace, 73),
            (FaultKind::SilentBothWays, 45),
        ],
    ),
];

#[test]
fn schedules_that_once_failed_keep_all_invariants() {
    for (scenario, faults) in FAILED_SCHEDULES {
        let faults = faults.map(|(kind, at_step)| Fault { kind, at_step });
        assert_schedule_keeps_all_invariants(&Schedule { scenario, faults });
    }
}

#[test]
fn same_seed_gives_the_same_schedules() {
    assert_eq!(random_schedules(1), random_schedules(1));
    assert_ne!(random_schedules(1), random_schedules(2));
}

#[test]
fn same_seed_gives_the_same_matrix() {
    let table = || run_random_pairs(&[Scenario::ShardTakeover], SEED, 30).to_string();
    assert_eq!(table(), table());
}

/// Asserts that some run with the mutation and at most one fault violates the
/// invariant.
fn assert_detected(mutation: Mutation, scenarios: &[Scenario], invariant: Invariant) {
    let matrix = run_single_faults(scenarios, Some(mutation));
    let detected = matrix
        .failures
        .iter()
        .any(|(.., v)| v.invariant == invariant);
    assert!(
        detected,
        "{mutation:?} does not violate \"{}\"",
        invariant.name()
    );
}

#[test]
fn sending_before_the_claim_is_durable_is_detected() {
    let scenarios = [Scenario::RetriedBooking];
    assert_detected(Mutation::SendBeforeClaim, &scenarios, Invariant::AtMostOnce);
}

#[test]
fn agent_that_forgets_attempts_is_detected() {
    let scenarios = [Scenario::Booking, Scenario::RetriedBooking];
    assert_detected(Mutation::ForgetAttempts, &scenarios, Invariant::AtMostOnce);
}

#[test]
fn assuming_that_a_failed_call_did_not_run_is_detected() {
    let scenarios = [Scenario::Booking, Scenario::RetriedBooking];
    assert_detected(Mutation::AssumeNotRun, &scenarios, Invariant::NotRun);
}

#[test]
fn ignoring_a_write_conflict_is_detected() {
    let scenarios = [Scenario::RetriedBooking, Scenario::ShardTakeover];
    assert_detected(
        Mutation::IgnoreWriteConflict,
        &scenarios,
        Invariant::AtMostOnce,
    );
}

#[test]
fn relaying_stale_frames_is_detected() {
    let scenarios = [Scenario::Chat];
    assert_detected(
        Mutation::RelayStaleFrames,
        &scenarios,
        Invariant::CompleteResponse,
    );
}

#[test]
fn ignoring_that_a_runner_leaves_is_detected() {
    let scenarios = [Scenario::RunnerLeaves];
    assert_detected(
        Mutation::IgnoreLeaving,
        &scenarios,
        Invariant::NoNewWorkWhenLeaving,
    );
}

#[test]
fn dropping_requests_on_shutdown_is_detected() {
    let scenarios = [Scenario::EntryShutsDown];
    assert_detected(
        Mutation::DropOnShutdown,
        &scenarios,
        Invariant::GracefulShutdown,
    );
}

#[test]
fn ordering_go_without_a_decision_is_detected() {
    let scenarios = [Scenario::MapSwitch];
    assert_detected(
        Mutation::GoWithoutDecision,
        &scenarios,
        Invariant::OneMapPerStep,
    );
}

#[test]
fn accepting_any_head_is_detected() {
    let scenarios = [Scenario::Ticket];
    assert_detected(
        Mutation::AcceptAnyHead,
        &scenarios,
        Invariant::TicketsInForce,
    );
}

#[test]
fn never_detecting_a_lost_link_is_detected() {
    let scenarios = [Scenario::Chat];
    assert_detected(
        Mutation::NeverDetectLostLinks,
        &scenarios,
        Invariant::Recovery,
    );
}
