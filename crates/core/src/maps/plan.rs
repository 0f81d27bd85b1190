//! Plans a placement whose gain exceeds the cost of its moves.
//!
//! Each layer is searched on its own. Starting from the current placement, the
//! search repeats the action that lowers a smooth maximum of the rank times
//! most for each slot loaded. Of that sequence of actions the planner keeps the
//! prefix with the best net value, so no move is made that does not earn its
//! cost over the horizon. The whole plan must then also be worth its cost under
//! loads from reports that the search did not use, which rejects plans that only
//! fit the noise of the forecast.

mod layer;
mod repack;

use crate::fleet::Group;
use crate::maps::Loads;
use crate::maps::Placement;
use crate::maps::placement::max;
use crate::maps::placement::step_time_lower_bound;
use crate::maps::plan::layer::LayerSearch;

pub use repack::full_replan;

const BYTES_PER_GIGABYTE: f64 = 1e9;
/// A plan's value must be at least this many times its cost.
const MIN_VALUE_TO_COST: f64 = 1.5;
/// A layer's search ends after this many actions without a better net value.
/// That many ranks may be equally slow, and the step gets shorter only when
/// load has been taken off all of them.
const MAX_ACTIONS_WITHOUT_GAIN: usize = 32;
/// A plan must save at least this share of the step time's lower bound.
const MIN_SAVING_SHARE: f64 = 0.025;

/// What moves cost and what a lower skew is worth, both in the same cost units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanCost {
    /// Value of lowering the skew by one for one hour.
    pub skew_weight: f64,
    /// Cost of moving one gigabyte.
    pub move_cost: f64,
    /// Size of one expert's weights, in bytes.
    pub expert_bytes: u64,
    /// Hours over which a move must earn its cost.
    pub horizon_h: f64,
    /// Most bytes that one plan may load.
    pub max_bytes: u64,
}

impl PlanCost {
    /// Returns the costs that are declared for a group.
    pub fn new(group: &Group) -> Self {
        Self {
            skew_weight: group.skew_weight,
            move_cost: group.move_cost,
            expert_bytes: group.expert_bytes,
            horizon_h: group.horizon_h,
            max_bytes: group.max_plan_bytes,
        }
    }

    /// Returns the cost of loading one slot.
    fn cost_per_slot(&self) -> f64 {
        self.expert_bytes as f64 / BYTES_PER_GIGABYTE * self.move_cost
    }

    /// Returns the value, over the horizon, of saving a share of the step time's
    /// lower bound.
    fn value_of_saving(&self, share: f64) -> f64 {
        share * self.skew_weight * self.horizon_h
    }
}

/// A placement that is worth its moves.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The new placement.
    pub placement: Placement,
    /// Slots to load.
    pub moves: usize,
    /// Bytes to load.
    pub bytes: u64,
    /// Share of the step time's lower bound that the plan saves.
    pub saving_share: f64,
}

/// Finds plans for one group.
#[derive(Clone, Copy, Debug)]
pub struct Planner {
    cost: PlanCost,
}

impl Planner {
    /// Returns a planner with the costs of its group.
    pub fn new(cost: PlanCost) -> Self {
        Self { cost }
    }

    /// Returns a plan that is worth its moves, or `None`.
    ///
    /// `expected` are the forecast loads over the horizon, and `validation` the
    /// present loads from reports that the forecast does not use. `speeds` are
    /// the measured speeds of the ranks, where one is normal.
    pub fn plan(
        &self,
        current: &Placement,
        validation: &Loads,
        expected: &Loads,
        speeds: &[f64],
    ) -> Option<Plan> {
        let lower_bound = step_time_lower_bound(expected, speeds);
        if lower_bound <= 0.0 {
            return None;
        }
        let mut plans = self.search(current, expected, speeds, lower_bound);
        plans.sort_by(|a, b| b.ratio.total_cmp(&a.ratio));
        let mut placement = current.clone();
        let mut budget = (self.cost.max_bytes / self.cost.expert_bytes.max(1)) as usize;
        for plan in plans {
            if plan.moves > budget {
                continue;
            }
            budget -= plan.moves;
            placement.layer_mut(plan.layer).copy_from_slice(&plan.slots);
        }
        self.accept(current, placement, validation, expected, speeds)
    }

    fn search(
        &self,
        current: &Placement,
        expected: &Loads,
        speeds: &[f64],
        lower_bound: f64,
    ) -> Vec<LayerPlan> {
        let shape = current.shape();
        let value = |saved: f64| self.cost.value_of_saving(saved / lower_bound);
        let mut plans = Vec::new();
        for layer in 0..shape.layers {
            let loads = expected.layer(layer);
            let times = current.rank_times(layer, loads, speeds);
            let before = max(&times);
            let balanced = loads.iter().sum::<f64>() / speeds.iter().sum::<f64>();
            if value(before - balanced) <= self.cost.cost_per_slot() * MIN_VALUE_TO_COST {
                // Not even a perfectly balanced layer would pay for one slot.
                continue;
            }
            let mut search = LayerSearch::new(shape, current.layer(layer), loads, speeds);
            let mut best: Option<(f64, LayerPlan)> = None;
            let mut without_gain = 0;
            while without_gain < MAX_ACTIONS_WITHOUT_GAIN && search.step() {
                without_gain += 1;
                let saved = value(before - search.slowest());
                let cost = self.cost.cost_per_slot() * search.moves() as f64;
                let net = saved - MIN_VALUE_TO_COST * cost;
                if net > 0.0 && best.as_ref().is_none_or(|(best_net, _)| net > *best_net) {
                    let plan = LayerPlan {
                        layer,
                        slots: search.slots().to_vec(),
                        moves: search.moves(),
                        ratio: saved / cost.max(f64::MIN_POSITIVE),
                    };
                    best = Some((net, plan));
                    without_gain = 0;
                }
            }
            plans.extend(best.map(|(_, plan)| plan));
        }
        plans
    }

