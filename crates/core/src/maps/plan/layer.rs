//! Searches a better placement within one layer.
//!
//! Each action takes load off the slowest rank, either by a further copy of one
//! of its experts on another rank or by an exchange of two experts. What counts
//! is a smooth maximum of the rank times, so that progress shows while several
//! ranks are equally slow.

use crate::maps::Shape;
use crate::maps::placement::copies;

/// Exponent of the power sum that serves as the smooth maximum: high enough to
/// follow the slowest rank, low enough to show progress when several ranks are
/// equally slow.
const NORM_EXPONENT: i32 = 8;
/// Ranks whose time is at least this share of the slowest rank's take no load
/// off it.
const NEAR_SLOWEST_SHARE: f64 = 0.98;
const MAX_ACTIONS_PER_LAYER: usize = 96;

/// A change of the slots of a layer.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// Loads an expert into a slot in place of the one that it holds.
    Replace { slot: usize, expert: u16 },
    /// Exchanges the experts of two slots.
    Swap { first: usize, second: usize },
}

/// Load changes by rank. They are few, so a list that is reused is faster than
/// a map.
#[derive(Default)]
struct LoadChanges {
    by_rank: Vec<(usize, f64)>,
}

impl LoadChanges {
    fn add(&mut self, rank: usize, change: f64) {
        match self.by_rank.iter_mut().find(|(known, _)| *known == rank) {
            Some((_, sum)) => *sum += change,
            None => self.by_rank.push((rank, change)),
        }
    }
}

/// A greedy search from the current slots of a layer towards a shorter step.
pub(crate) struct LayerSearch<'a> {
    shape: Shape,
    current: &'a [u16],
    loads: &'a [f64],
    speeds: &'a [f64],
    slots: Vec<u16>,
    copies: Vec<u32>,
    /// The slots that hold each expert.
    holders: Vec<Vec<usize>>,
    times: Vec<f64>,
    /// Each rank's time to the power of `NORM_EXPONENT`.
    powers: Vec<f64>,
    /// Sum of `powers`.
    power_sum: f64,
    actions: usize,
}

impl<'a> LayerSearch<'a> {
    pub(crate) fn new(
        shape: Shape,
        current: &'a [u16],
        loads: &'a [f64],
        speeds: &'a [f64],
    ) -> Self {
        let copies = copies(current, shape.experts);
        let mut search = Self {
            shape,
            current,
            loads,
            speeds,
            slots: current.to_vec(),
            copies,
            holders: vec![Vec::new(); shape.experts],
            times: vec![0.0; shape.ranks],
            powers: vec![0.0; shape.ranks],
            power_sum: 0.0,
            actions: 0,
        };
        search.recompute();
        search
    }

