//! A group of ranks that run in lock-step on one expert map.

use std::time::Duration;

use crate::ids::RunnerId;
use crate::ids::ServiceId;
use crate::maps::Shape;

/// The declared shape and objective of a lock-step group.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The service that the group serves.
    pub service: ServiceId,
    /// Runners in rank order.
    pub runners: Vec<RunnerId>,
    /// Ranks that each runner holds; at least one.
    pub ranks_per_runner: u16,
    /// Experts in each layer.
    pub experts: u16,
    /// Layers with experts.
    pub layers: u16,
    /// Expert slots of one rank in one layer.
    pub slots: u16,
    /// Weight of one expert, in bytes.
    pub expert_bytes: u64,
    /// Value of removing all excess skew for one hour, in cost units.
    pub skew_weight: f64,
    /// Cost of moving one gigabyte of weights, in cost units.
    pub move_cost: f64,
    /// Hours over which a move must pay.
    pub horizon_h: f64,
    /// Most bytes that one plan may load.
    pub max_plan_bytes: u64,
    /// Time between two plans.
    pub plan_interval: Duration,
}

impl Group {
    /// Returns the group's shape.
    pub fn shape(&self) -> Shape {
        Shape {
            ranks: self.ranks(),
            experts: usize::from(self.experts),
            layers: usize::from(self.layers),
            slots_per_rank: usize::from(self.slots),
        }
    }

    /// Returns the number of ranks.
    pub fn ranks(&self) -> usize {
        self.runners.len() * usize::from(self.ranks_per_runner)
    }
}
