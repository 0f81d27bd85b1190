//! Checks the limits for requests of callers.

use crate::gateway::DeclarationDraft;
use crate::gateway::Finding;
use crate::gateway::MemoryPlan;
use crate::hosting::Resources;

pub(super) fn check(
    draft: &DeclarationDraft,
    machine: Option<&Resources>,
    findings: &mut Vec<Finding>,
) {
    const PLACE: &str = "limits";
    let limits = &draft.limits;
    if limits.max_head_bytes == 0 {
        let problem = "no head of a request is small enough";
        findings.push(Finding::error(PLACE, problem, "allow larger heads"));
    }
    if limits.idle_timeout.is_zero() || limits.head_timeout.is_zero() {
        let problem = "callers have no time to send a head";
        findings.push(Finding::error(PLACE, problem, "state both time-outs"));
    }
    if limits.head_timeout > limits.idle_timeout {
        let problem = format!(
            "a head may take {} ms, but a connection is closed after {} ms without a request",
            limits.head_timeout.as_millis(),
            limits.idle_timeout.as_millis()
        );
        findings.push(Finding::warning(PLACE, problem, "raise the idle time-out"));
    }
    let Some(machine) = machine else {
        return;
    };
    let plan = MemoryPlan::new(machine);
    let most = plan.charged_bytes(plan.max_connections);
    if limits.max_body_bytes > most {
        let problem = format!(
            "a body may have {} bytes, but an entry with all its connections has {most} for bodies",
            limits.max_body_bytes
        );
        let remedy = "lower the limit or give entries more memory";
        findings.push(Finding::error(PLACE, problem, remedy));
    }
}