    /// Returns the time of the slowest rank.
    pub(crate) fn slowest(&self) -> f64 {
        self.times.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the slots after the actions so far.
    pub(crate) fn slots(&self) -> &[u16] {
        &self.slots
    }

    /// Counts the slots that must be loaded for the actions so far.
    pub(crate) fn moves(&self) -> usize {
        let slots_per_rank = self.shape.slots_per_rank;
        self.slots
            .chunks(slots_per_rank)
            .zip(self.current.chunks(slots_per_rank))
            .map(|(new, old)| new.iter().filter(|expert| !old.contains(expert)).count())
            .sum()
    }

    /// Applies the action with the largest gain for each slot loaded; returns
    /// whether there was one.
    pub(crate) fn step(&mut self) -> bool {
        if self.actions >= MAX_ACTIONS_PER_LAYER {
            return false;
        }
        let mut changes = LoadChanges::default();
        let slow = self.slowest_rank();
        let slots_per_rank = self.shape.slots_per_rank;
        let mut best: Option<(f64, Action)> = None;
        let mut consider = |gain: f64, loaded: f64, action: Action| {
            let ratio = gain / loaded;
            if gain > 1e-9
                && best
                    .as_ref()
                    .is_none_or(|(best_ratio, _)| ratio > *best_ratio)
            {
                best = Some((ratio, action));
            }
        };
        for source in slow * slots_per_rank..(slow + 1) * slots_per_rank {
            let hot = self.slots[source];
            for target in 0..self.slots.len() {
                let rank = target / slots_per_rank;
                let as_slow = self.times[rank] >= self.times[slow] * NEAR_SLOWEST_SHARE;
                if as_slow || self.rank_holds(rank, hot) {
                    continue;
                }
                if self.copies[usize::from(self.slots[target])] > 1 {
                    let action = Action::Replace {
                        slot: target,
                        expert: hot,
                    };
                    consider(self.gain_of_replace(target, hot, &mut changes), 1.0, action);
                }
                let lighter = self.held_share(target) < self.held_share(source);
                if lighter && !self.rank_holds(slow, self.slots[target]) {
                    let action = Action::Swap {
                        first: source,
                        second: target,
                    };
                    consider(self.gain_of_swap(source, target), 2.0, action);
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
        self.slots[rank * slots_per_rank..(rank + 1) * slots_per_rank].contains(&expert)
    }

    fn share(&self, expert: u16, copies: u32) -> f64 {
        self.loads[usize::from(expert)] / f64::from(copies)
    }

    /// Returns the load that a slot brings to its rank.
    fn held_share(&self, slot: usize) -> f64 {
        let expert = self.slots[slot];
        self.share(expert, self.copies[usize::from(expert)])
    }

    /// Returns the share of the power sum that a replacement saves.
    fn gain_of_replace(&self, slot: usize, hot: u16, changes: &mut LoadChanges) -> f64 {
        let cold = self.slots[slot];
        let (hot_copies, cold_copies) = (
            self.copies[usize::from(hot)],
            self.copies[usize::from(cold)],
        );
        let hot_less = self.share(hot, hot_copies) - self.share(hot, hot_copies + 1);
        let cold_more = self.share(cold, cold_copies - 1) - self.share(cold, cold_copies);
        let slots_per_rank = self.shape.slots_per_rank;
        let target = slot / slots_per_rank;
        changes.by_rank.clear();
        for holder in &self.holders[usize::from(hot)] {
            changes.add(holder / slots_per_rank, -hot_less);
        }
        for holder in &self.holders[usize::from(cold)] {
            if *holder != slot {
                changes.add(holder / slots_per_rank, cold_more);
            }
        }
        let target_change = self.share(hot, hot_copies + 1) - self.share(cold, cold_copies);
        changes.add(target, target_change);
        changes
            .by_rank
            .iter()
            .map(|(rank, change)| self.power_sum_reduction(*rank, *change))
            .sum()
    }

    /// Returns the share of the power sum that a swap saves.
    fn gain_of_swap(&self, first: usize, second: usize) -> f64 {
        let slots_per_rank = self.shape.slots_per_rank;
        let change = self.held_share(second) - self.held_share(first);
        self.power_sum_reduction(first / slots_per_rank, change)
            + self.power_sum_reduction(second / slots_per_rank, -change)
    }

    /// Returns the share by which the power sum falls when a rank's load changes.
    fn power_sum_reduction(&self, rank: usize, change: f64) -> f64 {
        let after = self.times[rank] + change / self.speeds[rank];
        (self.powers[rank] - after.powi(NORM_EXPONENT)) / self.power_sum
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Replace { slot, expert } => {
                self.copies[usize::from(self.slots[slot])] -= 1;
                self.copies[usize::from(expert)] += 1;
                self.slots[slot] = expert;
            }
            Action::Swap { first, second } => self.slots.swap(first, second),
        }
        self.actions += 1;
        self.recompute();
    }

    fn recompute(&mut self) {
        self.times.fill(0.0);
        self.holders.iter_mut().for_each(Vec::clear);
        for (slot, expert) in self.slots.iter().enumerate() {
            let index = usize::from(*expert);
            self.holders[index].push(slot);
            self.times[slot / self.shape.slots_per_rank] +=
                self.loads[index] / f64::from(self.copies[index]);
        }
        for (time, speed) in self.times.iter_mut().zip(self.speeds) {
            *time /= speed;
        }
        for (power, time) in self.powers.iter_mut().zip(&self.times) {
            *power = time.powi(NORM_EXPONENT);
        }
        let power_sum: f64 = self.powers.iter().sum();
        self.power_sum = power_sum.max(f64::MIN_POSITIVE);
    }
}
