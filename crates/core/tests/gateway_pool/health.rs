//! Runners that fail, leave or restart.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::QueuedRequestId;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::hosting::ListedState;
use wisteriawick_core::ids::RunnerId;

use crate::support::address;
use crate::support::pool;
use crate::support::queued_request;
use crate::support::report;
use crate::support::runner;
use crate::support::selected_runner;

#[test]
fn a_failing_runner_is_ejected_and_retried_later() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    for queue_id in 0..2 {
        let id = selected_runner(pool.admit(now, queued_request(now, queue_id))).expect("room");
        pool.request_ended(now, &id, RunnerOutcome::Failed);
    }
    assert_eq!(pool.admit(now, queued_request(now, 3)), Admission::Wait);
    let later = now + Duration::from_millis(600);
    assert_eq!(pool.dispatch_queued(later).len(), 1);
}

#[test]
fn a_leaving_runner_gets_no_requests_and_a_restarted_one_does() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let leaving = ListedRunner {
        state: ListedState::Leaving,
        ..runner(0)
    };
    pool.set_runners(now, vec![leaving]);
    assert_eq!(pool.admit(now, queued_request(now, 1)), Admission::Wait);
    pool.cancel(QueuedRequestId(1));
    pool.set_runners(now, vec![runner(0)]);
    for queue_id in 2..4 {
        let id = selected_runner(pool.admit(now, queued_request(now, queue_id))).expect("room");
        pool.request_ended(now, &id, RunnerOutcome::Failed);
    }
    let restarted = ListedRunner {
        started_unix_ms: Some(2),
        ..runner(0)
    };
    pool.set_runners(now, vec![restarted]);
    assert!(selected_runner(pool.admit(now, queued_request(now, 5))).is_some());
}

/// A runner reports that it is healthy and returns an error for each request at
/// once. Without ejection it would be the least loaded runner and get nearly all
/// requests.
#[test]
fn a_runner_that_returns_only_errors_gets_few_requests() {
    let start = Instant::now();
    let mut pool = pool(start, 4);
    let faulty = RunnerId::from("r2");
    let mut failures = 0;
    for step in 0..400 {
        let now = start + Duration::from_millis(10 * step);
        let Some(id) = selected_runner(pool.admit(now, queued_request(now, step))) else {
            continue;
        };
        let outcome = match id == faulty {
            true => RunnerOutcome::ErrorResponse,
            false => RunnerOutcome::Served,
        };
        failures += u32::from(id == faulty);
        pool.request_ended(now, &id, outcome);
    }
    assert!(
        failures <= 8,
        "{failures} of 400 requests were sent to the faulty runner"
    );
}

/// A runner fails two of five requests. It has few consecutive failures, so that
/// ejection alone does not keep requests away from it.
#[test]
fn a_runner_that_fails_some_requests_gets_few_while_others_have_room() {
    let start = Instant::now();
    let mut pool = pool(start, 4);
    let faulty = RunnerId::from("r1");
    let mut sent = 0;
    let mut failures = 0;
    for step in 0..2_000 {
        let now = start + Duration::from_millis(10 * step);
        let Some(id) = selected_runner(pool.admit(now, queued_request(now, step))) else {
            continue;
        };
        let fails = id == faulty && sent % 5 < 2;
        sent += u32::from(id == faulty);
        failures += u32::from(fails);
        let outcome = match fails {
            true => RunnerOutcome::ErrorResponse,
            false => RunnerOutcome::Served,
        };
        pool.request_ended(now, &id, outcome);
    }
    assert!(failures <= 10, "{failures} of 2000 requests failed");
    assert!(sent >= 4, "the runner must still get some requests");
}

/// Requests that fail at every runner must not eject the runners for all other
/// requests.
#[test]
fn when_most_runners_return_errors_none_is_ejected() {
    let now = Instant::now();
    let mut pool = pool(now, 4);
    for queue_id in 0..40 {
        if let Some(id) = selected_runner(pool.admit(now, queued_request(now, queue_id))) {
            pool.request_ended(now, &id, RunnerOutcome::ErrorResponse);
        }
    }
    assert!(selected_runner(pool.admit(now, queued_request(now, 41))).is_some());
}

