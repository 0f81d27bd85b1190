//! State shared by the tasks of a gateway.
//!
//! Each part of the state has its own lock. A task holds a lock only for a short
//! computation and never across an `await`. Sending messages to a task that owns
//! the state instead would cost two task wake-ups per request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use metrics::gauge;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::collections::HashMap;
use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::BrokenTogether;
use wisteriawick_core::gateway::ColdLimit;
use wisteriawick_core::gateway::CrashNote;
use wisteriawick_core::gateway::CrashSuspect;
use wisteriawick_core::gateway::Declaration;
use wisteriawick_core::gateway::DequeuedRequest;
use wisteriawick_core::gateway::EntryCount;
use wisteriawick_core::gateway::EntryId;
use wisteriawick_core::gateway::LatestDeclaration;
use wisteriawick_core::gateway::LoadReport;
use wisteriawick_core::gateway::MemoryPlan;
use wisteriawick_core::gateway::MoveCost;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::gateway::PoolLimits;
use wisteriawick_core::gateway::QueuedRequest;
use wisteriawick_core::gateway::QueuedRequestId;
use wisteriawick_core::gateway::ResponseTimes;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::gateway::RunnerRegistry;
use wisteriawick_core::gateway::RunnerStart;
use wisteriawick_core::gateway::Selection;
use wisteriawick_core::gateway::ServiceTarget;
use wisteriawick_core::gateway::StoreBehind;
use wisteriawick_core::gateway::WindowedRetryBudget;
use wisteriawick_core::hosting::Era;
use wisteriawick_core::hosting::HostSettings;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::ids::RunnerId;
use wisteriawick_core::ids::ServiceId;
use wisteriawick_core::time::SharedClock;
use wisteriawick_platform::StoreClient;

use crate::connection_slots::ConnectionSlots;
use crate::connection_slots::GiveWay;
use crate::crash_board::CrashBoard;
use crate::evacuation_board::EvacuationBoard;
use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::gateway::crash_probe::CrashProbes;
use crate::gateway::departures::DepartureLog;
use crate::gateway::leader_shares::LeaderShares;
use crate::gateway::led_groups::LedGroups;
use crate::gateway::memory::RequestMemory;
use crate::gateway::rank_positions::RankPositions;
use crate::gateway::response_body::BodyBudget;
use crate::gateway::stop::Stop;
use crate::gateway::upstream::UpstreamPool;
use crate::telemetry;

/// Number of entries among which a runner's slots are divided while no load report
/// shows the other entries' requests. If fewer are running, slots stay unused.
const ASSUMED_ENTRIES: usize = 4;
/// Interval at which queued requests are dispatched to runners that became
/// available without another event.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of queued requests per service.
const MAX_QUEUED: usize = 256;
/// Share of the longest allowed gap between events that a pass may take. Each pass
/// yields an event, and the duration of passes varies.
const MAX_PASS_SHARE_OF_GAP: f64 = 0.8;
/// Share of its remaining time that a request may be queued.
const MAX_WAIT_SHARE: f64 = 0.5;

/// The pool of one service and what belongs to it.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) pool: Pool,
    pub(crate) budget: WindowedRetryBudget,
    stream_times: ResponseTimes,
    plain_times: ResponseTimes,
    departures: DepartureLog,
    /// Where the decision about each queued request is sent.
    /// Whether runners of unknown group were doubted when that was last logged.
    has_doubt: bool,
    waiters: HashMap<QueuedRequestId, oneshot::Sender<Admission>>,
}

