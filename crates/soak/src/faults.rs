//! Faults, drawn by a seed and played from outside.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use tokio::task::JoinSet;
use wisteriawick_platform_standin::RegisteredState;
use wisteriawick_platform_standin::RunnerBehavior;

use crate::Soak;
use crate::fixture::Fixture;
use crate::fixture::wait_ready;
use crate::proxy::Mode;

/// Time to the next readiness of an entry that started again.
const RESTART_TIMEOUT: Duration = Duration::from_secs(6);
/// Time within which an entry ends after a stop: its grace of 4 s, and a
/// little for a busy machine.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after a frozen entry goes on until callers may count on it.
const RESUME_SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time from telling callers to leave until the stop.
const STOP_DELAY: Duration = Duration::from_millis(50);
/// Entries and runners that are left alone, so that callers can be served.
const FAULT_FREE: usize = 1;

/// How runners misbehave.
const FAULTY_BEHAVIORS: [RunnerBehavior; 12] = [
    RunnerBehavior::Rejects,
    RunnerBehavior::LosesResponse,
    RunnerBehavior::NeverResponds,
    RunnerBehavior::TruncatesBody,
    RunnerBehavior::WrongRequestId,
    RunnerBehavior::SendsGarbage,
    RunnerBehavior::DuplicatesResponse,
    RunnerBehavior::FailsSigned,
    RunnerBehavior::Unsigned,
    RunnerBehavior::StopsMidEvent,
    RunnerBehavior::Slow(700),
    RunnerBehavior::Replaced,
];

#[derive(Clone, Copy, Debug)]
enum Fault {
    EntryKilled(usize),
    EntryFrozen(usize),
    EntryStopped(usize),
    EntryReceivesHup(usize),
    EntryDisconnectedFromStore(usize),
    EntryStalledFromStore(usize),
    StoreSilent,
    StoreRefuses,
    StoreSlow,
    StoreLosesHistory,
    RunnerMisbehaves(usize, RunnerBehavior),
    RunnerDisconnected(usize),
    RunnerStalled(usize),
    RunnerDelayed(usize),
    RunnerLeaves(usize),
    NewConfig,
}

#[derive(Clone, Copy, Debug)]
struct PlannedFault {
    fault: Fault,
    duration: Duration,
    /// Time until the next one is played.
    gap: Duration,
}

fn draw_fault(rng: &mut SmallRng, soak: &Soak) -> PlannedFault {
    let entry = rng.random_range(0..soak.entries - FAULT_FREE);
    let runner = rng.random_range(0..soak.runners - FAULT_FREE);
    let behavior = FAULTY_BEHAVIORS[rng.random_range(0..FAULTY_BEHAVIORS.len())];
    let fault = match rng.random_range(0..18) {
        0 => Fault::EntryKilled(entry),
        1 => Fault::EntryFrozen(entry),
        2 => Fault::EntryStopped(entry),
        3 => Fault::EntryReceivesHup(entry),
        4 => Fault::EntryDisconnectedFromStore(entry),
        5 => Fault::EntryStalledFromStore(entry),
        6 => Fault::StoreSilent,
        7 => Fault::StoreRefuses,
        8 => Fault::StoreSlow,
        9 => Fault::StoreLosesHistory,
        10 => Fault::RunnerDisconnected(runner),
        11 => Fault::RunnerStalled(runner),
        12 => Fault::RunnerDelayed(runner),
        13 => Fault::RunnerLeaves(runner),
        14 => Fault::NewConfig,
        _ => Fault::RunnerMisbehaves(runner, behavior),
    };
    PlannedFault {
        fault,
        duration: Duration::from_millis(rng.random_range(200..2_500)),
        gap: Duration::from_millis(rng.random_range(50..700)),
    }
}

/// Plays faults for the span of the run, and waits for the last one's end.
pub(crate) async fn inject_all(fixture: &Arc<Fixture>, soak: &Soak) {
    let mut rng = SmallRng::seed_from_u64(soak.seed);
    let overlap = soak.seed % 2 == 1;
    let deadline = Instant::now() + soak.duration;
    let mut running = JoinSet::new();
    while Instant::now() < deadline {
        let planned = draw_fault(&mut rng, soak);
        fixture.report.record_fault(&format!(
            "{:?} for {} ms",
            planned.fault,
            planned.duration.as_millis()
        ));
        let fixture = Arc::clone(fixture);
        running.spawn(async move { inject(&fixture, planned).await });
        if !overlap {
            running.join_next().await;
        }
        tokio::time::sleep(planned.gap).await;
    }
    while running.join_next().await.is_some() {}
}

