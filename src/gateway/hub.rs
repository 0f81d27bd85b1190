//! What the tasks of a gateway share: the cores, each behind a lock.
//!
//! Every holder of a lock runs a core and lets go; none awaits. A message to
//! an owning task would cost two wake-ups for each request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use metrics::gauge;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::collections::HashMap;
use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::Crowd;
use wisteriawick_core::gateway::Declaration;
use wisteriawick_core::gateway::Latest;
use wisteriawick_core::gateway::LoadReport;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::gateway::PoolLimits;
use wisteriawick_core::gateway::RepeatBudget;
use wisteriawick_core::gateway::Roster;
use wisteriawick_core::gateway::RunnerStatus;
use wisteriawick_core::gateway::ServiceTarget;
use wisteriawick_core::gateway::Strikes;
use wisteriawick_core::gateway::TicketId;
use wisteriawick_core::gateway::Wake;
use wisteriawick_core::gateway::Work;
use wisteriawick_core::hosting::HostSettings;
use wisteriawick_core::ids::RunnerId;
use wisteriawick_core::ids::ServiceId;
use wisteriawick_core::time::SharedClock;
use wisteriawick_platform::StoreClient;

use crate::eventlog::EventLog;
use crate::gateway::upstream::Upstreams;
use crate::telemetry;

/// Entries among which a runner's slots are divided while no report tells what
/// others send it. One that is not there leaves its part unused.
const ENTRIES: usize = 4;
/// Time between two looks at what waits, for runners that come back.
const HOUSEKEEPING: Duration = Duration::from_millis(100);
/// Requests that wait for one service at most.
const MAX_WAITING: usize = 256;
/// Part of the longest pause between events that a pass may take: an event
/// comes with each pass, and passes differ.
const PASS_SHARE: f64 = 0.8;
/// Share of its remaining time that a request may wait for a runner.
const WAIT_SHARE: f64 = 0.5;

/// State of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) pool: Pool,
    pub(crate) budget: RepeatBudget,
    waiters: HashMap<TicketId, oneshot::Sender<Admission>>,
}

/// What the tasks share.
#[derive(Debug)]
pub(crate) struct Hub {
    pub(crate) settings: HostSettings,
    pub(crate) clock: SharedClock,
    pub(crate) log: EventLog,
    pub(crate) store: StoreClient,
    pub(crate) upstreams: Upstreams,
    latest: Mutex<Latest>,
    pub(crate) roster: Mutex<Roster>,
    services: Mutex<HashMap<ServiceId, ServiceState>>,
    pub(crate) strikes: Mutex<Strikes>,
    crowd: Mutex<Crowd>,
    rng: Mutex<SmallRng>,
    next_ticket: AtomicU64,
    has_roster: AtomicBool,
    is_stopping: AtomicBool,
}

/// A request's place: at a runner, or in the queue.
#[derive(Debug)]
pub(crate) enum Placed {
    /// It was placed or refused at once.
    Now(Admission),
    /// It waits.
    Later(TicketId, oneshot::Receiver<Admission>),
}

