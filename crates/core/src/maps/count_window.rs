//! The recent counts of expert choices of a group, from which its leader plans.
//!
//! A reading says how often one rank chose each expert in about a pass. All ranks of a
//! group make the same passes, so a reading's pass tells how old it is, however long it
//! was on its way, and counts from before a shift of popularity do not pass for new ones.
//! The memory grows with the number of passes in the window and not with the group.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::maps::ExpertLoads;

/// Time whose passes are in the window. A longer one hides a shift of popularity for
/// longer.
const WINDOW: Duration = Duration::from_millis(400);
/// Fewest passes in the window, however long a pass takes.
const MIN_PASSES: u64 = 2;
/// Most passes in the window, which bounds its memory.
const MAX_PASSES: u64 = 96;

/// How often a rank chose each expert of each set, by set, then expert.
pub type ExpertChoices = Vec<Vec<u32>>;

/// Counts of a group's recent passes.
#[derive(Clone, Debug, Default)]
pub struct CountWindow {
    epoch: u64,
    /// The sum over all readings of a pass.
    passes: BTreeMap<u64, ExpertChoices>,
}

impl CountWindow {
    /// Adds a reading that a rank made at a pass. The first reading of a later epoch drops
    /// those before; readings of an earlier one are ignored.
    pub fn add(&mut self, epoch: u64, pass: u64, chosen: ExpertChoices) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.passes.clear();
        }
        if epoch < self.epoch {
            return;
        }
        let Some(sums) = self.passes.get_mut(&pass) else {
            self.passes.insert(pass, chosen);
            self.drop_old();
            return;
        };
        let same_shape = sums.len() == chosen.len()
            && sums
                .iter()
                .zip(&chosen)
                .all(|(sum, n)| sum.len() == n.len());
        if !same_shape {
            return;
        }
        for (sum, n) in sums.iter_mut().flatten().zip(chosen.iter().flatten()) {
            *sum = sum.saturating_add(*n);
        }
    }

    fn drop_old(&mut self) {
        while self.passes.len() as u64 > MAX_PASSES {
            self.passes.pop_first();
        }
    }

    /// Returns how often each expert was chosen in the window that ends at `pass`, while a
    /// pass takes `pass_time`. Skips readings of another shape. Returns `None` if no
    /// reading is left.
    pub fn loads(
        &self,
        pass: u64,
        pass_time: Duration,
        sets: usize,
        experts: usize,
    ) -> Option<ExpertLoads> {
        let mut sums = vec![vec![0.0; experts]; sets];
        let mut found = false;
        let first = pass.saturating_sub(window_passes(pass_time) - 1);
        for chosen in self.passes.range(first..).map(|(_, chosen)| chosen) {
            if chosen.len() != sets || chosen.iter().any(|set| set.len() != experts) {
                continue;
            }
            for (sum, n) in sums.iter_mut().flatten().zip(chosen.iter().flatten()) {
                *sum += f64::from(*n);
            }
            found = true;
        }
        found.then_some(sums)
    }
}

/// Returns the number of passes in the window.
fn window_passes(pass_time: Duration) -> u64 {
    let micros = pass_time.as_micros().max(1);
    let passes = WINDOW.as_micros().div_ceil(micros);
    u64::try_from(passes)
        .unwrap_or(MAX_PASSES)
        .clamp(MIN_PASSES, MAX_PASSES)
}
