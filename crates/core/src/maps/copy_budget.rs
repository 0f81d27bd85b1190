//! Decides how much load each copy of a plan by
//! [`plan_copies`](crate::maps::plan_copies) must save.
//!
//! Copies take memory and lengthen the passes that run meanwhile. At light load
//! passes are far shorter than the gaps that streams allow between events, so a
//! better map gains nothing. At heavy load the length of a pass decides how many
//! streams are on time, and small savings are worth their copies.

use std::time::Duration;

/// Passes count as short below this share of the longest gap that streams allow
/// between events. Streams then stay on time even while the popularity of experts
/// shifts and the next plan is not in use yet.
const SHORT_PASS_SHARE: f64 = 0.45;

/// Time that the copies of a plan may take. The first copies after a shift of popularity
/// save most, and the next plan makes the others.
const COPY_TIME: Duration = Duration::from_millis(150);
/// Most copies of one rank in a plan, however short a copy takes.
const MAX_COPIES_PER_RANK: usize = 6;

/// The least that a plan must save.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyBudget {
    /// Least share of the mean load that a round of copies, one on each rank,
    /// must save. Ranks copy at the same time, so a copy on a single rank needs
    /// to save only its part of that.
    pub min_saving_per_round: f64,
    /// Least amount by which a plan must lower the skew.
    pub min_skew_reduction: f64,
}

impl CopyBudget {
    /// Budget while passes are short. At light load, copies that save less cost
    /// more than they gain.
    const SHORT_PASSES: Self = Self {
        min_saving_per_round: 0.064,
        min_skew_reduction: 0.15,
    };
    /// Budget while passes are long. With lower limits, copying made the group
    /// slower. A plan that lowers the skew by 0.03 makes up for half a second of
    /// copying within two seconds.
    const LONG_PASSES: Self = Self {
        min_saving_per_round: 0.0096,
        min_skew_reduction: 0.03,
    };

    /// Returns the budget of a group whose passes take `pass`.
    /// `max_event_gap` is the longest gap that its streams allow between events;
    /// without one, passes count as long.
    pub fn new(pass: Duration, max_event_gap: Option<Duration>) -> Self {
        let passes_are_short = max_event_gap
            .is_some_and(|max_event_gap| pass < max_event_gap.mul_f64(SHORT_PASS_SHARE));
        match passes_are_short {
            true => Self::SHORT_PASSES,
            false => Self::LONG_PASSES,
        }
    }

    /// Returns how many experts a plan may copy to one rank, if one takes `copy_time`. A
    /// rank copies one after another; all ranks copy at the same time.
    pub fn max_copies_per_rank(copy_time: Duration) -> usize {
        let micros = copy_time.as_micros().max(1);
        let copies = COPY_TIME.as_micros() / micros;
        usize::try_from(copies)
            .unwrap_or(MAX_COPIES_PER_RANK)
            .clamp(1, MAX_COPIES_PER_RANK)
    }

    /// Returns the least share of the mean load that one copy must save in a
    /// group of `ranks`.
    pub fn min_saving_per_copy(&self, ranks: usize) -> f64 {
        self.min_saving_per_round / ranks.max(1) as f64
    }
}
