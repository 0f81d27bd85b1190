//! A declaration as it is written, with entries that a process would never use.

use crate::collections::HashMap;
use crate::gateway::CallerLimits;
use crate::gateway::Declaration;
use crate::gateway::Route;
use crate::gateway::ServiceTarget;
use crate::gateway::Tenancy;
use crate::ids::WorkspaceId;

/// A workspace and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceDraft {
    /// The workspace.
    pub id: WorkspaceId,
    /// The keys of its callers.
    pub keys: Vec<String>,
    /// Priority of its requests, which replaces the route's.
    pub priority: Option<u32>,
}

/// All entries of a declaration, in their order.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclarationDraft {
    /// The version number.
    pub version: u64,
    /// The services.
    pub services: Vec<ServiceTarget>,
    /// The routes.
    pub routes: Vec<Route>,
    /// The workspaces; `None` if requests need no key.
    pub workspaces: Option<Vec<WorkspaceDraft>>,
    /// Limits for requests of callers.
    pub limits: CallerLimits,
}

impl From<DeclarationDraft> for Declaration {
    fn from(draft: DeclarationDraft) -> Self {
        let keys = draft.workspaces.map(tenancies_by_key);
        Self::new(
            draft.version,
            draft.services,
            draft.routes,
            keys,
            draft.limits,
        )
    }
}

fn tenancies_by_key(workspaces: Vec<WorkspaceDraft>) -> HashMap<String, Tenancy> {
    let mut tenancies = HashMap::default();
    for workspace in workspaces {
        let tenancy = Tenancy {
            workspace: workspace.id,
            priority: workspace.priority,
        };
        for key in workspace.keys {
            tenancies.insert(key, tenancy.clone());
        }
    }
    tenancies
}
