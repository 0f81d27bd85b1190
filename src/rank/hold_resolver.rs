//! Resolves a held pass that the leader does not release.
//!
//! If a leader is suspended or dies after it held a pass and before it released
//! it, its group makes no passes. Any member may resolve that, since all agents
//! that see the hold give the same orders. A higher rank waits longer, so that
//! mostly only one member acts. If the whole machine of the holder is suspended,
//! its runner cannot be reached either, and the group waits for it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use serde_json::json;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::maps::HoldInput;
use wisteriawick_core::maps::HoldOutput;
use wisteriawick_core::maps::HoldSwitch;
use wisteriawick_core::maps::RankOrder;
use wisteriawick_core::time::SharedClock;
use wisteriawick_platform::EngineState;
use wisteriawick_platform::RunnerApi;

use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::rank::member::MemberHandle;
use crate::rank::order::CALL_TIMEOUT;
use crate::rank::order::execute_order;

/// Time without a pass, while requests run, after which a group counts as held. A
/// slow pass takes a fifth of a second, and a runner's report to another machine
/// may be as old.
const STUCK_TIMEOUT: Duration = Duration::from_millis(700);
/// Further time for each rank, so that mostly only one member acts.
const STUCK_DELAY_PER_RANK: Duration = Duration::from_millis(150);
/// Time between two checks of this agent's own rank.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two rounds of an attempt to resolve a hold.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// Most rounds of one attempt; the next attempt begins after another wait.
const MAX_ROUNDS: u32 = 40;

/// The state of the task that resolves holds.
pub(crate) struct HoldResolver {
    clock: SharedClock,
    log: EventLog,
    member: MemberHandle,
    runner_addresses: watch::Receiver<Vec<Option<SocketAddr>>>,
}

/// The last pass that was reported to begin.
struct Progress {
    pass: u64,
    at: Instant,
}

impl HoldResolver {
    pub(crate) fn new(
        clock: SharedClock,
        log: EventLog,
        member: MemberHandle,
        runner_addresses: watch::Receiver<Vec<Option<SocketAddr>>>,
    ) -> Self {
        Self {
            clock,
            log,
            member,
            runner_addresses,
        }
    }

    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut progress = Progress {
            pass: 0,
            at: self.clock.now(),
        };
        loop {
            tokio::select! {
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                () = stop.cancelled() => return,
            }
            if !self.is_stuck(&mut progress) {
                continue;
            }
            progress.at = self.clock.now();
            tokio::select! {
                () = self.resolve() => {}
                () = stop.cancelled() => return,
            }
        }
    }

    /// Returns whether the group has made no pass for longer than this rank waits.
    fn is_stuck(&self, progress: &mut Progress) -> bool {
        let now = self.clock.now();
        let own = self.member.own.borrow();
        let Some(own) = own.as_ref().filter(|own| own.state.rank > 0) else {
            progress.at = now;
            return false;
        };
        let view = &own.state.view;
        let is_idle = own.load.running == 0;
        if view.pass != progress.pass || !view.is_open || is_idle {
            progress.pass = view.pass;
            progress.at = now;
            return false;
        }
        let wait = STUCK_TIMEOUT + STUCK_DELAY_PER_RANK * own.state.rank as u32;
        now.saturating_duration_since(progress.at) >= wait
    }

    async fn resolve(&self) {
        let runner_addresses: Option<Vec<SocketAddr>> =
            self.runner_addresses.borrow().iter().copied().collect();
        let Some(runner_addresses) =
            runner_addresses.filter(|runner_addresses| !runner_addresses.is_empty())
        else {
            // The leader has not sent all addresses yet, so it has not ordered a hold.
            return;
        };
        let mut apis: Vec<RunnerApi> = runner_addresses
            .iter()
            .copied()
            .map(RunnerApi::new)
            .collect();
        let mut switch = HoldSwitch::new(runner_addresses.len());
        for _ in 0..MAX_ROUNDS {
            if !self.round(&mut switch, &mut apis).await {
                return;
            }
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }

    /// Reads the state of all ranks and sends the orders that follow; returns
    /// whether the group may still be held.
    async fn round(&self, switch: &mut HoldSwitch, apis: &mut [RunnerApi]) -> bool {
        let Ok(holder) = apis[0].state(CALL_TIMEOUT).await else {
            return false;
        };
        let held = holder
            .rank
            .as_ref()
            .is_some_and(|rank| rank.view.held.is_some());
        if !held {
            return false;
        }
        let others = apis[1..].iter_mut().map(|api| api.state(CALL_TIMEOUT));
        let others = join_all(others).await;
        let mut out = Vec::new();
        self.add_view(switch, 0, &holder, &mut out);
        for (at, state) in others.into_iter().enumerate() {
            match state {
                Ok(state) => self.add_view(switch, at + 1, &state, &mut out),
                Err(_) => switch.handle(self.clock.now(), HoldInput::Lost(at + 1), &mut out),
            }
        }
        self.execute(out, apis).await;
        true
    }

    fn add_view(
        &self,
        switch: &mut HoldSwitch,
        rank: usize,
        state: &EngineState,
        out: &mut Vec<HoldOutput>,
    ) {
        if let Some(state) = &state.rank {
            let input = HoldInput::View(rank, state.view.clone());
            switch.handle(self.clock.now(), input, out);
        }
    }

    /// Executes the outputs of the switch, at all ranks at the same time. One rank
    /// after another, 32 ranks took a quarter of a second.
    async fn execute(&self, out: Vec<HoldOutput>, apis: &mut [RunnerApi]) {
        for output in &out {
            if !matches!(output, HoldOutput::Order { .. }) {
                let fields = json!({"output": format!("{output:?}")});
                self.log
                    .line(EventCategory::Failure, "resolving_hold", fields);
            }
        }
        let ranks = apis.iter_mut().enumerate();
        join_all(ranks.map(|(rank, api)| self.send_orders(rank, api, &out))).await;
    }

    /// Sends a rank its arm and release orders, one after another. Other orders
    /// are left to the leader.
    async fn send_orders(&self, to: usize, api: &mut RunnerApi, out: &[HoldOutput]) {
        for output in out {
            let HoldOutput::Order { rank, epoch, order } = output else {
                continue;
            };
            if *rank != to || !matches!(order, RankOrder::Arm { .. } | RankOrder::Go { .. }) {
                continue;
            }
            let outcome = execute_order(api, *epoch, order, |_| {}).await;
            let fields = json!({
                "rank": rank,
                "order": format!("{order:?}"),
                "result": format!("{outcome:?}"),
            });
            self.log
                .line(EventCategory::Failure, "resolving_hold", fields);
        }
    }
}
