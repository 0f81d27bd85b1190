//! An agent that runs a `HoldSwitch` on the reported states of all ranks.

use std::sync::Arc;
use std::time::Instant;

use wisteriawick_core::maps::ExpertMap;
use wisteriawick_core::maps::HoldInput;
use wisteriawick_core::maps::HoldOutput;
use wisteriawick_core::maps::HoldSwitch;
use wisteriawick_core::maps::MapNumber;
use wisteriawick_core::maps::PendingHold;
use wisteriawick_core::maps::RankOrder;
use wisteriawick_core::maps::RankView;

use crate::hold_switch::HoldMutation;
use crate::hold_switch::rank::SentOrder;

/// An agent: the leader, or a member of the group that resolves a hold.
pub(crate) struct Agent {
    switch: HoldSwitch,
    mutation: Option<HoldMutation>,
    /// The last state that each rank reported, by rank.
    last_views: Vec<Option<RankView>>,
    /// By rank, whether the agent is not linked to the agent of that rank. Then it can
    /// arm the rank, and reads its state when it does, but nothing else.
    unlinked: Vec<bool>,
    /// By rank, whether the agent arms the rank without a link, and so reads its state.
    arms_directly: Vec<bool>,
    pub(crate) frozen_until_ms: u64,
    /// Outputs of the switch that were not executed yet. A frozen agent keeps them
    /// until it resumes.
    pending: Vec<HoldOutput>,
    /// Number of switches that it saw complete.
    pub(crate) switches: u32,
}

impl Agent {
    pub(crate) fn new(ranks: usize, mutation: Option<HoldMutation>) -> Self {
        Self {
            switch: HoldSwitch::new(ranks),
            mutation,
            last_views: vec![None; ranks],
            unlinked: vec![false; ranks],
            arms_directly: vec![false; ranks],
            frozen_until_ms: 0,
            pending: Vec::new(),
            switches: 0,
        }
    }

    /// Receives a rank's state. The resulting orders are kept for
    /// [`Agent::take_orders`].
    pub(crate) fn receive_view(&mut self, now: Instant, rank: usize, view: RankView) {
        if self.unlinked[rank] && !std::mem::take(&mut self.arms_directly[rank]) {
            return;
        }
        self.last_views[rank] = Some(view.clone());
        let input = HoldInput::View(rank, view);
        self.switch.handle(now, input, &mut self.pending);
    }

    /// Loses the link to the agent of a rank.
    pub(crate) fn lose_link(&mut self, now: Instant, rank: usize) {
        self.unlinked[rank] = true;
        let input = HoldInput::Lost(rank);
        self.switch.handle(now, input, &mut self.pending);
    }

    /// Regains the link to the agent of a rank.
    pub(crate) fn regain_link(&mut self, rank: usize) {
        self.unlinked[rank] = false;
    }

    /// Proposes a map if no switch is in progress; returns whether it did.
    pub(crate) fn propose(&mut self, now: Instant, number: MapNumber) -> bool {
        if self.switch.idle_map().is_none() {
            return false;
        }
        let map = Arc::new(ExpertMap { sets: Vec::new() });
        let input = HoldInput::Propose(number, map);
        self.switch.handle(now, input, &mut self.pending);
        true
    }

    /// Tells the switch that the agent is about to end.
    pub(crate) fn stop(&mut self, now: Instant) {
        self.switch.handle(now, HoldInput::Stop, &mut self.pending);
    }

    /// Returns what a hold waits for that the switch ordered or found.
    pub(crate) fn pending_hold(&self) -> Option<PendingHold> {
        self.switch.pending_hold()
    }

    /// Lets the switch check its timeouts.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.switch.handle(now, HoldInput::Tick, &mut self.pending);
    }

    /// Removes and returns the pending orders, each with the rank that it is for.
    pub(crate) fn take_orders(&mut self) -> Vec<(usize, SentOrder)> {
        let mut orders = Vec::new();
        for output in std::mem::take(&mut self.pending) {
            match output {
                HoldOutput::Order { rank, epoch, order } => {
                    if self.unlinked[rank] {
                        if !matches!(order, RankOrder::Arm { .. }) {
                            continue;
                        }
                        self.arms_directly[rank] = true;
                    }
                    self.push_order(&mut orders, rank, epoch, order);
                }
                HoldOutput::Switched { .. } => self.switches += 1,
                HoldOutput::FoundHold { pass, .. } => self.release_unarmed(&mut orders, pass),
                HoldOutput::GaveUp { .. } => {}
            }
        }
        orders
    }

    /// Releases a found hold without arming the ranks, if the mutation says so.
    fn release_unarmed(&self, orders: &mut Vec<(usize, SentOrder)>, pass: u64) {
        if self.mutation != Some(HoldMutation::ReleaseUnarmed) {
            return;
        }
        if let Some(holder) = &self.last_views[0] {
            let sent = SentOrder {
                epoch: holder.epoch,
                order: RankOrder::Go { pass },
            };
            orders.push((0, sent));
        }
    }

    /// Adds an order, or what the mutation replaces it with.
    fn push_order(
        &self,
        orders: &mut Vec<(usize, SentOrder)>,
        rank: usize,
        epoch: u64,
        order: RankOrder,
    ) {
        let sent = |order: RankOrder| SentOrder { epoch, order };
        match (self.mutation, &order) {
            (Some(HoldMutation::NoHold), RankOrder::Hold { pass }) => {
                let holder = self.last_views[rank].as_ref();
                if let Some(number) = holder.and_then(|view| view.prepared) {
                    let arm = RankOrder::Arm {
                        number,
                        pass: *pass,
                    };
                    let ranks = 0..self.last_views.len();
                    orders.extend(ranks.map(|rank| (rank, sent(arm.clone()))));
                }
            }
            (Some(HoldMutation::EarlyGo), RankOrder::Arm { pass, .. }) if rank > 0 => {
                let go = RankOrder::Go { pass: *pass };
                orders.push((rank, sent(order)));
                orders.push((0, sent(go)));
            }
            _ => orders.push((rank, sent(order))),
        }
    }
}
