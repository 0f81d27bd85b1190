//! Runners that asked to be left alone.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::RejectReason;
use wisteriawick_core::gateway::RestNotice;
use wisteriawick_core::gateway::RunnerOutcome;

use crate::support::pool;
use crate::support::queued_request;
use crate::support::report;
use crate::support::runner;
use crate::support::selected_runner;

const REST: Duration = Duration::from_secs(3);

#[test]
fn times_that_are_no_rests_are_unreadable() {
    for seconds in [-1.0, f64::NAN, f64::INFINITY, 601.0, 86_400.0] {
        assert_eq!(
            RestNotice::from_seconds(seconds),
            RestNotice::Unreadable,
            "{seconds}"
        );
    }
    assert_eq!(RestNotice::from_seconds(0.0), RestNotice::None);
    let half = Duration::from_millis(500);
    assert_eq!(RestNotice::from_seconds(0.5), RestNotice::For(half));
}

#[test]
fn the_other_ranks_of_a_group_are_used_while_one_rests() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    for n in 0..2 {
        pool.update_load(now, runner(n).address, &report(0, true));
    }
    pool.rest(now, &runner(0), REST);
    pool.request_ended(now, &"r0".into(), RunnerOutcome::Rests);
    for queue_id in 0..4 {
        let admission = pool.admit(now, queued_request(now, queue_id));
        assert_eq!(selected_runner(admission), Some("r1".into()));
    }
}

#[test]
fn a_request_that_was_selected_before_a_rest_is_not_handed_out() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let Admission::Run(selection) = pool.admit(now, queued_request(now, 1)) else {
        panic!("the runner is free");
    };
    assert!(pool.hand_out(now, &selection));
    pool.rest(now, &runner(0), REST);
    assert!(!pool.hand_out(now, &selection));
    assert!(pool.hand_out(now + REST, &selection));
}

#[test]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.rest(now, &runner(0), REST);
    pool.rest(now, &runner(0), Duration::from_millis(100));
    let later = now + Duration::from_secs(2);
    assert_eq!(pool.resting_count(later), 1);
}

#[test]
fn queued_requests_are_rejected_once_all_runners_rest() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    for queue_id in 0..3 {
        pool.admit(now, queued_request(now, queue_id));
    }
    assert_eq!(pool.admit(now, queued_request(now, 3)), Admission::Wait);
    pool.rest(now, &runner(0), REST);
    let dequeued = pool.dispatch_queued(now + Duration::from_secs(1));
    let rejected = Admission::Reject {
        retry_after: Duration::from_secs(2),
        reason: RejectReason::AllRest,
    };
    assert_eq!(dequeued[0].admission, rejected);
    let again = pool.admit(now + Duration::from_secs(1), queued_request(now, 4));
    assert_eq!(again, rejected, "without waiting");
}

#[test]
fn a_retry_is_rejected_if_all_runners_but_those_tried_rest() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    pool.rest(now, &runner(0), REST);
    let mut request = queued_request(now, 1);
    request.excluded = vec!["r1".into()];
    let Admission::Reject { reason, .. } = pool.admit(now, request) else {
        panic!("nobody can take it");
    };
    assert_eq!(reason, RejectReason::AllRest);
}

#[test]
fn a_rest_outlives_a_missing_record_and_ends_with_a_new_start() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    pool.rest(now, &runner(0), REST);
    pool.set_runners(now, vec![runner(1)]);
    pool.set_runners(now, vec![runner(0), runner(1)]);
    assert_eq!(pool.resting_count(now), 1, "the same start");
    let mut restarted = runner(0);
    restarted.started_unix_ms = Some(2);
    pool.set_runners(now, vec![restarted, runner(1)]);
    assert_eq!(
        pool.resting_count(now),
        0,
        "another runner under its identifier"
    );
    pool.rest(now, &runner(0), REST);
    assert_eq!(
        pool.resting_count(now),
        0,
        "what the one before said is late"
    );
}
