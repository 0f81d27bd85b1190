//! The state machine of one call.

use std::time::Duration;
use std::time::Instant;

use crate::call::CallKind;
use crate::call::CallOptions;
use crate::call::Failure;
use crate::call::Input;
use crate::call::Outcome;
use crate::call::Output;
use crate::gate::Refusal;
use crate::ids::AttemptId;
use crate::ids::RunnerId;
use crate::ids::Term;
use crate::ledger::LedgerReply;
use crate::ledger::RecordedResponse;
use crate::router::AttemptResult;
use crate::router::Rejection;
use crate::router::RetryRule;

/// Delay before a claim is retried, after the process it was sent to did not own the shard.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(50);

#[derive(Clone, Debug, PartialEq)]
enum State {
    /// Waits for [`Input::Begin`].
    New,
    /// Waits for the ledger's reply to a claim.
    Claiming,
    /// Waits for the router to choose a runner or to reject the request.
    Queued,
    /// Waits for the result of an attempt.
    Running(Run),
    Closed,
}

#[derive(Clone, Debug, PartialEq)]
struct Run {
    attempt: AttemptId,
    runner: RunnerId,
    started: Instant,
}

/// The processing of one caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    options: CallOptions,
    state: State,
    /// Whether any attempt so far may have run.
    may_have_run: bool,
    /// Term under which the ledger granted the claim of a keyed call.
    claim_term: Option<Term>,
    stream_begun: bool,
    /// Number of events that the caller has, in order and without gaps.
    relayed_events: u64,
    /// Whether the caller expects nothing more; a keyed attempt may still run so
    /// that its response is recorded in the ledger.
    caller_finished: bool,
}

impl Call {
    /// Returns a call that waits for [`Input::Begin`].
    pub fn new(options: CallOptions) -> Self {
        Self {
            options,
            state: State::New,
            may_have_run: false,
            claim_term: None,
            stream_begun: false,
            relayed_events: 0,
            caller_finished: false,
        }
    }

