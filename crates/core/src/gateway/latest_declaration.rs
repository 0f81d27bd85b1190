//! The newest value by number: what is in force never goes back.

use std::sync::Arc;

use crate::gateway::Declaration;

/// The declaration in force.
///
/// Stale reads, lost history and restarted watches may show an older one
/// again; only a higher number replaces it.
#[derive(Clone, Debug, Default)]
pub struct LatestDeclaration {
    current: Option<Arc<Declaration>>,
}

impl LatestDeclaration {
    /// Takes a declaration; returns whether it is now in force.
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
