//! The scenarios of requests: callers, entries, agents, endpoints and the store.
//!
//! Two entries run the production code of the router, of calls and of a ledger
//! shard; two agents run the production code of the admission gate. Callers,
//! endpoints, links and the store are simulated.

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
use crate::request_path::simulation::CallerRequest;
use crate::request_path::simulation::Simulation;

/// Time from the arrival of a request to its deadline.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of events of a streamed response.
pub(crate) const STREAM_EVENTS: u64 = 6;
/// Time at which the probes are sent, which is after every fault has ended.
pub(crate) const PROBE_AT: Duration = Duration::from_secs(45);
/// Time within which the probes must get their responses.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_secs(5);
/// Simulated duration of a run.
pub(crate) const RUN_DURATION: Duration = Duration::from_secs(75);

/// Runs a scenario of requests with faults and checks its invariants.
pub(crate) fn run(scenario: Scenario, faults: &[Fault], mutation: Option<Mutation>) -> RunReport {
    let mut sim = Simulation::new(faults, mutation);
    let ms = Duration::from_millis;
    match scenario {
        Scenario::Booking => sim.send(ms(0), 0, CallerRequest::booking("a")),
        Scenario::RetriedBooking => {
            sim.send(ms(0), 0, CallerRequest::booking("a"));
            sim.send(ms(20), 1, CallerRequest::booking("a"));
            sim.send(ms(4_000), 1, CallerRequest::booking("a"));
        }
        Scenario::Chat => {
            sim.send(ms(0), 0, CallerRequest::chat());
            sim.send(ms(5), 1, CallerRequest::chat());
        }
        Scenario::RunnerLeaves => {
            sim.send(ms(0), 0, CallerRequest::chat());
            sim.send(ms(5), 1, CallerRequest::booking("a"));
            sim.leave(ms(15), 0);
            for index in 0..6 {
                sim.send(
                    ms(100 + 900 * index),
                    (index % 2) as usize,
                    CallerRequest::chat(),
                );
            }
        }
        Scenario::EntryShutsDown => {
            sim.send(ms(0), 0, CallerRequest::chat());
            sim.send(ms(0), 0, CallerRequest::booking("a"));
            sim.shut_down(ms(15), 0);
            sim.send(ms(60), 1, CallerRequest::chat());
        }
        Scenario::ShardTakeover => {
            sim.send(ms(0), 0, CallerRequest::booking("a"));
            sim.kill_owner(ms(40));
            sim.send(ms(60), 1, CallerRequest::booking("a"));
            sim.send(ms(1_500), 1, CallerRequest::booking("b"));
        }
        Scenario::MapSwitch | Scenario::Ticket => {}
    }
    sim.probe(PROBE_AT);
    sim.run();
    check::report(&sim, scenario, faults)
}
