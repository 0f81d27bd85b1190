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
use crate::proxy::Mode;
use crate::world::World;
use crate::world::wait_ready;

/// Time to the next readiness of an entry that started again.
const RESTART: Duration = Duration::from_secs(6);
/// Time within which an entry ends after a stop: its grace of 4 s, and a
/// little for a busy machine.
const STOP: Duration = Duration::from_secs(5);
/// Time after a frozen entry goes on until callers may count on it.
const THAW: Duration = Duration::from_millis(300);
/// Time from telling callers to leave until the stop.
const LEAVE: Duration = Duration::from_millis(50);
/// Entries and runners that are left alone, so that callers can be served.
const LEFT_ALONE: usize = 1;

/// How runners misbehave.
const CONDUCTS: [RunnerBehavior; 12] = [
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
    EntryHangsUp(usize),
    EntryCutFromStore(usize),
    EntryHearsNothingOfStore(usize),
    StoreSilent,
    StoreRefuses,
    StoreSlow,
    StoreForgets,
    RunnerMisbehaves(usize, RunnerBehavior),
    RunnerCut(usize),
    RunnerSilent(usize),
    RunnerSlow(usize),
    RunnerLeaves(usize),
    Declaration,
}

#[derive(Clone, Copy, Debug)]
struct Planned {
    fault: Fault,
    lasts: Duration,
    /// Time until the next one is played.
    gap: Duration,
}

fn draw(rng: &mut SmallRng, soak: &Soak) -> Planned {
    let entry = rng.random_range(0..soak.entries - LEFT_ALONE);
    let runner = rng.random_range(0..soak.runners - LEFT_ALONE);
    let conduct = CONDUCTS[rng.random_range(0..CONDUCTS.len())];
    let fault = match rng.random_range(0..18) {
        0 => Fault::EntryKilled(entry),
        1 => Fault::EntryFrozen(entry),
        2 => Fault::EntryStopped(entry),
        3 => Fault::EntryHangsUp(entry),
        4 => Fault::EntryCutFromStore(entry),
        5 => Fault::EntryHearsNothingOfStore(entry),
        6 => Fault::StoreSilent,
        7 => Fault::StoreRefuses,
        8 => Fault::StoreSlow,
        9 => Fault::StoreForgets,
        10 => Fault::RunnerCut(runner),
        11 => Fault::RunnerSilent(runner),
        12 => Fault::RunnerSlow(runner),
        13 => Fault::RunnerLeaves(runner),
        14 => Fault::Declaration,
        _ => Fault::RunnerMisbehaves(runner, conduct),
    };
    Planned {
        fault,
        lasts: Duration::from_millis(rng.random_range(200..2_500)),
        gap: Duration::from_millis(rng.random_range(50..700)),
    }
}

/// Plays faults for the span of the run, and waits for the last one's end.
pub(crate) async fn play(world: &Arc<World>, soak: &Soak) {
    let mut rng = SmallRng::seed_from_u64(soak.seed);
    let overlap = soak.seed % 2 == 1;
    let until = Instant::now() + soak.span;
    let mut playing = JoinSet::new();
    while Instant::now() < until {
        let planned = draw(&mut rng, soak);
        world.verdict.fault(&format!(
            "{:?} for {} ms",
            planned.fault,
            planned.lasts.as_millis()
        ));
        let world = Arc::clone(world);
        playing.spawn(async move { play_one(&world, planned).await });
        if !overlap {
            playing.join_next().await;
        }
        tokio::time::sleep(planned.gap).await;
    }
    while playing.join_next().await.is_some() {}
}

