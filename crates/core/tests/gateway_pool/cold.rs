//! The pool spares runners that are or may be cold.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::ColdLimit;
use wisteriawick_core::gateway::ColdSource;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::gateway::RejectReason;
use wisteriawick_core::hosting::ListedRunner;

use crate::support::LIMITS;
use crate::support::queued_request;
use crate::support::report;
use crate::support::runner;
use crate::support::selected_runner;

const LIMIT: ColdLimit = ColdLimit {
    time: Duration::from_secs(6),
    standing: 8,
    cold: 4,
};
/// Time in which the bucket of a runner that is used by one of two entries fills.
const FILL_TIME: Duration = Duration::from_secs(2);

fn listed(n: u8, cold_seconds: u64, sequence: u64) -> ListedRunner {
    ListedRunner {
        cold_remaining: Duration::from_secs(cold_seconds),
        sequence: Some(sequence),
        ..runner(n)
    }
}

fn cold_pool(now: Instant, listed: Vec<ListedRunner>) -> Pool {
    let mut pool = Pool::new(now, "here".into(), LIMITS, 1);
    pool.set_cold_limit(now, Some(LIMIT));
    pool.set_runners(now, listed);
    pool.set_cold_share(now, 2, None);
    pool
}

#[test]
fn a_record_that_is_listed_again_does_not_prolong_the_cold_start() {
    let now = Instant::now();
    let record = listed(0, 3, 1);
    let mut pool = cold_pool(now, vec![record.clone(), runner(1)]);
    assert_eq!(pool.cold_count(now), 1);
    let later = now + Duration::from_millis(3_100);
    pool.set_runners(later, vec![record, runner(1)]);
    assert_eq!(pool.cold_count(later), 0);
    pool.set_runners(later, vec![listed(0, 5, 9), runner(1)]);
    assert_eq!(pool.cold_count(later), 1, "cold again");
}

#[test]
fn what_may_have_restarted_counts_as_cold() {
    let now = Instant::now();
    let mut pool = cold_pool(now, vec![runner(0), runner(1)]);
    assert_eq!(pool.cold_count(now), 0, "as its first record says");
    let restarted = ListedRunner {
        started_unix_ms: Some(2),
        ..runner(0)
    };
    pool.set_runners(now, vec![restarted.clone(), runner(1), runner(2)]);
    assert_eq!(pool.cold_count(now), 2, "a restart and a new one");
    let changes = pool.take_cold_changes(now);
    assert!(changes.iter().all(|change| change.is_cold));
    assert_eq!(changes[0].source, ColdSource::Started);

    let later = now + Duration::from_secs(7);
    assert_eq!(pool.cold_count(later), 0);
    assert_eq!(pool.take_cold_changes(later).len(), 2);
    pool.mark_cold(later, &"there".into());
    assert_eq!(pool.cold_count(later), 0, "another data centre");
    pool.mark_cold(later, &"here".into());
    assert_eq!(pool.cold_count(later), 3);
}

#[test]
fn a_group_that_forms_again_counts_as_cold() {
    let now = Instant::now();
    let mut pool = cold_pool(now, vec![runner(0), runner(1)]);
    for n in 0..2 {
        pool.update_load(now, runner(n).address, &report(0, true));
        pool.update_load(now, runner(n).address, &report(0, false));
    }
    assert_eq!(pool.cold_count(now), 0);
    pool.update_load(now, runner(0).address, &report(0, true));
    assert_eq!(pool.cold_count(now), 1);
}

#[test]
fn warm_runners_go_first_and_a_refusal_names_the_bound() {
    let start = Instant::now();
    let mut pool = cold_pool(start, vec![listed(0, 60, 1), runner(1)]);
    let now = start + FILL_TIME;
    for n in 0..2 {
        pool.update_load(now, runner(n).address, &report(0, true));
    }
    pool.set_cold_share(now, 2, None);
    let first = pool.admit(now, queued_request(now, 0));
    assert_eq!(selected_runner(first), Some("r1".into()));

    let mut refused = None;
    for queue_id in 1..40 {
        if let Admission::Reject { reason, .. } = pool.admit(now, queued_request(now, queue_id)) {
            refused = Some(reason);
        }
    }
    assert_eq!(refused, Some(RejectReason::ColdLimit));
    let (in_flight, _) = pool.request_counts();
    assert!(in_flight <= 6, "{in_flight} of half of 8 and half of 4");
}

#[test]
fn a_request_that_is_sent_late_is_counted_again() {
    let start = Instant::now();
    let mut pool = cold_pool(start, vec![listed(0, 60, 1)]);
    let now = start + FILL_TIME;
    pool.set_cold_share(now, 2, None);
    let Admission::Run(selection) = pool.admit(now, queued_request(now, 0)) else {
        panic!("the bucket is full");
    };
    assert!(pool.hand_out(now + Duration::from_millis(50), &selection));
    assert!(
        !pool.hand_out(now + Duration::from_millis(150), &selection),
        "the bucket has no token yet"
    );
}

#[test]
fn without_a_declared_cold_start_nothing_is_bounded() {
    let now = Instant::now();
    let mut pool = Pool::new(now, "here".into(), LIMITS, 1);
    pool.set_runners(now, vec![listed(0, 60, 1)]);
    pool.mark_cold(now, &"here".into());
    for n in 0..u64::from(LIMITS.max_without_report) {
        let admission = pool.admit(now, queued_request(now, n));
        assert!(matches!(admission, Admission::Run(_)), "{admission:?}");
    }
    assert!(pool.take_cold_changes(now).is_empty());
}
