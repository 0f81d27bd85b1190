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
    pub places: usize,
    /// New experts of one rank and set at most.
    pub new_per_set: usize,
    /// New experts of one rank at most, which bounds the time to copy.
    pub new_per_rank: usize,
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
    pub most_copies: usize,
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
        if change.is_copy() && change.saving < bounds.min_saving * mean {
            break;
        }
        sets[at].apply(change);
        if let Some(target) = change.target() {
            copied[target] += 1;
        }
        for (index, set) in sets.iter().enumerate() {
            let stale = index == at
                || best[index]
                    .and_then(|change| change.target())
                    .is_some_and(|target| copied[target] >= bounds.new_per_rank);
            if stale {
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
        most_copies: copies.iter().copied().max().unwrap_or(0),
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
}

impl Change {
    fn is_copy(self) -> bool {
        self.target().is_some()
    }

    fn target(self) -> Option<usize> {
        match self.kind {
            ChangeKind::Copy { rank, .. } => Some(rank),
            ChangeKind::Drop { .. } => None,
        }
    }

    /// Returns what decides between changes: a drop costs nothing.
    fn value(self) -> f64 {
        /// Worth of a change without a copy against one with.
        const FREE: f64 = 3.0;
        if self.is_copy() {
            self.saving
        } else {
            self.saving * FREE
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
    places: usize,
}

impl<'a> SetSearch<'a> {
    fn new(former: &'a [Vec<u16>], loads: &'a [f64], bounds: &CopyBounds) -> Self {
        let mut holders = vec![0; loads.len()];
        for expert in former.iter().flatten() {
            holders[usize::from(*expert)] += 1;
        }
        Self {
            loads,
            former,
            ranks: former.to_vec(),
            holders,
            times: rank_loads(former, loads),
            places: bounds.places,
        }
    }

    fn mean(&self) -> f64 {
        self.times.iter().sum::<f64>() / self.times.len().max(1) as f64
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
        let before = smooth_max(&self.times);
        let mut best: Option<Change> = None;
        let mut consider = |kind: ChangeKind, times: &[f64]| {
            let saving = before - smooth_max(times);
            if saving > 0.0 {
                let change = Change { kind, saving };
                if best.is_none_or(|held| change.value() > held.value()) {
                    best = Some(change);
                }
            }
        };
        let mut times = self.times.clone();
        for source in order.iter().rev().take(SOURCES) {
            for expert in &self.ranks[*source] {
                if self.holders[usize::from(*expert)] > 1 {
                    times.copy_from_slice(&self.times);
                    self.shift(&mut times, *expert, None, Some(*source));
                    let kind = ChangeKind::Drop {
                        expert: *expert,
                        rank: *source,
                    };
                    consider(kind, &times);
                }
                let targets = order.iter().filter(|rank| {
                    copied[**rank] < bounds.new_per_rank
                        && self.new_experts(**rank) < bounds.new_per_set
                        && !self.ranks[**rank].contains(expert)
                });
                for target in targets.take(TARGETS) {
                    for instead_of in self.victims(*target) {
                        times.copy_from_slice(&self.times);
                        self.shift(&mut times, *expert, Some(*target), None);
                        if let Some(victim) = instead_of {
                            self.shift(&mut times, victim, None, Some(*target));
                        }
                        let kind = ChangeKind::Copy {
                            expert: *expert,
                            rank: *target,
                            instead_of,
                        };
                        consider(kind, &times);
                    }
                }
            }
        }
        best
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
        if experts.len() < self.places {
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

    /// Changes loads as if a rank gained or lost an expert.
    fn shift(&self, times: &mut [f64], expert: u16, gains: Option<usize>, loses: Option<usize>) {
        let at = usize::from(expert);
        let before = f64::from(self.holders[at]);
        let after =
            before + f64::from(u8::from(gains.is_some())) - f64::from(u8::from(loses.is_some()));
        let old = self.loads[at] / before;
        let new = self.loads[at] / after.max(1.0);
        for (rank, experts) in self.ranks.iter().enumerate() {
            if experts.contains(&expert) {
                times[rank] += new - old;
            }
        }
        if let Some(rank) = gains {
            times[rank] += new;
        }
        if let Some(rank) = loses {
            times[rank] -= new;
        }
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
                self.ranks[rank].push(expert);
                self.holders[usize::from(expert)] += 1;
            }
            ChangeKind::Drop { expert, rank } => self.remove(expert, rank),
        }
        self.times = rank_loads(&self.ranks, self.loads);
    }

    fn remove(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].retain(|held| *held != expert);
        self.holders[usize::from(expert)] -= 1;
    }
}

/// Returns a value near the largest that falls when any large one falls.
fn smooth_max(times: &[f64]) -> f64 {
    let top = times.iter().copied().fold(0.0, f64::max);
    if top <= 0.0 {
        return 0.0;
    }
    let sum: f64 = times.iter().map(|time| (time / top).powi(NORM)).sum();
    top * sum.powf(1.0 / f64::from(NORM))
}
