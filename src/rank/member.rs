//! The task that owns the connection to the runner beside this agent.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gateway::LoadReport;
use wisteriawick_core::maps::RankOrder;
use wisteriawick_core::time::SharedClock;
use wisteriawick_platform::EngineState;
use wisteriawick_platform::RankState;
use wisteriawick_platform::RunnerApi;

use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::rank::counts::CountDeltas;
use crate::rank::order::CALL_TIMEOUT;
use crate::rank::order::OrderResult;
use crate::rank::order::execute_order;
use crate::rank::wire::CountsWire;
use crate::rank::wire::ExpertsWire;
use crate::rank::wire::OrderMessage;

/// Time between two looks at a quiet runner.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks while a change of maps is under way.
const ACTIVE_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// How long after an order a change counts as under way.
const ACTIVE_AFTER_ORDER: Duration = Duration::from_millis(200);
/// Time between two readings of the counts: about a pass. Until a shift of
/// popularity shows, passes are too long for all streams.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);
/// Orders and readings that wait for a slow receiver.
const QUEUE_LEN: usize = 16;

/// What an agent knows of its own runner.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OwnRank {
    pub(crate) state: RankState,
    pub(crate) load: LoadReport,
    /// The experts that it holds, once they were read for its map.
    pub(crate) experts: Option<ExpertsWire>,
}

/// How other tasks talk to the member task.
#[derive(Clone, Debug)]
pub(crate) struct MemberHandle {
    pub(crate) orders: mpsc::Sender<OrderMessage>,
    pub(crate) own: watch::Receiver<Option<OwnRank>>,
    counts: broadcast::Sender<CountsWire>,
}

impl MemberHandle {
    /// Returns the readings of counts from now on.
    pub(crate) fn counts(&self) -> broadcast::Receiver<CountsWire> {
        self.counts.subscribe()
    }
}

/// The task's state.
pub(crate) struct MemberTask {
    api: RunnerApi,
    clock: SharedClock,
    log: EventLog,
    orders: mpsc::Receiver<OrderMessage>,
    own: watch::Sender<Option<OwnRank>>,
    counts: broadcast::Sender<CountsWire>,
    deltas: CountDeltas,
    active_until: Instant,
    counted_at: Instant,
    is_reachable: bool,
}

impl MemberTask {
    pub(crate) fn new(
        runner: SocketAddr,
        clock: SharedClock,
        log: EventLog,
    ) -> (Self, MemberHandle) {
        let (orders_tx, orders) = mpsc::channel(QUEUE_LEN);
        let (own, own_rx) = watch::channel(None);
        let (counts, _) = broadcast::channel(QUEUE_LEN);
        let now = clock.now();
        let handle = MemberHandle {
            orders: orders_tx,
            own: own_rx,
            counts: counts.clone(),
        };
        let member = Self {
            api: RunnerApi::new(runner),
            clock,
            log,
            orders,
            own,
            counts,
            deltas: CountDeltas::default(),
            active_until: now,
            counted_at: now,
            is_reachable: true,
        };
        (member, handle)
    }

    pub(crate) async fn run(mut self, stop: CancellationToken) {
        loop {
            let pause = match self.clock.now() < self.active_until {
                true => ACTIVE_POLL_INTERVAL,
                false => IDLE_POLL_INTERVAL,
            };
            let order = tokio::select! {
                order = self.orders.recv() => order,
                () = tokio::time::sleep(pause) => None,
                () = stop.cancelled() => return,
            };
            match order {
                Some(order) => self.execute(order).await,
                None => self.poll().await,
            }
        }
    }

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
        let now = self.clock.now();
        if now.saturating_duration_since(self.counted_at) >= COUNT_INTERVAL {
            self.counted_at = now;
            self.read_counts().await;
        }
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

    async fn execute(&mut self, message: OrderMessage) {
        self.active_until = self.clock.now() + ACTIVE_AFTER_ORDER;
        let epoch = message.epoch;
        let order = RankOrder::from(message);
        let own = &self.own;
        let seen = |state: &EngineState| publish(own, state);
        let done = execute_order(&mut self.api, epoch, &order, seen).await;
        match done {
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
            .is_some_and(|held| held.epoch == view.epoch && held.map == view.map.0);
        if known {
            return;
        }
        let Ok((map, experts)) = self.api.experts(CALL_TIMEOUT).await else {
            return; // The next look asks again.
        };
        let read = ExpertsWire {
            epoch: view.epoch,
            map: map.0,
            experts,
        };
        self.own.send_modify(|held| {
            if let Some(held) = held {
                held.experts = Some(read);
            }
        });
    }

    async fn read_counts(&mut self) {
        let held = self.own.borrow().clone();
        let Some(sets) = held.and_then(|own| Some(own.experts?.experts.len())) else {
            return;
        };
        // A reading that fails is made up for by the next one.
        if let Ok(counts) = self.api.counts(sets, CALL_TIMEOUT).await
            && let Some(chosen) = self.deltas.update(&counts)
        {
            // Nobody listens while there is no leader.
            let _ = self.counts.send(CountsWire { chosen });
        }
    }
}

fn publish(own: &watch::Sender<Option<OwnRank>>, state: &EngineState) {
    let Some(rank) = state.rank.clone() else {
        own.send_if_modified(|held| held.take().is_some());
        return;
    };
    let load = state.load.clone();
    own.send_if_modified(|held| {
        let experts = held.as_ref().and_then(|held| held.experts.clone());
        let next = OwnRank {
            state: rank.clone(),
            load: load.clone(),
            experts,
        };
        let changed = held.as_ref() != Some(&next);
        *held = Some(next);
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
