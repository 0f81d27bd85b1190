//! Remembers the parts of prompts that runners have recently executed without crashing.

use std::time::Duration;
use std::time::Instant;

use crate::collections::HashSet;
use crate::ids::PromptPart;

/// Maximum number of parts in each of the two generations.
const MAX_PARTS: usize = 8_192;
/// Time after which the older generation is forgotten.
const GENERATION_TIME: Duration = Duration::from_secs(300);

/// A set of parts, bounded in size and time: when the newer of two generations is full or
/// old enough, it replaces the older one.
#[derive(Debug, Default)]
pub(crate) struct SoundParts {
    newer: HashSet<PromptPart>,
    older: HashSet<PromptPart>,
    began: Option<Instant>,
}

impl SoundParts {
    pub(crate) fn insert(&mut self, now: Instant, part: PromptPart) {
        let began = *self.began.get_or_insert(now);
        if self.newer.len() >= MAX_PARTS || now >= began + GENERATION_TIME {
            self.older = std::mem::take(&mut self.newer);
            self.began = Some(now);
        }
        self.newer.insert(part);
    }

    pub(crate) fn contains(&self, part: PromptPart) -> bool {
        self.newer.contains(&part) || self.older.contains(&part)
    }
}
