//! Tells which parts of prompts are in nearly all requests that arrive.

use std::collections::VecDeque;

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
}

impl CommonParts {
    pub(crate) fn insert(&mut self, suspects: &[CrashSuspect]) {
        if self.recent.len() >= WINDOW {
            self.recent.pop_front();
        }
        self.recent.push_back(suspects.to_vec());
    }

    /// Returns whether nearly all requests have the part, so that blocking it would stop
    /// a service.
    pub(crate) fn contains(&self, part: CrashSuspect) -> bool {
        let requests = self.recent.len();
        let with_part = self.recent.iter().filter(|request| request.contains(&part));
        requests >= MIN_REQUESTS && with_part.count() as f64 >= SHARE * requests as f64
    }
}
