//! What attempts that broke at about the same time have in common.
//!
//! When a runner crashes, a group stands or a network fails, many attempts break at
//! once, and each has its own log line. Whoever reads them wants to know first what
//! they share. This is a summary for people; nothing decides by it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::CrashSuspect;
use crate::gateway::GroupRank;
use crate::hosting::ListedRunner;
use crate::ids::PlaceId;
use crate::ids::RunnerId;

/// Time from the first broken attempt to the last that counts as broken together with
/// it. Ranks of a group are a slow pass apart.
const WINDOW: Duration = Duration::from_millis(500);
/// Fewest attempts that are worth a summary.
const MIN_ATTEMPTS: usize = 3;

/// Collects broken attempts, in the memory of one whatever their number.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
/// use wisteriawick_core::gateway::BrokenTogether;
///
/// let now = Instant::now();
/// let mut broken = BrokenTogether::default();
/// assert_eq!(broken.take_summary(now + Duration::from_secs(1)), None);
/// ```
#[derive(Debug, Default)]
pub struct BrokenTogether {
    current: Option<Moment>,
}

/// The attempts since one broke.
#[derive(Debug)]
struct Moment {
    began: Instant,
    summary: BreakSummary,
}

/// What attempts that broke together have in common; `None` or empty if they differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BreakSummary {
    /// Number of attempts.
    pub attempts: usize,
    /// Their runner.
    pub runner: Option<RunnerId>,
    /// The group of their runners.
    pub group: Option<Arc<str>>,
    /// The data centre of their runners.
    pub place: Option<PlaceId>,
    /// What all their requests have that may crash runners.
    pub suspects: Vec<CrashSuspect>,
}

impl BrokenTogether {
    /// Records an attempt that broke. Call [`take_summary`](Self::take_summary) first.
    pub fn record(
        &mut self,
        now: Instant,
        runner: &ListedRunner,
        position: Option<&GroupRank>,
        suspects: &[CrashSuspect],
    ) {
        let attempt = BreakSummary {
            attempts: 1,
            runner: Some(runner.id.clone()),
            group: position.map(|position| Arc::clone(&position.group)),
            place: Some(runner.place.clone()),
            suspects: suspects.to_vec(),
        };
        match &mut self.current {
            Some(moment) => moment.summary.keep_common(&attempt),
            None => {
                self.current = Some(Moment {
                    began: now,
                    summary: attempt,
                });
            }
        }
    }

    /// Returns the summary of attempts that broke together, once no further one can;
    /// `None` if they were too few.
    pub fn take_summary(&mut self, now: Instant) -> Option<BreakSummary> {
        let moment = self
            .current
            .take_if(|moment| now >= moment.began + WINDOW)?;
        (moment.summary.attempts >= MIN_ATTEMPTS).then_some(moment.summary)
    }
}

impl BreakSummary {
    fn keep_common(&mut self, other: &Self) {
        self.attempts += other.attempts;
        self.runner
            .take_if(|runner| other.runner.as_ref() != Some(runner));
        self.group
            .take_if(|group| other.group.as_ref() != Some(group));
        self.place
            .take_if(|place| other.place.as_ref() != Some(place));
        self.suspects
            .retain(|suspect| other.suspects.contains(suspect));
    }
}
