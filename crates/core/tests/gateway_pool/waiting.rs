//! What waits, goes on or is turned away.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::QueuedRequest;
use wisteriawick_core::gateway::QueuedRequestId;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::ids::RunnerId;

use crate::support::address;
use crate::support::chosen;
use crate::support::pool;
use crate::support::report;
use crate::support::work;

/// A group was lost and the other one takes its load: passes take three times
/// as long as streams allow. More requests at once would make all of them late.
#[test]
fn a_slow_group_gets_fewer_requests_at_once() {
    let now = Instant::now();
    let taken = |pass_ms: u64| {
        let mut pool = pool(now, 1);
        let mut slow = report(0, true);
        let group = slow.group.as_mut().expect("a group");
        group.pass_time = Duration::from_millis(pass_ms);
        pool.update_load(now, address(0), &slow);
        let admitted = (0..20).map(|queue_id| pool.admit(now, work(now, queue_id)));
        admitted.filter_map(chosen).count()
    };
    assert_eq!(taken(60), 12);
    assert_eq!(taken(192), 6);
    assert_eq!(taken(5_000), 3, "it is still tried");
}

#[test]
fn a_group_that_reports_passes_is_told_from_one_that_stands_still() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let id = RunnerId::from("r0");
    assert!(!pool.is_making_progress(now, &id), "no report");
    pool.update_load(now, address(0), &report(4, true));
    assert!(pool.is_making_progress(now + Duration::from_millis(300), &id));
    assert!(!pool.is_making_progress(now + Duration::from_millis(700), &id));
    pool.update_load(now, address(0), &report(4, false));
    assert!(!pool.is_making_progress(now, &id), "the group is not open");
}

/// A group lost a rank: its runners refuse at once. Requests wait for the
/// group to form again; they don't spend their attempts on its other ranks.
#[test]
fn a_refusal_by_a_runner_with_room_rests_its_whole_group() {
    let now = Instant::now();
    let mut pool = pool(now, 4);
    for n in 0..4 {
        pool.update_load(now, address(n), &report(1, true));
    }
    let id = chosen(pool.admit(now, work(now, 1))).expect("room");
    assert!(pool.request_ended(now, &id, RunnerOutcome::Busy).is_empty());
    assert_eq!(pool.admit(now, work(now, 2)), Admission::Wait);
    let later = now + Duration::from_millis(200);
    let wakes = pool.dispatch_queued(later);
    assert_eq!(wakes.len(), 1);
    assert!(matches!(wakes[0].admission, Admission::Run(_)));
}

/// Everything restarts at once: no report tells of groups yet, and all refuse
/// for two seconds. One request at a time tries; the others wait and don't
/// spend the retry budget.
#[test]
fn while_all_refuse_one_request_at_a_time_tries() {
    let now = Instant::now();
    let mut pool = pool(now, 16);
    let mut tries = 0;
    let mut queue_id = 0;
    for ms in (0..1_600).step_by(40) {
        let at = now + Duration::from_millis(ms);
        queue_id += 1;
        let mut sent = Vec::new();
        sent.extend(chosen(pool.admit(at, work(at, queue_id))));
        sent.extend(
            pool.dispatch_queued(at)
                .into_iter()
                .filter_map(|dispatch_queued| chosen(dispatch_queued.admission)),
        );
        assert!(sent.len() <= 1, "{sent:?}");
        for id in sent {
            tries += 1;
            pool.request_ended(at, &id, RunnerOutcome::Busy);
        }
    }
    assert!((4..=12).contains(&tries), "{tries}");
    let at = now + Duration::from_millis(2_000);
    let dispatch_queued = pool
        .dispatch_queued(at)
        .into_iter()
        .find_map(|dispatch_queued| chosen(dispatch_queued.admission));
    let id = dispatch_queued
        .or_else(|| chosen(pool.admit(at, work(at, 99))))
        .expect("a try");
    let freed = pool.response_began(at, &id);
    let open = freed.len() + usize::from(chosen(pool.admit(at, work(at, 100))).is_some());
    assert!(open >= 1, "the group is open for all");
}

#[test]
fn a_closed_group_takes_no_work() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.update_load(now, address(0), &report(0, false));
    assert_eq!(pool.admit(now, work(now, 1)), Admission::Wait);
    pool.update_load(now, address(0), &report(0, true));
    assert_eq!(pool.dispatch_queued(now).len(), 1);
}

#[test]
fn the_most_urgent_goes_first_and_a_request_whose_time_is_over_is_told() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let mut ids = Vec::new();
    for queue_id in 0..3 {
        ids.extend(chosen(pool.admit(now, work(now, queue_id))));
    }
    let urgent = QueuedRequest {
        priority: 0,
        ..work(now, 11)
    };
    assert_eq!(pool.admit(now, work(now, 10)), Admission::Wait);
    assert_eq!(pool.admit(now, urgent), Admission::Wait);
    let wakes = pool.request_ended(now, &ids[0], RunnerOutcome::Served);
    assert_eq!(wakes[0].queue_id, QueuedRequestId(11));
    let late = pool.dispatch_queued(now + Duration::from_secs(2));
    assert_eq!(late.len(), 1);
    assert!(matches!(late[0].admission, Admission::Reject { .. }));
}

/// Twice as many requests come as one runner can serve: first come, first
/// served would make all of them late after the first second.
#[test]
fn in_an_overload_most_that_run_are_on_time() {
    const COME_EVERY_MS: u64 = 20;
    const SERVED_IN_MS: u64 = 120;
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut pool = pool(now, 1);
    let mut arrived = Vec::new();
    let mut running: Vec<(u64, RunnerId)> = Vec::new();
    let (mut response_due, mut late) = (0, 0);
    for ms in 0..6_000 {
        let mut started = Vec::new();
        if ms % COME_EVERY_MS == 0 {
            let queue_id = arrived.len() as u64;
            arrived.push(ms);
            let id = chosen(pool.admit(at(ms), work(at(ms), queue_id)));
            started.extend(id.map(|id| (queue_id, id)));
        }
        let (done, left) = running.into_iter().partition(|(end, _)| *end == ms);
        running = left;
        let mut wakes = pool.dispatch_queued(at(ms));
        for (_, id) in done {
            wakes.extend(pool.request_ended(at(ms), &id, RunnerOutcome::Served));
        }
        for dispatch_queued in wakes {
            let queue_id = dispatch_queued.queue_id.0;
            started.extend(chosen(dispatch_queued.admission).map(|id| (queue_id, id)));
        }
        for (queue_id, id) in started {
            match ms - arrived[queue_id as usize] <= 240 {
                true => response_due += 1,
                false => late += 1,
            }
            running.push((ms + SERVED_IN_MS, id));
        }
    }
    assert!(
        response_due > 8 * late,
        "{response_due} on time, {late} late"
    );
}

#[test]
fn beyond_what_can_wait_requests_are_turned_away_at_once() {
    let now = Instant::now();
    let mut pool = pool(now, 0);
    for queue_id in 0..8 {
        assert_eq!(pool.admit(now, work(now, queue_id)), Admission::Wait);
    }
    let refused = pool.admit(now, work(now, 9));
    assert!(matches!(refused, Admission::Reject { retry_after } if !retry_after.is_zero()));
}
