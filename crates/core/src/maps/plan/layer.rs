//! The search within one layer.

use crate::maps::Shape;
use crate::maps::placement::copies;

/// Exponent of the smooth maximum: high enough to follow the slowest rank, low
/// enough to see progress when several are equally slow.
const NORM: i32 = 8;
/// A rank at this share of the slowest takes nothing off it.
const NEARLY: f64 = 0.98;
/// Actions in one layer.
const MAX_ACTIONS: usize = 96;

/// An action on the cells of a layer.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// Loads an expert into a cell instead of what stands there.
    Replace { cell: usize, expert: u16 },
    /// Exchanges the experts of two cells.
    Swap { a: usize, b: usize },
}

/// Changes of load by rank; few, so a list that is used again is fastest.
#[derive(Default)]
struct Changes {
    by_rank: Vec<(usize, f64)>,
}

impl Changes {
    fn add(&mut self, rank: usize, change: f64) {
        match self.by_rank.iter_mut().find(|(held, _)| *held == rank) {
            Some((_, held)) => *held += change,
            None => self.by_rank.push((rank, change)),
        }
    }
}

/// A search from the present cells towards a shorter step.
pub(crate) struct LayerSearch<'a> {
    shape: Shape,
    former: &'a [u16],
    loads: &'a [f64],
    speeds: &'a [f64],
    cells: Vec<u16>,
    copies: Vec<u32>,
    /// Cells of each expert.
    holders: Vec<Vec<usize>>,
    times: Vec<f64>,
    /// Each time to the power of `NORM`.
    powers: Vec<f64>,
    /// Sum of the times to the power of `NORM`.
    norm: f64,
    actions: usize,
}

impl<'a> LayerSearch<'a> {
    pub(crate) fn new(
        shape: Shape,
        former: &'a [u16],
        loads: &'a [f64],
        speeds: &'a [f64],
    ) -> Self {
        let copies = copies(former, shape.experts);
        let mut search = Self {
            shape,
            former,
            loads,
            speeds,
            cells: former.to_vec(),
            copies,
            holders: vec![Vec::new(); shape.experts],
            times: vec![0.0; shape.ranks],
            powers: vec![0.0; shape.ranks],
            norm: 0.0,
            actions: 0,
        };
        search.recount();
        search
    }

