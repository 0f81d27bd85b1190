//! Counts of how often each expert was chosen.
//!
//! A rank reports counts since its start. The agent beside it turns them into
//! differences, and the leader plans from the sum of all ranks' differences over a
//! short window.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::maps::ExpertLoads;
use wisteriawick_platform::ExpertCounts;

/// Age up to which counts are used for a plan: a few passes of every rank. With
/// 600 ms, counts from before a shift of popularity hid the shift for longer.
const COUNT_WINDOW: Duration = Duration::from_millis(400);

/// Turns counts since the start of a rank into counts since the last reading.
#[derive(Debug, Default)]
pub(crate) struct CountDeltas {
    last: Option<ExpertCounts>,
}

impl CountDeltas {
    /// Returns how often each expert was chosen since the last reading. Returns
    /// `None` for the first reading, after a restart of the rank or its group,
    /// and if no expert was chosen.
    pub(crate) fn update(&mut self, counts: &ExpertCounts) -> Option<Vec<Vec<u32>>> {
        let last = self.last.replace(counts.clone())?;
        let fell = |(new, old): (&Vec<u64>, &Vec<u64>)| new.iter().zip(old).any(|(n, o)| n < o);
        let restarted = last.epoch != counts.epoch
            || last.values.len() != counts.values.len()
            || counts.values.iter().zip(&last.values).any(fell);
        if restarted {
            return None;
        }
        let chosen: Vec<Vec<u32>> = counts
            .values
            .iter()
            .zip(&last.values)
            .map(|(new, old)| new.iter().zip(old).map(|(n, o)| (n - o) as u32).collect())
            .collect();
        chosen.iter().flatten().any(|n| *n > 0).then_some(chosen)
    }
}

/// The recent counts of all ranks of a group.
#[derive(Debug, Default)]
pub(crate) struct CountWindow {
    readings: VecDeque<(Instant, Vec<Vec<u32>>)>,
}

impl CountWindow {
    /// Adds a reading of a rank, and drops readings that are too old.
    pub(crate) fn add(&mut self, now: Instant, chosen: Vec<Vec<u32>>) {
        self.readings.push_back((now, chosen));
        while self
            .readings
            .front()
            .is_some_and(|(at, _)| *at + COUNT_WINDOW < now)
        {
            self.readings.pop_front();
        }
    }

    /// Returns how often each expert was chosen in the window. Skips readings
    /// with another number of sets. Returns `None` if no reading is left, or if
    /// one has another number of experts.
    pub(crate) fn loads(&self, now: Instant, sets: usize, experts: usize) -> Option<ExpertLoads> {
        let mut sums = vec![vec![0.0; experts]; sets];
        let mut found = false;
        for (at, chosen) in &self.readings {
            if *at + COUNT_WINDOW < now || chosen.len() != sets {
                continue;
            }
            for (sum, set) in sums.iter_mut().zip(chosen) {
                if set.len() != experts {
                    return None;
                }
                for (sum, n) in sum.iter_mut().zip(set) {
                    *sum += f64::from(*n);
                }
            }
            found = true;
        }
        found.then_some(sums)
    }
}
