//! The processes, the stand-ins around them, and what must hold at the end.

use std::collections::BTreeMap;
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

use crate::Soak;
use crate::entry::EntryProcess;
use crate::load::REQUEST_TIMEOUT;
use crate::load::RequestKind;
use crate::load::is_ready;
use crate::load::send_request;
use crate::proxy::Mode;
use crate::proxy::Proxy;
use crate::report::SoakReport;

/// Longest time to a first readiness, on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which all is well again after the last fault; the platform
/// allows ten seconds and more.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests in a row that each entry must serve to count as recovered.
const CONSECUTIVE_RESPONSES: u32 = 20;
/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A runner behind its proxy.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) runner: Runner,
    pub(crate) proxy: Proxy,
}

/// An entry and its own way to the store.
#[derive(Debug)]
pub(crate) struct ProxiedEntry {
    pub(crate) process: EntryProcess,
    pub(crate) store_proxy: Proxy,
}

/// Everything of one run.
#[derive(Debug)]
pub(crate) struct Fixture {
    pub(crate) store: Store,
    pub(crate) entries: Vec<ProxiedEntry>,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) report: SoakReport,
    /// Identifiers whose answer said that they did not run.
    pub(crate) reported_not_run: Mutex<Vec<String>>,
    version: AtomicU64,
    next_id: AtomicU64,
    shutdown: CancellationToken,
}

impl Fixture {
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
            reported_not_run: Mutex::default(),
            version: AtomicU64::new(0),
            next_id: AtomicU64::new(0),
            shutdown,
        });
        fixture.write_next_config();
        for index in 0..soak.runners {
            fixture.register(index, RegisteredState::Ready);
        }
        Ok(fixture)
    }

    /// Writes the next configuration, with a route that only it has.
    pub(crate) fn write_next_config(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let next = configuration(version, REQUEST_TIMEOUT.as_millis() as u64);
        let next = with_route(next, &format!("mark-{version}"));
        self.store.write_configuration(next);
    }

    /// Lists a runner in the store, at its proxy.
    pub(crate) fn register(&self, index: usize, state: RegisteredState) {
        let endpoint = &self.endpoints[index];
        let address = endpoint.proxy.address();
        endpoint.runner.register_at(&self.store, state, address);
    }

    pub(crate) fn next_id(&self) -> String {
        format!("q-{}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Waits until all entries are ready, and opens them to callers.
    pub(crate) async fn wait_ready(&self) -> bool {
        for entry in &self.entries {
            if !wait_ready(&entry.process, START_TIMEOUT).await {
                return false;
            }
            entry.process.set_in_rotation(true);
        }
        true
    }

    /// Ends all faults and checks that all is as before soon after.
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

    /// Asks on the route that only the newest configuration has.
    async fn probe(&self, entry: &EntryProcess) -> Result<(), String> {
        let version = self.version.load(Ordering::Relaxed);
        let path = format!("/mark-{version}/");
        let response = send_request(entry, RequestKind::Idempotent, &path, &self.next_id()).await?;
        match response.status {
            StatusCode::OK => Ok(()),
            status => Err(format!("{path} brought {status}")),
        }
    }

    /// Checks what ran at runners against what callers were told.
    pub(crate) fn check_executions(&self) {
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        for endpoint in &self.endpoints {
            for run in endpoint.runner.executed_requests() {
                *runs.entry(run.request_id.clone()).or_default() += 1;
                let is_once = run.request_line.contains("/once/");
                if is_once && runs[&run.request_id] > 1 {
                    let id = &run.request_id;
                    self.report
                        .record_violation(format!("{id} runs at most once and ran again"));
                }
            }
        }
        for id in self
            .reported_not_run
            .lock()
            .expect("no holder panics")
            .iter()
        {
            if runs.contains_key(id) {
                self.report
                    .record_violation(format!("{id} was said not to have run, though it had"));
            }
        }
    }

    /// Ends all tasks and processes.
    pub(crate) fn shut_down(&self) -> SoakReport {
        self.shutdown.cancel();
        for entry in &self.entries {
            entry.process.kill();
        }
        self.report.take()
    }
}

/// Waits until an entry says that callers should come.
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
