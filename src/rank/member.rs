//! The task that owns the connection to the runner beside this agent.
//!
//! It polls the runner's state and counts, publishes them to the other tasks of
//! the agent, and executes the leader's orders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gateway::LoadReport;
use wisteriawick_core::maps::CountSchedule;
use wisteriawick_core::maps::CountStep;
use wisteriawick_core::maps::RankOrder;
use wisteriawick_core::time::SharedClock;
use wisteriawick_platform::EngineState;
use wisteriawick_platform::RankState;
use wisteriawick_platform::RunnerApi;

use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::rank::counts::CountDeltas;
use crate::rank::order::CALL_TIMEOUT;
use crate::rank::order::EpochOrder;
use crate::rank::order::OrderResult;
use crate::rank::order::execute_order;
use crate::rank::wire::CountsWire;
use crate::rank::wire::ExpertsWire;

/// Time between two readings of the state while no map switch is under way.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two readings of the state while a map switch is under way.
const ACTIVE_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Time after an order for which a map switch counts as under way.
const ACTIVE_AFTER_ORDER: Duration = Duration::from_millis(200);
/// Most orders, and most readings, that wait for a slow receiver.
const QUEUE_CAPACITY: usize = 16;

/// The known state of the runner beside this agent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OwnRank {
    pub(crate) state: RankState,
    pub(crate) load: LoadReport,
    /// The experts that the rank holds; `None` until they have been read.
    pub(crate) experts: Option<ExpertsWire>,
}

/// Access to the member task for other tasks.
#[derive(Clone, Debug)]
pub(crate) struct MemberHandle {
    pub(crate) orders: mpsc::Sender<EpochOrder>,
    pub(crate) own: watch::Receiver<Option<OwnRank>>,
    counts: broadcast::Sender<CountsWire>,
    count_interval: Arc<watch::Sender<Option<Duration>>>,
}

impl MemberHandle {
    /// Subscribes to the readings of counts from now on.
    pub(crate) fn counts(&self) -> broadcast::Receiver<CountsWire> {
        self.counts.subscribe()
    }

    /// Sets the time between two readings of counts that are reported.
    pub(crate) fn set_count_interval(&self, interval: Duration) {
        self.count_interval.send_replace(Some(interval));
    }
}

/// The state of the member task.
pub(crate) struct MemberTask {
    api: RunnerApi,
    clock: SharedClock,
    log: EventLog,
    orders: mpsc::Receiver<EpochOrder>,
    own: watch::Sender<Option<OwnRank>>,
    counts: broadcast::Sender<CountsWire>,
    deltas: CountDeltas,
    count_interval: watch::Receiver<Option<Duration>>,
    count_schedule: CountSchedule,
    active_until: Instant,
    is_reachable: bool,
}

impl MemberTask {
    pub(crate) fn new(
        runner: SocketAddr,
        clock: SharedClock,
        log: EventLog,
    ) -> (Self, MemberHandle) {
        let (orders_tx, orders) = mpsc::channel(QUEUE_CAPACITY);
        let (own, own_rx) = watch::channel(None);
        let (counts, _) = broadcast::channel(QUEUE_CAPACITY);
        let (interval_tx, count_interval) = watch::channel(None);
        let now = clock.now();
        let handle = MemberHandle {
            orders: orders_tx,
            own: own_rx,
            counts: counts.clone(),
            count_interval: Arc::new(interval_tx),
        };
        let member = Self {
            api: RunnerApi::new(runner),
            clock,
            log,
            orders,
            own,
            counts,
            deltas: CountDeltas::default(),
            count_interval,
            count_schedule: CountSchedule::new(now),
            active_until: now,
            is_reachable: true,
        };
        (member, handle)
    }

    pub(crate) async fn run(mut self, stop: CancellationToken) {
        loop {
            let interval = match self.clock.now() < self.active_until {
                true => ACTIVE_POLL_INTERVAL,
                false => IDLE_POLL_INTERVAL,
            };
            let order = tokio::select! {
                order = self.orders.recv() => order,
                () = tokio::time::sleep(interval) => None,
                () = stop.cancelled() => return,
            };
            match order {
                Some(order) => self.execute(order).await,
                None => self.poll().await,
            }
        }
    }

