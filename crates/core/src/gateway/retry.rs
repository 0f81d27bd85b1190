//! Decides whether a request is retried after a failed attempt.
//!
//! Runners may refuse a request, break the connection, lose a response or
//! crash. A request is retried only if no runner can have executed it or if it
//! may be executed more than once. Attempts, retry budget and the deadline
//! bound the retries in both cases.

use std::fmt;
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

/// What ruled out a further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryLimit {
    /// A runner may have executed the request, which must not run twice.
    MayHaveRun,
    /// The caller waits no longer.
    Deadline,
    /// The route allows no more attempts.
    Attempts,
    /// The retry budget is spent.
    Budget,
}

impl fmt::Display for RetryLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MayHaveRun => "may have run and must not run twice",
            Self::Deadline => "the caller waits no longer",
            Self::Attempts => "no attempts left",
            Self::Budget => "no retry budget left",
        })
    }
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
    /// What ruled out an attempt after the last one; `None` if it was allowed.
    pub limit: Option<RetryLimit>,
    /// Whether a retry was taken from the budget and has reached no runner yet.
    pub has_unused_retry: bool,
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
            limit: None,
            has_unused_retry: false,
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
            self.has_unused_retry = false;
        }
        self.may_have_run |= possibly_ran;
        self.limit = self.reached_limit(now, outcome, spend);
        if self.limit.is_none() {
            return NextStep::Again;
        }
        match outcome {
            AttemptOutcome::Failed => NextStep::PassOn,
            _ if self.may_have_run => NextStep::Unknown,
            _ => NextStep::Refuse,
        }
    }

    /// Records that an attempt has reached a runner.
    pub fn record_sent(&mut self) {
        self.has_unused_retry = false;
    }

    /// Returns whether a retry is to be given back to the budget, as the request ends
    /// without having used it.
    pub fn take_unused_retry(&mut self) -> bool {
        std::mem::take(&mut self.has_unused_retry)
    }

    fn reached_limit(
        &mut self,
        now: Instant,
        outcome: AttemptOutcome,
        spend: impl FnOnce() -> bool,
    ) -> Option<RetryLimit> {
        if self.may_have_run && !self.may_run_again {
            return Some(RetryLimit::MayHaveRun);
        }
        if now >= self.deadline {
            return Some(RetryLimit::Deadline);
        }
        if self.reached >= self.max_attempts {
            return Some(RetryLimit::Attempts);
        }
        if outcome == AttemptOutcome::NotSent {
            return None;
        }
        self.has_unused_retry = spend();
        (!self.has_unused_retry).then_some(RetryLimit::Budget)
    }
}
