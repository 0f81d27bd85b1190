//! Runners that fail, leave or are born again.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::QueuedRequestId;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::hosting::ListedState;
use wisteriawick_core::ids::RunnerId;

use crate::support::chosen;
use crate::support::pool;
use crate::support::runner;
use crate::support::work;

#[test]
fn a_runner_that_fails_is_left_out_and_tried_again() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    for queue_id in 0..2 {
        let id = chosen(pool.admit(now, work(now, queue_id))).expect("room");
        pool.request_ended(now, &id, RunnerOutcome::Failed);
    }
    assert_eq!(pool.admit(now, work(now, 3)), Admission::Wait);
    let later = now + Duration::from_millis(600);
    assert_eq!(pool.dispatch_queued(later).len(), 1);
}

#[test]
fn a_leaving_or_reborn_runner_is_told_apart() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let leaving = ListedRunner {
        state: ListedState::Leaving,
        ..runner(0)
    };
    pool.set_runners(now, vec![leaving]);
    assert_eq!(pool.admit(now, work(now, 1)), Admission::Wait);
    pool.cancel(QueuedRequestId(1));
    pool.set_runners(now, vec![runner(0)]);
    for queue_id in 2..4 {
        let id = chosen(pool.admit(now, work(now, queue_id))).expect("room");
        pool.request_ended(now, &id, RunnerOutcome::Failed);
    }
    let reborn = ListedRunner {
        started_unix_ms: Some(2),
        ..runner(0)
    };
    pool.set_runners(now, vec![reborn]);
    assert!(chosen(pool.admit(now, work(now, 5))).is_some());
}

/// A runner says that it is well and answers each request with an error, at
/// once: as the least loaded one it would get nearly all of the traffic.
#[test]
fn a_runner_that_answers_with_errors_gets_little_more_to_spoil() {
    let start = Instant::now();
    let mut pool = pool(start, 4);
    let sick = RunnerId::from("r2");
    let mut spoiled = 0;
    for step in 0..400 {
        let now = start + Duration::from_millis(10 * step);
        let Some(id) = chosen(pool.admit(now, work(now, step))) else {
            continue;
        };
        let status = match id == sick {
            true => RunnerOutcome::ErrorResponse,
            false => RunnerOutcome::Served,
        };
        spoiled += u32::from(id == sick);
        pool.request_ended(now, &id, status);
    }
    assert!(
        spoiled <= 8,
        "{spoiled} of 400 requests met the sick runner"
    );
}

/// A runner fails two of five requests: it has few failures in a row, and the
/// others have room.
#[test]
fn a_runner_that_fails_a_part_of_its_requests_is_avoided_while_others_have_room() {
    let start = Instant::now();
    let mut pool = pool(start, 4);
    let sick = RunnerId::from("r1");
    let mut sent = 0;
    let mut spoiled = 0;
    for step in 0..2_000 {
        let now = start + Duration::from_millis(10 * step);
        let Some(id) = chosen(pool.admit(now, work(now, step))) else {
            continue;
        };
        let fails = id == sick && sent % 5 < 2;
        sent += u32::from(id == sick);
        spoiled += u32::from(fails);
        let status = match fails {
            true => RunnerOutcome::ErrorResponse,
            false => RunnerOutcome::Served,
        };
        pool.request_ended(now, &id, status);
    }
    assert!(spoiled <= 10, "{spoiled} of 2000 requests failed");
    assert!(sent >= 4, "it is tried again");
}

/// Requests that any runner answers with an error must not take the runners
/// from all others.
#[test]
fn where_most_runners_answer_with_errors_none_is_left_out() {
    let now = Instant::now();
    let mut pool = pool(now, 4);
    for queue_id in 0..40 {
        if let Some(id) = chosen(pool.admit(now, work(now, queue_id))) {
            pool.request_ended(now, &id, RunnerOutcome::ErrorResponse);
        }
    }
    assert!(chosen(pool.admit(now, work(now, 41))).is_some());
}
