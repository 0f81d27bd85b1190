//! Turns the counts that a rank reports, since its start, into differences.

use wisteriawick_core::maps::ExpertChoices;
use wisteriawick_platform::ExpertCounts;

/// Turns counts since the start of a rank into counts since the last reading.
#[derive(Debug, Default)]
pub(crate) struct CountDeltas {
    last: Option<ExpertCounts>,
}

impl CountDeltas {
    /// Returns how often each expert was chosen since the last reading. Returns
    /// `None` for the first reading, after a restart of the rank or its group,
    /// and if no expert was chosen.
    pub(crate) fn update(&mut self, counts: &ExpertCounts) -> Option<ExpertChoices> {
        let last = self.last.replace(counts.clone())?;
        let fell = |(new, old): (&Vec<u64>, &Vec<u64>)| new.iter().zip(old).any(|(n, o)| n < o);
        let restarted = last.epoch != counts.epoch
            || last.values.len() != counts.values.len()
            || counts.values.iter().zip(&last.values).any(fell);
        if restarted {
            return None;
        }
        let chosen: ExpertChoices = counts
            .values
            .iter()
            .zip(&last.values)
            .map(|(new, old)| new.iter().zip(old).map(|(n, o)| (n - o) as u32).collect())
            .collect();
        chosen.iter().flatten().any(|n| *n > 0).then_some(chosen)
    }
}
