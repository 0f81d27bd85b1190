//! Draws faults with a seeded generator and injects them from outside the processes.
//!
//! Most faults impair one entry, one runner or the store for a random time and are then
//! undone. Faults run one after another or, with an odd seed, may overlap. A few are
//! operations that must cause no failures, such as a new configuration or `SIGHUP`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use tokio::task::JoinSet;
use wisteriawick_platform_standin::RegisteredState;
use wisteriawick_platform_standin::RepeatedRefusal;
use wisteriawick_platform_standin::ResumeAnswer;
use wisteriawick_platform_standin::RunnerBehavior;

use crate::FaultMix;
use crate::Soak;
use crate::fixture::Fixture;
use crate::fixture::wait_ready;
use crate::power;
use crate::proxy::Mode;

/// Longest wait for a restarted entry to become ready.
const RESTART_TIMEOUT: Duration = Duration::from_secs(6);
/// Time within which an entry must exit after `SIGTERM`: its grace period of 4 s and
/// 1 s of tolerance for a busy machine.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time from `SIGCONT` until callers can expect a resumed entry to respond.
const RESUME_SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time between taking an entry out of rotation and `SIGTERM`.
const STOP_DELAY: Duration = Duration::from_millis(50);
/// Number of entries, and of runners, that get no faults of their own, so that
/// callers can be served.
const FAULT_FREE: usize = 1;

/// Faulty behaviors. A misbehaving runner gets one of them at random.
const FAULTY_BEHAVIORS: [RunnerBehavior; 17] = [
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
    RunnerBehavior::RepeatsRefusal(RepeatedRefusal::OfAnotherRequest),
    RunnerBehavior::RepeatsRefusal(RepeatedRefusal::WithoutId),
    RunnerBehavior::RefusesToResume(ResumeAnswer::Error),
    RunnerBehavior::RefusesToResume(ResumeAnswer::HeadInEvent),
    RunnerBehavior::RefusesToResume(ResumeAnswer::FromStart),
];

/// A fault. The number is the index of the entry or runner.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The entry gets `SIGKILL` and is restarted later.
    EntryKilled(usize),
    /// The entry gets `SIGSTOP`, and `SIGCONT` later.
    EntryFrozen(usize),
    /// The entry is taken out of rotation, stopped with `SIGTERM` and restarted.
    EntryStopped(usize),
    /// The entry gets `SIGHUP` and reads its settings again.
    EntryReceivesHup(usize),
    /// The connections between the entry and the store are closed.
    EntryStoreDisconnected(usize),
    /// No data passes between the entry and the store, but connections stay open.
    EntryStoreStalled(usize),
    /// The store responds to no call.
    StoreSilent,
    /// The store rejects all calls with status 503.
    StoreRefuses,
    /// The store delays all calls.
    StoreSlow,
    /// The store discards its history of changes, so that watches fail.
    StoreLosesHistory,
    /// The runner responds incorrectly, late or not at all.
    RunnerMisbehaves(usize, RunnerBehavior),
    /// The connections to the runner are closed.
    RunnerDisconnected(usize),
    /// No data passes to or from the runner, but connections stay open.
    RunnerStalled(usize),
    /// Data to and from the runner is delayed.
    RunnerDelayed(usize),
    /// The runner is registered as leaving, then removed, then registered again.
    RunnerLeaves(usize),
    /// The next version of the configuration is written.
    NewConfig,
    /// A new configuration and a runner that leaves are acknowledged, then all entries get
    /// `SIGKILL` at once and are restarted later. Overlaps no other fault.
    PowerLost(usize),
}

/// A fault with its timing.
#[derive(Clone, Copy, Debug)]
struct PlannedFault {
    fault: Fault,
    /// How long the fault lasts. Graceful stops and single events do not use it.
    duration: Duration,
    /// Pause before the next fault is injected.
    gap: Duration,
}

/// Draws the next fault. The last entry and the last runner are never chosen.
fn draw_fault(rng: &mut SmallRng, soak: &Soak) -> PlannedFault {
    let entry = rng.random_range(0..soak.entries - FAULT_FREE);
    let runner = rng.random_range(0..soak.runners - FAULT_FREE);
    let behavior = FAULTY_BEHAVIORS[rng.random_range(0..FAULTY_BEHAVIORS.len())];
    let fault = match rng.random_range(0..19) {
        _ if soak.faults == FaultMix::PowerLosses => Fault::PowerLost(runner),
        0 => Fault::EntryKilled(entry),
        1 => Fault::EntryFrozen(entry),
        2 => Fault::EntryStopped(entry),
        3 => Fault::EntryReceivesHup(entry),
        4 => Fault::EntryStoreDisconnected(entry),
        5 => Fault::EntryStoreStalled(entry),
        6 => Fault::StoreSilent,
        7 => Fault::StoreRefuses,
        8 => Fault::StoreSlow,
        9 => Fault::StoreLosesHistory,
        10 => Fault::RunnerDisconnected(runner),
        11 => Fault::RunnerStalled(runner),
        12 => Fault::RunnerDelayed(runner),
        13 => Fault::RunnerLeaves(runner),
        14 => Fault::NewConfig,
        15 => Fault::PowerLost(runner),
        _ => Fault::RunnerMisbehaves(runner, behavior),
    };
    PlannedFault {
        fault,
        duration: Duration::from_millis(rng.random_range(200..2_500)),
        gap: Duration::from_millis(rng.random_range(50..700)),
    }
}