    /// Handles an input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Begin => self.begin(out),
            Input::Ledger(reply) => self.ledger(reply, out),
            Input::Dispatched {
                attempt,
                runner,
                suspect,
            } => self.dispatched(now, attempt, runner, suspect, out),
            Input::Rejected(rejection) => self.rejected(rejection, out),
            Input::Refused(attempt, refusal) => self.refused(attempt, refusal, out),
            Input::Head(attempt) => self.head(attempt, out),
            Input::Event(attempt, position) => self.event(attempt, position, out),
            Input::EndOfStream(attempt, events) => self.end_of_stream(now, attempt, events, out),
            Input::Responded(attempt, response) => self.responded(now, attempt, response, out),
            Input::EndpointFailed(attempt) => self.failed(attempt, AttemptResult::Unknown, out),
            Input::EndpointDied(attempt) => self.failed(attempt, AttemptResult::Died, out),
            Input::LinkLost { attempt, sent } => self.link_lost(attempt, sent, out),
            Input::Stalled(attempt) => self.stalled(attempt, out),
            Input::Deadline => self.deadline(out),
            Input::CallerGone => self.caller_gone(out),
        }
    }

    /// Returns whether the call is over.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Returns the current attempt.
    pub fn attempt(&self) -> Option<AttemptId> {
        match &self.state {
            State::Running(run) => Some(run.attempt),
            _ => None,
        }
    }

    fn begin(&mut self, out: &mut Vec<Output>) {
        if self.state != State::New {
            return;
        }
        if self.options.keyed {
            self.state = State::Claiming;
            out.push(Output::Claim(Duration::ZERO));
        } else {
            self.enqueue(out);
        }
    }

    fn enqueue(&mut self, out: &mut Vec<Output>) {
        self.state = State::Queued;
        out.push(Output::Enqueue);
    }

    fn ledger(&mut self, reply: LedgerReply, out: &mut Vec<Output>) {
        if self.state == State::Closed && matches!(reply, LedgerReply::Granted(_)) {
            // The release that was sent at the end of the call may have come first.
            out.push(Output::Release);
        }
        if self.state != State::Claiming {
            return;
        }
        match reply {
            LedgerReply::Granted(term) => {
                self.claim_term = Some(term);
                self.enqueue(out);
            }
            LedgerReply::Done(response) => {
                let replayed = true;
                out.push(Output::Respond { response, replayed });
                self.close(out);
            }
            LedgerReply::NotOwner => out.push(Output::Claim(CLAIM_RETRY_DELAY)),
            LedgerReply::InProgress => self.fail(Failure::InProgress, Outcome::Unknown, out),
            LedgerReply::KeyReused => self.fail(Failure::KeyReused, Outcome::NotRun, out),
            LedgerReply::Full => self.fail(Failure::LedgerFull, Outcome::NotRun, out),
            LedgerReply::Unavailable | LedgerReply::Recorded | LedgerReply::Absent => {
                self.fail_claim(out);
            }
        }
    }

    /// Ends the call without a granted claim.
    ///
    /// The claim may still take effect later, so it is released; nothing ran under it.
    fn fail_claim(&mut self, out: &mut Vec<Output>) {
        out.push(Output::Release);
        self.fail(Failure::LedgerUnavailable, Outcome::NotRun, out);
    }

    fn dispatched(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        runner: RunnerId,
        suspect: bool,
        out: &mut Vec<Output>,
    ) {
        if self.state != State::Queued {
            // The call no longer needs a runner; nothing was sent.
            out.push(Output::Ended(attempt, AttemptResult::Cancelled));
            return;
        }
        self.state = State::Running(Run {
            attempt,
            runner: runner.clone(),
            started: now,
        });
        out.push(Output::Send {
            attempt,
            runner,
            suspect,
            resume_from: self.relayed_events,
            term: self.claim_term,
        });
    }

    fn rejected(&mut self, rejection: Rejection, out: &mut Vec<Output>) {
        if self.state != State::Queued {
            return;
        }
        let failure = match rejection {
            Rejection::Overloaded { retry_after } => Failure::Overloaded { retry_after },
            Rejection::Deadline { retry_after } => Failure::DeadlineBeforeStart { retry_after },
            Rejection::NoRunner { retry_after } => Failure::NoRunner { retry_after },
            Rejection::Blocked { retry_after } => Failure::Blocked { retry_after },
            Rejection::NotRun => Failure::Refused,
            Rejection::Unknown => Failure::CutOff,
        };
        self.fail_without_attempt(failure, out);
    }

    /// Ends the call while no attempt is running.
    fn fail_without_attempt(&mut self, failure: Failure, out: &mut Vec<Output>) {
        let outcome = if self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        if self.claim_term.is_some() && !self.may_have_run {
            out.push(Output::Release);
        }
        self.fail(failure, outcome, out);
    }

    /// Returns the current run if it belongs to this attempt.
    fn current(&self, attempt: AttemptId) -> Option<Run> {
        match &self.state {
            State::Running(run) if run.attempt == attempt => Some(run.clone()),
            _ => None,
        }
    }

    fn refused(&mut self, attempt: AttemptId, refusal: Refusal, out: &mut Vec<Output>) {
        if self.current(attempt).is_none() {
            out.push(Output::CountStray);
            return;
        }
        let result = match refusal {
            Refusal::Busy => AttemptResult::Busy,
            Refusal::Leaving | Refusal::EndpointDown => AttemptResult::Down,
            Refusal::DeadlinePassed | Refusal::OtherIncarnation | Refusal::HasTombstone => {
                AttemptResult::NotRun
            }
        };
        self.end_attempt(attempt, result, out);
    }

    /// Reports the end of the current attempt to the router, which chooses another
    /// runner or rejects the request; closes the call if the caller expects nothing more.
    fn end_attempt(&mut self, attempt: AttemptId, result: AttemptResult, out: &mut Vec<Output>) {
        if self.caller_finished {
            out.push(Output::Ended(attempt, AttemptResult::Cancelled));
            if self.claim_term.is_some() && !self.may_have_run {
                out.push(Output::Release);
            }
            self.close(out);
            return;
        }
        self.state = State::Queued;
        out.push(Output::Ended(attempt, result));
    }

    fn head(&mut self, attempt: AttemptId, out: &mut Vec<Output>) {
        if self.current(attempt).is_none() {
            out.push(Output::CountStray);
            return;
        }
        self.may_have_run = true;
        if !self.stream_begun {
            self.stream_begun = true;
            out.push(Output::BeginStream);
        }
    }

    fn event(&mut self, attempt: AttemptId, position: u64, out: &mut Vec<Output>) {
        let Some(run) = self.current(attempt) else {
            out.push(Output::CountStray);
            return;
        };
        if position < self.relayed_events {
            out.push(Output::CountStray);
            return;
        }
        if position > self.relayed_events {
            // Events were lost, so this attempt cannot continue the response.
            out.push(Output::Cancel(attempt, run.runner));
            self.failed(attempt, AttemptResult::Unknown, out);
            return;
        }
        self.may_have_run = true;
        self.relayed_events += 1;
        out.push(Output::Relay(position));
    }

    fn end_of_stream(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        events: u64,
        out: &mut Vec<Output>,
    ) {
        let Some(run) = self.current(attempt) else {
            out.push(Output::CountStray);
            return;
        };
        if events != self.relayed_events {
            self.failed(attempt, AttemptResult::Unknown, out);
            return;
        }
        let duration = now.saturating_duration_since(run.started);
        out.push(Output::Ended(
            attempt,
            AttemptResult::Completed { duration },
        ));
        out.push(Output::EndStream);
        self.close(out);
    }

    fn responded(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        response: RecordedResponse,
        out: &mut Vec<Output>,
    ) {
        let Some(run) = self.current(attempt) else {
            out.push(Output::CountStray);
            return;
        };
        if self.stream_begun {
            // A buffered response cannot continue a stream that has begun.
            self.failed(attempt, AttemptResult::Unknown, out);
            return;
        }
        self.may_have_run = true;
        let duration = now.saturating_duration_since(run.started);
        out.push(Output::Ended(
            attempt,
            AttemptResult::Completed { duration },
        ));
        if self.claim_term.is_some() {
            out.push(Output::Settle(response.clone()));
        }
        if !self.caller_finished {
            let replayed = false;
            out.push(Output::Respond { response, replayed });
        }
        self.close(out);
    }

    fn failed(&mut self, attempt: AttemptId, result: AttemptResult, out: &mut Vec<Output>) {
        if self.current(attempt).is_none() {
            out.push(Output::CountStray);
            return;
        }
        self.may_have_run = true;
        self.end_attempt(attempt, result, out);
    }

    fn link_lost(&mut self, attempt: AttemptId, sent: bool, out: &mut Vec<Output>) {
        let Some(run) = self.current(attempt) else {
            out.push(Output::CountStray);
            return;
        };
        if !sent {
            self.end_attempt(attempt, AttemptResult::NotRun, out);
            return;
        }
        if self.options.retry == RetryRule::Idempotent {
            // The call may run twice, so a retry needs no evidence about this attempt.
            out.push(Output::Cancel(attempt, run.runner));
            self.failed(attempt, AttemptResult::Unknown, out);
        } else {
            out.push(Output::Recover(attempt, run.runner));
        }
    }

    fn stalled(&mut self, attempt: AttemptId, out: &mut Vec<Output>) {
        // A buffered response may take until the deadline.
        if self.options.kind == CallKind::Stream {
            self.link_lost(attempt, true, out);
        }
    }

    fn deadline(&mut self, out: &mut Vec<Output>) {
        match &self.state {
            State::New | State::Closed => {}
            State::Claiming => self.fail_claim(out),
            State::Queued => {
                out.push(Output::Dequeue);
                let retry_after = Duration::from_secs(1);
                self.fail_without_attempt(Failure::DeadlineBeforeStart { retry_after }, out);
            }
            State::Running(run) => {
                let run = run.clone();
                if self.caller_finished {
                    // The extra time to record a late response is over, too.
                    out.push(Output::Ended(run.attempt, AttemptResult::Cancelled));
                    self.close(out);
                    return;
                }
                self.finish_or_cancel(&run, out);
                out.push(Output::Fail(
                    Failure::DeadlineWhileRunning,
                    Outcome::Unknown,
                ));
            }
        }
    }

    fn caller_gone(&mut self, out: &mut Vec<Output>) {
        match &self.state {
            State::New | State::Closed => {}
            State::Claiming => {
                out.push(Output::Release);
                self.close(out);
            }
            State::Queued => {
                out.push(Output::Dequeue);
                if self.claim_term.is_some() && !self.may_have_run {
                    out.push(Output::Release);
                }
                self.close(out);
            }
            State::Running(run) => {
                let run = run.clone();
                self.finish_or_cancel(&run, out);
            }
        }
    }

    /// Ends the caller's part of the call while an attempt runs.
    ///
    /// An attempt under a claim continues, so that its response is recorded. Any
    /// other attempt is cancelled.
    fn finish_or_cancel(&mut self, run: &Run, out: &mut Vec<Output>) {
        self.caller_finished = true;
        if self.claim_term.is_some() {
            return;
        }
        out.push(Output::Cancel(run.attempt, run.runner.clone()));
        out.push(Output::Ended(run.attempt, AttemptResult::Cancelled));
        self.close(out);
    }

    fn fail(&mut self, failure: Failure, outcome: Outcome, out: &mut Vec<Output>) {
        out.push(Output::Fail(failure, outcome));
        self.close(out);
    }

    fn close(&mut self, out: &mut Vec<Output>) {
        self.state = State::Closed;
        self.caller_finished = true;
        out.push(Output::Close);
    }
}

#[cfg(test)]
mod tests;
