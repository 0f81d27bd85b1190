//! The attempts of one request, and whether one of them may have executed it.
//!
//! A deadline, a stop or a caller that leaves drops the future that makes the attempts,
//! at whichever await it is. What is told of the request after that depends on this
//! record alone, so an attempt stays in flight here until its outcome is recorded, and
//! both change in one step.

use std::sync::Arc;

use wisteriawick_core::gateway::NextStep;
use wisteriawick_core::gateway::RetryState;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::ids::RunnerId;

use crate::gateway::attempt::FailedAttempt;
use crate::gateway::exchange::Exchange;

/// The attempts of a request so far.
///
/// Dropping it gives a retry back to the budget that was taken from it and reached no
/// runner.
pub(crate) struct RequestAttempts {
    exchange: Arc<Exchange>,
    retry: RetryState,
    /// Runners that already had an attempt.
    excluded: Vec<RunnerId>,
    /// Whether an attempt has begun whose outcome is not recorded.
    is_in_flight: bool,
}

impl RequestAttempts {
    /// Returns the record of a request that has not been sent yet.
    pub(super) fn new(exchange: Arc<Exchange>) -> Self {
        let route = &exchange.route_match.route;
        let retry = RetryState::new(route.may_run_again(), route.max_attempts, exchange.deadline);
        Self {
            exchange,
            retry,
            excluded: Vec::new(),
            is_in_flight: false,
        }
    }

    /// Returns the record with which a stream is forwarded whose first event has arrived.
    pub(super) fn to_stream(&self) -> Self {
        Self {
            exchange: Arc::clone(&self.exchange),
            retry: self.retry,
            excluded: Vec::new(),
            is_in_flight: true,
        }
    }

    /// Returns the request.
    pub(crate) fn exchange(&self) -> &Arc<Exchange> {
        &self.exchange
    }

    /// Returns what bounds the retries.
    pub(crate) fn retry(&self) -> &RetryState {
        &self.retry
    }

    /// Returns the runners that already had an attempt.
    pub(crate) fn excluded(&self) -> &[RunnerId] {
        &self.excluded
    }

    /// Returns whether a runner may have executed the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.is_in_flight || self.retry.may_have_run
    }

    /// Records that an attempt begins.
    pub(crate) fn begin(&mut self) {
        self.is_in_flight = true;
    }

    /// Records that the attempt in flight reached its runner.
    pub(crate) fn record_sent(&mut self) {
        self.retry.record_sent();
    }

    /// Records how the attempt in flight failed; returns what to do next.
    pub(crate) fn fail(&mut self, runner: &ListedRunner, failed: &FailedAttempt) -> NextStep {
        let state = &self.exchange.state;
        let now = state.now();
        if !failed.is_withheld {
            self.excluded.push(runner.id.clone());
        }
        let spend = || {
            state
                .with_service(&self.exchange.service, |service_state| {
                    service_state.budget.try_retry(now)
                })
                .unwrap_or(false)
        };
        let step = self.retry.next_step(now, failed.outcome, spend);
        self.is_in_flight = false;
        self.exchange
            .log_attempt_ended(&self.retry, runner, failed, step);
        step
    }
}

impl Drop for RequestAttempts {
    fn drop(&mut self) {
        // An attempt in flight may have used the retry.
        if !self.is_in_flight && self.retry.take_unused_retry() {
            self.exchange
                .state
                .with_service(&self.exchange.service, |service_state| {
                    service_state.budget.refund_retry();
                });
        }
    }
}
