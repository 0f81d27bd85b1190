//! Tells which parts of prompts are in nearly all requests that arrive.

use std::collections::VecDeque;
use std::collections::hash_map::Entry;

use crate::collections::HashMap;
use crate::gateway::CrashSuspect;

/// Number of recent requests that are taken into account.
const WINDOW: usize = 64;
/// Share of the requests from which a part counts as being in all of them, and how many
/// must have arrived.
const SHARE: f64 = 0.8;
const MIN_REQUESTS: usize = 8;

/// What the most recent requests have.
#[derive(Debug, Default)]
pub(crate) struct CommonParts {
    recent: VecDeque<Vec<CrashSuspect>>,
    /// Number of these requests that have a suspect.
    counts: HashMap<CrashSuspect, usize>,
}

impl CommonParts {
    pub(crate) fn insert(&mut self, suspects: &[CrashSuspect]) {
        if self.recent.len() >= WINDOW
            && let Some(oldest) = self.recent.pop_front()
        {
            self.forget(&oldest);
        }
        let mut suspects = suspects.to_vec();
        suspects.sort_unstable();
        suspects.dedup();
        for suspect in &suspects {
            *self.counts.entry(*suspect).or_default() += 1;
        }
        self.recent.push_back(suspects);
    }

    fn forget(&mut self, suspects: &[CrashSuspect]) {
        for suspect in suspects {
            if let Entry::Occupied(mut count) = self.counts.entry(*suspect) {
                *count.get_mut() -= 1;
                if *count.get() == 0 {
                    count.remove();
                }
            }
        }
    }

    /// Returns whether nearly all requests have the part, so that blocking it would stop
    /// a service.
    pub(crate) fn contains(&self, part: CrashSuspect) -> bool {
        let requests = self.recent.len();
        let with_part = self.counts.get(&part).copied().unwrap_or_default();
        requests >= MIN_REQUESTS && with_part as f64 >= SHARE * requests as f64
    }
}
