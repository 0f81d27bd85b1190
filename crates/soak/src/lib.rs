//! Real entry processes under faults from outside, with their promises checked.
//!
//! The processes are the built program; the store and the runners around them
//! are stand-ins, reached through loopback proxies that cut, silence and slow
//! connections. Signals kill, freeze and stop processes. What callers and
//! runners see is checked while it runs and after it. It is not the fault
//! matrix of `wisteriawick-faults`, which steps the cores through single faults
//! without sockets or time.

mod entry;
mod faults;
mod fixture;
mod load;
mod proxy;
mod report;

use std::path::Path;
use std::time::Duration;

use crate::fixture::Fixture;

pub use report::SoakReport;

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// Decides which faults come in which order. An odd seed lets them overlap.
    pub seed: u64,
    /// Time during which faults come.
    pub duration: Duration,
    /// Entry processes.
    pub entries: usize,
    /// Runners.
    pub runners: usize,
    /// Callers that send one request after the other.
    pub callers: usize,
}

impl Soak {
    /// Returns a small run of a few seconds.
    pub fn small(seed: u64) -> Self {
        Self {
            seed,
            duration: Duration::from_secs(6),
            entries: 3,
            runners: 4,
            callers: 16,
        }
    }

    /// Runs the program at `binary` and returns what was seen. Settings and
    /// logs of the processes are kept in `dir`.
    ///
    /// # Errors
    ///
    /// Fails when no process or port could be had.
    pub async fn run(&self, binary: &Path, dir: &Path) -> std::io::Result<SoakReport> {
        std::fs::create_dir_all(dir)?;
        let fixture = Fixture::start(self, binary, dir).await?;
        if !fixture.wait_ready().await {
            fixture
                .report
                .record_violation("the entries were not ready in time");
            return Ok(fixture.shut_down());
        }
        let callers = load::start(&fixture, self.callers);
        faults::inject_all(&fixture, self).await;
        callers.stop().await;
        fixture.check_recovery().await;
        fixture.check_executions();
        Ok(fixture.shut_down())
    }
}
