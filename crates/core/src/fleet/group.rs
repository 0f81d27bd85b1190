//! Groups of ranks that run a model in lockstep on one expert map.
//!
//! An expert map assigns the experts of a mixture-of-experts model to the slots of
//! the ranks. The planner replaces it when a better balanced map is worth the cost
//! of moving weights.

use std::time::Duration;

use crate::ids::RunnerId;
use crate::ids::ServiceId;
use crate::maps::Shape;

/// The declared shape of a lockstep group and the parameters of its planner.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The service that the runners of the group belong to.
    pub service: ServiceId,
    /// Runners in rank order.
    pub runners: Vec<RunnerId>,
    /// Ranks of each runner; at least one.
    pub ranks_per_runner: u16,
    /// Number of experts in each layer.
    pub experts: u16,
    /// Number of layers that have experts.
    pub layers: u16,
    /// Number of experts that one rank holds in each layer.
    pub slots: u16,
    /// Size of the weights of one expert, in bytes.
    pub expert_bytes: u64,
    /// Value of removing all excess skew for one hour, in the cost units of
    /// `move_cost`.
    pub skew_weight: f64,
    /// Cost of moving one gigabyte of weights, in abstract cost units.
    pub move_cost: f64,
    /// Time in hours within which the gain of a move must exceed its cost.
    pub horizon_h: f64,
    /// Most bytes of weights that one plan may move.
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
