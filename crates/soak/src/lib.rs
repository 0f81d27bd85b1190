//! Soak test: injects random faults into real entry processes and checks invariants.
//!
//! The processes run the built `wisteriawick` binary. The store and the runners are
//! stand-ins, reached through loopback proxies that can disconnect, stall or delay
//! connections; signals kill, freeze and stop the processes. Responses to callers are
//! checked during the run; recovery and the requests that runners executed are checked
//! at the end. The fault matrix in `wisteriawick-faults` is another test: it injects
//! single faults and pairs of faults into the protocol code, without sockets or real time.

mod crashes;
mod defect;
mod entry;
mod evacuations;
mod faults;
mod fixture;
mod groups;
mod load;
mod memory;
mod notices;
mod odd_objects;
mod power;
mod proxy;
mod report;
mod stops;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::fixture::Fixture;

pub use crashes::CrashDefect;
pub use crashes::CrashSoak;
pub use groups::GroupSoak;
pub use report::SoakReport;
pub use wisteriawick_platform_standin::EngineDefect;

/// The faults that a run injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultMix {
    /// Faults of entries, runners and the store, one after the other or overlapping.
    Any,
    /// Only `SIGTERM` and `SIGHUP`, in series that overlap at several entries, while
    /// callers use their open connections until these are closed. No request may be lost.
    PlannedStops,
    /// Only losses of power, one after the other.
    PowerLosses,
    /// Runners that name a rate limit, ask for rest or say that they leave, each while an
    /// entry is killed, stopped or frozen.
    Notices,
    /// Evacuations of a data centre, each asked for as an entry or the store fails.
    Evacuations,
}

/// A deliberate defect, which shows that the checks find it. The first four alter what
/// callers of stopping entries send or receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Responses are lost, though the requests ran.
    LosesResponses,
    /// Responses end before their last byte.
    BreaksOff,
    /// Responses are replaced by refusals that are not true.
    Lies,
    /// At-most-once requests are sent twice.
    Repeats,
    /// The process is killed before its grace period has ended.
    EndsEarly,
    /// What was acknowledged right before a loss of power is forgotten.
    ForgetsAcknowledged,
    /// Entries do not hear what runners say of themselves.
    HidesNotices,
    /// Entries do not hear of evacuations.
    HidesEvacuations,
}

/// Settings of one run of the soak test.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// Seed of the sequence of faults. With an odd seed, faults may overlap. Requests
    /// and timing are not seeded, so a seed does not reproduce a run exactly.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Number of entry processes, at least two.
    pub entries: usize,
    /// Number of runners, at least two.
    pub runners: usize,
    /// Number of concurrent callers, each with one request at a time. Every other one
    /// keeps its connection open between requests.
    pub callers: usize,
    /// The faults to inject.
    pub faults: FaultMix,
    /// Deadline that callers put on a request, and timeout of the routes.
    pub request_timeout: Duration,
    /// A defect that the run must find.
    pub defect: Option<Defect>,
}

impl Soak {
    /// Returns the settings of a small run that injects faults for six seconds.
    pub fn small(seed: u64) -> Self {
        Self {
            seed,
            duration: Duration::from_secs(6),
            entries: 3,
            runners: 4,
            callers: 16,
            faults: FaultMix::Any,
            request_timeout: Duration::from_secs(2),
            defect: None,
        }
    }

    /// Returns the settings of a run with planned stops for twelve seconds. Requests
    /// may last for longer than the grace period of the entries.
    pub fn planned_stops(seed: u64) -> Self {
        Self {
            duration: Duration::from_secs(12),
            faults: FaultMix::PlannedStops,
            request_timeout: Duration::from_secs(8),
            ..Self::small(seed)
        }
    }

    /// Returns the settings of a run with losses of power for six seconds.
    pub fn power_losses(seed: u64) -> Self {
        Self {
            faults: FaultMix::PowerLosses,
            ..Self::small(seed)
        }
    }

    /// Returns the settings of a run of runners' notices for ten seconds.
    pub fn notices(seed: u64) -> Self {
        Self {
            duration: Duration::from_secs(10),
            faults: FaultMix::Notices,
            ..Self::small(seed)
        }
    }

    /// Returns the settings of a run of evacuations for twelve seconds.
    pub fn evacuations(seed: u64) -> Self {
        Self {
            duration: Duration::from_secs(12),
            faults: FaultMix::Evacuations,
            ..Self::small(seed)
        }
    }

    /// Runs the soak test with the program at `binary` and returns its report. The
    /// settings files and logs of the processes are written to `dir` and remain there.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written, a port cannot be bound or a process cannot
    /// be started at the beginning.
    pub async fn run(&self, binary: &Path, dir: &Path) -> std::io::Result<SoakReport> {
        std::fs::create_dir_all(dir)?;
        let fixture = Fixture::start(self, binary, dir).await?;
        if !fixture.wait_ready().await {
            fixture
                .report
                .record_violation("not all entries became ready in time");
            return Ok(fixture.shut_down());
        }
        let callers = load::start(&fixture, self.callers);
        let cx = CancellationToken::new();
        let memory = tokio::spawn(memory::watch(Arc::clone(&fixture), cx.clone()));
        match self.faults {
            FaultMix::Any | FaultMix::PowerLosses => faults::inject_all(&fixture, self).await,
            FaultMix::Evacuations => evacuations::inject_all(&fixture, self).await,
            FaultMix::Notices => notices::inject_all(&fixture, self).await,
            FaultMix::PlannedStops => stops::inject_all(&fixture, self).await,
        }
        callers.stop().await;
        fixture.check_recovery().await;
        fixture.check_executions();
        cx.cancel();
        memory.await.map_err(std::io::Error::other)?;
        Ok(fixture.shut_down())
    }
}
