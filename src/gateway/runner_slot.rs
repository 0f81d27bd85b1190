//! A request's place at a runner, given back when it is dropped.

use std::sync::Arc;
use std::time::Instant;

use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::ids::ServiceId;

use crate::gateway::state::GatewayState;

/// A place at a runner.
#[derive(Debug)]
pub(crate) struct RunnerSlot {
    state: Arc<GatewayState>,
    service: ServiceId,
    pub(crate) runner: ListedRunner,
    outcome: RunnerOutcome,
    /// When the place was taken.
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

    /// Says how the runner did, for when the place is given back.
    pub(crate) fn set_outcome(&mut self, outcome: RunnerOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for RunnerSlot {
    fn drop(&mut self) {
        self.state
            .request_ended(&self.service, &self.runner.id, self.outcome);
    }
}
