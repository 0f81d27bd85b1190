//! Plays seeded arrivals of several kinds against entries that share runners.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::EntryShare;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::gateway::PoolLimits;
use wisteriawick_core::gateway::QueuedRequest;
use wisteriawick_core::gateway::QueuedRequestId;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::ids::RunnerId;

use crate::support::LIMITS;
use crate::support::address;
use crate::support::queued_request;
use crate::support::report;
use crate::support::runner;

const LENGTH_MS: u64 = 16_000;
const REPORT_INTERVAL_MS: u64 = 100;
const REPORT_LAG_MS: usize = 150;
/// Requests that a runner executes at a time: one more than the pool uses of it.
const RUNNER_SLOTS: usize = LIMITS.max_per_runner as usize + 1;
/// Latest start of a request that is on time.
const ON_TIME_MS: u64 = 240;

/// Requests of one kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    priority: u32,
    per_second: f64,
    burst_factor: f64,
    burst_s: (f64, f64),
}

impl Kind {
    pub(crate) fn new(priority: u32, per_second: f64) -> Self {
        Self {
            priority,
            per_second,
            burst_factor: 1.0,
            burst_s: (0.0, 0.0),
        }
    }

    pub(crate) fn with_burst(self, burst_factor: f64, from_s: f64, until_s: f64) -> Self {
        Self {
            burst_factor,
            burst_s: (from_s, until_s),
            ..self
        }
    }

    fn rate(&self, ms: u64) -> f64 {
        let second = ms as f64 / 1_000.0;
        match second >= self.burst_s.0 && second < self.burst_s.1 {
            true => self.per_second * self.burst_factor,
            false => self.per_second,
        }
    }
}

/// What is played.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    seed: u64,
    entries: usize,
    runners: u8,
    service_ms: u64,
    kinds: Vec<Kind>,
}

impl Load {
    pub(crate) fn new(
        seed: u64,
        entries: usize,
        runners: u8,
        service_ms: u64,
        kinds: &[Kind],
    ) -> Self {
        Self {
            seed,
            entries,
            runners,
            service_ms,
            kinds: kinds.to_vec(),
        }
    }
}

/// How the requests of a kind fared.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KindResult {
    pub(crate) arrived: u32,
    pub(crate) served: u32,
    pub(crate) on_time: u32,
    pub(crate) refused: u32,
}

impl KindResult {
    pub(crate) fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.arrived)
    }

    pub(crate) fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.arrived)
    }
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    entry: usize,
    arrived_ms: u64,
    kind: usize,
    /// When it ends; `None` while it is queued at the runner.
    ends_ms: Option<u64>,
}

/// Plays the load; returns the results by kind. Callers don't return.
pub(crate) fn play(load: &Load) -> Vec<KindResult> {
    Play::new(load).run()
}

struct Play<'a> {
    load: &'a Load,
    start: Instant,
    rng: SmallRng,
    pools: Vec<Pool>,
    /// Requests at each runner.
    runners: Vec<Vec<Sent>>,
    /// Number of requests at each runner, by millisecond.
    loads: Vec<Vec<u32>>,
    arrived: Vec<(u64, usize)>,
    results: Vec<KindResult>,
}

impl<'a> Play<'a> {
    fn new(load: &'a Load) -> Self {
        let start = Instant::now();
        let limits = PoolLimits {
            max_queued: 256,
            ..LIMITS
        };
        let pool = |seed| {
            let mut pool = Pool::new(start, "here".into(), limits, seed);
            pool.set_runners(start, (0..load.runners).map(runner).collect());
            pool.set_share(EntryShare::equal(load.entries as u32));
            pool
        };
        Self {
            load,
            start,
            rng: SmallRng::seed_from_u64(load.seed),
            pools: (0..load.entries as u64).map(pool).collect(),
            runners: vec![Vec::new(); usize::from(load.runners)],
            loads: Vec::new(),
            arrived: Vec::new(),
            results: vec![KindResult::default(); load.kinds.len()],
        }
    }

