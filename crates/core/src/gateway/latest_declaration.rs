//! Keeps the declaration with the highest version.

use std::sync::Arc;

use crate::gateway::Declaration;
use crate::hosting::Era;

/// The declaration in force.
///
/// Stale reads, lost history, restarted watches and a store that was restored from
/// a copy may deliver an older declaration again, so only a higher version replaces
/// the current one, or the same version of a newer era: the operator has written it
/// again.
#[derive(Clone, Debug, Default)]
pub struct LatestDeclaration {
    current: Option<Arc<Declaration>>,
    /// Era from which the current declaration was read.
    era: Era,
    store_behind: Option<StoreBehind>,
}

/// A restored store that holds an older declaration than the one in force, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreBehind {
    /// Version in force.
    pub in_force: u64,
    /// Era from which it was read.
    pub in_force_era: Era,
    /// Version that the store holds.
    pub listed: Option<u64>,
    /// Era of the store.
    pub listed_era: Era,
}

impl LatestDeclaration {
    /// Puts a declaration in force if its version is higher than the current one's,
    /// or the same in a newer era; returns whether it did.
    pub fn update(&mut self, era: Era, declaration: Declaration) -> bool {
        let current = self.current.as_ref().map(|current| current.version());
        let current = current.map(|version| (version, self.era));
        if current.is_some_and(|current| (declaration.version(), era) <= current) {
            return false;
        }
        self.current = Some(Arc::new(declaration));
        self.era = era;
        self.store_behind = None;
        true
    }

    /// Compares the declaration in force with a listing, after [`update`] with the
    /// declaration listed. Returns the difference if the store is behind since its
    /// last restore, once for each era.
    ///
    /// [`update`]: Self::update
    pub fn compare_listed(&mut self, era: Era, listed: Option<u64>) -> Option<StoreBehind> {
        let in_force = self.current.as_ref()?.version();
        let is_behind = era > self.era && listed.is_none_or(|listed| listed < in_force);
        let is_reported = self
            .store_behind
            .is_some_and(|reported| reported.listed_era == era);
        if !is_behind || is_reported {
            return None;
        }
        self.store_behind = Some(StoreBehind {
            in_force,
            in_force_era: self.era,
            listed,
            listed_era: era,
        });
        self.store_behind
    }

    /// Returns whether the store has held an older declaration, or none, since it
    /// was restored.
    pub fn is_store_behind(&self) -> bool {
        self.store_behind.is_some()
    }

    /// Returns the declaration in force.
    pub fn get(&self) -> Option<&Arc<Declaration>> {
        self.current.as_ref()
    }
}
