//! The scenario of tickets that are accepted and propagate to all processes.
//!
//! Two operators submit tickets to the store, which holds the head. Entries watch the
//! store and push new heads to each other and to the agents. The production code
//! that runs is [`TicketSubmitter`](wisteriawick_core::ticket::TicketSubmitter) and
//! [`ConfigState`](wisteriawick_core::ticket::ConfigState); the store, the watches
//! and the messages are simulated.

mod simulation;

use std::time::Duration;

use crate::fault::Fault;
use crate::fault::Mutation;
use crate::matrix::Invariant;
use crate::matrix::RunReport;
use crate::matrix::Violation;
use crate::tickets::simulation::Simulation;

/// Time at which the last ticket is submitted, which is after every fault has ended.
const PROBE_AT: Duration = Duration::from_secs(32);
/// Simulated duration of a run; the last ticket must be in force by then.
const RUN_DURATION: Duration = Duration::from_secs(42);

/// Runs the scenario with faults and checks its invariants.
pub(crate) fn run(faults: &[Fault], mutation: Option<Mutation>) -> RunReport {
    let mut sim = Simulation::new(faults, mutation);
    let ms = Duration::from_millis;
    sim.submit(ms(0), 0, 1..=2);
    sim.submit(ms(3), 1, 1..=2);
    sim.submit(ms(1_500), 0, 3..=3);
    sim.submit_next(PROBE_AT);
    sim.run(RUN_DURATION);
    let mut report = RunReport {
        steps: sim.injector.steps.clone(),
        checked: vec![Invariant::TicketsInForce, Invariant::Recovery],
        ..RunReport::default()
    };
    let observed = sim.violations.iter().cloned();
    report.violations.extend(observed.map(|observed| Violation {
        invariant: Invariant::TicketsInForce,
        observed,
    }));
    if let Some(observed) = sim.recovery_failure() {
        report.violations.push(Violation {
            invariant: Invariant::Recovery,
            observed,
        });
    }
    report
}
