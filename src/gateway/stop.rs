//! The stop of a gateway, as the tasks that serve requests see it.
//!
//! [`listen`](crate::gateway::listen) drives it by the times of a [`StopSchedule`].

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use tokio_util::sync::CancellationToken;
use wisteriawick_core::gateway::StopSchedule;

/// Why a request must be answered before its work is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// The caller waits no longer.
    Deadline,
    /// The process ends.
    Stop,
}

/// How far the stop of a gateway has come.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    schedule: OnceLock<StopSchedule>,
    begun: CancellationToken,
    responses_due: CancellationToken,
    finished: CancellationToken,
}

impl Stop {
    /// Begins the stop. Only the first schedule counts.
    pub(crate) fn begin(&self, schedule: StopSchedule) {
        let _ = self.schedule.set(schedule);
        self.begun.cancel();
    }

    /// Tells requests without a response to send one now.
    pub(crate) fn require_responses(&self) {
        self.responses_due.cancel();
    }

    /// Tells streams to end.
    pub(crate) fn finish(&self) {
        self.finished.cancel();
    }

    /// Returns the schedule of the stop; `None` while the gateway runs normally.
    pub(crate) fn schedule(&self) -> Option<&StopSchedule> {
        self.schedule.get()
    }

    /// Waits until requests without a response must send one.
    pub(crate) async fn wait_until_responses_due(&self) {
        self.responses_due.cancelled().await;
    }

    /// Waits until streams must end.
    pub(crate) async fn wait_until_finished(&self) {
        self.finished.cancelled().await;
    }

    /// Waits until it is too late to send a request to a runner, because it would not
    /// end within the grace period. `expected` returns the time that the request takes
    /// and is called when the stop begins.
    pub(crate) async fn wait_until_latest_start(&self, expected: impl FnOnce() -> Duration) {
        self.begun.cancelled().await;
        if let Some(schedule) = self.schedule() {
            tokio::time::sleep_until(schedule.latest_start(expected()).into()).await;
        }
    }

    /// Waits for an operation of a request until the request must be answered.
    ///
    /// # Errors
    ///
    /// Returns why the operation was dropped before its end. One that has a result by
    /// then is not dropped.
    pub(crate) async fn unless_due<T>(
        &self,
        deadline: Instant,
        operation: impl Future<Output = T>,
    ) -> Result<T, Due> {
        tokio::select! {
            biased;
            done = operation => Ok(done),
            () = tokio::time::sleep_until(deadline.into()) => Err(Due::Deadline),
            () = self.wait_until_responses_due() => Err(Due::Stop),
        }
    }
}

#[cfg(test)]
mod tests;
