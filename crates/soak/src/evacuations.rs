//! Evacuations of a data centre while entries or the store fail.
//!
//! The check counts the requests that reach its runner once the bound is over. Without
//! leaders an entry learns of an evacuation only from the store, so the time of the fault
//! counts before the bound.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriawick_platform_standin::RegisteredState;

use crate::Soak;
use crate::faults::freeze;
use crate::faults::kill;
use crate::fixture::Fixture;
use crate::proxy::Mode;

/// Time within which an evacuation must be in force.
pub(crate) const BOUND: Duration = Duration::from_secs(4);
/// Time for which requests are counted after that.
const COUNT_TIME: Duration = Duration::from_millis(700);
/// Time between the end of an evacuation and the next one.
const PAUSE: Duration = Duration::from_millis(500);
/// The data centre, and the index of its only runner.
const PLACE: &str = "away";
const RUNNER: usize = 0;

/// What fails as the operator asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    EntryKilled,
    EntryFrozen,
    EntryStoreStalled,
    StoreSilent,
    StoreRefuses,
    StoreLosesHistory,
}

/// Asks for evacuations and takes them back for the duration of the run.
pub(crate) async fn inject_all(fixture: &Arc<Fixture>, soak: &Soak) {
    let mut rng = SmallRng::seed_from_u64(soak.seed);
    let deadline = Instant::now() + soak.duration;
    fixture.endpoints[RUNNER].runner.set_place(PLACE);
    fixture.register(RUNNER, RegisteredState::Ready);
    while Instant::now() < deadline {
        let failure = match rng.random_range(0..6) {
            0 => Failure::EntryKilled,
            1 => Failure::EntryFrozen,
            2 => Failure::EntryStoreStalled,
            3 => Failure::StoreSilent,
            4 => Failure::StoreRefuses,
            _ => Failure::StoreLosesHistory,
        };
        let outage = Duration::from_millis(rng.random_range(100..900));
        let entry = rng.random_range(0..soak.entries - 1);
        let text = format!("evacuation beside {failure:?}, entry {entry}, {outage:?}");
        fixture.report.record_fault(&text);
        fixture.store.evacuate(PLACE);
        fail(fixture, failure, entry, outage).await;
        tokio::time::sleep(BOUND).await;
        check_nothing_arrives(fixture, failure).await;
        fixture.store.take_evacuation_back(PLACE);
        tokio::time::sleep(PAUSE).await;
    }
}

async fn check_nothing_arrives(fixture: &Fixture, failure: Failure) {
    let from = Instant::now();
    tokio::time::sleep(COUNT_TIME).await;
    let runner = &fixture.endpoints[RUNNER].runner;
    let arrived = runner.arrivals_between(from, Instant::now());
    if arrived > 0 {
        let text = format!("{arrived} requests in an evacuated data centre, beside {failure:?}");
        fixture.report.record_violation(text);
    }
}

async fn fail(fixture: &Fixture, failure: Failure, entry: usize, outage: Duration) {
    let store = &fixture.store;
    match failure {
        Failure::EntryKilled => kill(fixture, entry, outage).await,
        Failure::EntryFrozen => freeze(fixture, entry, outage).await,
        Failure::EntryStoreStalled => {
            let proxy = &fixture.entries[entry].store_proxy;
            proxy.set_mode(Mode::Stall);
            tokio::time::sleep(outage).await;
            proxy.set_mode(Mode::Forward);
        }
        Failure::StoreSilent => {
            store.set_faults(|faults| faults.silent = true);
            tokio::time::sleep(outage).await;
            store.set_faults(|faults| faults.silent = false);
        }
        Failure::StoreRefuses => {
            store.set_faults(|faults| faults.error_status = Some(503));
            tokio::time::sleep(outage).await;
            store.set_faults(|faults| faults.error_status = None);
        }
        Failure::StoreLosesHistory => store.forget_history(),
    }
}
