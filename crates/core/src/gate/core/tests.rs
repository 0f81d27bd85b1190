//! Tests of the gate core.

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
fn a_cancelled_attempt_is_refused_when_it_comes_late() {
    let (mut gate, now) = (gate(), Instant::now());
    let out = handle(&mut gate, now, cancel(5));
    assert_eq!(out, [Output::Verdict(AttemptId(5), RunVerdict::NotRun)]);
    let out = handle(&mut gate, now, offer(5, false));
    assert_eq!(out, [Output::Refuse(AttemptId(5), Refusal::HasTombstone)]);
}

#[test]
fn a_copy_of_a_started_attempt_neither_starts_nor_is_refused() {
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
fn only_what_never_started_is_called_not_run() {
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
fn a_cancellation_past_the_deadline_proves_nothing() {
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
fn a_replacement_refuses_what_was_meant_for_its_predecessor() {
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
fn draining_refuses_new_work_and_finishes_the_old() {
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
fn one_suspect_runs_at_a_time_and_holds_nobody_else_off() {
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
fn memory_of_attempts_ends_with_their_deadlines() {
    let (mut gate, now) = (gate(), Instant::now());
    for id in 0..100 {
        handle(&mut gate, now, cancel(id));
    }
    assert_eq!(gate.tombstones.len(), 100);
    handle(&mut gate, now + SECOND + super::MEMORY_MARGIN, Input::Tick);
    assert!(gate.tombstones.is_empty());
    assert_eq!(gate.next_deadline(), None);
}