/// Guards against sending request after request to a machine that has just frozen: they
/// would arrive when it resumes, after their callers have left.
#[test]
fn runner_that_is_silent_for_longer_than_a_slow_pass_gets_no_more_requests() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pool = pool(start, 1);
    let id = selected_runner(pool.admit(start, queued_request(start, 1))).expect("room");
    pool.update_load(at(550), address(0), &report(1, true));
    assert_eq!(
        pool.admit(at(600), queued_request(at(600), 2)),
        Admission::Wait,
        "the group's report does not show that this runner is reached"
    );
    let dequeued = pool.response_began(at(700), &id);
    assert_eq!(dequeued.len(), 1, "the runner has given a sign of life");
    assert!(selected_runner(pool.admit(at(750), queued_request(at(750), 3))).is_some());
}

#[test]
fn silent_runner_is_tried_with_one_request_at_a_time() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pool = pool(start, 1);
    let id = selected_runner(pool.admit(start, queued_request(start, 1))).expect("room");
    pool.request_ended(at(1_300), &id, RunnerOutcome::Failed);
    let probe = pool.admit(at(1_400), queued_request(at(1_400), 2));
    assert!(selected_runner(probe).is_some());
    assert_eq!(
        pool.admit(at(1_401), queued_request(at(1_401), 3)),
        Admission::Wait
    );
    assert_eq!(
        pool.request_ended(at(1_450), &id, RunnerOutcome::Served)
            .len(),
        1
    );
}

#[test]
fn runner_of_a_slow_group_is_not_silent_between_its_passes() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pool = pool(start, 1);
    let mut slow = report(1, true);
    if let Some(group) = &mut slow.group {
        group.pass_time = Duration::from_millis(600);
    }
    pool.update_load(start, address(0), &slow);
    assert!(selected_runner(pool.admit(start, queued_request(start, 1))).is_some());
    assert!(selected_runner(pool.admit(at(700), queued_request(at(700), 2))).is_some());
}

/// Guards against trying every runner of a group that stands: all ranks of a group make
/// their passes together.
#[test]
fn group_whose_runners_are_silent_gets_no_more_requests() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pool = pool(start, 4);
    for n in 0..4 {
        let group = match n {
            0..3 => "standing",
            _ => "moving",
        };
        let mut load = report(8, true);
        if let Some(known) = &mut load.group {
            known.name = group.into();
        }
        pool.update_load(start, address(n), &load);
    }
    let mut waiting = Vec::new();
    while waiting.len() < 2 {
        let queue_id = waiting.len() as u64;
        let id = selected_runner(pool.admit(start, queued_request(start, queue_id)));
        let id = id.expect("room");
        match id == "r3".into() || waiting.contains(&id) {
            true => drop(pool.request_ended(start, &id, RunnerOutcome::Served)),
            false => waiting.push(id),
        }
    }
    for queue_id in 10..14 {
        let now = at(600);
        let id = selected_runner(pool.admit(now, queued_request(now, queue_id)));
        assert_eq!(id, Some("r3".into()));
    }
    pool.response_began(at(700), &waiting[0]);
    let now = at(800);
    let ids: Vec<_> = (20..30)
        .filter_map(|queue_id| selected_runner(pool.admit(now, queued_request(now, queue_id))))
        .collect();
    assert!(
        ids.iter().any(|id| *id != "r3".into()),
        "the group moves again"
    );
}

#[test]
fn one_silent_runner_does_not_stop_its_group() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pool = pool(start, 2);
    for n in 0..2 {
        pool.update_load(start, address(n), &report(0, true));
    }
    let silent = selected_runner(pool.admit(start, queued_request(start, 1))).expect("room");
    let other = selected_runner(pool.admit(at(600), queued_request(at(600), 2)));
    assert!(other.is_some_and(|id| id != silent));
}

/// When the requests at a standing group have been moved or abandoned, it must not look
/// like an idle one.
#[test]
fn silent_group_is_tried_with_one_request_at_a_time() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pool = pool(start, 3);
    for n in 0..3 {
        pool.update_load(start, address(n), &report(0, true));
    }
    let mut sent = Vec::new();
    for queue_id in 0..9 {
        let id = selected_runner(pool.admit(start, queued_request(start, queue_id)));
        sent.push(id.expect("room"));
    }
    assert_eq!(
        pool.admit(at(600), queued_request(at(600), 10)),
        Admission::Wait
    );
    pool.cancel(QueuedRequestId(10));
    for id in &sent {
        pool.request_ended(at(1_300), id, RunnerOutcome::Abandoned);
    }
    let probe = selected_runner(pool.admit(at(2_000), queued_request(at(2_000), 11)));
    let probe = probe.expect("one request tries the group");
    assert_eq!(
        pool.admit(at(2_001), queued_request(at(2_001), 12)),
        Admission::Wait
    );
    let dequeued = pool.response_began(at(2_200), &probe);
    assert_eq!(dequeued.len(), 1, "the group moves again");
}