impl Hub {
    pub(crate) fn new(settings: HostSettings, clock: SharedClock, log: EventLog) -> Self {
        let seed = settings.name.as_str().bytes().fold(
            clock
                .wall()
                .elapsed()
                .map_or(1, |age| age.as_nanos() as u64),
            |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()),
        );
        Self {
            store: StoreClient::new(settings.store),
            upstreams: Upstreams::default(),
            latest: Mutex::default(),
            roster: Mutex::default(),
            services: Mutex::default(),
            strikes: Mutex::default(),
            crowd: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            next_ticket: AtomicU64::new(1),
            has_roster: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            settings,
            clock,
            log,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    fn seed(&self) -> u64 {
        lock(&self.rng).random()
    }

    /// Returns a number from zero to below one.
    pub(crate) fn draw(&self) -> f64 {
        lock(&self.rng).random::<f64>()
    }

    pub(crate) fn declaration(&self) -> Option<Arc<Declaration>> {
        lock(&self.latest).get().cloned()
    }

    /// Takes a declaration; returns whether it is now in force.
    pub(crate) fn offer(&self, declaration: Declaration) -> bool {
        if !lock(&self.latest).offer(declaration) {
            return false;
        }
        self.refresh_services();
        true
    }

    /// Brings the pools up to date with the declaration and the roster.
    pub(crate) fn refresh_services(&self) {
        let Some(declaration) = self.declaration() else {
            return;
        };
        let now = self.now();
        let roster = lock(&self.roster);
        let mut services = lock(&self.services);
        for target in declaration.services() {
            let limits = pool_limits(target, declaration.shortest_pause(&target.id));
            let state = services
                .entry(target.id.clone())
                .or_insert_with(|| self.new_service(now, limits));
            state.pool.set_limits(limits);
            state.pool.set_runners(now, roster.of_service(&target.id));
            let wakes = state.pool.wake(now);
            state.deliver(now, wakes);
        }
    }

    fn new_service(&self, now: Instant, limits: PoolLimits) -> ServiceState {
        let bounds = &self.settings.bounds;
        ServiceState {
            pool: Pool::new(now, self.settings.place.clone(), limits, self.seed()),
            budget: RepeatBudget::new(
                bounds.retry_budget_ratio,
                bounds.retry_budget_extra,
                self.entries(now).into(),
                bounds.retry_window,
            ),
            waiters: HashMap::default(),
        }
    }

    /// Returns the runners of services with groups.
    pub(crate) fn engine_runners(&self) -> Vec<(SocketAddr, ServiceId)> {
        let Some(declaration) = self.declaration() else {
            return Vec::new();
        };
        let with_groups = |service: &ServiceId| {
            declaration
                .service(service)
                .and_then(|target| target.engine.as_ref())
                .is_some_and(|engine| engine.experts.is_some())
        };
        lock(&self.roster)
            .all()
            .filter(|runner| with_groups(&runner.service))
            .map(|runner| (runner.address, runner.service.clone()))
            .collect()
    }

    /// Takes reports of runners' load, by address.
    pub(crate) fn take_loads(&self, service: &ServiceId, reports: &[(SocketAddr, LoadReport)]) {
        let now = self.now();
        self.with_service(service, |state| {
            for (address, report) in reports {
                state.pool.report(now, *address, report);
            }
            let wakes = state.pool.wake(now);
            state.deliver(now, wakes);
        });
    }

    /// Takes a leader's count of entries, among which the retry budgets are
    /// divided.
    pub(crate) fn take_entry_count(&self, count: u16) {
        let now = self.now();
        lock(&self.crowd).take(now, count);
        let entries = self.entries(now).into();
        for state in lock(&self.services).values_mut() {
            state.budget.set_entries(entries);
        }
    }

    fn entries(&self, now: Instant) -> u16 {
        lock(&self.crowd).count(now)
    }

    pub(crate) fn set_has_roster(&self) {
        self.has_roster.store(true, Ordering::Relaxed);
    }

    /// Returns whether callers should come here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.has_roster.load(Ordering::Relaxed)
            && self.declaration().is_some()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn set_stopping(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn next_ticket(&self) -> TicketId {
        TicketId(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    /// Runs something on a service's state; `None` for an unknown service.
    pub(crate) fn with_service<T>(
        &self,
        service: &ServiceId,
        run: impl FnOnce(&mut ServiceState) -> T,
    ) -> Option<T> {
        lock(&self.services).get_mut(service).map(run)
    }

    /// Places a request or lets it wait.
    pub(crate) fn place(&self, service: &ServiceId, work: Work) -> Option<Placed> {
        let now = self.now();
        self.with_service(service, |state| {
            let ticket = work.ticket;
            match state.pool.admit(now, work) {
                Admission::Wait => {
                    let (tx, rx) = oneshot::channel();
                    state.waiters.insert(ticket, tx);
                    Placed::Later(ticket, rx)
                }
                admission => Placed::Now(admission),
            }
        })
    }

    /// Forgets a request that waits.
    pub(crate) fn cancel(&self, service: &ServiceId, ticket: TicketId) {
        self.with_service(service, |state| {
            state.pool.cancel(ticket);
            state.waiters.remove(&ticket);
        });
    }

    /// Returns whether a runner's group was seen to make passes just now.
    pub(crate) fn is_progressing(&self, service: &ServiceId, runner: &RunnerId) -> bool {
        let now = self.now();
        self.with_service(service, |state| state.pool.is_progressing(now, runner))
            .unwrap_or(false)
    }

    /// Records that a runner began to serve a request.
    pub(crate) fn began(&self, service: &ServiceId, runner: &RunnerId) {
        let now = self.now();
        self.with_service(service, |state| {
            let wakes = state.pool.began(now, runner);
            state.deliver(now, wakes);
        });
    }

    /// Records that a request left a runner.
    pub(crate) fn ended(&self, service: &ServiceId, runner: &RunnerId, status: RunnerStatus) {
        let now = self.now();
        self.with_service(service, |state| {
            let wakes = state.pool.ended(now, runner, status);
            state.deliver(now, wakes);
        });
    }

    fn wake_all(&self) {
        let now = self.now();
        for (service, state) in lock(&self.services).iter_mut() {
            let (in_flight, waiting) = state.pool.load();
            let label = service.as_str().to_string();
            gauge!(telemetry::IN_FLIGHT_REQUESTS, "service" => label.clone()).set(in_flight);
            gauge!(telemetry::WAITING_REQUESTS, "service" => label).set(waiting as f64);
            if state.waiters.is_empty() {
                continue;
            }
            let wakes = state.pool.wake(now);
            state.deliver(now, wakes);
        }
    }
}

impl ServiceState {
    /// Tells waiting requests how they go on. What cannot be told, because its
    /// caller left, frees its place for the next one.
    fn deliver(&mut self, now: Instant, mut wakes: Vec<Wake>) {
        while let Some(wake) = wakes.pop() {
            let undelivered = match self.waiters.remove(&wake.ticket) {
                Some(tx) => tx.send(wake.admission).err(),
                None => Some(wake.admission),
            };
            if let Some(Admission::Run(candidate)) = undelivered {
                let freed = self
                    .pool
                    .ended(now, &candidate.runner.id, RunnerStatus::Abandoned);
                wakes.extend(freed);
            }
        }
    }
}

/// Slots of an engine that are left free for what other entries sent since the
/// last report, so that requests wait here and not at the engine.
const SPARE_SLOTS: u32 = 1;

fn pool_limits(target: &ServiceTarget, pause: Option<Duration>) -> PoolLimits {
    let (per_runner, unreported) = match &target.engine {
        Some(engine) => (
            engine.slots.saturating_sub(SPARE_SLOTS).max(1),
            (engine.slots as usize).div_ceil(ENTRIES) as u32,
        ),
        None => (PLAIN_PER_RUNNER, PLAIN_PER_RUNNER),
    };
    PoolLimits {
        per_runner,
        unreported,
        in_groups: target
            .engine
            .as_ref()
            .is_some_and(|engine| engine.experts.is_some()),
        longest_pass: pause.map(|pause| pause.mul_f64(PASS_SHARE)),
        waiting: MAX_WAITING,
        wait_share: WAIT_SHARE,
    }
}

/// Requests of one entry at a runner of a plain service: what runs and a few
/// that it queues itself.
const PLAIN_PER_RUNNER: u32 = 4;

/// Lets waiting requests go on when runners come back or their time is over.
pub(crate) async fn keep_house(hub: Arc<Hub>, end: CancellationToken) {
    let mut ticks = tokio::time::interval(HOUSEKEEPING);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = end.cancelled() => return,
        }
        let expired = lock(&hub.roster).expire(hub.now());
        if expired > 0 {
            hub.refresh_services();
        }
        hub.wake_all();
        hub.upstreams.close_idle(hub.now());
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}