    fn accept(
        &self,
        current: &Placement,
        placement: Placement,
        validation: &Loads,
        expected: &Loads,
        speeds: &[f64],
    ) -> Option<Plan> {
        let moves = placement.moves_from(current);
        if moves == 0 {
            return None;
        }
        let saving_share = |loads: &Loads| {
            let saved = current.step_time(loads, speeds) - placement.step_time(loads, speeds);
            saved / step_time_lower_bound(loads, speeds)
        };
        let saving_share = saving_share(validation).min(saving_share(expected));
        let cost = self.cost.cost_per_slot() * moves as f64;
        if saving_share < MIN_SAVING_SHARE
            || self.cost.value_of_saving(saving_share) < MIN_VALUE_TO_COST * cost
        {
            return None;
        }
        Some(Plan {
            placement,
            moves,
            bytes: moves as u64 * self.cost.expert_bytes,
            saving_share,
        })
    }
}

/// The best change that was found for one layer.
struct LayerPlan {
    layer: usize,
    slots: Vec<u16>,
    moves: usize,
    /// Value divided by cost.
    ratio: f64,
}

#[cfg(test)]
mod tests {
    use super::PlanCost;
    use super::Planner;
    use crate::maps::Loads;
    use crate::maps::Placement;
    use crate::maps::Shape;

    const SHAPE: Shape = Shape {
        ranks: 8,
        experts: 16,
        layers: 2,
        slots_per_rank: 3,
    };

    fn cost(move_cost: f64) -> PlanCost {
        PlanCost {
            skew_weight: 100.0,
            move_cost,
            expert_bytes: 50_000_000,
            horizon_h: 1.0,
            max_bytes: u64::MAX,
        }
    }

    fn skewed_loads() -> Loads {
        let mut loads = Loads::even(SHAPE);
        for layer in 0..SHAPE.layers {
            loads.layer_mut(layer)[8] = 6.0;
        }
        loads
    }

    #[test]
    fn a_hot_expert_is_spread_unless_moves_cost_too_much() {
        let current = Placement::round_robin(SHAPE);
        let (loads, speeds) = (skewed_loads(), [1.0; 8]);
        let plan = Planner::new(cost(1.0))
            .plan(&current, &loads, &loads, &speeds)
            .expect("the plan pays");
        assert!(plan.placement.skew(&loads, &speeds) < current.skew(&loads, &speeds));
        assert_eq!(plan.moves, plan.placement.moves_from(&current));
        let expensive = Planner::new(cost(1e9)).plan(&current, &loads, &loads, &speeds);
        assert_eq!(expensive, None);
    }

    #[test]
    fn a_plan_keeps_every_expert_in_every_layer() {
        let current = Placement::round_robin(SHAPE);
        let (loads, speeds) = (skewed_loads(), [1.0; 8]);
        let plan = Planner::new(cost(0.1))
            .plan(&current, &loads, &loads, &speeds)
            .expect("the plan pays");
        let layers = plan.placement.to_layers();
        assert!(Placement::try_from_layers(SHAPE, &layers).is_some());
    }

    #[test]
    fn the_search_continues_while_many_ranks_are_equally_slow() {
        let shape = Shape {
            ranks: 32,
            experts: 64,
            layers: 2,
            slots_per_rank: 3,
        };
        let (mut loads, speeds) = (Loads::even(shape), [1.0; 32]);
        for layer in 0..shape.layers {
            loads.layer_mut(layer)[7 * layer] = 8.0;
        }
        let current = Placement::round_robin(shape);
        let plan = Planner::new(cost(1.0))
            .plan(&current, &loads, &loads, &speeds)
            .expect("the plan pays");
        let full = super::full_replan(&loads, &speeds);
        assert!(plan.placement.skew(&loads, &speeds) <= full.skew(&loads, &speeds));
    }

    #[test]
    fn a_slow_rank_gets_less_load() {
        let current = Placement::round_robin(SHAPE);
        let loads = Loads::even(SHAPE);
        let mut speeds = [1.0; 8];
        speeds[3] = 0.5;
        let plan = Planner::new(cost(0.1))
            .plan(&current, &loads, &loads, &speeds)
            .expect("the plan pays");
        let load = |p: &Placement| p.rank_times(0, loads.layer(0), &[1.0; 8])[3];
        assert!(load(&plan.placement) < load(&current));
    }

    #[test]
    fn a_plan_also_lowers_the_skew_of_the_validation_loads() {
        let current = Placement::round_robin(SHAPE);
        let (even, skewed, speeds) = (Loads::even(SHAPE), skewed_loads(), [1.0; 8]);
        let plan = Planner::new(cost(0.1)).plan(&current, &even, &skewed, &speeds);
        let skew_with = |plan: super::Plan| plan.placement.skew(&even, &speeds);
        let before = current.skew(&even, &speeds);
        assert!(plan.is_none_or(|plan| skew_with(plan) < before));
    }

    #[test]
    fn a_plan_stays_within_its_byte_limit() {
        let current = Placement::round_robin(SHAPE);
        let (loads, speeds) = (skewed_loads(), [1.0; 8]);
        let cost = PlanCost {
            max_bytes: 100_000_000,
            ..cost(0.1)
        };
        if let Some(plan) = Planner::new(cost).plan(&current, &loads, &loads, &speeds) {
            assert!(plan.bytes <= 100_000_000);
        }
    }
}
