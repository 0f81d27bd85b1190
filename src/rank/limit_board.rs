//! What the leader of a group knows of the demand of entries and of rate limits, shared
//! by the tasks that serve its links.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use serde_json::json;
use tokio::sync::watch;
use wisteriawick_core::gateway::DemandTable;
use wisteriawick_core::gateway::EntryId;
use wisteriawick_core::gateway::LimitNote;
use wisteriawick_core::gateway::LimitNotes;
use wisteriawick_core::gateway::ServiceDemand;
use wisteriawick_core::time::SharedClock;

use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::rank::wire::EntryLimitsWire;
use crate::rank::wire::GroupLimitsWire;
use crate::rank::wire::LimitNoteWire;

#[derive(Debug, Default)]
struct State {
    demands: DemandTable,
    notes: LimitNotes,
}

/// The demands and rate limits that the linked entries have reported.
#[derive(Clone, Debug)]
pub(crate) struct LimitBoard {
    clock: SharedClock,
    log: EventLog,
    state: Arc<Mutex<State>>,
    /// Number of changes of rate limits so far.
    version: watch::Sender<u64>,
}

impl LimitBoard {
    pub(crate) fn new(clock: SharedClock, log: EventLog) -> Self {
        Self {
            clock,
            log,
            state: Arc::default(),
            version: watch::Sender::new(0),
        }
    }

    /// Returns the part of the board that belongs to a new link of an entry.
    pub(crate) fn link(&self, entry: EntryId) -> LimitLink {
        self.lock().demands.join(entry);
        LimitLink {
            entry,
            changes: self.version.subscribe(),
            board: self.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// The link of an entry. Dropping it records that the link has ended.
#[derive(Debug)]
pub(crate) struct LimitLink {
    board: LimitBoard,
    entry: EntryId,
    changes: watch::Receiver<u64>,
}

impl LimitLink {
    /// Takes in what the entry reported; invalid notes are logged and ignored.
    pub(crate) fn report(&self, report: EntryLimitsWire) {
        let now = self.board.clock.now();
        let demands = report.demands.into_iter().map(ServiceDemand::from);
        let notes = limit_notes(report.notes, &self.board.log);
        let mut state = self.board.lock();
        state.demands.report(self.entry, demands.collect());
        let mut is_news = false;
        for note in &notes {
            is_news |= state.notes.merge(now, note);
        }
        drop(state);
        if is_news {
            self.board.version.send_modify(|version| *version += 1);
        }
    }

    /// Returns what the entry is to be told.
    pub(crate) fn to_message(&self) -> GroupLimitsWire {
        let now = self.board.clock.now();
        let mut state = self.board.lock();
        GroupLimitsWire {
            shares: state
                .demands
                .shares(now, self.entry)
                .iter()
                .map(Into::into)
                .collect(),
            notes: state.notes.to_notes(now).iter().map(Into::into).collect(),
        }
    }

    /// Waits until a rate limit has changed since the last call.
    pub(crate) async fn changed(&mut self) {
        // The board that sends is owned here, so the channel stays open.
        let _ = self.changes.changed().await;
    }
}

/// Decodes notes about rate limits; invalid ones are logged and left out.
pub(crate) fn limit_notes(notes: Vec<LimitNoteWire>, log: &EventLog) -> Vec<LimitNote> {
    let decode = |note: LimitNoteWire| match LimitNote::try_from(note) {
        Ok(note) => Some(note),
        Err(e) => {
            let fields = json!({"problem": e.to_string()});
            log.line(EventCategory::Failure, "unreadable", fields);
            None
        }
    };
    notes.into_iter().filter_map(decode).collect()
}

impl Drop for LimitLink {
    fn drop(&mut self) {
        let now = self.board.clock.now();
        self.board.lock().demands.leave(now, self.entry);
    }
}
