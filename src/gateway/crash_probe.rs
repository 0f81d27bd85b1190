//! Finds out whether a runner has crashed when a connection to it breaks.
//!
//! Connections break for many reasons, and the store reports a lost runner only after
//! seconds, or not at all while it is away. Whether the runner accepts a new connection
//! tells at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use wisteriawick_core::collections::HashMap;
use wisteriawick_core::gateway::RunnerStart;
use wisteriawick_core::hosting::ListedRunner;

use crate::gateway::state::GatewayState;
use crate::gateway::state::lock;
use crate::gateway::upstream::ConnectError;
use crate::gateway::upstream::Upstream;

/// Longest time for which a broken attempt waits for the result. A runner of the same
/// region responds within milliseconds.
const RESULT_TIMEOUT: Duration = Duration::from_millis(60);
/// How long a connection must stay open to show that the runner lives.
const MIN_OPEN_TIME: Duration = Duration::from_millis(20);
/// Most connections of one probe.
const MAX_CONNECTIONS: usize = 4;

/// The runners that are being probed. All attempts that broke at one runner share a
/// probe.
#[derive(Debug, Default)]
pub(crate) struct CrashProbes {
    running: Mutex<HashMap<RunnerStart, watch::Receiver<()>>>,
}

/// A probe of a runner, which records its result whether or not anybody waits for it.
#[derive(Debug)]
pub(crate) struct RunningProbe {
    /// Closes with the probe; no value is ever sent.
    done: watch::Receiver<()>,
}

impl RunningProbe {
    /// Probes a runner, unless that is under way already.
    pub(crate) fn start(state: &Arc<GatewayState>, runner: &ListedRunner) -> Self {
        let mut running = lock(&state.crash_probes.running);
        let start = RunnerStart::from(runner);
        let done = match running.get(&start) {
            Some(done) => done.clone(),
            None => {
                let (tx, rx) = watch::channel(());
                running.insert(start, rx.clone());
                tokio::spawn(run_probe(Arc::clone(state), runner.clone(), tx));
                rx
            }
        };
        Self { done }
    }

    /// Waits until the result is recorded, or for [`RESULT_TIMEOUT`].
    pub(crate) async fn wait(mut self) {
        // An error means that the probe has ended.
        let _ = tokio::time::timeout(RESULT_TIMEOUT, self.done.changed()).await;
    }
}

async fn run_probe(state: Arc<GatewayState>, runner: ListedRunner, _done: watch::Sender<()>) {
    let start = RunnerStart::from(&runner);
    match probe(runner.address).await {
        // The next request to the runner uses the connection.
        Ok(upstream) => state.upstreams.put_idle(state.now(), upstream, None),
        Err(ConnectError::Refused(_)) => state.runner_lost(&start, "refuses connections"),
        // Whether it crashed is left to the list of runners.
        Err(ConnectError::Failed(_)) => {}
    }
    lock(&state.crash_probes.running).remove(&start);
}

/// Opens a connection to a runner that stays open.
async fn probe(address: SocketAddr) -> Result<Upstream, ConnectError> {
    for _ in 0..MAX_CONNECTIONS {
        let upstream = Upstream::connect(address).await?;
        // A process that is crashing may still have the connection accepted.
        tokio::time::sleep(MIN_OPEN_TIME).await;
        if !upstream.is_closed() {
            return Ok(upstream);
        }
    }
    Err(ConnectError::Failed("closes new connections".into()))
}
