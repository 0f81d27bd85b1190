//! Plans a placement: which moves pay for themselves.
//!
//! Each layer is searched on its own: from the present placement, the action
//! that lowers a smooth maximum of the rank times most for each slot loaded,
//! again and again. Of that sequence the prefix with the best net value is
//! kept, so a move that does not earn its cost over the horizon is not made.
//! The whole plan must then pay by loads from other reports than those that the
//! search saw: what only fits their noise does not pay there.

mod layer;
mod repack;

use crate::fleet::Group;
use crate::maps::Loads;
use crate::maps::Placement;
use crate::maps::placement::least_step_time;
use crate::maps::placement::max;
use crate::maps::plan::layer::LayerSearch;

pub use repack::full_replan;

/// Bytes of a gigabyte.
const GIGABYTE: f64 = 1e9;
/// Least ratio of a plan's value to its cost.
const MIN_RETURN: f64 = 1.5;
/// Actions without a better net value after which a layer's search ends: as
/// many ranks may be equally slow, and all must be helped before the step is.
const PATIENCE: usize = 32;
/// Least share of the step time that a plan must save.
const MIN_SAVING: f64 = 0.025;

/// What moves cost and what less skew is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanCost {
    /// Value of removing one step time's worth of skew for one hour.
    pub skew_weight: f64,
    /// Cost of one gigabyte.
    pub move_cost: f64,
    /// Weight of one expert, in bytes.
    pub expert_bytes: u64,
    /// Hours over which a move must pay.
    pub horizon_h: f64,
    /// Most bytes of one plan.
    pub max_bytes: u64,
}

impl PlanCost {
    /// Returns a group's costs.
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
    fn slot(&self) -> f64 {
        self.expert_bytes as f64 / GIGABYTE * self.move_cost
    }

    /// Returns the value of saving a share of the least step time.
    fn saving(&self, share: f64) -> f64 {
        share * self.skew_weight * self.horizon_h
    }
}

/// A placement that pays for its moves.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The placement.
    pub placement: Placement,
    /// Slots to load.
    pub moves: usize,
    /// Bytes to load.
    pub bytes: u64,
    /// Share of the least step time that it saves.
    pub saving: f64,
}

/// Finds plans for one group.
#[derive(Clone, Copy, Debug)]
pub struct Planner {
    cost: PlanCost,
}

impl Planner {
    /// Returns a planner.
    pub fn new(cost: PlanCost) -> Self {
        Self { cost }
    }

    /// Returns a plan that pays, or `None`.
    ///
    /// `expected` are the loads as they are forecast over the horizon, and
    /// `present` the loads as they are by other reports; `speeds` are the ranks' measured speeds, where one is
    /// normal.
    pub fn plan(
        &self,
        current: &Placement,
        present: &Loads,
        expected: &Loads,
        speeds: &[f64],
    ) -> Option<Plan> {
        let least = least_step_time(expected, speeds);
        if least <= 0.0 {
            return None;
        }
        let mut layers = self.search(current, expected, speeds, least);
        layers.sort_by(|a, b| b.ratio.total_cmp(&a.ratio));
        let mut placement = current.clone();
        let mut budget = (self.cost.max_bytes / self.cost.expert_bytes.max(1)) as usize;
        for found in layers {
            if found.moves > budget {
                continue;
            }
            budget -= found.moves;
            placement
                .layer_mut(found.layer)
                .copy_from_slice(&found.cells);
        }
        self.accept(current, placement, present, expected, speeds)
    }

    fn search(
        &self,
        current: &Placement,
        expected: &Loads,
        speeds: &[f64],
        least: f64,
    ) -> Vec<FoundLayer> {
        let shape = current.shape();
        let value = |saved: f64| self.cost.saving(saved / least);
        let mut found = Vec::new();
        for layer in 0..shape.layers {
            let loads = expected.layer(layer);
            let times = current.rank_times(layer, loads, speeds);
            let before = max(&times);
            let share = loads.iter().sum::<f64>() / speeds.iter().sum::<f64>();
            if value(before - share) <= self.cost.slot() * MIN_RETURN {
                // Not even a perfect layer would pay for one slot.
                continue;
            }
            let mut search = LayerSearch::new(shape, current.layer(layer), loads, speeds);
            let mut best: Option<(f64, FoundLayer)> = None;
            let mut idle = 0;
            while idle < PATIENCE && search.step() {
                idle += 1;
                let saved = value(before - search.slowest());
                let cost = self.cost.slot() * search.moves() as f64;
                let net = saved - MIN_RETURN * cost;
                if net > 0.0 && best.as_ref().is_none_or(|(held, _)| net > *held) {
                    let layer = FoundLayer {
                        layer,
                        cells: search.cells().to_vec(),
                        moves: search.moves(),
                        ratio: saved / cost.max(f64::MIN_POSITIVE),
                    };
                    best = Some((net, layer));
                    idle = 0;
                }
            }
            found.extend(best.map(|(_, layer)| layer));
        }
        found
    }

