//! A request's place at a runner, given back when it is dropped.

use std::sync::Arc;
use std::time::Instant;

use wisteriawick_core::gateway::RunnerStatus;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::ids::ServiceId;

use crate::gateway::hub::Hub;

/// A place at a runner.
#[derive(Debug)]
pub(crate) struct Slot {
    hub: Arc<Hub>,
    service: ServiceId,
    pub(crate) runner: ListedRunner,
    status: RunnerStatus,
    /// When the place was taken.
    pub(crate) since: Instant,
}

impl Slot {
    pub(crate) fn new(hub: Arc<Hub>, service: ServiceId, runner: ListedRunner) -> Self {
        Self {
            since: hub.now(),
            hub,
            service,
            runner,
            status: RunnerStatus::Abandoned,
        }
    }

    /// Says how the runner did, for when the place is given back.
    pub(crate) fn set_status(&mut self, status: RunnerStatus) {
        self.status = status;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.hub.ended(&self.service, &self.runner.id, self.status);
    }
}
