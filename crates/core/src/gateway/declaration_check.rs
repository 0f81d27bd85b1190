//! Checks a declaration before an operator sends it.
//!
//! A declaration that the platform accepts may still hold routes that no request can
//! match, limits that contradict each other, or changes that nobody meant. Nothing here
//! decides what is in force: a running process uses each declaration that it can decode.

mod difference;
mod draft;
mod finding;
mod limits;
mod routes;
mod workspaces;

pub use difference::Difference;
pub use difference::check_version;
pub use difference::differences;
pub use draft::DeclarationDraft;
pub use draft::WorkspaceDraft;
pub use finding::Finding;
pub use finding::Severity;

use crate::hosting::Resources;

/// Returns what is wrong with a declaration, in the order of its parts. `machine` is what
/// the machine of an entry gives to its process, if that is known.
pub fn findings(draft: &DeclarationDraft, machine: Option<&Resources>) -> Vec<Finding> {
    let mut findings = Vec::new();
    routes::check(draft, &mut findings);
    workspaces::check(draft, &mut findings);
    limits::check(draft, machine, &mut findings);
    findings
}