    fn accept(
        &self,
        current: &Placement,
        placement: Placement,
        present: &Loads,
        expected: &Loads,
        speeds: &[f64],
    ) -> Option<Plan> {
        let moves = placement.moves_from(current);
        if moves == 0 {
            return None;
        }
        let saving = |loads: &Loads| {
            let saved = current.step_time(loads, speeds) - placement.step_time(loads, speeds);
            saved / least_step_time(loads, speeds)
        };
        let saving = saving(present).min(saving(expected));
        let cost = self.cost.slot() * moves as f64;
        if saving < MIN_SAVING || self.cost.saving(saving) < MIN_RETURN * cost {
            return None;
        }
        Some(Plan {
            placement,
            moves,
            bytes: moves as u64 * self.cost.expert_bytes,
            saving,
        })
    }
}

struct FoundLayer {
    layer: usize,
    cells: Vec<u16>,
    moves: usize,
    /// Value for each unit of cost.
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

    fn skewed() -> Loads {
        let mut loads = Loads::even(SHAPE);
        for layer in 0..SHAPE.layers {
            loads.layer_mut(layer)[8] = 6.0;
        }
        loads
    }

    #[test]
    fn a_hot_expert_is_spread_and_a_dear_move_is_not_made() {
        let current = Placement::round_robin(SHAPE);
        let (loads, speeds) = (skewed(), [1.0; 8]);
        let plan = Planner::new(cost(1.0))
            .plan(&current, &loads, &loads, &speeds)
            .expect("it pays");
        assert!(plan.placement.skew(&loads, &speeds) < current.skew(&loads, &speeds));
        assert_eq!(plan.moves, plan.placement.moves_from(&current));
        let dear = Planner::new(cost(1e9)).plan(&current, &loads, &loads, &speeds);
        assert_eq!(dear, None);
    }

    #[test]
    fn every_expert_keeps_a_place() {
        let current = Placement::round_robin(SHAPE);
        let (loads, speeds) = (skewed(), [1.0; 8]);
        let plan = Planner::new(cost(0.1))
            .plan(&current, &loads, &loads, &speeds)
            .expect("it pays");
        let layers = plan.placement.to_layers();
        assert!(Placement::try_from_layers(SHAPE, &layers).is_some());
    }

    #[test]
    fn many_ranks_that_are_equally_slow_do_not_end_the_search() {
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
            .expect("it pays");
        let full = super::full_replan(&loads, &speeds);
        assert!(plan.placement.skew(&loads, &speeds) <= full.skew(&loads, &speeds));
    }

    #[test]
    fn a_slow_rank_gets_less() {
        let current = Placement::round_robin(SHAPE);
        let loads = Loads::even(SHAPE);
        let mut speeds = [1.0; 8];
        speeds[3] = 0.5;
        let plan = Planner::new(cost(0.1))
            .plan(&current, &loads, &loads, &speeds)
            .expect("it pays");
        let load = |p: &Placement| p.rank_times(0, loads.layer(0), &[1.0; 8])[3];
        assert!(load(&plan.placement) < load(&current));
    }

    #[test]
    fn what_pays_only_by_the_forecast_is_not_moved() {
        let current = Placement::round_robin(SHAPE);
        let (even, skewed, speeds) = (Loads::even(SHAPE), skewed(), [1.0; 8]);
        let plan = Planner::new(cost(0.1)).plan(&current, &even, &skewed, &speeds);
        let worse = |plan: super::Plan| plan.placement.skew(&even, &speeds);
        let before = current.skew(&even, &speeds);
        assert!(plan.is_none_or(|plan| worse(plan) < before));
    }

    #[test]
    fn the_budget_of_bytes_is_kept() {
        let current = Placement::round_robin(SHAPE);
        let (loads, speeds) = (skewed(), [1.0; 8]);
        let cost = PlanCost {
            max_bytes: 100_000_000,
            ..cost(0.1)
        };
        if let Some(plan) = Planner::new(cost).plan(&current, &loads, &loads, &speeds) {
            assert!(plan.bytes <= 100_000_000);
        }
    }
}
