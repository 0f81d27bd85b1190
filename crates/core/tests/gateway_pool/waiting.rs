//! Which requests are queued, dequeued or rejected.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::QueuedRequest;
use wisteriawick_core::gateway::QueuedRequestId;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::ids::RunnerId;

use crate::support::address;
use crate::support::pool;
use crate::support::queued_request;
use crate::support::report;
use crate::support::selected_runner;

/// A group was lost and the other one takes over its load, so that passes take
/// three times as long as streams allow. More concurrent requests would make all
/// of them late.
#[test]
fn a_slow_group_gets_fewer_concurrent_requests() {
    let now = Instant::now();
    let admitted_at = |pass_ms: u64| {
        let mut pool = pool(now, 1);
        let mut slow = report(0, true);
        let group = slow.group.as_mut().expect("a group");
        group.pass_time = Duration::from_millis(pass_ms);
        pool.update_load(now, address(0), &slow);
        let admissions = (0..20).map(|queue_id| pool.admit(now, queued_request(now, queue_id)));
        admissions.filter_map(selected_runner).count()
    };
    assert_eq!(admitted_at(60), 12);
    assert_eq!(admitted_at(192), 6);
    assert_eq!(admitted_at(5_000), 3, "a very slow group still gets some");
}

#[test]
fn a_group_makes_progress_only_with_a_recent_report_of_an_open_group() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let id = RunnerId::from("r0");
    assert!(!pool.is_making_progress(now, &id), "without a report");
    pool.update_load(now, address(0), &report(4, true));
    assert!(pool.is_making_progress(now + Duration::from_millis(300), &id));
    assert!(!pool.is_making_progress(now + Duration::from_millis(700), &id));
    pool.update_load(now, address(0), &report(4, false));
    assert!(!pool.is_making_progress(now, &id), "with a closed group");
}

/// A group lost a rank, so that all its runners refuse. Requests must wait until
/// the group has formed again instead of using up their attempts on other ranks.
#[test]
fn a_refusal_by_a_runner_with_room_excludes_its_whole_group() {
    let now = Instant::now();
    let mut pool = pool(now, 4);
    for n in 0..4 {
        pool.update_load(now, address(n), &report(1, true));
    }
    let id = selected_runner(pool.admit(now, queued_request(now, 1))).expect("room");
    assert!(pool.request_ended(now, &id, RunnerOutcome::Busy).is_empty());
    assert_eq!(pool.admit(now, queued_request(now, 2)), Admission::Wait);
    let later = now + Duration::from_millis(200);
    let dequeued = pool.dispatch_queued(later);
    assert_eq!(dequeued.len(), 1);
    assert!(matches!(dequeued[0].admission, Admission::Run(_)));
}

/// All processes restart at once: no report names the groups yet, and all runners
/// refuse for two seconds. One request at a time probes; the others must wait and
/// not use up the retry budget.
#[test]
fn while_all_runners_refuse_one_request_at_a_time_probes() {
    let now = Instant::now();
    let mut pool = pool(now, 16);
    let mut probes = 0;
    let mut queue_id = 0;
    for ms in (0..1_600).step_by(40) {
        let at = now + Duration::from_millis(ms);
        queue_id += 1;
        let mut sent = Vec::new();
        sent.extend(selected_runner(
            pool.admit(at, queued_request(at, queue_id)),
        ));
        sent.extend(
            pool.dispatch_queued(at)
                .into_iter()
                .filter_map(|request| selected_runner(request.admission)),
        );
        assert!(sent.len() <= 1, "{sent:?}");
        for id in sent {
            probes += 1;
            pool.request_ended(at, &id, RunnerOutcome::Busy);
        }
    }
    assert!((4..=12).contains(&probes), "{probes}");
    let at = now + Duration::from_millis(2_000);
    let probe = pool
        .dispatch_queued(at)
        .into_iter()
        .find_map(|request| selected_runner(request.admission));
    let id = probe
        .or_else(|| selected_runner(pool.admit(at, queued_request(at, 99))))
        .expect("one request may probe");
    let dequeued = pool.response_began(at, &id);
    let admitted = dequeued.len()
        + usize::from(selected_runner(pool.admit(at, queued_request(at, 100))).is_some());
    assert!(admitted >= 1, "the group accepts all requests again");
}

#[test]
fn a_closed_group_gets_no_requests() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.update_load(now, address(0), &report(0, false));
    assert_eq!(pool.admit(now, queued_request(now, 1)), Admission::Wait);
    pool.update_load(now, address(0), &report(0, true));
    assert_eq!(pool.dispatch_queued(now).len(), 1);
}

#[test]
fn the_most_urgent_request_goes_first_and_an_expired_one_is_rejected() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let mut ids = Vec::new();
    for queue_id in 0..3 {
        ids.extend(selected_runner(
            pool.admit(now, queued_request(now, queue_id)),
        ));
    }
    let urgent = QueuedRequest {
        priority: 0,
        ..queued_request(now, 11)
    };
    assert_eq!(pool.admit(now, queued_request(now, 10)), Admission::Wait);
    assert_eq!(pool.admit(now, urgent), Admission::Wait);
    let dequeued = pool.request_ended(now, &ids[0], RunnerOutcome::Served);
    assert_eq!(dequeued[0].queue_id, QueuedRequestId(11));
    let late = pool.dispatch_queued(now + Duration::from_secs(2));
    assert_eq!(late.len(), 1);
    assert!(matches!(late[0].admission, Admission::Reject { .. }));
}

/// Requests arrive at twice the rate that one runner can serve. In order of
/// arrival all of them would be late after the first second.
#[test]
fn in_an_overload_most_executed_requests_are_on_time() {
    const ARRIVAL_INTERVAL_MS: u64 = 20;
    const SERVICE_TIME_MS: u64 = 120;
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut pool = pool(now, 1);
    let mut arrived = Vec::new();
    let mut running: Vec<(u64, RunnerId)> = Vec::new();
    let (mut on_time, mut late) = (0, 0);
    for ms in 0..6_000 {
        let mut started = Vec::new();
        if ms % ARRIVAL_INTERVAL_MS == 0 {
            let queue_id = arrived.len() as u64;
            arrived.push(ms);
            let id = selected_runner(pool.admit(at(ms), queued_request(at(ms), queue_id)));
            started.extend(id.map(|id| (queue_id, id)));
        }
        let (done, left) = running.into_iter().partition(|(end, _)| *end == ms);
        running = left;
        let mut dequeued = pool.dispatch_queued(at(ms));
        for (_, id) in done {
            dequeued.extend(pool.request_ended(at(ms), &id, RunnerOutcome::Served));
        }
        for request in dequeued {
            let queue_id = request.queue_id.0;
            started.extend(selected_runner(request.admission).map(|id| (queue_id, id)));
        }
        for (queue_id, id) in started {
            match ms - arrived[queue_id as usize] <= 240 {
                true => on_time += 1,
                false => late += 1,
            }
            running.push((ms + SERVICE_TIME_MS, id));
        }
    }
    assert!(on_time > 8 * late, "{on_time} on time, {late} late");
}

#[test]
fn with_a_full_queue_requests_are_rejected_at_once() {
    let now = Instant::now();
    let mut pool = pool(now, 0);
    for queue_id in 0..8 {
        assert_eq!(
            pool.admit(now, queued_request(now, queue_id)),
            Admission::Wait
        );
    }
    let rejected = pool.admit(now, queued_request(now, 9));
    assert!(matches!(rejected, Admission::Reject { retry_after, .. } if !retry_after.is_zero()));
}
