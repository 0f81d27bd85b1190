//! The newest value by number: what is in force never goes back.

use std::sync::Arc;

use crate::gateway::Declaration;

/// The declaration in force.
///
/// Stale reads, lost history and restarted watches may show an older one
/// again; only a higher number replaces it.
#[derive(Clone, Debug, Default)]
pub struct Latest {
    held: Option<Arc<Declaration>>,
}

impl Latest {
    /// Takes a declaration; returns whether it is now in force.
    pub fn offer(&mut self, declaration: Declaration) -> bool {
        let held = self.held.as_ref().map(|held| held.version());
        if held.is_some_and(|held| declaration.version() <= held) {
            return false;
        }
        self.held = Some(Arc::new(declaration));
        true
    }

    /// Returns the declaration in force.
    pub fn get(&self) -> Option<&Arc<Declaration>> {
        self.held.as_ref()
    }
}
