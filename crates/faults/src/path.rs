//! Requests: callers, two entries with their routers, calls and a ledger
//! shard, two agents with their gates, endpoints, and the store.

mod agents;
mod check;
mod entries;
mod events;
mod ledgers;
mod store;
mod strike;
mod world;

use std::time::Duration;

use crate::fault::Fault;
use crate::fault::Sabotage;
use crate::matrix::RunReport;
use crate::matrix::Scenario;
use crate::path::world::Ask;
use crate::path::world::World;

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
pub(crate) fn run(scenario: Scenario, faults: &[Fault], sabotage: Option<Sabotage>) -> RunReport {
    let mut world = World::new(faults, sabotage);
    let ms = Duration::from_millis;
    match scenario {
        Scenario::Booking => world.send(ms(0), 0, Ask::booking("a")),
        Scenario::ResentBooking => {
            world.send(ms(0), 0, Ask::booking("a"));
            world.send(ms(20), 1, Ask::booking("a"));
            world.send(ms(4_000), 1, Ask::booking("a"));
        }
        Scenario::Chat => {
            world.send(ms(0), 0, Ask::chat());
            world.send(ms(5), 1, Ask::chat());
        }
        Scenario::RunnerLeaves => {
            world.send(ms(0), 0, Ask::chat());
            world.send(ms(5), 1, Ask::booking("a"));
            world.leave(ms(15), 0);
            for index in 0..6 {
                world.send(ms(100 + 900 * index), (index % 2) as usize, Ask::chat());
            }
        }
        Scenario::EntryShutsDown => {
            world.send(ms(0), 0, Ask::chat());
            world.send(ms(0), 0, Ask::booking("a"));
            world.shut_down(ms(15), 0);
            world.send(ms(60), 1, Ask::chat());
        }
        Scenario::TakeOver => {
            world.send(ms(0), 0, Ask::booking("a"));
            world.kill_owner(ms(40));
            world.send(ms(60), 1, Ask::booking("a"));
            world.send(ms(1_500), 1, Ask::booking("b"));
        }
        Scenario::MapSwitch | Scenario::Ticket => {}
    }
    world.probe(PROBE_AT);
    world.run();
    check::report(&world, scenario, faults)
}