/// State shared by all tasks of a gateway.
#[derive(Debug)]
pub(crate) struct GatewayState {
    pub(crate) settings: HostSettings,
    pub(crate) clock: SharedClock,
    pub(crate) log: EventLog,
    pub(crate) store: StoreClient,
    pub(crate) upstreams: UpstreamPool,
    pub(crate) body_budget: BodyBudget,
    /// Memory that requests hold.
    pub(crate) memory: Arc<RequestMemory>,
    /// Callers' connections.
    pub(crate) connections: Arc<ConnectionSlots>,
    latest_declaration: Mutex<LatestDeclaration>,
    pub(crate) runner_registry: Mutex<RunnerRegistry>,
    services: Mutex<HashMap<ServiceId, ServiceState>>,
    /// Requests that crash runners.
    pub(crate) crashes: CrashBoard,
    /// How many suspects were blocked when that was last looked at.
    blocked_suspects: AtomicUsize,
    pub(crate) crash_probes: CrashProbes,
    /// Data centres whose runners get no requests.
    pub(crate) evacuations: EvacuationBoard,
    /// Whether they may be older than the settings allow.
    pub(crate) evacuations_unconfirmed: AtomicBool,
    /// Groups and ranks of the runners.
    pub(crate) positions: RankPositions,
    pub(crate) led_groups: LedGroups,
    broken: Mutex<BrokenTogether>,
    /// Notified when the runners or the services change.
    pub(crate) runners_changed: Notify,
    entry_count: Mutex<EntryCount>,
    /// Distinguishes this process from other entries.
    pub(crate) entry_id: EntryId,
    pub(crate) leader_shares: LeaderShares,
    /// Number of changes of rate limits that this entry's responses brought.
    pub(crate) limits_changed: watch::Sender<u64>,
    rng: Mutex<SmallRng>,
    next_queue_id: AtomicU64,
    /// Whether the store has listed the runners at least once.
    has_runner_list: AtomicBool,
    pub(crate) stop: Stop,
}

/// The result of submitting a request to a pool.
#[derive(Debug)]
pub(crate) enum Placement {
    /// The pool decided at once; never [`Admission::Wait`].
    Immediate(Admission),
    /// The request is queued, and the receiver gets the decision.
    Queued(QueuedRequestId, oneshot::Receiver<Admission>),
}

