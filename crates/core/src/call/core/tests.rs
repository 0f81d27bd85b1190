//! Tests of the call's state machine.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use super::Call;
use crate::call::CallKind;
use crate::call::CallOptions;
use crate::call::Failure;
use crate::call::Input;
use crate::call::Outcome;
use crate::call::Output;
use crate::gate::Refusal;
use crate::ids::AttemptId;
use crate::ids::Term;
use crate::ledger::LedgerReply;
use crate::ledger::RecordedResponse;
use crate::router::Rejection;
use crate::router::RetryRule;

const ATTEMPT: AttemptId = AttemptId(1);

fn handle(call: &mut Call, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    call.handle(Instant::now(), input, &mut out);
    out
}

fn running_call(kind: CallKind, keyed: bool, retry: RetryRule) -> Call {
    let mut call = Call::new(CallOptions { kind, keyed, retry });
    handle(&mut call, Input::Begin);
    if keyed {
        let granted = LedgerReply::Granted(Term(1));
        assert_eq!(handle(&mut call, Input::Ledger(granted)), [Output::Enqueue]);
    }
    dispatch(&mut call, ATTEMPT);
    call
}

fn dispatch(call: &mut Call, attempt: AttemptId) -> Vec<Output> {
    let input = Input::Dispatched {
        attempt,
        runner: "r".into(),
        suspect: false,
    };
    handle(call, input)
}

#[test]
fn keyed_call_is_queued_only_after_its_claim_is_granted() {
    let mut call = Call::new(CallOptions {
        kind: CallKind::Buffered,
        keyed: true,
        retry: RetryRule::IfNotRun,
    });
    assert_eq!(
        handle(&mut call, Input::Begin),
        [Output::Claim(Duration::ZERO)]
    );
    let granted = Input::Ledger(LedgerReply::Granted(Term(1)));
    assert_eq!(handle(&mut call, granted), [Output::Enqueue]);
}

#[test]
fn keyed_attempt_on_a_lost_link_is_recovered_instead_of_retried() {
    let mut call = running_call(CallKind::Buffered, true, RetryRule::IfNotRun);
    let lost = Input::LinkLost {
        attempt: ATTEMPT,
        sent: true,
    };
    assert_eq!(
        handle(&mut call, lost),
        [Output::Recover(ATTEMPT, "r".into())]
    );
}

#[test]
fn claim_is_released_only_with_evidence_that_no_attempt_ran() {
    let mut call = running_call(CallKind::Buffered, true, RetryRule::IfNotRun);
    handle(&mut call, Input::Refused(ATTEMPT, Refusal::Leaving));
    let out = handle(&mut call, Input::Rejected(Rejection::NotRun));
    assert!(out.contains(&Output::Release));
    assert!(out.contains(&Output::Fail(Failure::Refused, Outcome::NotRun)));

    let mut call = running_call(CallKind::Buffered, true, RetryRule::IfNotRun);
    handle(&mut call, Input::EndpointFailed(ATTEMPT));
    let out = handle(&mut call, Input::Rejected(Rejection::Unknown));
    assert!(!out.contains(&Output::Release));
    assert!(out.contains(&Output::Fail(Failure::CutOff, Outcome::Unknown)));
}

#[test]
fn stream_resumes_after_the_last_event_that_the_caller_has() {
    let mut call = running_call(CallKind::Stream, false, RetryRule::Idempotent);
    handle(&mut call, Input::Head(ATTEMPT));
    handle(&mut call, Input::Event(ATTEMPT, 0));
    handle(&mut call, Input::Event(ATTEMPT, 1));
    handle(&mut call, Input::EndpointFailed(ATTEMPT));
    let out = dispatch(&mut call, AttemptId(2));
    assert!(matches!(out[..], [Output::Send { resume_from: 2, .. }]));
    let stray = handle(&mut call, Input::Event(ATTEMPT, 2));
    assert_eq!(stray, [Output::CountStray]);
    let out = handle(&mut call, Input::Event(AttemptId(2), 2));
    assert_eq!(out, [Output::Relay(2)]);
}

#[test]
fn stream_with_missing_events_is_neither_relayed_nor_ended() {
    let mut call = running_call(CallKind::Stream, false, RetryRule::Idempotent);
    handle(&mut call, Input::Head(ATTEMPT));
    handle(&mut call, Input::Event(ATTEMPT, 0));
    let out = handle(&mut call, Input::Event(ATTEMPT, 2));
    assert!(!out.iter().any(|o| matches!(o, Output::Relay(_))));
    let mut call = running_call(CallKind::Stream, false, RetryRule::Idempotent);
    handle(&mut call, Input::Head(ATTEMPT));
    let out = handle(&mut call, Input::EndOfStream(ATTEMPT, 1));
    assert!(!out.contains(&Output::EndStream));
}

#[test]
fn response_after_the_deadline_of_a_keyed_call_is_recorded_but_not_sent() {
    let mut call = running_call(CallKind::Buffered, true, RetryRule::IfNotRun);
    let out = handle(&mut call, Input::Deadline);
    assert_eq!(
        out,
        [Output::Fail(
            Failure::DeadlineWhileRunning,
            Outcome::Unknown
        )]
    );
    let response = RecordedResponse::new(200, "", Bytes::from_static(b"ok"));
    let out = handle(&mut call, Input::Responded(ATTEMPT, response.clone()));
    assert!(out.contains(&Output::Settle(response)));
    assert!(!out.iter().any(|o| matches!(o, Output::Respond { .. })));
}

/// Otherwise the key would count as in progress for as long as keys are kept.
#[test]
fn claim_that_is_granted_after_the_end_of_the_call_is_released() {
    let ends = [Input::CallerGone, Input::Deadline];
    for end in ends {
        let mut call = Call::new(CallOptions {
            kind: CallKind::Buffered,
            keyed: true,
            retry: RetryRule::IfNotRun,
        });
        handle(&mut call, Input::Begin);
        handle(&mut call, Input::Ledger(LedgerReply::NotOwner));
        assert!(handle(&mut call, end).contains(&Output::Release));
        assert!(call.is_closed());
        let granted = LedgerReply::Granted(Term(1));
        assert_eq!(handle(&mut call, Input::Ledger(granted)), [Output::Release]);
    }
}
