//! Holds a request's slot at a runner until it is dropped.

use std::sync::Arc;
use std::time::Instant;

use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::gateway::Selection;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::ids::ServiceId;
use wisteriawick_platform::ResponseHead;

use crate::gateway::state::GatewayState;

/// A slot at a runner that one request occupies.
///
/// Dropping it reports the outcome to the pool. The outcome is
/// [`RunnerOutcome::Abandoned`] unless another one was set or the runner's response
/// began and did not end in time.
#[derive(Debug)]
pub(crate) struct RunnerSlot {
    state: Arc<GatewayState>,
    service: ServiceId,
    selection: Selection,
    outcome: RunnerOutcome,
    /// When a response that has begun must have ended.
    response_due: Option<Instant>,
    /// When the slot was acquired.
    pub(crate) acquired_at: Instant,
}

impl RunnerSlot {
    pub(crate) fn new(state: Arc<GatewayState>, service: ServiceId, selection: Selection) -> Self {
        Self {
            acquired_at: state.now(),
            state,
            service,
            selection,
            outcome: RunnerOutcome::Abandoned,
            response_due: None,
        }
    }

    /// Returns the runner.
    pub(crate) fn runner(&self) -> &ListedRunner {
        &self.selection.runner
    }

    /// Returns whether the request may be handed to the runner now. Call this right before
    /// sending.
    pub(crate) fn may_hand_out(&self) -> bool {
        self.state.hand_out(&self.service, &self.selection)
    }

    /// Takes in what a response to a request that was sent at `sent_at` says of the runner.
    pub(crate) fn observe(&self, sent_at: Instant, head: &ResponseHead) {
        self.state
            .observe_limit(&self.service, self.runner(), sent_at, head.limit);
        self.state
            .observe_rest(&self.service, self.runner(), head.rest);
        if head.is_leaving {
            self.state.observe_leaving(self.runner());
        }
    }

    /// Sets the outcome that is reported when the slot is dropped.
    pub(crate) fn set_outcome(&mut self, outcome: RunnerOutcome) {
        self.outcome = outcome;
    }

    /// Records that the response has begun, and when it must have ended.
    pub(crate) fn response_begun(&mut self, due: Instant) {
        self.response_due = Some(due);
    }
}

impl Drop for RunnerSlot {
    fn drop(&mut self) {
        let is_overdue = self.response_due.is_some_and(|due| self.state.now() >= due);
        let outcome = match self.outcome {
            RunnerOutcome::Abandoned if is_overdue => RunnerOutcome::Failed,
            outcome => outcome,
        };
        if outcome == RunnerOutcome::Failed {
            self.state.upstreams.close_address(self.runner().address);
        }
        self.state
            .request_ended(&self.service, &self.runner().id, outcome);
    }
}
