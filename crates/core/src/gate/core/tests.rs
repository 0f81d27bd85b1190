//! Tests of the gate's state machine.

use std::time::Duration;
use std::time::Instant;

use super::Gate;
use super::Input;
use super::Offer;
use super::Output;
use super::Refusal;
use super::RunVerdict;
use crate::ids::AttemptId;
use crate::ids::Incarnation;

const SECOND: Duration = Duration::from_secs(1);

fn offer(id: u128, suspect: bool) -> Input {
    Input::Offer(Offer {
        attempt: AttemptId(id),
        meant_for: Incarnation(1),
        remaining: SECOND,
        suspect,
    })
}

fn cancel(id: u128) -> Input {
    Input::Cancel {
        attempt: AttemptId(id),
        meant_for: Incarnation(1),
        remaining: SECOND,
    }
}

fn handle(gate: &mut Gate, now: Instant, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    gate.handle(now, input, &mut out);
    out
}

fn gate() -> Gate {
    Gate::new(Incarnation(1), 2)
}

#[test]
fn attempt_that_arrives_after_its_cancellation_is_refused() {
    let (mut gate, now) = (gate(), Instant::now());
    let out = handle(&mut gate, now, cancel(5));
    assert_eq!(out, [Output::Verdict(AttemptId(5), RunVerdict::NotRun)]);
    let out = handle(&mut gate, now, offer(5, false));
    assert_eq!(out, [Output::Refuse(AttemptId(5), Refusal::HasTombstone)]);
}

#[test]
fn copy_of_a_started_attempt_neither_starts_nor_is_refused() {
    let (mut gate, now) = (gate(), Instant::now());
    assert_eq!(
        handle(&mut gate, now, offer(5, false)),
        [Output::Start(AttemptId(5))]
    );
    assert!(handle(&mut gate, now, offer(5, false)).is_empty());
    handle(&mut gate, now, Input::Finished(AttemptId(5)));
    assert!(handle(&mut gate, now, offer(5, false)).is_empty());
}

#[test]
fn cancellation_reports_not_run_only_for_an_attempt_that_never_started() {
    let (mut gate, now) = (gate(), Instant::now());
    handle(&mut gate, now, offer(1, false));
    handle(&mut gate, now, offer(2, false));
    handle(&mut gate, now, offer(3, false));
    handle(&mut gate, now, Input::Finished(AttemptId(1)));
    let verdicts = [1, 2, 3].map(|id| handle(&mut gate, now, cancel(id)));
    let may_have_run = |id| Output::Verdict(AttemptId(id), RunVerdict::MayHaveRun);
    assert_eq!(verdicts[0], [may_have_run(1)]);
    assert_eq!(verdicts[1], [Output::Abort(AttemptId(2)), may_have_run(2)]);
    assert_eq!(
        verdicts[2],
        [Output::Verdict(AttemptId(3), RunVerdict::NotRun)]
    );
}

#[test]
fn cancellation_of_an_unknown_attempt_after_its_deadline_reports_may_have_run() {
    let mut gate = gate();
    let late = Input::Cancel {
        attempt: AttemptId(1),
        meant_for: Incarnation(1),
        remaining: Duration::ZERO,
    };
    assert_eq!(
        handle(&mut gate, Instant::now(), late),
        [Output::Verdict(AttemptId(1), RunVerdict::MayHaveRun)]
    );
}

#[test]
fn new_incarnation_refuses_attempts_sent_to_its_predecessor() {
    let mut gate = Gate::new(Incarnation(2), 2);
    let out = handle(&mut gate, Instant::now(), offer(5, false));
    assert_eq!(
        out,
        [Output::Refuse(AttemptId(5), Refusal::OtherIncarnation)]
    );
    let out = handle(&mut gate, Instant::now(), cancel(5));
    assert_eq!(out, [Output::Verdict(AttemptId(5), RunVerdict::MayHaveRun)]);
}

#[test]
fn draining_gate_refuses_new_attempts_and_waits_for_running_ones() {
    let (mut gate, now) = (gate(), Instant::now());
    handle(&mut gate, now, offer(1, false));
    assert!(handle(&mut gate, now, Input::Drain).is_empty());
    assert_eq!(
        handle(&mut gate, now, offer(2, false)),
        [Output::Refuse(AttemptId(2), Refusal::Leaving)]
    );
    assert_eq!(
        handle(&mut gate, now, Input::Finished(AttemptId(1))),
        [Output::Drained]
    );
}

#[test]
fn one_suspect_runs_at_a_time_beside_other_attempts() {
    let (mut gate, now) = (gate(), Instant::now());
    handle(&mut gate, now, offer(1, true));
    assert_eq!(
        handle(&mut gate, now, offer(2, true)),
        [Output::Refuse(AttemptId(2), Refusal::Busy)]
    );
    assert_eq!(
        handle(&mut gate, now, offer(3, false)),
        [Output::Start(AttemptId(3))]
    );
    handle(&mut gate, now, Input::Finished(AttemptId(1)));
    assert_eq!(
        handle(&mut gate, now, offer(4, true)),
        [Output::Start(AttemptId(4))]
    );
}

#[test]
fn tombstones_expire_a_margin_after_the_deadlines() {
    let (mut gate, now) = (gate(), Instant::now());
    for id in 0..100 {
        handle(&mut gate, now, cancel(id));
    }
    assert_eq!(gate.tombstones.len(), 100);
    handle(
        &mut gate,
        now + SECOND + super::TOMBSTONE_MARGIN,
        Input::Tick,
    );
    assert!(gate.tombstones.is_empty());
    assert_eq!(gate.next_deadline(), None);
}
