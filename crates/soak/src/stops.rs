//! Planned stops: series of `SIGTERM` and `SIGHUP` that overlap at several entries.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use tokio::task::JoinSet;
use wisteriawick_platform_standin::RunnerBehavior;

use crate::Defect;
use crate::Soak;
use crate::faults::STOP_TIMEOUT;
use crate::faults::restart;
use crate::fixture::Fixture;

/// Time until the load balancer has noticed that an entry is not ready: two probes.
const ROTATION_DELAY: Duration = Duration::from_millis(2_500);
/// Milliseconds between two of the eight events of a slow stream, which thus lasts for
/// longer than half of the grace period of 4 s.
const SLOW_EVENT_MS: u64 = 280;
/// Most signals that an entry gets in a series.
const MAX_SIGNALS: usize = 4;

/// A series of signals for one entry, each with the time since the one before.
#[derive(Clone, Debug)]
struct Series {
    entry: usize,
    signals: Vec<(Duration, Signal)>,
}

/// Draws series for some entries, or for all.
fn draw_series(rng: &mut SmallRng, entries: usize) -> Vec<Series> {
    let first = rng.random_range(0..entries);
    let mut all = Vec::new();
    for entry in 0..entries {
        if entry != first && rng.random_bool(0.5) {
            continue;
        }
        let count = rng.random_range(1..=MAX_SIGNALS);
        let signals = (0..count).map(|_| {
            let delay = Duration::from_millis(rng.random_range(0..900));
            let is_stop = rng.random_bool(0.6);
            (delay, if is_stop { Signal::TERM } else { Signal::HUP })
        });
        let signals = signals.collect();
        all.push(Series { entry, signals });
    }
    all
}

/// Sends series of signals for the duration of the run, and waits until all entries that
/// were stopped run again. Half of the runners send slow streams.
pub(crate) async fn inject_all(fixture: &Arc<Fixture>, soak: &Soak) {
    let mut rng = SmallRng::seed_from_u64(soak.seed);
    for endpoint in fixture.endpoints.iter().step_by(2) {
        let slow = RunnerBehavior::SlowStream(SLOW_EVENT_MS);
        endpoint.runner.set_behavior(slow);
    }
    let deadline = Instant::now() + soak.duration;
    let mut running = JoinSet::new();
    while Instant::now() < deadline {
        for series in draw_series(&mut rng, soak.entries) {
            fixture.report.record_fault(&format!("{series:?}"));
            let fixture = Arc::clone(fixture);
            running.spawn(async move { send_series(&fixture, &series).await });
        }
        let gap = Duration::from_millis(rng.random_range(200..2_000));
        tokio::time::sleep(gap).await;
    }
    while running.join_next().await.is_some() {}
}

/// Sends the signals. If one of them stops the entry, waits for its end and restarts it,
/// unless another series stops it already.
async fn send_series(fixture: &Fixture, series: &Series) {
    let entry = &fixture.entries[series.entry].process;
    let mut stopped_at = None;
    for (delay, signal) in &series.signals {
        tokio::time::sleep(*delay).await;
        if entry.signal_in_series(*signal) {
            stopped_at = Some(Instant::now());
        }
    }
    let Some(stopped_at) = stopped_at else {
        return;
    };
    if fixture.soak.defect == Some(Defect::EndsEarly) {
        entry.kill();
    }
    let rotation = async {
        tokio::time::sleep(ROTATION_DELAY.saturating_sub(stopped_at.elapsed())).await;
        entry.set_in_rotation(false);
    };
    let exit = entry.wait_exit(STOP_TIMEOUT.saturating_sub(stopped_at.elapsed()));
    let ((), has_exited) = tokio::join!(rotation, exit);
    if !has_exited {
        let name = &entry.name;
        fixture
            .report
            .record_violation(format!("{name} did not exit in time after SIGTERM"));
    }
    entry.kill();
    restart(fixture, series.entry).await;
    entry.end_stop();
}
