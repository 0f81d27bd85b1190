//! Which of several callers that compete for too little room is served.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::gateway::PoolLimits;
use wisteriawick_core::gateway::QueuedRequest;
use wisteriawick_core::gateway::QueuedRequestId;
use wisteriawick_core::gateway::RejectReason;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::ids::RunnerId;

use crate::simulation::Kind;
use crate::simulation::Load;
use crate::simulation::play;
use crate::support::LIMITS;
use crate::support::pool;
use crate::support::queued_request;
use crate::support::runner;
use crate::support::selected_runner;

fn with_priority(now: Instant, queue_id: u64, priority: u32) -> QueuedRequest {
    QueuedRequest {
        priority,
        ..queued_request(now, queue_id)
    }
}

fn of_workspace(now: Instant, queue_id: u64, workspace: &str) -> QueuedRequest {
    QueuedRequest {
        workspace: Some(workspace.into()),
        ..with_priority(now, queue_id, 2)
    }
}

/// Returns a pool with one runner whose slots are in use, and which completes ten
/// requests a second.
fn busy_pool(now: Instant) -> Pool {
    let limits = PoolLimits {
        max_queued: 64,
        ..LIMITS
    };
    let mut pool = Pool::new(now, "here".into(), limits, 1);
    pool.set_runners(now, vec![runner(0)]);
    let id = RunnerId::from("r0");
    let mut completed = 0;
    while completed < 20 {
        completed += 1;
        let request = with_priority(now, completed, 2);
        assert_eq!(
            selected_runner(pool.admit(now, request)).as_ref(),
            Some(&id)
        );
        pool.request_ended(now, &id, RunnerOutcome::Served);
    }
    for queue_id in 100..103 {
        let admission = pool.admit(now, with_priority(now, queue_id, 0));
        assert!(selected_runner(admission).is_some());
    }
    pool
}

#[test]
fn an_urgent_request_does_not_wait_for_those_that_it_overtakes() {
    let now = Instant::now();
    let mut pool = busy_pool(now);
    let mut queue_id = 200;
    while pool.admit(now, with_priority(now, queue_id, 2)) == Admission::Wait {
        queue_id += 1;
    }
    assert!(queue_id > 205, "only {} were queued", queue_id - 200);
    let urgent = with_priority(now, 300, 0);
    assert_eq!(pool.admit(now, urgent), Admission::Wait);
    let dequeued = pool.request_ended(now, &RunnerId::from("r0"), RunnerOutcome::Served);
    let started: Vec<_> = dequeued
        .into_iter()
        .filter(|request| matches!(request.admission, Admission::Run(_)))
        .map(|request| request.queue_id)
        .collect();
    assert_eq!(started, [QueuedRequestId(300)]);
}

#[test]
fn the_newest_of_the_busiest_workspace_gives_way_when_the_queue_is_full() {
    let now = Instant::now();
    let mut pool = pool(now, 0);
    for (queue_id, workspace) in [(1, "a"), (2, "b"), (3, "b"), (4, "c"), (5, "b"), (6, "a")] {
        let request = of_workspace(now, queue_id, workspace);
        assert_eq!(pool.admit(now, request), Admission::Wait);
    }
    for queue_id in [7, 8] {
        let request = with_priority(now, queue_id, 1);
        assert_eq!(pool.admit(now, request), Admission::Wait);
    }
    assert_eq!(pool.admit(now, with_priority(now, 9, 0)), Admission::Wait);
    let displaced = pool.take_displaced();
    assert_eq!(displaced.len(), 1);
    assert_eq!(displaced[0].queue_id, QueuedRequestId(5));
    let Admission::Reject {
        reason,
        retry_after,
    } = displaced[0].admission
    else {
        panic!("{displaced:?}");
    };
    assert_eq!(reason, RejectReason::GaveWay);
    assert!(retry_after >= Duration::from_millis(300));
    assert!(pool.take_displaced().is_empty(), "one gives way once");
    let equal = pool.admit(now, with_priority(now, 10, 2));
    assert!(matches!(equal, Admission::Reject { .. }), "{equal:?}");
    assert!(pool.take_displaced().is_empty(), "equals do not give way");
}

