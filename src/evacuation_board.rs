//! What a process knows of evacuations, shared by its tasks.
//!
//! Entries read it from the store and pass it on over their links to the leaders of
//! groups, which pass it on to all linked entries. Both sides send all that they know when
//! a link begins and with each change, so an entry that is cut off from the store still
//! learns of an evacuation, and an agent that has just started catches up.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use tokio::sync::watch;
use wisteriawick_core::gateway::EvacuationNote;
use wisteriawick_core::gateway::Evacuations;

/// An [`Evacuations`] whose changes are announced to subscribers.
#[derive(Clone, Debug)]
pub(crate) struct EvacuationBoard {
    evacuations: Arc<Mutex<Evacuations>>,
    /// Number of changes so far.
    version: watch::Sender<u64>,
}

impl Default for EvacuationBoard {
    fn default() -> Self {
        Self {
            evacuations: Arc::default(),
            version: watch::Sender::new(0),
        }
    }
}

impl EvacuationBoard {
    /// Calls a function that takes in what was read or heard, and announces what it returns
    /// as changed.
    pub(crate) fn update(
        &self,
        take_in: impl FnOnce(&mut Evacuations) -> Vec<EvacuationNote>,
    ) -> Vec<EvacuationNote> {
        let changes = take_in(&mut self.lock());
        if !changes.is_empty() {
            self.version.send_modify(|version| *version += 1);
        }
        changes
    }

    /// Returns what is known.
    ///
    /// # Panics
    ///
    /// Panics if another caller has panicked while it held the lock.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Evacuations> {
        self.evacuations.lock().expect("no holder panics")
    }

    /// Returns what one link has to send.
    pub(crate) fn subscribe(&self) -> EvacuationUpdates {
        let mut changes = self.version.subscribe();
        changes.mark_changed();
        EvacuationUpdates(Some(Subscription {
            board: self.clone(),
            changes,
        }))
    }
}

/// What one link has to send: at first, and after each change, all that is known. Empty for
/// a link that takes no part in the exchange.
#[derive(Default)]
pub(crate) struct EvacuationUpdates(Option<Subscription>);

struct Subscription {
    board: EvacuationBoard,
    changes: watch::Receiver<u64>,
}

impl EvacuationUpdates {
    /// Returns whether the link takes no part in the exchange.
    pub(crate) fn is_none(&self) -> bool {
        self.0.is_none()
    }

    /// Waits until there is something to send. Nothing is lost if the future is dropped.
    pub(crate) async fn next(&mut self) -> Vec<EvacuationNote> {
        let Some(subscription) = &mut self.0 else {
            return std::future::pending().await;
        };
        // The board that sends is owned here, so the channel stays open.
        let _ = subscription.changes.changed().await;
        subscription.board.lock().to_notes()
    }
}