    /// Reads the runner's state and, if they are due, its experts and counts.
    async fn poll(&mut self) {
        match self.api.state(CALL_TIMEOUT).await {
            Ok(state) => {
                publish(&self.own, &state);
                self.set_reachable(true, "");
            }
            Err(e) => {
                self.set_reachable(false, &e.to_string());
                return;
            }
        }
        self.read_experts().await;
        self.read_counts().await;
    }

    fn set_reachable(&mut self, is_reachable: bool, error: &str) {
        if self.is_reachable == is_reachable {
            return;
        }
        self.is_reachable = is_reachable;
        match is_reachable {
            true => self
                .log
                .line(EventCategory::State, "runner_regained", json!({})),
            false => {
                let fields = json!({"error": error});
                self.log.line(EventCategory::Failure, "runner_lost", fields);
            }
        }
    }

    /// Executes an order of the leader, and logs it unless it succeeds.
    async fn execute(&mut self, order: EpochOrder) {
        self.active_until = self.clock.now() + ACTIVE_AFTER_ORDER;
        let EpochOrder { epoch, order } = order;
        let own = &self.own;
        let on_state = |state: &EngineState| publish(own, state);
        let outcome = execute_order(&mut self.api, epoch, &order, on_state).await;
        match outcome {
            Ok(OrderResult::Done) => {}
            Ok(result) => {
                let fields = json!({"order": order_name(&order), "result": format!("{result:?}")});
                self.log.line(EventCategory::Failure, "order", fields);
            }
            Err(e) => {
                let fields = json!({"order": order_name(&order), "error": e.to_string()});
                self.log.line(EventCategory::Failure, "order", fields);
            }
        }
    }

    /// Reads which experts the rank holds, when its map is new.
    async fn read_experts(&mut self) {
        let Some(own) = self.own.borrow().clone() else {
            return;
        };
        let view = &own.state.view;
        let known = own
            .experts
            .as_ref()
            .is_some_and(|experts| experts.epoch == view.epoch && experts.map == view.map.0);
        if known {
            return;
        }
        let Ok((map, experts)) = self.api.experts(CALL_TIMEOUT).await else {
            return; // The next poll asks again.
        };
        let experts = ExpertsWire {
            epoch: view.epoch,
            map: map.0,
            experts,
        };
        self.own.send_modify(|own| {
            if let Some(own) = own {
                own.experts = Some(experts);
            }
        });
    }

    /// Reads the counts if that is due, and sends how often each expert was chosen since
    /// the last reading.
    async fn read_counts(&mut self) {
        let Some(own) = self.own.borrow().clone() else {
            return;
        };
        let Some(sets) = own.experts.map(|experts| experts.experts.len()) else {
            return;
        };
        let now = self.clock.now();
        if let Some(interval) = *self.count_interval.borrow_and_update() {
            let RankState { rank, size, .. } = own.state;
            self.count_schedule.set_interval(now, interval, rank, size);
        }
        let step = self.count_schedule.poll(now);
        if step == CountStep::Wait {
            return;
        }
        // The next reading covers the time of one that failed.
        if let Ok(counts) = self.api.counts(sets, CALL_TIMEOUT).await
            && let Some(chosen) = self.deltas.update(&counts)
            && step == CountStep::Report
        {
            // This fails while no leader receives the readings.
            let _ = self.counts.send(CountsWire {
                epoch: counts.epoch,
                pass: counts.pass,
                chosen,
            });
        }
    }
}

/// Publishes a new state of the runner, and keeps the experts that were read
/// before. A runner that is no rank of a group has no state here.
fn publish(own: &watch::Sender<Option<OwnRank>>, state: &EngineState) {
    let Some(rank) = state.rank.clone() else {
        own.send_if_modified(|published| published.take().is_some());
        return;
    };
    let load = state.load.clone();
    own.send_if_modified(|published| {
        let experts = published.as_ref().and_then(|own| own.experts.clone());
        let next = OwnRank {
            state: rank.clone(),
            load: load.clone(),
            experts,
        };
        let changed = published.as_ref() != Some(&next);
        *published = Some(next);
        changed
    });
}

fn order_name(order: &RankOrder) -> &'static str {
    match order {
        RankOrder::Prepare { .. } => "prepare",
        RankOrder::Arm { .. } => "arm",
        RankOrder::Hold { .. } => "hold",
        RankOrder::Go { .. } => "go",
    }
}