/// Injects faults for the duration of the run, and waits until all have ended.
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
        let is_power_loss = matches!(planned.fault, Fault::PowerLost(_));
        while is_power_loss && running.join_next().await.is_some() {}
        let fixture = Arc::clone(fixture);
        running.spawn(async move { inject(&fixture, planned).await });
        if !overlap || is_power_loss {
            running.join_next().await;
        }
        tokio::time::sleep(planned.gap).await;
    }
    while running.join_next().await.is_some() {}
}

/// Injects one fault, and undoes it after its duration if it lasts.
async fn inject(fixture: &Fixture, planned: PlannedFault) {
    let duration = planned.duration;
    match planned.fault {
        Fault::EntryKilled(index) => kill(fixture, index, duration).await,
        Fault::EntryFrozen(index) => freeze(fixture, index, duration).await,
        Fault::EntryStopped(index) => stop(fixture, index).await,
        Fault::EntryReceivesHup(index) => fixture.entries[index].process.signal(Signal::HUP),
        Fault::EntryStoreDisconnected(index) => {
            let proxy = &fixture.entries[index].store_proxy;
            proxy.set_mode(Mode::Disconnect);
            tokio::time::sleep(duration).await;
            proxy.set_mode(Mode::Forward);
        }
        Fault::EntryStoreStalled(index) => {
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
        Fault::PowerLost(index) => power::lose(fixture, index, duration).await,
    }
}

/// Sets the proxy in front of a runner to `mode` for a while.
async fn impair_runner(fixture: &Fixture, index: usize, mode: Mode, duration: Duration) {
    let proxy = &fixture.endpoints[index].proxy;
    proxy.set_mode(mode);
    tokio::time::sleep(duration).await;
    proxy.set_mode(Mode::Forward);
}

/// Kills an entry and restarts it after `duration`.
pub(crate) async fn kill(fixture: &Fixture, index: usize, duration: Duration) {
    let entry = &fixture.entries[index].process;
    if !entry.is_in_rotation() {
        return; // Another fault already affects the entry.
    }
    entry.set_in_rotation(false);
    entry.begin_outage();
    entry.kill();
    tokio::time::sleep(duration).await;
    restart(fixture, index).await;
    entry.end_outage();
}

/// Suspends an entry for `duration`. Requests in progress may fail meanwhile.
pub(crate) async fn freeze(fixture: &Fixture, index: usize, duration: Duration) {
    let entry = &fixture.entries[index].process;
    if !entry.is_in_rotation() {
        return; // Another fault already affects the entry.
    }
    entry.begin_outage();
    entry.signal(Signal::STOP);
    // A load balancer in front would notice after one or two health checks.
    entry.set_in_rotation(false);
    tokio::time::sleep(duration).await;
    entry.signal(Signal::CONT);
    tokio::time::sleep(RESUME_SETTLE_TIME).await;
    entry.end_outage();
    entry.set_in_rotation(true);
}

/// Stops an entry gracefully, as an operator would, and restarts it. This is no outage:
/// the requests in progress must complete.
pub(crate) async fn stop(fixture: &Fixture, index: usize) {
    let entry = &fixture.entries[index].process;
    if !entry.is_in_rotation() {
        return; // Another fault already affects the entry.
    }
    entry.set_in_rotation(false);
    tokio::time::sleep(STOP_DELAY).await;
    entry.begin_stop();
    entry.signal(Signal::TERM);
    if !entry.wait_exit(STOP_TIMEOUT).await {
        let name = &entry.name;
        fixture
            .report
            .record_violation(format!("{name} did not exit in time after SIGTERM"));
    }
    entry.kill();
    restart(fixture, index).await;
    entry.end_stop();
}

/// Starts an entry again and puts it in rotation once it is ready.
pub(crate) async fn restart(fixture: &Fixture, index: usize) {
    let entry = &fixture.entries[index].process;
    if let Err(e) = entry.start() {
        let name = &entry.name;
        fixture
            .report
            .record_violation(format!("{name} did not start: {e}"));
        return;
    }
    // Not ready in time is no violation here: without the store, an entry cannot become
    // ready. `Fixture::check_recovery` checks that it does after the faults.
    let is_ready = wait_ready(entry, RESTART_TIMEOUT).await;
    entry.set_in_rotation(is_ready);
}
