//! The notes about rate limits that the leader of a group passes on between entries.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::LimitNote;
use crate::gateway::RateLimit;
use crate::ids::RunnerId;

/// How long a note is passed on.
const NOTE_LIFETIME: Duration = Duration::from_secs(10);
/// Most runners of which notes are kept. All fit in one message to an entry.
const MAX_RUNNERS: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Entry {
    started_unix_ms: Option<u64>,
    limit: Option<RateLimit>,
    at: Instant,
}

/// The newest note about each runner.
#[derive(Clone, Debug, Default)]
pub struct LimitNotes {
    runners: BTreeMap<RunnerId, Entry>,
}

impl LimitNotes {
    /// Takes in a note; returns whether it says something else than before.
    pub fn merge(&mut self, now: Instant, note: &LimitNote) -> bool {
        self.drop_expired(now);
        let Some(at) = now.checked_sub(note.age) else {
            return false;
        };
        let known = self.runners.get(&note.runner);
        let is_older = known.is_some_and(|known| {
            known.started_unix_ms > note.started_unix_ms
                || known.started_unix_ms == note.started_unix_ms && known.at >= at
        });
        if is_older || known.is_none() && self.runners.len() >= MAX_RUNNERS {
            return false;
        }
        let is_news = known.is_none_or(|known| {
            known.limit != note.limit || known.started_unix_ms != note.started_unix_ms
        });
        let entry = Entry {
            started_unix_ms: note.started_unix_ms,
            limit: note.limit,
            at,
        };
        self.runners.insert(note.runner.clone(), entry);
        is_news
    }

    /// Returns all notes.
    pub fn to_notes(&mut self, now: Instant) -> Vec<LimitNote> {
        self.drop_expired(now);
        let notes = self.runners.iter().map(|(runner, entry)| LimitNote {
            runner: runner.clone(),
            started_unix_ms: entry.started_unix_ms,
            limit: entry.limit,
            age: now.saturating_duration_since(entry.at),
        });
        notes.collect()
    }

    fn drop_expired(&mut self, now: Instant) {
        let is_recent = |entry: &Entry| now.saturating_duration_since(entry.at) < NOTE_LIFETIME;
        self.runners.retain(|_, entry| is_recent(entry));
    }
}
