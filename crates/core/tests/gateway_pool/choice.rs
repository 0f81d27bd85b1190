//! Which runner a request is sent to.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::gateway::QueuedRequest;
use wisteriawick_core::gateway::QueuedRequestId;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::ids::RunnerId;

use crate::support::LIMITS;
use crate::support::address;
use crate::support::pool;
use crate::support::queued_request;
use crate::support::report;
use crate::support::runner;
use crate::support::selected_runner;

#[test]
fn without_reports_an_entry_sends_each_runner_at_most_its_share() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    for queue_id in 0..6 {
        assert!(selected_runner(pool.admit(now, queued_request(now, queue_id))).is_some());
    }
    assert_eq!(pool.admit(now, queued_request(now, 6)), Admission::Wait);
}

/// Guards against idle slots while entries restart one after the other: the
/// remaining entries must use all free slots, not a fixed share of them.
#[test]
fn with_reports_an_entry_uses_all_slots_that_others_leave_free() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.update_load(now, address(0), &report(4, true));
    let admitted = (0..20)
        .filter(|queue_id| {
            selected_runner(pool.admit(now, queued_request(now, *queue_id))).is_some()
        })
        .count();
    assert_eq!(admitted, 8);
}

#[test]
fn an_outdated_report_is_ignored() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.update_load(now, address(0), &report(0, true));
    let later = now + Duration::from_secs(3);
    let admitted = (0..20)
        .filter(|queue_id| {
            selected_runner(pool.admit(later, queued_request(later, *queue_id))).is_some()
        })
        .count();
    assert_eq!(admitted, 3);
}

#[test]
fn the_least_loaded_runner_is_selected() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    for (n, running) in [(0, 5), (1, 2), (2, 7)] {
        pool.update_load(now, address(n), &report(running, true));
    }
    let id = selected_runner(pool.admit(now, queued_request(now, 1)));
    assert_eq!(id, Some("r1".into()));
}

/// Guards against overloading a runner at many requests per second: a report that
/// was read before the last requests arrived must not make the runner look idle.
#[test]
fn requests_sent_after_a_report_was_read_count_as_load() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pool = pool(start, 2);
    let report_loads = |pool: &mut Pool, now| {
        pool.update_load(now, address(0), &report(0, true));
        pool.update_load(now, address(1), &report(9, true));
    };
    report_loads(&mut pool, start);
    let mut sent = Vec::new();
    for queue_id in 0..12 {
        sent.extend(selected_runner(
            pool.admit(at(100), queued_request(at(100), queue_id)),
        ));
        // These reports were read before the requests reached the runners.
        report_loads(&mut pool, at(101));
    }
    let first = RunnerId::from("r0");
    assert!(sent[..6].iter().all(|id| *id == first), "{sent:?}");
    let at_first = sent.iter().filter(|id| **id == first).count();
    assert!((8..=11).contains(&at_first), "{sent:?}");
}

/// Guards against a herd effect: six entries receive the same reports and each
/// send several requests before the next report. The least loaded runners must
/// not get all of them.
#[test]
fn entries_with_the_same_reports_spread_their_requests() {
    const RUNNERS: u8 = 32;
    const ENTRIES: u64 = 6;
    const REQUESTS_PER_ENTRY: u64 = 4;
    let now = Instant::now();
    let mut sent = [0u32; RUNNERS as usize];
    for entry in 0..ENTRIES {
        let mut pool = Pool::new(now, "here".into(), LIMITS, entry);
        pool.set_runners(now, (0..RUNNERS).map(runner).collect());
        for at in 0..RUNNERS {
            pool.update_load(now, address(at), &report(4 + u32::from(at) / 4, true));
        }
        for queue_id in 0..REQUESTS_PER_ENTRY {
            let id = selected_runner(pool.admit(now, queued_request(now, queue_id))).expect("room");
            let at = id.as_str()[1..].parse::<usize>().expect("a number");
            sent[at] += 1;
        }
    }
    let load = |at: usize| 4 + at as u32 / 4 + sent[at];
    let fullest = (0..RUNNERS.into()).map(load).max();
    assert!(fullest <= Some(12), "{sent:?}");
    let most = sent.iter().max();
    assert!(most <= Some(&5), "{sent:?}");
}

/// One rank of a group is slow, and the others wait for it in each pass: requests
/// there delay the whole group.
#[test]
fn a_slow_rank_gets_requests_only_when_the_others_are_full() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    for at in 0..3 {
        let mut load = report(0, true);
        load.slowdown = if at == 1 { 3.0 } else { 1.0 };
        pool.update_load(now, address(at), &load);
    }
    let sent: Vec<RunnerId> = (0..36)
        .filter_map(|queue_id| selected_runner(pool.admit(now, queued_request(now, queue_id))))
        .collect();
    let slow = RunnerId::from("r1");
    assert_eq!(sent.len(), 36);
    assert!(!sent[..24].contains(&slow), "{sent:?}");
    assert!(sent[24..].iter().all(|id| *id == slow), "{sent:?}");
}

/// A runner that left with requests in flight is kept, and another one has started at its
/// address since.
#[test]
fn a_report_is_of_the_runner_that_is_listed_at_the_address() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    assert!(selected_runner(pool.admit(now, queued_request(now, 1))).is_some());
    let successor = ListedRunner {
        id: "successor".into(),
        ..runner(0)
    };
    pool.set_runners(now, vec![successor]);
    pool.update_load(now, address(0), &report(0, false));
    assert_eq!(pool.admit(now, queued_request(now, 2)), Admission::Wait);
}

/// A request that must not return to the only runner with room waits; the one behind it
/// takes that room.
#[test]
fn a_queued_request_that_may_use_no_runner_with_room_does_not_stop_the_next() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.update_load(now, address(0), &report(12, true));
    let first = QueuedRequest {
        excluded: vec!["r0".into()],
        ..queued_request(now, 1)
    };
    assert_eq!(pool.admit(now, first), Admission::Wait);
    assert_eq!(pool.admit(now, queued_request(now, 2)), Admission::Wait);
    pool.update_load(now, address(0), &report(0, true));
    let dequeued = pool.dispatch_queued(now);
    assert_eq!(dequeued.len(), 1);
    assert_eq!(dequeued[0].queue_id, QueuedRequestId(2));
}
