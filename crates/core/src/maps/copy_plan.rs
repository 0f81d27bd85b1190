//! Plans a few copies of experts that take the most load off the slowest ranks.
//!
//! The popularity of experts may shift every few seconds. A small plan that is
//! in use within a second then gains more than a better one that takes longer
//! to copy. Ranks copy at the same time, so the time depends on the largest
//! number of new experts on one rank.
//!
//! [`Planner`](crate::maps::Planner), in contrast, plans rarer and larger moves
//! by their cost for the whole group.

use std::sync::Arc;

use crate::maps::rank::ExpertMap;

/// Exponent of the smooth maximum over ranks: high enough to follow the slowest
/// rank, low enough to show progress when several ranks are equally slow.
const NORM_EXPONENT: i32 = 12;
/// How many of the least loaded ranks are considered for a new copy.
const MAX_TARGET_RANKS: usize = 4;
/// How many of the slowest ranks are considered as the source of a change.
const MAX_SOURCE_RANKS: usize = 2;
/// Most changes of one plan, which bounds the time to plan.
pub(crate) const MAX_CHANGES: usize = 192;

/// The shape of a group and the limits of its plans.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyBounds {
    /// Experts in one set.
    pub experts: usize,
    /// Expert slots of one rank in one set.
    pub slots: usize,
    /// Most new experts of one rank in one set.
    pub max_new_per_set: usize,
    /// Most new experts of one rank in all sets, which bounds the time to copy.
    pub max_new_per_rank: usize,
    /// Most changes of the map, at most 192. Each member of the group gets all of them.
    pub max_changes: usize,
    /// Least share of the mean load that one copy must save.
    pub min_saving: f64,
}

/// How often each expert was chosen: by set, then expert.
pub type ExpertLoads = Vec<Vec<f64>>;

/// A map that is worth its copies.
#[derive(Clone, Debug, PartialEq)]
pub struct CopyPlan {
    /// The new map.
    pub map: Arc<ExpertMap>,
    /// The [`skew`] before and after the plan.
    pub skew: (f64, f64),
    /// Copies of all ranks.
    pub copies: usize,
    /// Most copies of one rank.
    pub max_copies_per_rank: usize,
}

/// Returns how uneven the load of the ranks is: the sum over all sets of the
/// slowest rank's load, divided by the sum of the mean loads. One is even.
pub fn skew(map: &ExpertMap, loads: &ExpertLoads) -> f64 {
    let mut slowest = 0.0;
    let mut mean_load = 0.0;
    for (set, loads) in map.sets.iter().zip(loads) {
        let ranks = rank_loads(set, loads);
        slowest += ranks.iter().copied().fold(0.0, f64::max);
        mean_load += ranks.iter().sum::<f64>() / ranks.len().max(1) as f64;
    }
    if mean_load > 0.0 {
        slowest / mean_load
    } else {
        1.0
    }
}

/// Returns a plan, or `None` when no copy saves enough.
pub fn plan_copies(
    current: &ExpertMap,
    loads: &ExpertLoads,
    bounds: &CopyBounds,
) -> Option<CopyPlan> {
    let before = skew(current, loads);
    let ranks = current.sets.first().map_or(0, Vec::len);
    let mut sets: Vec<SetSearch> = current
        .sets
        .iter()
        .zip(loads)
        .map(|(set, loads)| SetSearch::new(set, loads, bounds))
        .collect();
    let mean_load: f64 = sets.iter().map(SetSearch::mean_load).sum();
    let mut copied = vec![0; ranks];
    let mut best: Vec<Option<Change>> = sets
        .iter()
        .map(|set| set.best_change(bounds, &copied))
        .collect();
    for _ in 0..bounds.max_changes.min(MAX_CHANGES) {
        let found = best
            .iter()
            .enumerate()
            .filter_map(|(at, change)| change.map(|change| (at, change)))
            .max_by(|a, b| a.1.value().total_cmp(&b.1.value()));
        let Some((at, change)) = found else {
            break;
        };
        if change.saving_per_copy() < bounds.min_saving * mean_load {
            break;
        }
        sets[at].apply(change);
        for target in change.targets().into_iter().flatten() {
            copied[target] += 1;
        }
        for (index, set) in sets.iter().enumerate() {
            let is_full = |target: usize| copied[target] >= bounds.max_new_per_rank;
            let targets = best[index].map(Change::targets).unwrap_or_default();
            if index == at || targets.into_iter().flatten().any(is_full) {
                best[index] = set.best_change(bounds, &copied);
            }
        }
    }
    let map = ExpertMap {
        sets: sets.into_iter().map(SetSearch::into_ranks).collect(),
    };
    let copies = map.copies_from(current);
    let total: usize = copies.iter().sum();
    let after = skew(&map, loads);
    (total > 0 && after < before).then(|| CopyPlan {
        skew: (before, after),
        copies: total,
        max_copies_per_rank: copies.iter().copied().max().unwrap_or(0),
        map: Arc::new(map),
    })
}