/// While the queue holds more than can be served, each urgent request that is queued
/// delays the last one. It is refused at once, not after its time is over.
#[test]
fn a_request_whose_turn_comes_too_late_gives_way_at_once() {
    let now = Instant::now();
    let mut pool = busy_pool(now);
    let mut queue_id = 200;
    while pool.admit(now, with_priority(now, queue_id, 2)) == Admission::Wait {
        queue_id += 1;
    }
    assert_eq!(pool.admit(now, with_priority(now, 300, 0)), Admission::Wait);
    let displaced = pool.take_displaced();
    let ids: Vec<_> = displaced.iter().map(|request| request.queue_id).collect();
    assert_eq!(ids, [QueuedRequestId(queue_id - 1)]);
}

#[test]
fn refused_callers_return_at_different_times_the_urgent_first() {
    let start = Instant::now();
    let mut pool = busy_pool(start);
    let mut queue_id = 200;
    while pool.admit(start, with_priority(start, queue_id, 2)) == Admission::Wait {
        queue_id += 1;
    }
    let now = start + Duration::from_secs(1);
    pool.dispatch_queued(now);
    let mut retry_times = |priority| -> Vec<Duration> {
        let times = (0..20).map(|n| {
            let request = QueuedRequest {
                deadline: now,
                ..with_priority(now, 400 + n, priority)
            };
            match pool.admit(now, request) {
                Admission::Reject { retry_after, .. } => retry_after,
                admission => panic!("{admission:?}"),
            }
        });
        let mut times: Vec<_> = times.collect();
        times.sort();
        times.dedup();
        times
    };
    let urgent = retry_times(0);
    let others = retry_times(2);
    assert!(urgent.len() > 10 && others.len() > 10, "spread");
    assert!(urgent.last() < others.first(), "{urgent:?} {others:?}");
}

/// A group froze, so that nothing completes: the whole queue runs out of time at once.
#[test]
fn callers_whose_time_in_the_queue_is_over_do_not_return_together() {
    let start = Instant::now();
    let mut pool = busy_pool(start);
    for queue_id in 200..208 {
        pool.admit(start, with_priority(start, queue_id, 2));
    }
    let now = start + Duration::from_secs(2);
    let mut times: Vec<_> = (0..20).map(|_| pool.retry_after(now, 2)).collect();
    times.sort();
    times.dedup();
    assert!(times.len() > 10, "{times:?}");
    assert!(
        times[0] >= Duration::from_secs(2),
        "the overload lasts: {times:?}"
    );
    assert!(
        pool.retry_after(now, 0) < times[0],
        "the urgent return first"
    );
}

const URGENT: usize = 0;
const OTHER: usize = 1;

/// The less urgent come in a burst of two and a half times their rate for six seconds,
/// which is more than there is room for. Three entries do not see what the others start
/// until a report shows it. A refused request is late at best.
#[test]
fn in_a_burst_of_the_less_urgent_no_urgent_request_is_refused() {
    let kinds = [
        Kind::new(0, 60.0),
        Kind::new(2, 52.0).with_burst(2.5, 2.0, 8.0),
    ];
    for seed in 1..=4 {
        let load = Load::new(seed, 3, 24, 2_000, &kinds);
        let results = play(&load);
        let (urgent, other) = (&results[URGENT], &results[OTHER]);
        assert_eq!(urgent.refused, 0, "seed {seed}: {results:?}");
        assert!(
            urgent.on_time_share() > other.on_time_share(),
            "{results:?}"
        );
        assert!(other.served_share() > 0.5, "seed {seed}: {results:?}");
    }
}

/// The urgent alone ask for more than there is. A kind that is served a quarter as often
/// as all counts as starved.
#[test]
fn no_priority_is_starved_by_a_more_urgent_one() {
    let kinds = [Kind::new(0, 195.0), Kind::new(2, 45.0)];
    for seed in 1..=4 {
        let load = Load::new(seed, 3, 24, 2_000, &kinds);
        let results = play(&load);
        let all: f64 = results.iter().map(|kind| f64::from(kind.served)).sum();
        let arrived: f64 = results.iter().map(|kind| f64::from(kind.arrived)).sum();
        let other = results[OTHER].served_share();
        assert!(other > 0.25 * all / arrived, "seed {seed}: {results:?}");
        assert!(results[URGENT].served_share() > other, "seed {seed}");
    }
}

#[test]
fn while_there_is_room_for_all_no_request_is_refused() {
    let kinds = [Kind::new(0, 45.0), Kind::new(2, 45.0)];
    for seed in 1..=4 {
        let load = Load::new(seed, 3, 24, 2_000, &kinds);
        for kind in play(&load) {
            assert_eq!(kind.refused, 0, "seed {seed}: {kind:?}");
        }
    }
}
