//! Test fixture: the entry processes, the stand-ins around them and the final checks.
//!
//! Each entry reaches the store, and the entries reach each runner, through a proxy that
//! can impair the connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use tokio_util::sync::CancellationToken;
use wisteriawick_platform_standin::RegisteredState;
use wisteriawick_platform_standin::Runner;
use wisteriawick_platform_standin::RunnerBehavior;
use wisteriawick_platform_standin::Store;
use wisteriawick_platform_standin::configuration;
use wisteriawick_platform_standin::with_route;

use crate::Defect;
use crate::FaultMix;
use crate::Soak;
use crate::entry::EntryProcess;
use crate::evacuations;
use crate::load::RequestKind;
use crate::load::is_ready;
use crate::load::send_request;
use crate::odd_objects::leave_odd_objects;
use crate::proxy::Mode;
use crate::proxy::Proxy;
use crate::report::SoakReport;

/// Longest wait for a new entry to become ready on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which all entries must serve requests again after the last fault. The
/// platform allows ten seconds or more.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);
/// Consecutive requests that an entry must serve to count as recovered.
const CONSECUTIVE_RESPONSES: u32 = 20;
/// Pause between checks of an entry that is not ready or not recovered yet.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A runner and the proxy in front of it.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) runner: Runner,
    pub(crate) proxy: Proxy,
}

/// An entry process and the proxy between it and the store.
#[derive(Debug)]
pub(crate) struct ProxiedEntry {
    pub(crate) process: EntryProcess,
    pub(crate) store_proxy: Proxy,
}

/// Everything that one run of the soak test starts and records.
#[derive(Debug)]
pub(crate) struct Fixture {
    pub(crate) store: Store,
    pub(crate) entries: Vec<ProxiedEntry>,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) report: SoakReport,
    pub(crate) soak: Soak,
    /// Identifiers of requests whose response says that they were not executed, or whose
    /// connection a stopping entry closed without a response.
    pub(crate) reported_not_executed: Mutex<Vec<String>>,
    /// Version of the configuration written last.
    version: AtomicU64,
    next_id: AtomicU64,
    shutdown: CancellationToken,
}

impl Fixture {
    /// Starts the stand-ins, the proxies and the entry processes, and writes the first
    /// configuration. Does not wait until the entries are ready.
    pub(crate) async fn start(
        soak: &Soak,
        binary: &Path,
        dir: &Path,
    ) -> std::io::Result<Arc<Self>> {
        let shutdown = CancellationToken::new();
        let store = Store::start(shutdown.clone()).await?;
        let mut endpoints = Vec::new();
        for n in 0..soak.runners {
            let runner = Runner::start(&format!("i-{n}"), shutdown.clone()).await?;
            let proxy = Proxy::start(runner.address(), shutdown.clone()).await?;
            endpoints.push(Endpoint { runner, proxy });
        }
        let mut entries = Vec::new();
        for n in 0..soak.entries {
            let proxy = Proxy::start(store.address(), shutdown.clone()).await?;
            let process = EntryProcess::new(&format!("entry-{n}"), binary, dir, proxy.address())?;
            let hears = soak.defect != Some(Defect::HidesEvacuations);
            if soak.faults == FaultMix::Evacuations && hears {
                process.set_evacuation_bound(evacuations::BOUND)?;
            }
            process.start()?;
            entries.push(ProxiedEntry {
                process,
                store_proxy: proxy,
            });
        }
        let fixture = Arc::new(Self {
            store,
            entries,
            endpoints,
            report: SoakReport::new(),
            soak: *soak,
            reported_not_executed: Mutex::default(),
            version: AtomicU64::new(0),
            next_id: AtomicU64::new(0),
            shutdown,
        });
        let endpoints = fixture.endpoints.iter();
        let runners: Vec<SocketAddr> = endpoints.map(|endpoint| endpoint.proxy.address()).collect();
        leave_odd_objects(&fixture.store, &runners, soak.seed);
        fixture.write_next_config();
        for index in 0..soak.runners {
            fixture.register(index, RegisteredState::Ready);
        }
        Ok(fixture)
    }

    /// Writes the next configuration. It has a route that no other version has.
    pub(crate) fn write_next_config(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let next = configuration(version, self.soak.request_timeout.as_millis() as u64);
        let next = with_route(next, &format!("mark-{version}"));
        self.store.write_configuration(next);
    }