async fn play_one(world: &World, planned: Planned) {
    let lasts = planned.lasts;
    match planned.fault {
        Fault::EntryKilled(at) => kill(world, at, lasts).await,
        Fault::EntryFrozen(at) => freeze(world, at, lasts).await,
        Fault::EntryStopped(at) => stop(world, at).await,
        Fault::EntryHangsUp(at) => world.fronts[at].entry.signal(Signal::HUP),
        Fault::EntryCutFromStore(at) => {
            let proxy = &world.fronts[at].store;
            proxy.set(Mode::Cut);
            tokio::time::sleep(lasts).await;
            proxy.set(Mode::Open);
        }
        Fault::EntryHearsNothingOfStore(at) => {
            let proxy = &world.fronts[at].store;
            proxy.set(Mode::Silent);
            tokio::time::sleep(lasts).await;
            proxy.set(Mode::Open);
        }
        Fault::StoreSilent => {
            world.store.set_faults(|faults| faults.silent = true);
            tokio::time::sleep(lasts).await;
            world.store.set_faults(|faults| faults.silent = false);
        }
        Fault::StoreRefuses => {
            world
                .store
                .set_faults(|faults| faults.error_status = Some(503));
            tokio::time::sleep(lasts).await;
            world.store.set_faults(|faults| faults.error_status = None);
        }
        Fault::StoreSlow => {
            let slow = Duration::from_millis(300);
            world.store.set_faults(|faults| faults.delay = slow);
            tokio::time::sleep(lasts).await;
            world
                .store
                .set_faults(|faults| faults.delay = Duration::ZERO);
        }
        Fault::StoreForgets => world.store.forget_history(),
        Fault::RunnerMisbehaves(at, conduct) => {
            let runner = &world.endpoints[at].runner;
            runner.set_behavior(conduct);
            tokio::time::sleep(lasts).await;
            runner.set_behavior(RunnerBehavior::Normal);
        }
        Fault::RunnerCut(at) => spoil_runner(world, at, Mode::Cut, lasts).await,
        Fault::RunnerSilent(at) => spoil_runner(world, at, Mode::Silent, lasts).await,
        Fault::RunnerSlow(at) => {
            let slow = Mode::Slow(Duration::from_millis(100));
            spoil_runner(world, at, slow, lasts).await;
        }
        Fault::RunnerLeaves(at) => {
            world.register(at, RegisteredState::Leaving);
            tokio::time::sleep(lasts).await;
            world.endpoints[at].runner.deregister(&world.store);
            tokio::time::sleep(lasts).await;
            world.register(at, RegisteredState::Ready);
        }
        Fault::Declaration => world.declare_next(),
    }
}

async fn spoil_runner(world: &World, at: usize, mode: Mode, lasts: Duration) {
    let proxy = &world.endpoints[at].proxy;
    proxy.set(mode);
    tokio::time::sleep(lasts).await;
    proxy.set(Mode::Open);
}

async fn kill(world: &World, at: usize, lasts: Duration) {
    let entry = &world.fronts[at].entry;
    if !entry.is_open() {
        return; // Another fault has it.
    }
    entry.set_open(false);
    entry.begin_disturbance();
    entry.kill();
    tokio::time::sleep(lasts).await;
    start_again(world, at).await;
    entry.end_disturbance();
}

async fn freeze(world: &World, at: usize, lasts: Duration) {
    let entry = &world.fronts[at].entry;
    if !entry.is_open() {
        return; // Another fault has it.
    }
    entry.begin_disturbance();
    entry.signal(Signal::STOP);
    // The balancer notices within a look or two.
    entry.set_open(false);
    tokio::time::sleep(lasts).await;
    entry.signal(Signal::CONT);
    tokio::time::sleep(THAW).await;
    entry.end_disturbance();
    entry.set_open(true);
}

/// Stops an entry as an operator would: nothing that runs there may be lost.
async fn stop(world: &World, at: usize) {
    let entry = &world.fronts[at].entry;
    if !entry.is_open() {
        return; // Another fault has it.
    }
    entry.set_open(false);
    tokio::time::sleep(LEAVE).await;
    entry.signal(Signal::TERM);
    if !entry.wait_end(STOP).await {
        let name = &entry.name;
        world
            .verdict
            .broken(format!("{name} did not end in time after a stop"));
    }
    entry.kill();
    start_again(world, at).await;
}

async fn start_again(world: &World, at: usize) {
    let entry = &world.fronts[at].entry;
    if let Err(e) = entry.start() {
        let name = &entry.name;
        world.verdict.broken(format!("{name} did not start: {e}"));
        return;
    }
    // While the store is away an entry cannot become ready; the end of the run
    // checks that it does.
    let is_ready = wait_ready(entry, RESTART).await;
    entry.set_open(is_ready);
}
