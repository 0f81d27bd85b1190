//! How much a plan may copy for what it saves.
//!
//! The load it answers: at light load passes are far shorter than the pauses
//! that streams allow, and a better map serves nobody, while its copies take
//! memory and lengthen passes. At heavy load each part of a pass decides how
//! many streams are on time.

use std::time::Duration;

/// Share of the longest pause up to which passes are short: streams stay on
/// time there also if popularity shifts, until a plan follows.
const SHORT: f64 = 0.45;

/// What a plan must save.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyBudget {
    /// Least share of the mean load that one copy on each rank saves. Ranks
    /// copy at the same time, so a copy on one rank need save only its part.
    pub min_saving_per_round: f64,
    /// Least gain of a plan, as a part of the skew.
    pub min_skew_reduction: f64,
}

impl CopyBudget {
    /// Effort while passes are short. Copies of less worth were measured to
    /// cost more than they bring on quiet days.
    const SPARING: Self = Self {
        min_saving_per_round: 0.064,
        min_skew_reduction: 0.15,
    };
    /// Effort while passes are long: less made the group slower by copying, and
    /// a plan of 0.03 saves what half a second of copying costs within two.
    const FULL: Self = Self {
        min_saving_per_round: 0.0096,
        min_skew_reduction: 0.03,
    };

    /// Returns the effort at a group's pace; `pause` is the longest that its
    /// streams allow.
    pub fn new(pass: Duration, pause: Option<Duration>) -> Self {
        let is_short = pause.is_some_and(|pause| pass < pause.mul_f64(SHORT));
        match is_short {
            true => Self::SPARING,
            false => Self::FULL,
        }
    }

    /// Returns the least share of the mean load that one copy saves in a group
    /// of `ranks`.
    pub fn min_saving_per_copy(&self, ranks: usize) -> f64 {
        self.min_saving_per_round / ranks.max(1) as f64
    }
}