    /// Registers a runner in the store under its proxy's address.
    pub(crate) fn register(&self, index: usize, state: RegisteredState) {
        let endpoint = &self.endpoints[index];
        let address = endpoint.proxy.address();
        endpoint.runner.register_at(&self.store, state, address);
    }

    /// Returns a new request identifier.
    pub(crate) fn next_id(&self) -> String {
        format!("q-{}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Records that a request must not have been executed.
    pub(crate) fn record_not_executed(&self, id: &str) {
        self.reported_not_executed
            .lock()
            .expect("no holder panics")
            .push(id.into());
    }

    /// Waits until each entry is ready and puts it in rotation. Returns `false` if one
    /// is not ready in time.
    pub(crate) async fn wait_ready(&self) -> bool {
        for entry in &self.entries {
            if !wait_ready(&entry.process, START_TIMEOUT).await {
                return false;
            }
            entry.process.set_in_rotation(true);
        }
        true
    }

    /// Undoes all faults, writes a new configuration and checks that each entry serves
    /// requests with it within [`RECOVERY_TIMEOUT`].
    pub(crate) async fn check_recovery(&self) {
        self.store.set_faults(|faults| *faults = Default::default());
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            endpoint.proxy.set_mode(Mode::Forward);
            endpoint.runner.set_behavior(RunnerBehavior::Normal);
            self.register(index, RegisteredState::Ready);
        }
        for entry in &self.entries {
            entry.store_proxy.set_mode(Mode::Forward);
        }
        self.write_next_config();
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        for entry in &self.entries {
            if let Err(problem) = self.wait_recovery(&entry.process, deadline).await {
                let name = &entry.process.name;
                self.report
                    .record_violation(format!("{name} did not recover: {problem}"));
            }
        }
    }

    /// Waits until the entry serves [`CONSECUTIVE_RESPONSES`] requests without a failure.
    /// Returns the last failure if it does not before the deadline.
    async fn wait_recovery(&self, entry: &EntryProcess, deadline: Instant) -> Result<(), String> {
        let mut served = 0;
        let mut last_problem = String::new();
        while served < CONSECUTIVE_RESPONSES {
            if Instant::now() > deadline {
                return Err(last_problem);
            }
            match self.probe(entry).await {
                Ok(()) => served += 1,
                Err(problem) => {
                    last_problem = problem;
                    served = 0;
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        }
        Ok(())
    }

    /// Sends a request on the route that only the newest configuration has.
    pub(crate) async fn probe(&self, entry: &EntryProcess) -> Result<(), String> {
        let version = self.version.load(Ordering::Relaxed);
        let path = format!("/mark-{version}/");
        let response = send_request(
            entry,
            RequestKind::Idempotent,
            &path,
            &self.next_id(),
            self.soak.request_timeout,
        )
        .await?;
        match response.status {
            StatusCode::OK => Ok(()),
            status => Err(format!("{path} returned status {status}")),
        }
    }

    /// Checks that no at-most-once request was executed twice, and that no request was
    /// executed whose response says that it was not.
    pub(crate) fn check_executions(&self) {
        let mut executions: BTreeMap<String, u32> = BTreeMap::new();
        for endpoint in &self.endpoints {
            for request in endpoint.runner.executed_requests() {
                *executions.entry(request.request_id.clone()).or_default() += 1;
                let is_at_most_once = request.request_line.contains("/once/");
                if is_at_most_once && executions[&request.request_id] > 1 {
                    let id = &request.request_id;
                    self.report
                        .record_violation(format!("at-most-once request {id} was executed again"));
                }
            }
        }
        for id in self
            .reported_not_executed
            .lock()
            .expect("no holder panics")
            .iter()
        {
            if executions.contains_key(id) {
                self.report
                    .record_violation(format!("{id} was reported as not executed, but it was"));
            }
        }
    }

    /// Ends all tasks and processes, and returns the report.
    pub(crate) fn shut_down(&self) -> SoakReport {
        self.shutdown.cancel();
        for entry in &self.entries {
            entry.process.kill();
        }
        self.report.take()
    }
}

/// Waits until an entry reports that it is ready. Returns `false` after `timeout`.
pub(crate) async fn wait_ready(entry: &EntryProcess, timeout: Duration) -> bool {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if is_ready(entry).await {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}
