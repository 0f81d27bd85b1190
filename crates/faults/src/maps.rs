//! Expert maps: three runners with their switches and engines, a leader, and
//! the store with the group's object.

mod engine;
mod world;

use std::time::Duration;

use crate::fault::Fault;
use crate::fault::Mutation;
use crate::maps::world::World;
use crate::matrix::Invariant;
use crate::matrix::RunReport;
use crate::matrix::Violation;

/// When the last map is proposed: after every fault has ended.
const PROBE_AT: Duration = Duration::from_secs(32);
/// Number of that map.
const PROBE_MAP: u64 = 1_000;
/// End of a run.
const END: Duration = Duration::from_secs(42);

/// Runs one case, with engines that check fencing numbers and that do not.
pub(crate) fn run(faults: &[Fault], mutation: Option<Mutation>) -> RunReport {
    let mut report = run_with(faults, mutation, false);
    let checked = run_with(faults, mutation, true);
    report.violations.extend(checked.violations);
    report
}

fn run_with(faults: &[Fault], mutation: Option<Mutation>, checks_fencing: bool) -> RunReport {
    let mut world = World::new(faults, mutation, checks_fencing);
    world.propose(Duration::from_millis(100), 0, 1);
    world.propose(Duration::from_millis(1_500), 1, 2);
    world.propose(PROBE_AT, 2, PROBE_MAP);
    world.run(END);
    let mut report = RunReport {
        steps: world.injector.steps.clone(),
        checked: vec![Invariant::OneMapPerStep, Invariant::Recovery],
        ..RunReport::default()
    };
    let mixed = world.mixed_steps();
    report
        .violations
        .extend(mixed.into_iter().map(|observed| Violation {
            invariant: Invariant::OneMapPerStep,
            observed,
        }));
    if !world.runs_map(PROBE_MAP) || world.is_leader_stuck() {
        report.violations.push(Violation {
            invariant: Invariant::Recovery,
            observed: world.describe(),
        });
    }
    report
}
