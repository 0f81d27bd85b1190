//! Holds a request's slot at a runner until it is dropped.

use std::sync::Arc;
use std::time::Instant;

use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::ids::ServiceId;

use crate::gateway::state::GatewayState;

/// A slot at a runner that one request occupies.
///
/// Dropping it reports the outcome to the pool. The outcome is
/// [`RunnerOutcome::Abandoned`] unless another one was set.
#[derive(Debug)]
pub(crate) struct RunnerSlot {
    state: Arc<GatewayState>,
    service: ServiceId,
    pub(crate) runner: ListedRunner,
    outcome: RunnerOutcome,
    /// When the slot was acquired.
    pub(crate) acquired_at: Instant,
}

impl RunnerSlot {
    pub(crate) fn new(state: Arc<GatewayState>, service: ServiceId, runner: ListedRunner) -> Self {
        Self {
            acquired_at: state.now(),
            state,
            service,
            runner,
            outcome: RunnerOutcome::Abandoned,
        }
    }

    /// Sets the outcome that is reported when the slot is dropped.
    pub(crate) fn set_outcome(&mut self, outcome: RunnerOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for RunnerSlot {
    fn drop(&mut self) {
        if self.outcome == RunnerOutcome::Failed {
            self.state.upstreams.close_address(self.runner.address);
        }
        self.state
            .request_ended(&self.service, &self.runner.id, self.outcome);
    }
}
