//! Decides whether a request is retried after a failed attempt.
//!
//! Runners may refuse a request, break the connection, lose a response or
//! crash. A request is retried only if no runner can have executed it or if it
//! may be executed more than once. Attempts, retry budget and the deadline
//! bound the retries in both cases.

use std::time::Instant;

/// How an attempt ended that yielded no successful response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte was sent: connecting failed or the connection had been closed.
    NotSent,
    /// The runner stated that it did not execute the request.
    NotRun,
    /// The runner returned an error response that carries its signature.
    Failed,
    /// Any other failure: the runner may have executed the request.
    Unknown,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another runner.
    Again,
    /// Tell the caller that the request was not executed and when to retry.
    Refuse,
    /// Forward the runner's error response.
    PassOn,
    /// Tell the caller that the request may have been executed.
    Unknown,
}

/// The attempts that one request has made and may still make.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    /// Whether the request may be executed more than once.
    pub may_run_again: bool,
    /// Maximum number of attempts that reach a runner.
    pub max_attempts: u32,
    /// Attempts that reached a runner; [`AttemptOutcome::NotSent`] does not count.
    pub reached: u32,
    /// Whether a runner may have executed the request.
    pub may_have_run: bool,
    /// When the response must be sent to the caller.
    pub deadline: Instant,
}

impl RetryState {
    /// Returns the state of a request that has not been sent yet.
    pub fn new(may_run_again: bool, max_attempts: u32, deadline: Instant) -> Self {
        Self {
            may_run_again,
            max_attempts: max_attempts.max(1),
            reached: 0,
            may_have_run: false,
            deadline,
        }
    }

    /// Returns whether the request may be sent to another runner if the attempt in
    /// flight is cancelled, apart from the retry budget.
    pub fn may_move(&self) -> bool {
        self.may_run_again && self.reached + 1 < self.max_attempts
    }

    /// Records the outcome of an attempt and returns what to do next.
    ///
    /// `spend` takes one retry from the budget and returns whether there was
    /// one. It is called only if everything else allows the retry.
    pub fn next_step(
        &mut self,
        now: Instant,
        outcome: AttemptOutcome,
        spend: impl FnOnce() -> bool,
    ) -> NextStep {
        let possibly_ran = matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Unknown);
        if outcome != AttemptOutcome::NotSent {
            self.reached += 1;
        }
        self.may_have_run |= possibly_ran;
        let is_safe = self.may_run_again || !self.may_have_run;
        let in_time = now < self.deadline;
        let has_attempts_left = self.reached < self.max_attempts;
        let has_budget = || outcome == AttemptOutcome::NotSent || spend();
        if is_safe && in_time && has_attempts_left && has_budget() {
            return NextStep::Again;
        }
        match outcome {
            AttemptOutcome::Failed => NextStep::PassOn,
            _ if self.may_have_run => NextStep::Unknown,
            _ => NextStep::Refuse,
        }
    }
}
