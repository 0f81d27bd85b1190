//! Tickets: two desks, the store with the head, entries that watch it, and
//! agents that hear of it from entries.

mod world;

use std::time::Duration;

use crate::fault::Fault;
use crate::fault::Mutation;
use crate::matrix::Invariant;
use crate::matrix::RunReport;
use crate::matrix::Violation;
use crate::tickets::world::World;

/// When the last ticket is applied: after every fault has ended.
const PROBE_AT: Duration = Duration::from_secs(32);
/// End of a run; the last ticket must be in force by then.
const END: Duration = Duration::from_secs(42);

/// Runs one case.
pub(crate) fn run(faults: &[Fault], mutation: Option<Mutation>) -> RunReport {
    let mut world = World::new(faults, mutation);
    let ms = Duration::from_millis;
    world.apply(ms(0), 0, 1..=2);
    world.apply(ms(3), 1, 1..=2);
    world.apply(ms(1_500), 0, 3..=3);
    world.apply_next(PROBE_AT);
    world.run(END);
    let mut report = RunReport {
        steps: world.injector.steps.clone(),
        checked: vec![Invariant::TicketsInForce, Invariant::Recovery],
        ..RunReport::default()
    };
    let observed = world.violations.iter().cloned();
    report.violations.extend(observed.map(|observed| Violation {
        invariant: Invariant::TicketsInForce,
        observed,
    }));
    if let Some(observed) = world.behind() {
        report.violations.push(Violation {
            invariant: Invariant::Recovery,
            observed,
        });
    }
    report
}
