//! Plans few copies that take most off the slowest ranks.
//!
//! The load it answers: popularity that shifts every few seconds, where a
//! small plan that is in use within a second gains more than a better one that
//! takes longer to copy. What counts is the largest number of new experts on
//! one rank, since ranks copy at the same time.
//!
//! [`Planner`](crate::maps::Planner) plans rarer, larger moves by their price
//! for a whole group; this one plans the next second.

use std::sync::Arc;

use crate::maps::rank::ExpertMap;

/// Exponent of the smooth maximum over ranks: follows the slowest rank, and
/// sees progress when several are equally slow.
const NORM: i32 = 12;
/// Least-loaded ranks that are considered for a new copy.
const TARGETS: usize = 4;
/// Slow ranks that are considered as the source of a change.
const SOURCES: usize = 2;
/// Changes of one plan at most, to bound its time.
const MAX_CHANGES: usize = 192;

/// The shape and the bounds of plans for a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyBounds {
    /// Experts of one set.
    pub experts: usize,
    /// Places of one rank and set.
    pub slots: usize,
    /// New experts of one rank and set at most.
    pub max_new_per_set: usize,
    /// New experts of one rank at most, which bounds the time to copy.
    pub max_new_per_rank: usize,
    /// Least share of the mean load that one copy must save.
    pub min_saving: f64,
}

/// How often each expert was chosen: by set, then expert.
pub type ExpertLoads = Vec<Vec<f64>>;

/// A plan.
#[derive(Clone, Debug, PartialEq)]
pub struct CopyPlan {
    /// The map.
    pub map: Arc<ExpertMap>,
    /// Load of the slowest ranks over the mean, before and after.
    pub skew: (f64, f64),
    /// Copies over all ranks.
    pub copies: usize,
    /// Most copies of one rank.
    pub max_copies_per_rank: usize,
}