/// Returns the load of each rank; the copies of an expert share its load evenly.
fn rank_loads(set: &[Vec<u16>], loads: &[f64]) -> Vec<f64> {
    let mut copy_counts = vec![0u32; loads.len()];
    for expert in set.iter().flatten() {
        copy_counts[usize::from(*expert)] += 1;
    }
    set.iter()
        .map(|experts| {
            experts
                .iter()
                .map(|expert| usize::from(*expert))
                .map(|expert| loads[expert] / f64::from(copy_counts[expert].max(1)))
                .sum()
        })
        .collect()
}

/// One change of a set's map, with its gain.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Change {
    kind: ChangeKind,
    /// Load that the change takes off the slowest ranks.
    saving: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ChangeKind {
    /// A rank copies an expert, and evicts another one if it has no free slot.
    Copy {
        expert: u16,
        rank: usize,
        evicted: Option<u16>,
    },
    /// A rank drops an expert that other ranks hold too.
    Drop { expert: u16, rank: usize },
    /// Two ranks exchange experts.
    Swap {
        expert: u16,
        rank: usize,
        other: u16,
        other_rank: usize,
    },
}

impl Change {
    /// Returns the ranks that copy an expert.
    fn targets(self) -> [Option<usize>; 2] {
        match self.kind {
            ChangeKind::Copy { rank, .. } => [Some(rank), None],
            ChangeKind::Drop { .. } => [None, None],
            ChangeKind::Swap {
                rank, other_rank, ..
            } => [Some(rank), Some(other_rank)],
        }
    }

    /// Returns the load that the change saves for each copy.
    fn saving_per_copy(self) -> f64 {
        let copies = self.targets().iter().flatten().count();
        self.saving / copies.max(1) as f64
    }

    /// Returns the value by which changes are compared. A drop needs no copy and
    /// so is worth more than its saving.
    fn value(self) -> f64 {
        /// Value of a saving without a copy, relative to one with a copy.
        const DROP_WEIGHT: f64 = 3.0;
        match self.kind {
            ChangeKind::Drop { .. } => self.saving * DROP_WEIGHT,
            _ => self.saving_per_copy(),
        }
    }
}

/// The loads after a change, of the few ranks that it affects.
#[derive(Clone, Debug, Default)]
struct AffectedLoads {
    loads: Vec<(usize, f64)>,
}

impl AffectedLoads {
    /// Adds a change to a rank, whose load was `load` before all changes.
    fn add(&mut self, rank: usize, load: f64, change: f64) {
        match self.loads.iter_mut().find(|(known, _)| *known == rank) {
            Some((_, sum)) => *sum += change,
            None => self.loads.push((rank, load + change)),
        }
    }
}

/// A greedy search for the changes of one set.
struct SetSearch<'a> {
    loads: &'a [f64],
    current: &'a [Vec<u16>],
    ranks: Vec<Vec<u16>>,
    copy_counts: Vec<u32>,
    rank_loads: Vec<f64>,
    /// Sum of the normalized powers of all rank loads.
    power_sum: f64,
    /// Mean load of the ranks, which no change alters.
    mean_load: f64,
    slots: usize,
}

