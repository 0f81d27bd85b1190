//! Checks workspaces and their keys. Keys are secrets, so no finding shows one.

use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::gateway::DeclarationDraft;
use crate::gateway::Finding;
use crate::ids::WorkspaceId;

pub(super) fn check(draft: &DeclarationDraft, findings: &mut Vec<Finding>) {
    let Some(workspaces) = &draft.workspaces else {
        return;
    };
    let mut holders: HashMap<&str, &WorkspaceId> = HashMap::default();
    let mut seen: HashSet<&WorkspaceId> = HashSet::default();
    for workspace in workspaces {
        let place = format!("workspace {}", workspace.id);
        if !seen.insert(&workspace.id) {
            let problem = "it is declared twice";
            findings.push(Finding::warning(&place, problem, "join the two"));
        }
        if workspace.keys.is_empty() {
            let problem = "it has no key, so none of its callers is let in";
            findings.push(Finding::warning(&place, problem, "add a key or remove it"));
        }
        for key in &workspace.keys {
            if key.is_empty() || key.trim() != key {
                let problem =
                    "a key is empty or begins or ends with a space, so no caller can send it";
                findings.push(Finding::error(&place, problem, "correct the key"));
            }
            match holders.insert(key, &workspace.id) {
                Some(holder) if *holder != workspace.id => {
                    let problem =
                        format!("it shares a key with workspace {holder}, which loses it");
                    findings.push(Finding::error(&place, problem, "give each its own key"));
                }
                _ => {}
            }
        }
    }
    let needs_key = draft.routes.iter().any(|route| !route.allows_anonymous);
    if holders.is_empty() && needs_key {
        let problem = "routes need a key, and there is none";
        findings.push(Finding::error("workspaces", problem, "add a key"));
    }
}