/// Returns the load of each set's slowest rank over the mean, over all sets.
pub fn skew(map: &ExpertMap, loads: &ExpertLoads) -> f64 {
    let mut slowest = 0.0;
    let mut mean = 0.0;
    for (set, loads) in map.sets.iter().zip(loads) {
        let ranks = rank_loads(set, loads);
        slowest += ranks.iter().copied().fold(0.0, f64::max);
        mean += ranks.iter().sum::<f64>() / ranks.len().max(1) as f64;
    }
    if mean > 0.0 { slowest / mean } else { 1.0 }
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
    let mean: f64 = sets.iter().map(SetSearch::mean).sum();
    let mut copied = vec![0; ranks];
    let mut best: Vec<Option<Change>> = sets
        .iter()
        .map(|set| set.best_change(bounds, &copied))
        .collect();
    for _ in 0..MAX_CHANGES {
        let found = best
            .iter()
            .enumerate()
            .filter_map(|(at, change)| change.map(|change| (at, change)))
            .max_by(|a, b| a.1.value().total_cmp(&b.1.value()));
        let Some((at, change)) = found else {
            break;
        };
        if change.saving_per_copy() < bounds.min_saving * mean {
            break;
        }
        sets[at].apply(change);
        for target in change.targets().into_iter().flatten() {
            copied[target] += 1;
        }
        for (index, set) in sets.iter().enumerate() {
            let full = |target: usize| copied[target] >= bounds.max_new_per_rank;
            let targets = best[index].map(Change::targets).unwrap_or_default();
            if index == at || targets.into_iter().flatten().any(full) {
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

fn rank_loads(set: &[Vec<u16>], loads: &[f64]) -> Vec<f64> {
    let mut holders = vec![0u32; loads.len()];
    for expert in set.iter().flatten() {
        holders[usize::from(*expert)] += 1;
    }
    set.iter()
        .map(|experts| {
            experts
                .iter()
                .map(|expert| usize::from(*expert))
                .map(|expert| loads[expert] / f64::from(holders[expert].max(1)))
                .sum()
        })
        .collect()
}

/// One change of a set.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Change {
    kind: ChangeKind,
    /// Load that it takes off the slowest ranks.
    saving: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ChangeKind {
    /// A rank copies an expert, in place of another if it has no free place.
    Copy {
        expert: u16,
        rank: usize,
        instead_of: Option<u16>,
    },
    /// A rank drops an expert that others hold too.
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

    /// Returns the load that it saves for each copy.
    fn saving_per_copy(self) -> f64 {
        let copies = self.targets().iter().flatten().count();
        self.saving / copies.max(1) as f64
    }

    /// Returns what decides between changes: a drop costs nothing.
    fn value(self) -> f64 {
        /// Worth of a change without a copy against one with.
        const FREE: f64 = 3.0;
        match self.kind {
            ChangeKind::Drop { .. } => self.saving * FREE,
            _ => self.saving_per_copy(),
        }
    }
}

/// New loads of the few ranks that a change touches.
#[derive(Clone, Debug, Default)]
struct Touched {
    loads: Vec<(usize, f64)>,
}

impl Touched {
    fn add(&mut self, rank: usize, present: f64, change: f64) {
        match self.loads.iter_mut().find(|(held, _)| *held == rank) {
            Some((_, load)) => *load += change,
            None => self.loads.push((rank, present + change)),
        }
    }
}

struct SetSearch<'a> {
    loads: &'a [f64],
    former: &'a [Vec<u16>],
    ranks: Vec<Vec<u16>>,
    holders: Vec<u32>,
    /// Load of each rank.
    times: Vec<f64>,
    /// Sum of the loads over their mean, to the power of `NORM`.
    norm: f64,
    /// Mean load of a rank, which no change alters.
    scale: f64,
    slots: usize,
}

impl<'a> SetSearch<'a> {
    fn new(former: &'a [Vec<u16>], loads: &'a [f64], bounds: &CopyBounds) -> Self {
        let mut holders = vec![0; loads.len()];
        for expert in former.iter().flatten() {
            holders[usize::from(*expert)] += 1;
        }
        let mut search = Self {
            loads,
            former,
            ranks: former.to_vec(),
            holders,
            times: Vec::new(),
            norm: 0.0,
            scale: loads.iter().sum::<f64>() / former.len().max(1) as f64,
            slots: bounds.slots,
        };
        search.recount();
        search
    }

    fn recount(&mut self) {
        self.times = rank_loads(&self.ranks, self.loads);
        self.norm = self.times.iter().map(|time| self.power(*time)).sum();
    }

    fn mean(&self) -> f64 {
        self.scale
    }

    fn power(&self, time: f64) -> f64 {
        match self.scale > 0.0 {
            true => (time / self.scale).powi(NORM),
            false => 0.0,
        }
    }

    /// Returns a value near the largest load that falls when any large one
    /// falls.
    fn smooth_max(&self, norm: f64) -> f64 {
        self.scale * norm.max(0.0).powf(1.0 / f64::from(NORM))
    }

    fn into_ranks(self) -> Vec<Vec<u16>> {
        let mut ranks = self.ranks;
        for experts in &mut ranks {
            experts.sort_unstable();
        }
        ranks
    }

    /// Returns the change that takes most off the slowest ranks.
    fn best_change(&self, bounds: &CopyBounds, copied: &[usize]) -> Option<Change> {
        let order = self.by_load();
        let may_copy = |rank: usize| {
            copied[rank] < bounds.max_new_per_rank
                && self.new_experts(rank) < bounds.max_new_per_set
        };
        let mut best = None;
        for source in order.iter().rev().take(SOURCES).copied() {
            for expert in self.ranks[source].iter().copied() {
                if self.holders[usize::from(expert)] > 1 {
                    let rank = source;
                    self.consider(ChangeKind::Drop { expert, rank }, &mut best);
                }
                let targets = order
                    .iter()
                    .copied()
                    .filter(|rank| may_copy(*rank) && !self.ranks[*rank].contains(&expert));
                for rank in targets.take(TARGETS) {
                    for instead_of in self.victims(rank) {
                        let kind = ChangeKind::Copy {
                            expert,
                            rank,
                            instead_of,
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

    /// Considers an exchange of a slow rank's expert for each lighter one of
    /// another rank.
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

    fn consider(&self, kind: ChangeKind, best: &mut Option<Change>) {
        let touched = self.touched_by(kind);
        let mut norm = self.norm;
        for (rank, load) in &touched.loads {
            norm += self.power(*load) - self.power(self.times[*rank]);
        }
        let saving = self.smooth_max(self.norm) - self.smooth_max(norm);
        let change = Change { kind, saving };
        if saving > 0.0 && best.is_none_or(|held| change.value() > held.value()) {
            *best = Some(change);
        }
    }

    /// Returns an expert's load at each rank that holds it.
    fn share(&self, expert: u16) -> f64 {
        let at = usize::from(expert);
        self.loads[at] / f64::from(self.holders[at].max(1))
    }

    fn touched_by(&self, kind: ChangeKind) -> Touched {
        let mut touched = Touched::default();
        match kind {
            ChangeKind::Copy {
                expert,
                rank,
                instead_of,
            } => {
                self.spread(&mut touched, expert, 1);
                let new = self.loads[usize::from(expert)]
                    / f64::from(self.holders[usize::from(expert)] + 1);
                touched.add(rank, self.times[rank], new);
                if let Some(victim) = instead_of {
                    self.withdraw(&mut touched, victim, rank);
                }
            }
            ChangeKind::Drop { expert, rank } => self.withdraw(&mut touched, expert, rank),
            ChangeKind::Swap {
                expert,
                rank,
                other,
                other_rank,
            } => {
                let moved = self.share(expert) - self.share(other);
                touched.add(rank, self.times[rank], -moved);
                touched.add(other_rank, self.times[other_rank], moved);
            }
        }
        touched
    }

    /// Changes the loads of an expert's holders as if it had more or fewer.
    fn spread(&self, touched: &mut Touched, expert: u16, more: i32) {
        let at = usize::from(expert);
        let after = (self.holders[at] as i32 + more).max(1);
        let change = self.loads[at] / f64::from(after) - self.share(expert);
        for (rank, experts) in self.ranks.iter().enumerate() {
            if experts.contains(&expert) {
                touched.add(rank, self.times[rank], change);
            }
        }
    }

    /// Changes loads as if a rank dropped an expert that others hold too.
    fn withdraw(&self, touched: &mut Touched, expert: u16, rank: usize) {
        self.spread(touched, expert, -1);
        let at = usize::from(expert);
        let left = (self.holders[at] as i32 - 1).max(1);
        touched.add(rank, self.times[rank], -self.loads[at] / f64::from(left));
    }

    /// Returns the ranks, the least loaded first.
    fn by_load(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.times.len()).collect();
        order.sort_by(|a, b| self.times[*a].total_cmp(&self.times[*b]));
        order
    }

    /// Returns what a rank could drop for a new expert: nothing while it has a
    /// free place, else any expert that others hold too.
    fn victims(&self, rank: usize) -> Vec<Option<u16>> {
        let experts = &self.ranks[rank];
        if experts.len() < self.slots {
            return vec![None];
        }
        experts
            .iter()
            .filter(|expert| self.holders[usize::from(**expert)] > 1)
            .map(|expert| Some(*expert))
            .collect()
    }

    fn new_experts(&self, rank: usize) -> usize {
        self.ranks[rank]
            .iter()
            .filter(|expert| !self.former[rank].contains(expert))
            .count()
    }

    fn apply(&mut self, change: Change) {
        match change.kind {
            ChangeKind::Copy {
                expert,
                rank,
                instead_of,
            } => {
                if let Some(victim) = instead_of {
                    self.remove(victim, rank);
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
        self.recount();
    }

    fn insert(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].push(expert);
        self.holders[usize::from(expert)] += 1;
    }

    fn remove(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].retain(|held| *held != expert);
        self.holders[usize::from(expert)] -= 1;
    }
}