    fn run(mut self) -> Vec<KindResult> {
        for ms in 0..LENGTH_MS {
            self.start_at_runners(ms);
            self.end_requests(ms);
            if ms % REPORT_INTERVAL_MS == 0 {
                self.send_events(ms);
                self.report(ms);
            }
            for kind in 0..self.load.kinds.len() {
                let rate = self.load.kinds[kind].rate(ms);
                if self.rng.random::<f64>() < rate / 1_000.0 {
                    self.arrive(ms, kind);
                }
            }
            let loads = self.runners.iter().map(|sent| sent.len() as u32);
            self.loads.push(loads.collect());
        }
        self.results
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// Runners start the most urgent of their queued requests first.
    fn start_at_runners(&mut self, ms: u64) {
        let kinds = &self.load.kinds;
        for at_runner in &mut self.runners {
            at_runner.sort_by_key(|sent| (sent.ends_ms.is_none(), kinds[sent.kind].priority));
            for sent in at_runner.iter_mut().take(RUNNER_SLOTS) {
                if sent.ends_ms.is_none() {
                    sent.ends_ms = Some(ms + self.load.service_ms);
                    let result = &mut self.results[sent.kind];
                    result.served += 1;
                    result.on_time += u32::from(ms - sent.arrived_ms <= ON_TIME_MS);
                }
            }
        }
    }

    fn end_requests(&mut self, ms: u64) {
        let at = self.at(ms);
        for n in 0..self.runners.len() {
            let (ended, left) = std::mem::take(&mut self.runners[n])
                .into_iter()
                .partition(|sent| sent.ends_ms == Some(ms));
            self.runners[n] = left;
            let id = RunnerId::from(format!("r{n}").as_str());
            for Sent { entry, .. } in ended {
                let mut dequeued = self.pools[entry].request_ended(at, &id, RunnerOutcome::Served);
                dequeued.extend(self.pools[entry].take_displaced());
                for request in dequeued {
                    self.decide(entry, request.queue_id, request.admission);
                }
            }
        }
    }

    /// Streams send events with each pass.
    fn send_events(&mut self, ms: u64) {
        let at = self.at(ms);
        for (n, sent) in self.runners.iter().enumerate() {
            let id = RunnerId::from(format!("r{n}").as_str());
            for running in sent.iter().filter(|sent| sent.ends_ms.is_some()) {
                self.pools[running.entry].record_sign_of_life(at, &id);
            }
        }
    }

    fn report(&mut self, ms: u64) {
        let at = self.at(ms);
        let seen = (ms as usize).saturating_sub(REPORT_LAG_MS);
        let Some(loads) = self.loads.get(seen).cloned() else {
            return;
        };
        for entry in 0..self.pools.len() {
            for (n, load) in loads.iter().enumerate() {
                self.pools[entry].update_load(at, address(n as u8), &report(*load, true));
            }
            for request in self.pools[entry].dispatch_queued(at) {
                self.decide(entry, request.queue_id, request.admission);
            }
        }
    }

    fn arrive(&mut self, ms: u64, kind: usize) {
        let at = self.at(ms);
        let entry = self.rng.random_range(0..self.pools.len());
        let queue_id = QueuedRequestId(self.arrived.len() as u64);
        self.arrived.push((ms, kind));
        self.results[kind].arrived += 1;
        let request = QueuedRequest {
            priority: self.load.kinds[kind].priority,
            ..queued_request(at, queue_id.0)
        };
        let admission = self.pools[entry].admit(at, request);
        self.decide(entry, queue_id, admission);
        for displaced in self.pools[entry].take_displaced() {
            self.decide(entry, displaced.queue_id, displaced.admission);
        }
    }

    fn decide(&mut self, entry: usize, queue_id: QueuedRequestId, admission: Admission) {
        let (arrived_ms, kind) = self.arrived[queue_id.0 as usize];
        match admission {
            Admission::Wait => {}
            Admission::Reject { .. } => self.results[kind].refused += 1,
            Admission::Run(selection) => {
                let mut ids = (0..self.runners.len()).map(|n| format!("r{n}"));
                let n = ids.position(|id| id == selection.runner.id.as_str());
                self.runners[n.expect("a known runner")].push(Sent {
                    entry,
                    arrived_ms,
                    kind,
                    ends_ms: None,
                });
            }
        }
    }
}