impl GatewayState {
    pub(crate) fn new(settings: HostSettings, clock: SharedClock, log: EventLog) -> Self {
        // Two processes with equal identifiers would each use the other's share.
        let mut rng = SmallRng::seed_from_u64(rand::random());
        let plan = MemoryPlan::new(&settings.resources);
        let connections = ConnectionSlots::new(plan.max_connections, GiveWay::Waiting);
        Self {
            memory: RequestMemory::new(plan, Arc::clone(&connections)),
            connections,
            store: StoreClient::new(settings.store),
            upstreams: UpstreamPool::default(),
            body_budget: BodyBudget::default(),
            latest_declaration: Mutex::default(),
            runner_registry: Mutex::default(),
            services: Mutex::default(),
            crashes: CrashBoard::new(Arc::clone(&clock)),
            blocked_suspects: AtomicUsize::new(0),
            crash_probes: CrashProbes::default(),
            evacuations: EvacuationBoard::default(),
            evacuations_unconfirmed: AtomicBool::new(false),
            positions: RankPositions::default(),
            led_groups: LedGroups::default(),
            broken: Mutex::default(),
            runners_changed: Notify::new(),
            entry_count: Mutex::default(),
            entry_id: EntryId(rng.random()),
            leader_shares: LeaderShares::default(),
            limits_changed: watch::Sender::new(0),
            rng: Mutex::new(rng),
            next_queue_id: AtomicU64::new(1),
            has_runner_list: AtomicBool::new(false),
            stop: Stop::default(),
            settings,
            clock,
            log,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    fn next_seed(&self) -> u64 {
        lock(&self.rng).random()
    }

    /// Returns a random number of at least zero and below one.
    pub(crate) fn random_fraction(&self) -> f64 {
        lock(&self.rng).random::<f64>()
    }

    pub(crate) fn declaration(&self) -> Option<Arc<Declaration>> {
        lock(&self.latest_declaration).get().cloned()
    }

    /// Puts a declaration in force if it is newer than the current one; returns
    /// whether it was.
    pub(crate) fn update_declaration(&self, era: Era, declaration: Declaration) -> bool {
        if !lock(&self.latest_declaration).update(era, declaration) {
            return false;
        }
        self.refresh_services();
        true
    }

    /// Compares the declaration in force with the one that the store lists; see
    /// [`LatestDeclaration::compare_listed`].
    pub(crate) fn compare_listed(&self, era: Era, listed: Option<u64>) -> Option<StoreBehind> {
        lock(&self.latest_declaration).compare_listed(era, listed)
    }

    /// Updates all pools from the declaration and the runner registry. Before it is known
    /// what is evacuated, no pool gets a runner.
    pub(crate) fn refresh_services(&self) {
        let Some(declaration) = self.declaration() else {
            return;
        };
        if !self.knows_evacuations() {
            return;
        }
        let now = self.now();
        let runner_registry = lock(&self.runner_registry);
        let mut services = lock(&self.services);
        for target in declaration.services() {
            let limits = pool_limits(target, declaration.tightest_event_gap(&target.id));
            let service_state = services
                .entry(target.id.clone())
                .or_insert_with(|| self.new_service(now, limits));
            service_state.pool.set_limits(limits);
            let engine = target.engine.as_ref();
            let cost = MoveCost::new(&self.settings.place, &target.delays, engine);
            service_state.pool.set_move_cost(now, cost);
            let cold_limit = self.cold_limit(target);
            service_state.pool.set_cold_limit(now, cold_limit);
            let is_declared = |service: &ServiceId| declaration.service(service).is_some();
            let runners = runner_registry.of_service(&target.id, is_declared);
            service_state.pool.set_runners(now, runners);
            let dequeued = service_state.pool.dispatch_queued(now);
            service_state.deliver(now, dequeued);
        }
        self.runners_changed.notify_one();
    }

    /// Updates which runners of all pools are in evacuated data centres, and decides anew
    /// on queued requests.
    pub(crate) fn refresh_evacuated(&self) {
        let now = self.now();
        let mut services = lock(&self.services);
        // Read under the lock of the pools, so that the last change is the last applied.
        let places = self.evacuations.lock().places();
        for service_state in services.values_mut() {
            service_state.pool.set_evacuated(now, &places);
            let dequeued = service_state.pool.dispatch_queued(now);
            service_state.deliver(now, dequeued);
        }
    }

    /// Returns the bound for a service's runners that may be cold; `None` if the service
    /// declares no cold start or the deployment states no bound.
    fn cold_limit(&self, target: &ServiceTarget) -> Option<ColdLimit> {
        let allowance = self.settings.bounds.cold_allowance?;
        Some(ColdLimit::new(target.cold_start?, allowance))
    }

    fn new_service(&self, now: Instant, limits: PoolLimits) -> ServiceState {
        let bounds = &self.settings.bounds;
        let mut pool = Pool::new(now, self.settings.place.clone(), limits, self.next_seed());
        pool.set_evacuated(now, &self.evacuations.lock().places());
        ServiceState {
            pool,
            budget: WindowedRetryBudget::new(
                bounds.retry_budget_ratio,
                bounds.retry_budget_extra,
                self.estimated_entries(now).into(),
                bounds.retry_window,
            ),
            stream_times: ResponseTimes::default(),
            plain_times: ResponseTimes::default(),
            departures: DepartureLog::default(),
            has_doubt: false,
            waiters: HashMap::default(),
        }
    }

    /// Returns the address and service of each runner that belongs to a group.
    pub(crate) fn grouped_runners(&self) -> Vec<(SocketAddr, ServiceId)> {
        let Some(declaration) = self.declaration() else {
            return Vec::new();
        };
        let has_groups = |service: &ServiceId| {
            declaration
                .service(service)
                .and_then(|target| target.engine.as_ref())
                .is_some_and(|engine| engine.experts.is_some())
        };
        lock(&self.runner_registry)
            .all()
            .filter(|runner| has_groups(&runner.service))
            .map(|runner| (runner.address, runner.service.clone()))
            .collect()
    }

    /// Stores load reports of runners, given by address.
    pub(crate) fn update_loads(&self, service: &ServiceId, reports: &[(SocketAddr, LoadReport)]) {
        let now = self.now();
        self.with_service(service, |service_state| {
            for (address, report) in reports {
                service_state.pool.update_load(now, *address, report);
            }
            let dequeued = service_state.pool.dispatch_queued(now);
            service_state.deliver(now, dequeued);
        });
    }

    /// Stores a leader's count of entries, which share the retry budgets.
    pub(crate) fn update_entry_count(&self, count: u16) {
        let now = self.now();
        lock(&self.entry_count).update(now, count);
        let entries = self.estimated_entries(now).into();
        for service_state in lock(&self.services).values_mut() {
            service_state.budget.set_entries(entries);
        }
    }

    pub(crate) fn estimated_entries(&self, now: Instant) -> u16 {
        lock(&self.entry_count).get(now)
    }

    /// Returns [`EntryCount::get_settled`].
    pub(crate) fn settled_entries(&self, now: Instant) -> u16 {
        lock(&self.entry_count).get_settled(now)
    }

    pub(crate) fn set_has_runner_list(&self) {
        self.has_runner_list.store(true, Ordering::Relaxed);
    }

    /// Returns whether this entry can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.knows_runners() && self.knows_evacuations()
    }

    /// Returns whether the store has told which services there are, and their runners.
    pub(crate) fn knows_runners(&self) -> bool {
        self.has_runner_list.load(Ordering::Relaxed) && self.declaration().is_some()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.schedule().is_some()
    }

    pub(crate) fn next_queue_id(&self) -> QueuedRequestId {
        QueuedRequestId(self.next_queue_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Calls a function with a service's state; returns `None` if there is no such
    /// service.
    pub(crate) fn with_service<T>(
        &self,
        service: &ServiceId,
        run: impl FnOnce(&mut ServiceState) -> T,
    ) -> Option<T> {
        lock(&self.services).get_mut(service).map(run)
    }

    /// Calls a function with the state of each service.
    pub(crate) fn for_each_service(&self, mut run: impl FnMut(&ServiceId, &mut ServiceState)) {
        for (service, service_state) in lock(&self.services).iter_mut() {
            run(service, service_state);
        }
    }

    /// Returns whether a request may be handed to the runner selected for it; see
    /// [`Pool::hand_out`].
    pub(crate) fn hand_out(&self, service: &ServiceId, selection: &Selection) -> bool {
        let now = self.now();
        self.with_service(service, |service_state| {
            service_state.pool.hand_out(now, selection)
        })
        .unwrap_or(false)
    }

    /// Submits a request to a service's pool; returns `None` if there is no such
    /// service.
    pub(crate) fn admit(&self, service: &ServiceId, request: QueuedRequest) -> Option<Placement> {
        let now = self.now();
        self.with_service(service, |service_state| {
            let queue_id = request.queue_id;
            let admission = service_state.pool.admit(now, request);
            let displaced = service_state.pool.take_displaced();
            service_state.deliver(now, displaced);
            match admission {
                Admission::Wait => {
                    let (tx, rx) = oneshot::channel();
                    service_state.waiters.insert(queue_id, tx);
                    Placement::Queued(queue_id, rx)
                }
                admission => Placement::Immediate(admission),
            }
        })
    }

    /// Returns when a request that got no slot in time should come back; `None` if there
    /// is no such service.
    pub(crate) fn retry_after(&self, service: &ServiceId, rank: u32) -> Option<Duration> {
        let now = self.now();
        self.with_service(service, |service_state| {
            service_state.pool.retry_after(now, rank)
        })
    }

    /// Removes a request from the queue.
    pub(crate) fn cancel(&self, service: &ServiceId, queue_id: QueuedRequestId) {
        self.with_service(service, |service_state| {
            service_state.pool.cancel(queue_id);
            service_state.waiters.remove(&queue_id);
        });
    }

    /// Returns whether a runner's group has reported passes recently.
    pub(crate) fn is_making_progress(&self, service: &ServiceId, runner: &RunnerId) -> bool {
        let now = self.now();
        self.with_service(service, |service_state| {
            service_state.pool.is_making_progress(now, runner)
        })
        .unwrap_or(false)
    }

    /// Returns whether a runner outside `excluded` could take a request now.
    pub(crate) fn has_room_except(&self, service: &ServiceId, excluded: &[RunnerId]) -> bool {
        let now = self.now();
        self.with_service(service, |service_state| {
            service_state.pool.has_room_except(now, excluded)
        })
        .unwrap_or(false)
    }

    /// Records that a runner began a response.
    pub(crate) fn response_began(&self, service: &ServiceId, runner: &RunnerId) {
        let now = self.now();
        self.with_service(service, |service_state| {
            let dequeued = service_state.pool.response_began(now, runner);
            service_state.deliver(now, dequeued);
        });
    }

    /// Records that a runner sent an event of a stream.
    pub(crate) fn record_sign_of_life(&self, service: &ServiceId, runner: &RunnerId) {
        let now = self.now();
        self.with_service(service, |service_state| {
            service_state.pool.record_sign_of_life(now, runner);
        });
    }

    /// Records that a request ended at a runner.
    pub(crate) fn request_ended(
        &self,
        service: &ServiceId,
        runner: &RunnerId,
        outcome: RunnerOutcome,
    ) {
        let now = self.now();
        self.with_service(service, |service_state| {
            let dequeued = service_state.pool.request_ended(now, runner, outcome);
            service_state.deliver(now, dequeued);
        });
    }

    /// Records that a runner crashed, and logs what the requests have whose attempts it
    /// broke off, the crashes that count against each, and for how long they are blocked.
    /// `proof` says how that became known.
    pub(crate) fn runner_lost(&self, runner: &RunnerStart, proof: &str) {
        let (suspects, crashes, blocked) = self.crashes.update(|tracker, now| {
            let suspects = tracker.runner_lost(now, runner);
            let crashes: Vec<usize> = suspects.iter().map(|it| tracker.crashes(*it)).collect();
            let blocked = tracker.blocked_by(now, &suspects);
            (suspects, crashes, blocked)
        });
        if suspects.is_empty() {
            return;
        }
        let suspects: Vec<String> = suspects.iter().map(ToString::to_string).collect();
        let fields = json!({
            "runner": runner.runner.as_str(),
            "started_unix_ms": runner.unix_ms,
            "proof": proof,
            "suspects": suspects,
            "crashes": crashes,
            "blocked_ms": blocked.map(|(_, time)| time.as_millis() as u64),
        });
        self.log.line(EventCategory::State, "crash_proven", fields);
    }

    /// Records an attempt that broke at a runner.
    pub(crate) fn record_break(&self, runner: &ListedRunner, suspects: &[CrashSuspect]) {
        self.log_breaks();
        let position = self.positions.get(runner.address);
        lock(&self.broken).record(self.now(), runner, position.as_ref(), suspects);
    }

    /// Logs what attempts that broke together have in common, once no more can.
    fn log_breaks(&self) {
        let Some(summary) = lock(&self.broken).take_summary(self.now()) else {
            return;
        };
        let suspects: Vec<String> = summary.suspects.iter().map(ToString::to_string).collect();
        let fields = json!({
            "attempts": summary.attempts,
            "runner": summary.runner.as_ref().map(|runner| runner.as_str()),
            "group": summary.group.as_deref(),
            "place": summary.place.as_ref().map(|place| place.as_str()),
            "suspects": suspects,
        });
        self.log
            .line(EventCategory::Failure, "broke_together", fields);
    }

    /// Takes over what other entries know of requests that crash runners.
    pub(crate) fn learn_crashes(&self, notes: &[CrashNote]) {
        let Some(blocked) = self.crashes.merge(notes) else {
            return;
        };
        if self.blocked_suspects.swap(blocked, Ordering::Relaxed) != blocked {
            let fields = json!({"blocked": blocked});
            self.log
                .line(EventCategory::State, "crashes_learned", fields);
        }
    }

    /// Sets the gauges that show what a restored store does not hold, and how much
    /// is blocked since it crashes runners.
    fn report_gauges(&self) {
        let declaration = lock(&self.latest_declaration).is_store_behind();
        gauge!(telemetry::STORE_BEHIND, "for" => "declaration").set(f64::from(declaration));
        let runners = lock(&self.runner_registry).withheld_count();
        gauge!(telemetry::STORE_BEHIND, "for" => "runners").set(runners as f64);
        let blocked = self
            .crashes
            .update(|tracker, now| tracker.blocked_count(now));
        self.blocked_suspects.store(blocked, Ordering::Relaxed);
        gauge!(telemetry::BLOCKED_SUSPECTS).set(blocked as f64);
        gauge!(telemetry::OPEN_CONNECTIONS).set(self.connections.count() as f64);
    }

    /// Dispatches the queued requests of all services and updates their gauges.
    fn dispatch_all(&self) {
        let now = self.now();
        for (service, service_state) in lock(&self.services).iter_mut() {
            let (in_flight, waiting) = service_state.pool.request_counts();
            let label = service.as_str().to_string();
            gauge!(telemetry::IN_FLIGHT_REQUESTS, "service" => label.clone()).set(in_flight);
            gauge!(telemetry::WAITING_REQUESTS, "service" => label.clone()).set(waiting as f64);
            let limited = service_state.pool.limited_count();
            gauge!(telemetry::LIMITED_RUNNERS, "service" => label.clone()).set(limited as f64);
            let resting = service_state.pool.resting_count(now);
            gauge!(telemetry::RESTING_RUNNERS, "service" => label.clone()).set(resting as f64);
            let evacuated = service_state.pool.evacuated_count();
            gauge!(telemetry::EVACUATED_RUNNERS, "service" => label.clone()).set(evacuated as f64);
            service_state
                .departures
                .report(service, &service_state.pool, &self.log);
            let cold = service_state.pool.cold_count(now);
            gauge!(telemetry::COLD_RUNNERS, "service" => label.clone()).set(cold as f64);
            for change in service_state.pool.take_cold_changes(now) {
                self.log_cold(&change);
            }
            let doubted = service_state.pool.doubted_count(now);
            gauge!(telemetry::DOUBTED_RUNNERS, "service" => label).set(doubted as f64);
            service_state.log_doubt(&self.log, service, doubted);
            if service_state.waiters.is_empty() {
                continue;
            }
            let dequeued = service_state.pool.dispatch_queued(now);
            service_state.deliver(now, dequeued);
        }
    }
}

impl ServiceState {
    /// Returns the times of the service's streams or of its other requests.
    pub(crate) fn times(&mut self, is_streaming: bool) -> &mut ResponseTimes {
        match is_streaming {
            true => &mut self.stream_times,
            false => &mut self.plain_times,
        }
    }

    /// Logs when runners of unknown group begin to be doubted and when all are trusted.
    fn log_doubt(&mut self, log: &EventLog, service: &ServiceId, doubted: usize) {
        let has_doubt = doubted > 0;
        if std::mem::replace(&mut self.has_doubt, has_doubt) == has_doubt {
            return;
        }
        match has_doubt {
            true => {
                let fields = json!({"service": service.as_str(), "runners": doubted});
                log.line(EventCategory::Failure, "runners_doubted", fields);
            }
            false => {
                let fields = json!({"service": service.as_str()});
                log.line(EventCategory::State, "runners_trusted", fields);
            }
        }
    }

    /// Sends decisions to the tasks of queued requests. If the caller has
    /// disconnected, the assigned slot is released for the next request.
    fn deliver(&mut self, now: Instant, mut dequeued: Vec<DequeuedRequest>) {
        while let Some(request) = dequeued.pop() {
            let undelivered = match self.waiters.remove(&request.queue_id) {
                Some(tx) => tx.send(request.admission).err(),
                None => Some(request.admission),
            };
            if let Some(Admission::Run(selection)) = undelivered {
                let freed =
                    self.pool
                        .request_ended(now, &selection.runner.id, RunnerOutcome::Abandoned);
                dequeued.extend(freed);
            }
        }
    }
}

/// Slots of an engine that are kept free for requests that other entries sent since
/// the last report, so that requests queue here and not at the engine.
const RESERVED_SLOTS: u32 = 1;

fn pool_limits(target: &ServiceTarget, max_event_gap: Option<Duration>) -> PoolLimits {
    let (max_per_runner, max_without_report) = match &target.engine {
        Some(engine) => (
            engine.slots.saturating_sub(RESERVED_SLOTS).max(1),
            (engine.slots as usize).div_ceil(ASSUMED_ENTRIES) as u32,
        ),
        None => (MAX_REQUESTS_PER_PLAIN_RUNNER, MAX_REQUESTS_PER_PLAIN_RUNNER),
    };
    PoolLimits {
        max_per_runner,
        max_without_report,
        has_groups: target
            .engine
            .as_ref()
            .is_some_and(|engine| engine.experts.is_some()),
        max_pass_time: max_event_gap.map(|gap| gap.mul_f64(MAX_PASS_SHARE_OF_GAP)),
        max_queued: MAX_QUEUED,
        max_wait_share: MAX_WAIT_SHARE,
    }
}

/// Maximum number of this entry's requests at a runner without an engine model:
/// those being executed and a few that the runner queues itself.
const MAX_REQUESTS_PER_PLAIN_RUNNER: u32 = 4;

/// Periodically drops expired runners, dispatches or rejects queued requests, and
/// closes idle connections.
pub(crate) async fn run_maintenance(state: Arc<GatewayState>, shutdown: CancellationToken) {
    let mut ticks = tokio::time::interval(MAINTENANCE_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = shutdown.cancelled() => return,
        }
        let expired = lock(&state.runner_registry).expire(state.now());
        if expired > 0 {
            state.refresh_services();
        }
        state.refresh_shares();
        state.report_gauges();
        state.report_evacuations();
        state.memory.report(|fields| {
            state
                .log
                .line(EventCategory::Failure, "memory_short", fields);
        });
        state.log_breaks();
        state.dispatch_all();
        state.upstreams.close_idle(state.now());
    }
}

/// Locks a mutex.
///
/// # Panics
///
/// Panics if another holder of the lock has panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}

#[cfg(test)]
mod tests;
