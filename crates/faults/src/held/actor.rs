//! An agent that runs the switch over what it sees of all ranks.

use std::sync::Arc;
use std::time::Instant;

use wisteriawick_core::maps::ExpertMap;
use wisteriawick_core::maps::HoldInput;
use wisteriawick_core::maps::HoldOutput;
use wisteriawick_core::maps::HoldSwitch;
use wisteriawick_core::maps::MapNumber;
use wisteriawick_core::maps::RankOrder;
use wisteriawick_core::maps::RankView;

use crate::held::HeldSabotage;
use crate::held::rank::SentOrder;

/// An agent.
pub(crate) struct Actor {
    switch: HoldSwitch,
    sabotage: Option<HeldSabotage>,
    /// What it saw last, by rank.
    seen: Vec<Option<RankView>>,
    pub(crate) frozen_until_ms: u64,
    /// Outputs that it had decided on when it froze.
    decided: Vec<HoldOutput>,
    pub(crate) switched: u32,
}

impl Actor {
    pub(crate) fn new(ranks: usize, sabotage: Option<HeldSabotage>) -> Self {
        Self {
            switch: HoldSwitch::new(ranks),
            sabotage,
            seen: vec![None; ranks],
            frozen_until_ms: 0,
            decided: Vec::new(),
            switched: 0,
        }
    }

    /// Takes a rank's state, and keeps what it decides for [`Actor::orders`].
    pub(crate) fn see(&mut self, now: Instant, rank: usize, view: RankView) {
        self.seen[rank] = Some(view.clone());
        let input = HoldInput::View(rank, view);
        self.switch.handle(now, input, &mut self.decided);
    }

    /// Proposes a map if nothing is under way; returns whether it did.
    pub(crate) fn propose(&mut self, now: Instant, number: MapNumber) -> bool {
        if self.switch.idle_map().is_none() {
            return false;
        }
        let map = Arc::new(ExpertMap { sets: Vec::new() });
        let input = HoldInput::Propose(number, map);
        self.switch.handle(now, input, &mut self.decided);
        true
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.switch.handle(now, HoldInput::Tick, &mut self.decided);
    }

    /// Returns the orders that it decided on, by rank.
    pub(crate) fn orders(&mut self) -> Vec<(usize, SentOrder)> {
        let mut orders = Vec::new();
        for output in std::mem::take(&mut self.decided) {
            match output {
                HoldOutput::Order { rank, epoch, order } => {
                    self.push(&mut orders, rank, epoch, order);
                }
                HoldOutput::Switched { .. } => self.switched += 1,
                HoldOutput::FoundHold { pass, .. } => self.release(&mut orders, pass),
                HoldOutput::GaveUp { .. } => {}
            }
        }
        orders
    }

    /// Leaves a hold that was found without arming, if that is to be shown.
    fn release(&self, orders: &mut Vec<(usize, SentOrder)>, pass: u64) {
        if self.sabotage != Some(HeldSabotage::ReleaseUnarmed) {
            return;
        }
        if let Some(holder) = &self.seen[0] {
            let sent = SentOrder {
                epoch: holder.epoch,
                order: RankOrder::Go { pass },
            };
            orders.push((0, sent));
        }
    }

    fn push(
        &self,
        orders: &mut Vec<(usize, SentOrder)>,
        rank: usize,
        epoch: u64,
        order: RankOrder,
    ) {
        let sent = |order: RankOrder| SentOrder { epoch, order };
        match (self.sabotage, &order) {
            (Some(HeldSabotage::NoHold), RankOrder::Hold { pass }) => {
                let holder = self.seen[rank].as_ref();
                if let Some(number) = holder.and_then(|view| view.prepared) {
                    let arm = RankOrder::Arm {
                        number,
                        pass: *pass,
                    };
                    let ranks = 0..self.seen.len();
                    orders.extend(ranks.map(|rank| (rank, sent(arm.clone()))));
                }
            }
            (Some(HeldSabotage::EarlyGo), RankOrder::Arm { pass, .. }) if rank > 0 => {
                let go = RankOrder::Go { pass: *pass };
                orders.push((rank, sent(order)));
                orders.push((0, sent(go)));
            }
            _ => orders.push((rank, sent(order))),
        }
    }
}
