//! What a process knows of requests that crash runners, shared by its tasks.
//!
//! Entries learn it from their attempts and pass it on over their links to the leaders
//! of groups, which pass it on to all linked entries. Both sides send all that they
//! know when a link begins, so an entry or an agent that has just started, or that was
//! cut off, catches up with its first link.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::watch;
use wisteriawick_core::gateway::CrashNote;
use wisteriawick_core::gateway::CrashTracker;
use wisteriawick_core::time::SharedClock;

/// Most notes that wait for a slow link; a link that misses some gets all that is known.
const NOTE_QUEUE_CAPACITY: usize = 256;

/// A [`CrashTracker`] whose changes are announced to subscribers.
#[derive(Clone, Debug)]
pub(crate) struct CrashBoard {
    clock: SharedClock,
    tracker: Arc<Mutex<CrashTracker>>,
    notes: broadcast::Sender<CrashNote>,
    /// Number of changes so far.
    version: watch::Sender<u64>,
}

impl CrashBoard {
    pub(crate) fn new(clock: SharedClock) -> Self {
        let (notes, _) = broadcast::channel(NOTE_QUEUE_CAPACITY);
        Self {
            clock,
            tracker: Arc::default(),
            notes,
            version: watch::Sender::new(0),
        }
    }

    /// Calls a function with the tracker and the time, and announces what it changed.
    ///
    /// # Panics
    ///
    /// Panics if another caller has panicked within its function.
    pub(crate) fn update<T>(&self, run: impl FnOnce(&mut CrashTracker, Instant) -> T) -> T {
        let mut tracker = self.tracker.lock().expect("no holder panics");
        let result = run(&mut tracker, self.clock.now());
        let notes = tracker.take_notes();
        if !notes.is_empty() {
            self.version.send_modify(|version| *version += 1);
        }
        for note in notes {
            // Fails while nobody subscribes.
            let _ = self.notes.send(note);
        }
        result
    }

    /// Takes over notes of another process. If they tell something new, returns how many
    /// suspects are blocked then.
    pub(crate) fn merge(&self, notes: &[CrashNote]) -> Option<usize> {
        self.update(|tracker, now| {
            let mut is_news = false;
            for note in notes {
                is_news |= tracker.merge(now, note);
            }
            is_news.then(|| tracker.blocked_count(now))
        })
    }

    /// Subscribes to the changes from now on.
    pub(crate) fn changes(&self) -> CrashChanges {
        CrashChanges(self.version.subscribe())
    }

    /// Returns the changes from now on, preceded by all that is known.
    pub(crate) fn subscribe(&self) -> CrashNotes {
        CrashNotes {
            board: self.clone(),
            changes: self.notes.subscribe(),
            is_complete: false,
        }
    }
}

/// Tells when something has changed.
pub(crate) struct CrashChanges(watch::Receiver<u64>);

impl CrashChanges {
    /// Waits for a change since the last call or the subscription.
    pub(crate) async fn wait(&mut self) {
        if self.0.changed().await.is_err() {
            // The board has gone, so nothing changes any more.
            std::future::pending().await
        }
    }
}

/// The notes that one link has to send.
pub(crate) struct CrashNotes {
    board: CrashBoard,
    changes: broadcast::Receiver<CrashNote>,
    /// Whether all that was known has been returned.
    is_complete: bool,
}

impl CrashNotes {
    /// Waits for the next notes; the first ones are all that is known and may be none.
    /// No note is lost if the future is dropped.
    pub(crate) async fn next(&mut self) -> Vec<CrashNote> {
        if self.is_complete {
            match self.changes.recv().await {
                Ok(note) => return vec![note],
                Err(RecvError::Lagged(_)) => {}
                // Does not happen, since the board that sends is owned here.
                Err(RecvError::Closed) => return std::future::pending().await,
            }
        }
        self.is_complete = true;
        self.board.update(|tracker, now| tracker.to_notes(now))
    }
}
