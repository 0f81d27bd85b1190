//! Keeps the declaration with the highest version.

use std::sync::Arc;

use crate::gateway::Declaration;

/// The declaration in force.
///
/// Stale reads, lost history and restarted watches of the store may deliver an
/// older declaration again, so only a higher version replaces the current one.
#[derive(Clone, Debug, Default)]
pub struct LatestDeclaration {
    current: Option<Arc<Declaration>>,
}

impl LatestDeclaration {
    /// Puts a declaration in force if its version is higher than the current
    /// one's; returns whether it did.
    pub fn update(&mut self, declaration: Declaration) -> bool {
        let current = self.current.as_ref().map(|current| current.version());
        if current.is_some_and(|current| declaration.version() <= current) {
            return false;
        }
        self.current = Some(Arc::new(declaration));
        true
    }

    /// Returns the declaration in force.
    pub fn get(&self) -> Option<&Arc<Declaration>> {
        self.current.as_ref()
    }
}
