//! The scenario of a switch of the expert map that the runners vote on.
//!
//! Three runners run the production code of
//! [`VotingSwitch`](wisteriawick_core::maps::VotingSwitch) and
//! [`Leader`](wisteriawick_core::maps::Leader). Their engines, the messages between
//! them, and the store with the group's object are simulated.

mod engine;
mod simulation;

use std::time::Duration;

use crate::fault::Fault;
use crate::fault::Mutation;
use crate::maps::simulation::Simulation;
use crate::matrix::Invariant;
use crate::matrix::RunReport;
use crate::matrix::Violation;

/// Time at which the last map is proposed, which is after every fault has ended.
const PROBE_AT: Duration = Duration::from_secs(32);
/// Number of that map.
const PROBE_MAP: u64 = 1_000;
/// Simulated duration of a run; all engines must run the last map by then.
const RUN_DURATION: Duration = Duration::from_secs(42);

/// Runs the scenario twice, with engines that check fencing numbers and with
/// engines that do not.
pub(crate) fn run(faults: &[Fault], mutation: Option<Mutation>) -> RunReport {
    let mut report = run_with_engines(faults, mutation, false);
    let checked = run_with_engines(faults, mutation, true);
    report.violations.extend(checked.violations);
    report
}

fn run_with_engines(
    faults: &[Fault],
    mutation: Option<Mutation>,
    checks_fencing: bool,
) -> RunReport {
    let mut sim = Simulation::new(faults, mutation, checks_fencing);
    sim.propose(Duration::from_millis(100), 0, 1);
    sim.propose(Duration::from_millis(1_500), 1, 2);
    sim.propose(PROBE_AT, 2, PROBE_MAP);
    sim.run(RUN_DURATION);
    let mut report = RunReport {
        steps: sim.injector.steps.clone(),
        checked: vec![Invariant::OneMapPerStep, Invariant::Recovery],
        ..RunReport::default()
    };
    let mixed = sim.mixed_steps();
    report
        .violations
        .extend(mixed.into_iter().map(|observed| Violation {
            invariant: Invariant::OneMapPerStep,
            observed,
        }));
    if !sim.all_run_map(PROBE_MAP) || sim.is_any_leader_busy() {
        report.violations.push(Violation {
            invariant: Invariant::Recovery,
            observed: sim.describe(),
        });
    }
    report
}
