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
use crate::entries::Entry;
use crate::load::Kind;
use crate::load::PATIENCE;
use crate::load::ask;
use crate::load::is_ready;
use crate::proxy::Mode;
use crate::proxy::Proxy;
use crate::verdict::Verdict;

/// Longest time to a first readiness, on a busy machine.
const START: Duration = Duration::from_secs(10);
/// Time within which all is well again after the last fault; the platform
/// allows ten seconds and more.
const RECOVERY: Duration = Duration::from_secs(10);
/// Requests in a row that each entry must serve to count as recovered.
const IN_A_ROW: u32 = 20;
/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// A runner behind its proxy.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) runner: Runner,
    pub(crate) proxy: Proxy,
}

/// An entry and its own way to the store.
#[derive(Debug)]
pub(crate) struct Front {
    pub(crate) entry: Entry,
    pub(crate) store: Proxy,
}

/// Everything of one run.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) store: Store,
    pub(crate) fronts: Vec<Front>,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) verdict: Verdict,
    /// Identifiers whose answer said that they did not run.
    pub(crate) not_run: Mutex<Vec<String>>,
    version: AtomicU64,
    next_id: AtomicU64,
    end: CancellationToken,
}

impl World {
    pub(crate) async fn start(
        soak: &Soak,
        binary: &Path,
        dir: &Path,
    ) -> std::io::Result<Arc<Self>> {
        let end = CancellationToken::new();
        let store = Store::start(end.clone()).await?;
        let mut endpoints = Vec::new();
        for n in 0..soak.runners {
            let runner = Runner::start(&format!("i-{n}"), end.clone()).await?;
            let proxy = Proxy::start(runner.address(), end.clone()).await?;
            endpoints.push(Endpoint { runner, proxy });
        }
        let mut fronts = Vec::new();
        for n in 0..soak.entries {
            let proxy = Proxy::start(store.address(), end.clone()).await?;
            let entry = Entry::new(&format!("entry-{n}"), binary, dir, proxy.address())?;
            entry.start()?;
            fronts.push(Front {
                entry,
                store: proxy,
            });
        }
        let world = Arc::new(Self {
            store,
            fronts,
            endpoints,
            verdict: Verdict::new(),
            not_run: Mutex::default(),
            version: AtomicU64::new(0),
            next_id: AtomicU64::new(0),
            end,
        });
        world.declare_next();
        for at in 0..soak.runners {
            world.register(at, RegisteredState::Ready);
        }
        Ok(world)
    }

    /// Writes the next configuration, with a route that only it has.
    pub(crate) fn declare_next(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let next = configuration(version, PATIENCE.as_millis() as u64);
        let next = with_route(next, &format!("mark-{version}"));
        self.store.write_configuration(next);
    }

    /// Lists a runner in the store, at its proxy.
    pub(crate) fn register(&self, at: usize, listed: RegisteredState) {
        let endpoint = &self.endpoints[at];
        let address = endpoint.proxy.address();
        endpoint.runner.register_at(&self.store, listed, address);
    }

    pub(crate) fn next_id(&self) -> String {
        format!("q-{}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Waits until all entries are ready, and opens them to callers.
    pub(crate) async fn wait_ready(&self) -> bool {
        for front in &self.fronts {
            if !wait_ready(&front.entry, START).await {
                return false;
            }
            front.entry.set_open(true);
        }
        true
    }

    /// Ends all faults and checks that all is as before soon after.
    pub(crate) async fn check_recovery(&self) {
        self.store.set_faults(|faults| *faults = Default::default());
        for (at, endpoint) in self.endpoints.iter().enumerate() {
            endpoint.proxy.set(Mode::Open);
            endpoint.runner.set_behavior(RunnerBehavior::Normal);
            self.register(at, RegisteredState::Ready);
        }
        for front in &self.fronts {
            front.store.set(Mode::Open);
        }
        self.declare_next();
        let until = Instant::now() + RECOVERY;
        for front in &self.fronts {
            if let Err(problem) = self.recovers(&front.entry, until).await {
                let name = &front.entry.name;
                self.verdict
                    .broken(format!("{name} did not recover: {problem}"));
            }
        }
    }

    async fn recovers(&self, entry: &Entry, until: Instant) -> Result<(), String> {
        let mut served = 0;
        let mut last = String::new();
        while served < IN_A_ROW {
            if Instant::now() > until {
                return Err(last);
            }
            match self.probe(entry).await {
                Ok(()) => served += 1,
                Err(problem) => {
                    last = problem;
                    served = 0;
                    tokio::time::sleep(LOOK_EVERY).await;
                }
            }
        }
        Ok(())
    }

    /// Asks on the route that only the newest configuration has.
    async fn probe(&self, entry: &Entry) -> Result<(), String> {
        let version = self.version.load(Ordering::Relaxed);
        let path = format!("/mark-{version}/");
        let got = ask(entry, Kind::Idempotent, &path, &self.next_id()).await?;
        match got.status {
            StatusCode::OK => Ok(()),
            status => Err(format!("{path} brought {status}")),
        }
    }

    /// Checks what ran at runners against what callers were told.
    pub(crate) fn check_runs(&self) {
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        for endpoint in &self.endpoints {
            for run in endpoint.runner.executed_requests() {
                *runs.entry(run.request_id.clone()).or_default() += 1;
                let is_once = run.request_line.contains("/once/");
                if is_once && runs[&run.request_id] > 1 {
                    let id = &run.request_id;
                    self.verdict
                        .broken(format!("{id} runs at most once and ran again"));
                }
            }
        }
        for id in self.not_run.lock().expect("no holder panics").iter() {
            if runs.contains_key(id) {
                self.verdict
                    .broken(format!("{id} was said not to have run, though it had"));
            }
        }
    }

    /// Ends all tasks and processes.
    pub(crate) fn finish(&self) -> Verdict {
        self.end.cancel();
        for front in &self.fronts {
            front.entry.kill();
        }
        self.verdict.take()
    }
}

/// Waits until an entry says that callers should come.
pub(crate) async fn wait_ready(entry: &Entry, within: Duration) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if is_ready(entry).await {
            return true;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    false
}
