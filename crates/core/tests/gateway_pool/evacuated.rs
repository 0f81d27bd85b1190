//! Data centres that are evacuated while requests wait, are assigned, retried or run.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::DequeuedRequest;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::gateway::QueuedRequest;
use wisteriawick_core::gateway::RejectReason;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::ids::PlaceId;

use crate::support::LIMITS;
use crate::support::queued_request;
use crate::support::report;
use crate::support::runner;
use crate::support::selected_runner;

const PLACES: [&str; 3] = ["here", "there", "away"];

fn runner_in(n: u8) -> ListedRunner {
    ListedRunner {
        place: PLACES[usize::from(n) % PLACES.len()].into(),
        ..runner(n)
    }
}

/// Returns a pool of this many runners, in the three data centres by turns.
fn pool(now: Instant, runners: u8) -> Pool {
    let mut pool = Pool::new(now, "here".into(), LIMITS, 1);
    pool.set_runners(now, (0..runners).map(runner_in).collect());
    pool
}

fn set(places: &[&str]) -> BTreeSet<PlaceId> {
    places.iter().map(|place| (*place).into()).collect()
}

fn reason(admission: &Admission) -> Option<RejectReason> {
    match admission {
        Admission::Reject { reason, .. } => Some(*reason),
        _ => None,
    }
}

/// Fills the pool and returns the requests that wait, by their identifiers.
fn fill(pool: &mut Pool, now: Instant) -> Vec<u64> {
    let admit = |queue_id: &u64| pool.admit(now, queued_request(now, *queue_id)) == Admission::Wait;
    (0..40).filter(admit).collect()
}

#[test]
fn no_new_request_goes_to_an_evacuated_data_centre_and_all_go_there_once_it_is_back() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    for n in 0..3 {
        pool.update_load(now, runner(n).address, &report(0, true));
    }
    for queue_id in 0..20 {
        pool.set_evacuated(now, &set(&["here", "away"]));
        let admission = pool.admit(now, queued_request(now, queue_id));
        if let Some(runner) = selected_runner(admission) {
            assert_eq!(runner, "r1".into());
        }
    }
    assert!(!pool.has_room_except(now, &["r1".into()]));
    assert_eq!(pool.evacuated_count(), 2);
    pool.set_evacuated(now, &set(&["away"]));
    let admission = pool.admit(now, queued_request(now, 100));
    assert_eq!(selected_runner(admission), Some("r0".into()));
    pool.set_evacuated(now, &set(&["here"]));
    let admission = pool.admit(now, queued_request(now, 101));
    assert_eq!(selected_runner(admission), Some("r2".into()), "asked again");
}

#[test]
fn a_request_that_was_assigned_before_is_not_handed_out() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let Admission::Run(selection) = pool.admit(now, queued_request(now, 1)) else {
        panic!("the runner is free");
    };
    pool.set_evacuated(now, &set(&["here"]));
    assert!(!pool.hand_out(now, &selection));
    pool.set_evacuated(now, &set(&[]));
    assert!(pool.hand_out(now, &selection));
}

/// Requests wait since all runners are full, and those of one data centre end just then.
#[test]
fn requests_in_the_queue_get_only_the_slots_that_are_left() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    assert!(!fill(&mut pool, now).is_empty());
    pool.set_evacuated(now, &set(&["there"]));
    let freed_there = pool.request_ended(now, &"r1".into(), RunnerOutcome::Served);
    assert!(freed_there.is_empty(), "{freed_there:?}");
    let freed_here = pool.request_ended(now, &"r0".into(), RunnerOutcome::Served);
    let to: Vec<_> = freed_here
        .into_iter()
        .filter_map(|request| selected_runner(request.admission))
        .collect();
    assert_eq!(to, ["r0".into()]);
}

#[test]
fn a_retry_or_a_resumption_is_refused_rather_than_queued_for_evacuated_runners() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    pool.set_evacuated(now, &set(&["there", "away"]));
    let retry = QueuedRequest {
        excluded: vec!["r0".into()],
        ..queued_request(now, 1)
    };
    let admission = pool.admit(now, retry);
    assert_eq!(reason(&admission), Some(RejectReason::AllEvacuated));
}

#[test]
fn with_all_data_centres_evacuated_new_and_waiting_requests_are_refused_at_once() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    let waiting = fill(&mut pool, now);
    pool.set_evacuated(now, &set(&PLACES));
    let decided = pool.dispatch_queued(now);
    assert_eq!(decided.len(), waiting.len());
    let is_refused =
        |request: &DequeuedRequest| reason(&request.admission) == Some(RejectReason::AllEvacuated);
    assert!(decided.iter().all(is_refused), "{decided:?}");
    let admission = pool.admit(now, queued_request(now, 100));
    let Admission::Reject { retry_after, .. } = admission else {
        panic!("{admission:?}");
    };
    assert!(retry_after >= Duration::from_secs(1));
}

#[test]
fn a_name_that_is_no_data_centre_changes_nothing() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    pool.set_evacuated(now, &set(&["nowhere"]));
    assert_eq!(pool.evacuated_count(), 0);
    assert_eq!(pool.counts_in(&"nowhere".into()), (0, 0));
    for queue_id in 0..9 {
        let admission = pool.admit(now, queued_request(now, queue_id));
        assert!(selected_runner(admission).is_some());
    }
}

#[test]
fn runners_that_register_in_an_evacuated_data_centre_get_no_requests() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.set_evacuated(now, &set(&["there"]));
    pool.set_runners(now, vec![runner_in(0), runner_in(1)]);
    for queue_id in 0..20 {
        let admission = pool.admit(now, queued_request(now, queue_id));
        assert_ne!(selected_runner(admission), Some("r1".into()));
    }
}

/// Two of three data centres are evacuated under full load. Completions there go on for a
/// while and must not let requests wait for room that does not come back.
#[test]
fn the_wait_is_estimated_by_the_runners_that_are_left() {
    let start = Instant::now();
    let refused_with = |evacuated: &[&str]| {
        let mut pool = pool(start, 3);
        let mut now = start;
        for n in 0..60 {
            now += Duration::from_millis(100);
            let runner = runner_in(n % 3);
            pool.request_ended(now, &runner.id, RunnerOutcome::Served);
        }
        while pool.request_counts().1 < 6 {
            pool.admit(now, queued_request(now, 0));
        }
        pool.set_evacuated(now, &set(evacuated));
        matches!(
            pool.admit(now, queued_request(now, 1)),
            Admission::Reject { .. }
        )
    };
    assert!(!refused_with(&[]));
    assert!(refused_with(&["there", "away"]));
}
