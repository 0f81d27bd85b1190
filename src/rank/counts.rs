//! Counts of choices: differences at a rank, sums over a group.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::maps::ExpertLoads;
use wisteriawick_platform::ExpertCounts;

/// Span of the counts that a plan goes by: a few passes of every rank. With
/// 600 ms, what was chosen before a shift hid it for longer.
const COUNT_WINDOW: Duration = Duration::from_millis(400);

/// Turns counts since the start into counts since the last reading.
#[derive(Debug, Default)]
pub(crate) struct CountDeltas {
    last: Option<ExpertCounts>,
}

impl CountDeltas {
    /// Returns what was chosen since the last reading; `None` for the first
    /// one of a life and when nothing was.
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

/// What a group chose of late.
#[derive(Debug, Default)]
pub(crate) struct CountWindow {
    readings: VecDeque<(Instant, Vec<Vec<u32>>)>,
}

impl CountWindow {
    /// Takes a rank's reading.
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

    /// Returns the sums of the window; `None` when they have another shape.
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