async fn inject(fixture: &Fixture, planned: PlannedFault) {
    let duration = planned.duration;
    match planned.fault {
        Fault::EntryKilled(index) => kill(fixture, index, duration).await,
        Fault::EntryFrozen(index) => freeze(fixture, index, duration).await,
        Fault::EntryStopped(index) => stop(fixture, index).await,
        Fault::EntryReceivesHup(index) => fixture.entries[index].process.signal(Signal::HUP),
        Fault::EntryDisconnectedFromStore(index) => {
            let proxy = &fixture.entries[index].store_proxy;
            proxy.set_mode(Mode::Disconnect);
            tokio::time::sleep(duration).await;
            proxy.set_mode(Mode::Forward);
        }
        Fault::EntryStalledFromStore(index) => {
            let proxy = &fixture.entries[index].store_proxy;
            proxy.set_mode(Mode::Stall);
            tokio::time::sleep(duration).await;
            proxy.set_mode(Mode::Forward);
        }
        Fault::StoreSilent => {
            fixture.store.set_faults(|faults| faults.silent = true);
            tokio::time::sleep(duration).await;
            fixture.store.set_faults(|faults| faults.silent = false);
        }
        Fault::StoreRefuses => {
            fixture
                .store
                .set_faults(|faults| faults.error_status = Some(503));
            tokio::time::sleep(duration).await;
            fixture
                .store
                .set_faults(|faults| faults.error_status = None);
        }
        Fault::StoreSlow => {
            let delay = Duration::from_millis(300);
            fixture.store.set_faults(|faults| faults.delay = delay);
            tokio::time::sleep(duration).await;
            fixture
                .store
                .set_faults(|faults| faults.delay = Duration::ZERO);
        }
        Fault::StoreLosesHistory => fixture.store.forget_history(),
        Fault::RunnerMisbehaves(index, behavior) => {
            let runner = &fixture.endpoints[index].runner;
            runner.set_behavior(behavior);
            tokio::time::sleep(duration).await;
            runner.set_behavior(RunnerBehavior::Normal);
        }
        Fault::RunnerDisconnected(index) => {
            impair_runner(fixture, index, Mode::Disconnect, duration).await
        }
        Fault::RunnerStalled(index) => impair_runner(fixture, index, Mode::Stall, duration).await,
        Fault::RunnerDelayed(index) => {
            let delay = Mode::Delay(Duration::from_millis(100));
            impair_runner(fixture, index, delay, duration).await;
        }
        Fault::RunnerLeaves(index) => {
            fixture.register(index, RegisteredState::Leaving);
            tokio::time::sleep(duration).await;
            fixture.endpoints[index].runner.deregister(&fixture.store);
            tokio::time::sleep(duration).await;
            fixture.register(index, RegisteredState::Ready);
        }
        Fault::NewConfig => fixture.write_next_config(),
    }
}

async fn impair_runner(fixture: &Fixture, index: usize, mode: Mode, duration: Duration) {
    let proxy = &fixture.endpoints[index].proxy;
    proxy.set_mode(mode);
    tokio::time::sleep(duration).await;
    proxy.set_mode(Mode::Forward);
}

async fn kill(fixture: &Fixture, index: usize, duration: Duration) {
    let entry = &fixture.entries[index].process;
    if !entry.is_in_rotation() {
        return; // Another fault has it.
    }
    entry.set_in_rotation(false);
    entry.begin_outage();
    entry.kill();
    tokio::time::sleep(duration).await;
    restart(fixture, index).await;
    entry.end_outage();
}

async fn freeze(fixture: &Fixture, index: usize, duration: Duration) {
    let entry = &fixture.entries[index].process;
    if !entry.is_in_rotation() {
        return; // Another fault has it.
    }
    entry.begin_outage();
    entry.signal(Signal::STOP);
    // The balancer notices within a look or two.
    entry.set_in_rotation(false);
    tokio::time::sleep(duration).await;
    entry.signal(Signal::CONT);
    tokio::time::sleep(RESUME_SETTLE_TIME).await;
    entry.end_outage();
    entry.set_in_rotation(true);
}

/// Stops an entry as an operator would: nothing that runs there may be lost.
async fn stop(fixture: &Fixture, index: usize) {
    let entry = &fixture.entries[index].process;
    if !entry.is_in_rotation() {
        return; // Another fault has it.
    }
    entry.set_in_rotation(false);
    tokio::time::sleep(STOP_DELAY).await;
    entry.signal(Signal::TERM);
    if !entry.wait_exit(STOP_TIMEOUT).await {
        let name = &entry.name;
        fixture
            .report
            .record_violation(format!("{name} did not end in time after a stop"));
    }
    entry.kill();
    restart(fixture, index).await;
}

async fn restart(fixture: &Fixture, index: usize) {
    let entry = &fixture.entries[index].process;
    if let Err(e) = entry.start() {
        let name = &entry.name;
        fixture
            .report
            .record_violation(format!("{name} did not start: {e}"));
        return;
    }
    // While the store is away an entry cannot become ready; the end of the run
    // checks that it does.
    let is_ready = wait_ready(entry, RESTART_TIMEOUT).await;
    entry.set_in_rotation(is_ready);
}
