//! The call core.

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

/// Pause before a claim is sent to the next owner.
const CLAIM_PAUSE: Duration = Duration::from_millis(50);

#[derive(Clone, Debug, PartialEq)]
enum State {
    New,
    Claiming,
    Queued,
    Running(Run),
    Closed,
}

#[derive(Clone, Debug, PartialEq)]
struct Run {
    attempt: AttemptId,
    runner: RunnerId,
    started: Instant,
}

/// One request on its way through an entry.
#[derive(Clone, Debug)]
pub struct Call {
    plan: CallOptions,
    state: State,
    /// Whether any attempt so far may have run.
    may_have_run: bool,
    /// Term under which the ledger granted the claim.
    claimed: Option<Term>,
    stream_begun: bool,
    /// Events that the caller has, all in order and without gaps.
    relayed: u64,
    /// Whether the caller has its final answer; only the ledger's is missing.
    caller_done: bool,
}

impl Call {
    /// Returns a call that waits for `Input::Begin`.
    pub fn new(plan: CallOptions) -> Self {
        Self {
            plan,
            state: State::New,
            may_have_run: false,
            claimed: None,
            stream_begun: false,
            relayed: 0,
            caller_done: false,
        }
    }

    /// Takes an input and appends what has to be done.
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
            Input::Responded(attempt, answer) => self.answered(now, attempt, answer, out),
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
        if self.plan.keyed {
            self.state = State::Claiming;
            out.push(Output::Claim(Duration::ZERO));
        } else {
            self.queue(out);
        }
    }

    fn queue(&mut self, out: &mut Vec<Output>) {
        self.state = State::Queued;
        out.push(Output::Enqueue);
    }

    fn ledger(&mut self, reply: LedgerReply, out: &mut Vec<Output>) {
        if self.state != State::Claiming {
            return;
        }
        match reply {
            LedgerReply::Granted(term) => {
                self.claimed = Some(term);
                self.queue(out);
            }
            LedgerReply::Done(answer) => {
                let replayed = true;
                out.push(Output::Respond {
                    response: answer,
                    replayed,
                });
                self.close(out);
            }
            LedgerReply::NotOwner => out.push(Output::Claim(CLAIM_PAUSE)),
            LedgerReply::InProgress => self.fail(Failure::InProgress, Outcome::Unknown, out),
            LedgerReply::KeyReused => self.fail(Failure::KeyReused, Outcome::NotRun, out),
            LedgerReply::Full => self.fail(Failure::LedgerFull, Outcome::NotRun, out),
            LedgerReply::Unavailable | LedgerReply::Recorded | LedgerReply::Absent => {
                self.fail_unclaimed(out);
            }
        }
    }

    /// The claim may still take effect; nothing runs under it.
    fn fail_unclaimed(&mut self, out: &mut Vec<Output>) {
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
            // The caller is gone: nothing was sent.
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
            resume_from: self.relayed,
            term: self.claimed,
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
        self.give_up(failure, out);
    }

    /// Ends the call without an attempt under way.
    fn give_up(&mut self, failure: Failure, out: &mut Vec<Output>) {
        let outcome = if self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        if self.claimed.is_some() && !self.may_have_run {
            out.push(Output::Release);
        }
        self.fail(failure, outcome, out);
    }

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
        self.again(attempt, result, out);
    }

    /// Hands an ended attempt to the router, which may choose another runner.
    fn again(&mut self, attempt: AttemptId, result: AttemptResult, out: &mut Vec<Output>) {
        if self.caller_done {
            out.push(Output::Ended(attempt, AttemptResult::Cancelled));
            if self.claimed.is_some() && !self.may_have_run {
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
        if position < self.relayed {
            out.push(Output::CountStray);
            return;
        }
        if position > self.relayed {
            out.push(Output::Cancel(attempt, run.runner));
            self.failed(attempt, AttemptResult::Unknown, out);
            return;
        }
        self.may_have_run = true;
        self.relayed += 1;
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
        if events != self.relayed {
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

    fn answered(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        answer: RecordedResponse,
        out: &mut Vec<Output>,
    ) {
        let Some(run) = self.current(attempt) else {
            out.push(Output::CountStray);
            return;
        };
        if self.stream_begun {
            // The rest of a stream cannot come in one piece.
            self.failed(attempt, AttemptResult::Unknown, out);
            return;
        }
        self.may_have_run = true;
        let duration = now.saturating_duration_since(run.started);
        out.push(Output::Ended(
            attempt,
            AttemptResult::Completed { duration },
        ));
        if self.claimed.is_some() {
            out.push(Output::Settle(answer.clone()));
        }
        if !self.caller_done {
            let replayed = false;
            out.push(Output::Respond {
                response: answer,
                replayed,
            });
        }
        self.close(out);
    }

    fn failed(&mut self, attempt: AttemptId, result: AttemptResult, out: &mut Vec<Output>) {
        if self.current(attempt).is_none() {
            out.push(Output::CountStray);
            return;
        }
        self.may_have_run = true;
        self.again(attempt, result, out);
    }

    fn link_lost(&mut self, attempt: AttemptId, sent: bool, out: &mut Vec<Output>) {
        let Some(run) = self.current(attempt) else {
            out.push(Output::CountStray);
            return;
        };
        if !sent {
            self.again(attempt, AttemptResult::NotRun, out);
            return;
        }
        if self.plan.retry == RetryRule::Idempotent {
            out.push(Output::Cancel(attempt, run.runner));
            self.failed(attempt, AttemptResult::Unknown, out);
        } else {
            out.push(Output::Recover(attempt, run.runner));
        }
    }

    fn stalled(&mut self, attempt: AttemptId, out: &mut Vec<Output>) {
        // Only a stream has a pace; a whole answer may take until its deadline.
        if self.plan.kind == CallKind::Stream {
            self.link_lost(attempt, true, out);
        }
    }

    fn deadline(&mut self, out: &mut Vec<Output>) {
        match &self.state {
            State::New | State::Closed => {}
            State::Claiming => self.fail_unclaimed(out),
            State::Queued => {
                out.push(Output::Dequeue);
                let retry_after = Duration::from_secs(1);
                self.give_up(Failure::DeadlineBeforeStart { retry_after }, out);
            }
            State::Running(run) => {
                let run = run.clone();
                if self.caller_done {
                    out.push(Output::Ended(run.attempt, AttemptResult::Cancelled));
                    self.close(out);
                    return;
                }
                self.leave_running(&run, out);
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
                if self.claimed.is_some() && !self.may_have_run {
                    out.push(Output::Release);
                }
                self.close(out);
            }
            State::Running(run) => {
                let run = run.clone();
                self.leave_running(&run, out);
            }
        }
    }

    /// Lets a keyed attempt finish so that its answer is recorded; stops others.
    fn leave_running(&mut self, run: &Run, out: &mut Vec<Output>) {
        self.caller_done = true;
        if self.claimed.is_some() {
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
        self.caller_done = true;
        out.push(Output::Close);
    }
}

#[cfg(test)]
mod tests;