impl<'a> SetSearch<'a> {
    fn new(current: &'a [Vec<u16>], loads: &'a [f64], bounds: &CopyBounds) -> Self {
        let mut copy_counts = vec![0; loads.len()];
        for expert in current.iter().flatten() {
            copy_counts[usize::from(*expert)] += 1;
        }
        let mut search = Self {
            loads,
            current,
            ranks: current.to_vec(),
            copy_counts,
            rank_loads: Vec::new(),
            power_sum: 0.0,
            mean_load: loads.iter().sum::<f64>() / current.len().max(1) as f64,
            slots: bounds.slots,
        };
        search.recompute();
        search
    }

    fn recompute(&mut self) {
        self.rank_loads = rank_loads(&self.ranks, self.loads);
        self.power_sum = self
            .rank_loads
            .iter()
            .map(|load| self.normalized_power(*load))
            .sum();
    }

    fn mean_load(&self) -> f64 {
        self.mean_load
    }

    /// Returns a load divided by the mean, to the power of `NORM_EXPONENT`.
    fn normalized_power(&self, load: f64) -> f64 {
        match self.mean_load > 0.0 {
            true => (load / self.mean_load).powi(NORM_EXPONENT),
            false => 0.0,
        }
    }

    /// Returns a smooth approximation of the largest load, which falls when any
    /// of the large ones falls.
    fn smooth_max_load(&self, power_sum: f64) -> f64 {
        self.mean_load * power_sum.max(0.0).powf(1.0 / f64::from(NORM_EXPONENT))
    }

    fn into_ranks(self) -> Vec<Vec<u16>> {
        let mut ranks = self.ranks;
        for experts in &mut ranks {
            experts.sort_unstable();
        }
        ranks
    }

    /// Returns the change of the highest value. `copied` counts the copies that
    /// the plan has given to each rank in any set.
    fn best_change(&self, bounds: &CopyBounds, copied: &[usize]) -> Option<Change> {
        let order = self.ranks_by_load();
        let may_copy = |rank: usize| {
            copied[rank] < bounds.max_new_per_rank
                && self.new_expert_count(rank) < bounds.max_new_per_set
        };
        let mut best = None;
        for source in order.iter().rev().take(MAX_SOURCE_RANKS).copied() {
            for expert in self.ranks[source].iter().copied() {
                if self.copy_counts[usize::from(expert)] > 1 {
                    let rank = source;
                    self.consider(ChangeKind::Drop { expert, rank }, &mut best);
                }
                let targets = order
                    .iter()
                    .copied()
                    .filter(|rank| may_copy(*rank) && !self.ranks[*rank].contains(&expert));
                for rank in targets.take(MAX_TARGET_RANKS) {
                    for evicted in self.eviction_candidates(rank) {
                        let kind = ChangeKind::Copy {
                            expert,
                            rank,
                            evicted,
                        };
                        self.consider(kind, &mut best);
                    }
                    if may_copy(source) {
                        self.consider_swaps(expert, source, rank, &mut best);
                    }
                }
            }
        }
        best
    }

    /// Considers an exchange of a slow rank's expert for each expert of another
    /// rank that brings less load.
    fn consider_swaps(
        &self,
        expert: u16,
        rank: usize,
        other_rank: usize,
        best: &mut Option<Change>,
    ) {
        let weight = self.share(expert);
        for other in self.ranks[other_rank].iter().copied() {
            if self.share(other) < weight && !self.ranks[rank].contains(&other) {
                let kind = ChangeKind::Swap {
                    expert,
                    rank,
                    other,
                    other_rank,
                };
                self.consider(kind, best);
            }
        }
    }

    /// Makes a change the best one if its value is higher.
    fn consider(&self, kind: ChangeKind, best: &mut Option<Change>) {
        let affected = self.loads_after(kind);
        let mut power_sum = self.power_sum;
        for (rank, load) in &affected.loads {
            power_sum +=
                self.normalized_power(*load) - self.normalized_power(self.rank_loads[*rank]);
        }
        let saving = self.smooth_max_load(self.power_sum) - self.smooth_max_load(power_sum);
        let change = Change { kind, saving };
        if saving > 0.0 && best.is_none_or(|best| change.value() > best.value()) {
            *best = Some(change);
        }
    }

