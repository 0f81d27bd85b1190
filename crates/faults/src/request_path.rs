//! Requests: callers, two entries with their routers, calls and a ledger
//! shard, two agents with their gates, endpoints, and the store.

mod agents;
mod check;
mod entries;
mod events;
mod inject;
mod ledgers;
mod simulation;
mod store;

use std::time::Duration;

use crate::fault::Fault;
use crate::fault::Mutation;
use crate::matrix::RunReport;
use crate::matrix::Scenario;
use crate::request_path::simulation::Ask;
use crate::request_path::simulation::Simulation;

/// Deadline of every request.
pub(crate) const DEADLINE: Duration = Duration::from_secs(10);
/// Events of a streamed answer.
pub(crate) const STREAM_EVENTS: u64 = 6;
/// When the probes are sent: after every fault has ended.
pub(crate) const PROBE_AT: Duration = Duration::from_secs(45);
/// Within this time the probes must be answered.
pub(crate) const GOES_ON_WITHIN: Duration = Duration::from_secs(5);
/// End of a run.
pub(crate) const END: Duration = Duration::from_secs(75);

/// Runs one case.
pub(crate) fn run(scenario: Scenario, faults: &[Fault], mutation: Option<Mutation>) -> RunReport {
    let mut sim = Simulation::new(faults, mutation);
    let ms = Duration::from_millis;
    match scenario {
        Scenario::Booking => sim.send(ms(0), 0, Ask::booking("a")),
        Scenario::RetriedBooking => {
            sim.send(ms(0), 0, Ask::booking("a"));
            sim.send(ms(20), 1, Ask::booking("a"));
            sim.send(ms(4_000), 1, Ask::booking("a"));
        }
        Scenario::Chat => {
            sim.send(ms(0), 0, Ask::chat());
            sim.send(ms(5), 1, Ask::chat());
        }
        Scenario::RunnerLeaves => {
            sim.send(ms(0), 0, Ask::chat());
            sim.send(ms(5), 1, Ask::booking("a"));
            sim.leave(ms(15), 0);
            for index in 0..6 {
                sim.send(ms(100 + 900 * index), (index % 2) as usize, Ask::chat());
            }
        }
        Scenario::EntryShutsDown => {
            sim.send(ms(0), 0, Ask::chat());
            sim.send(ms(0), 0, Ask::booking("a"));
            sim.shut_down(ms(15), 0);
            sim.send(ms(60), 1, Ask::chat());
        }
        Scenario::ShardTakeover => {
            sim.send(ms(0), 0, Ask::booking("a"));
            sim.kill_owner(ms(40));
            sim.send(ms(60), 1, Ask::booking("a"));
            sim.send(ms(1_500), 1, Ask::booking("b"));
        }
        Scenario::MapSwitch | Scenario::Ticket => {}
    }
    sim.probe(PROBE_AT);
    sim.run();
    check::report(&sim, scenario, faults)
}