    /// Returns the time of the slowest rank.
    pub(crate) fn slowest(&self) -> f64 {
        self.times.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the cells as they are now.
    pub(crate) fn cells(&self) -> &[u16] {
        &self.cells
    }

    /// Counts the slots that must be loaded.
    pub(crate) fn moves(&self) -> usize {
        let slots_per_rank = self.shape.slots_per_rank;
        self.cells
            .chunks(slots_per_rank)
            .zip(self.former.chunks(slots_per_rank))
            .map(|(new, old)| new.iter().filter(|expert| !old.contains(expert)).count())
            .sum()
    }

    /// Takes the best action; returns whether there was one.
    pub(crate) fn step(&mut self) -> bool {
        if self.actions >= MAX_ACTIONS {
            return false;
        }
        let mut changes = Changes::default();
        let slow = self.slowest_rank();
        let slots_per_rank = self.shape.slots_per_rank;
        let mut best: Option<(f64, Action)> = None;
        let mut consider = |gain: f64, loaded: f64, action: Action| {
            let ratio = gain / loaded;
            if gain > 1e-9 && best.as_ref().is_none_or(|(held, _)| ratio > *held) {
                best = Some((ratio, action));
            }
        };
        for own in slow * slots_per_rank..(slow + 1) * slots_per_rank {
            let hot = self.cells[own];
            for other in 0..self.cells.len() {
                let rank = other / slots_per_rank;
                let as_slow = self.times[rank] >= self.times[slow] * NEARLY;
                if as_slow || self.rank_holds(rank, hot) {
                    continue;
                }
                if self.copies[usize::from(self.cells[other])] > 1 {
                    let action = Action::Replace {
                        cell: other,
                        expert: hot,
                    };
                    consider(self.gain_of_replace(other, hot, &mut changes), 1.0, action);
                }
                let lighter = self.held_share(other) < self.held_share(own);
                if lighter && !self.rank_holds(slow, self.cells[other]) {
                    let action = Action::Swap { a: own, b: other };
                    consider(self.gain_of_swap(own, other), 2.0, action);
                }
            }
        }
        let Some((_, action)) = best else {
            return false;
        };
        self.apply(action);
        true
    }

    fn slowest_rank(&self) -> usize {
        let ranked = self.times.iter().enumerate();
        ranked
            .max_by(|(_, a), (_, b)| a.total_cmp(b))
            .map_or(0, |(rank, _)| rank)
    }

    fn rank_holds(&self, rank: usize, expert: u16) -> bool {
        let slots_per_rank = self.shape.slots_per_rank;
        self.cells[rank * slots_per_rank..(rank + 1) * slots_per_rank].contains(&expert)
    }

    fn share(&self, expert: u16, copies: u32) -> f64 {
        self.loads[usize::from(expert)] / f64::from(copies)
    }

    /// Returns the load that a cell brings to its rank.
    fn held_share(&self, cell: usize) -> f64 {
        let expert = self.cells[cell];
        self.share(expert, self.copies[usize::from(expert)])
    }

    /// Returns how much a replacement lowers the norm.
    fn gain_of_replace(&self, cell: usize, hot: u16, changes: &mut Changes) -> f64 {
        let cold = self.cells[cell];
        let (hot_copies, cold_copies) = (
            self.copies[usize::from(hot)],
            self.copies[usize::from(cold)],
        );
        let hot_less = self.share(hot, hot_copies) - self.share(hot, hot_copies + 1);
        let cold_more = self.share(cold, cold_copies - 1) - self.share(cold, cold_copies);
        let slots_per_rank = self.shape.slots_per_rank;
        let target = cell / slots_per_rank;
        changes.by_rank.clear();
        for held in &self.holders[usize::from(hot)] {
            changes.add(held / slots_per_rank, -hot_less);
        }
        for held in &self.holders[usize::from(cold)] {
            if *held != cell {
                changes.add(held / slots_per_rank, cold_more);
            }
        }
        let own = self.share(hot, hot_copies + 1) - self.share(cold, cold_copies);
        changes.add(target, own);
        changes
            .by_rank
            .iter()
            .map(|(rank, change)| self.change_of_norm(*rank, *change))
            .sum()
    }

    /// Returns how much a swap lowers the norm.
    fn gain_of_swap(&self, a: usize, b: usize) -> f64 {
        let slots_per_rank = self.shape.slots_per_rank;
        let change = self.held_share(b) - self.held_share(a);
        self.change_of_norm(a / slots_per_rank, change)
            + self.change_of_norm(b / slots_per_rank, -change)
    }

    /// Returns by how much the norm falls when a rank's load changes.
    fn change_of_norm(&self, rank: usize, change: f64) -> f64 {
        let after = self.times[rank] + change / self.speeds[rank];
        (self.powers[rank] - after.powi(NORM)) / self.norm
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Replace { cell, expert } => {
                self.copies[usize::from(self.cells[cell])] -= 1;
                self.copies[usize::from(expert)] += 1;
                self.cells[cell] = expert;
            }
            Action::Swap { a, b } => self.cells.swap(a, b),
        }
        self.actions += 1;
        self.recount();
    }

    fn recount(&mut self) {
        self.times.fill(0.0);
        self.holders.iter_mut().for_each(Vec::clear);
        for (cell, expert) in self.cells.iter().enumerate() {
            let index = usize::from(*expert);
            self.holders[index].push(cell);
            self.times[cell / self.shape.slots_per_rank] +=
                self.loads[index] / f64::from(self.copies[index]);
        }
        for (time, speed) in self.times.iter_mut().zip(self.speeds) {
            *time /= speed;
        }
        for (power, time) in self.powers.iter_mut().zip(&self.times) {
            *power = time.powi(NORM);
        }
        let norm: f64 = self.powers.iter().sum();
        self.norm = norm.max(f64::MIN_POSITIVE);
    }
}