    /// Returns the load that an expert brings to each rank that holds it.
    fn share(&self, expert: u16) -> f64 {
        let at = usize::from(expert);
        self.loads[at] / f64::from(self.copy_counts[at].max(1))
    }

    /// Returns the loads after a change.
    fn loads_after(&self, kind: ChangeKind) -> AffectedLoads {
        let mut affected = AffectedLoads::default();
        match kind {
            ChangeKind::Copy {
                expert,
                rank,
                evicted,
            } => {
                self.change_copy_count(&mut affected, expert, 1);
                let new = self.loads[usize::from(expert)]
                    / f64::from(self.copy_counts[usize::from(expert)] + 1);
                affected.add(rank, self.rank_loads[rank], new);
                if let Some(evicted) = evicted {
                    self.remove_copy(&mut affected, evicted, rank);
                }
            }
            ChangeKind::Drop { expert, rank } => self.remove_copy(&mut affected, expert, rank),
            ChangeKind::Swap {
                expert,
                rank,
                other,
                other_rank,
            } => {
                let moved = self.share(expert) - self.share(other);
                affected.add(rank, self.rank_loads[rank], -moved);
                affected.add(other_rank, self.rank_loads[other_rank], moved);
            }
        }
        affected
    }

    /// Updates the loads of the ranks that hold an expert, for `delta` more
    /// copies of it.
    fn change_copy_count(&self, affected: &mut AffectedLoads, expert: u16, delta: i32) {
        let at = usize::from(expert);
        let after = (self.copy_counts[at] as i32 + delta).max(1);
        let change = self.loads[at] / f64::from(after) - self.share(expert);
        for (rank, experts) in self.ranks.iter().enumerate() {
            if experts.contains(&expert) {
                affected.add(rank, self.rank_loads[rank], change);
            }
        }
    }

    /// Updates the loads for a rank that drops an expert that others hold too.
    fn remove_copy(&self, affected: &mut AffectedLoads, expert: u16, rank: usize) {
        self.change_copy_count(affected, expert, -1);
        let at = usize::from(expert);
        let left = (self.copy_counts[at] as i32 - 1).max(1);
        affected.add(
            rank,
            self.rank_loads[rank],
            -self.loads[at] / f64::from(left),
        );
    }

    /// Returns the ranks in rising order of load.
    fn ranks_by_load(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.rank_loads.len()).collect();
        order.sort_by(|a, b| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]));
        order
    }

    /// Returns what a rank may evict for a new expert: nothing while it has a
    /// free slot, else any expert that other ranks hold too.
    fn eviction_candidates(&self, rank: usize) -> Vec<Option<u16>> {
        let experts = &self.ranks[rank];
        if experts.len() < self.slots {
            return vec![None];
        }
        experts
            .iter()
            .filter(|expert| self.copy_counts[usize::from(**expert)] > 1)
            .map(|expert| Some(*expert))
            .collect()
    }

    /// Counts the experts that the plan adds to a rank in this set.
    fn new_expert_count(&self, rank: usize) -> usize {
        self.ranks[rank]
            .iter()
            .filter(|expert| !self.current[rank].contains(expert))
            .count()
    }

    fn apply(&mut self, change: Change) {
        match change.kind {
            ChangeKind::Copy {
                expert,
                rank,
                evicted,
            } => {
                if let Some(evicted) = evicted {
                    self.remove(evicted, rank);
                }
                self.insert(expert, rank);
            }
            ChangeKind::Drop { expert, rank } => self.remove(expert, rank),
            ChangeKind::Swap {
                expert,
                rank,
                other,
                other_rank,
            } => {
                self.remove(expert, rank);
                self.remove(other, other_rank);
                self.insert(other, rank);
                self.insert(expert, other_rank);
            }
        }
        self.recompute();
    }

    fn insert(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].push(expert);
        self.copy_counts[usize::from(expert)] += 1;
    }

    fn remove(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].retain(|kept| *kept != expert);
        self.copy_counts[usize::from(expert)] -= 1;
    }
}
