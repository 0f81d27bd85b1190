//! Which runner a request goes to.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::ids::RunnerId;

use crate::support::LIMITS;
use crate::support::address;
use crate::support::chosen;
use crate::support::pool;
use crate::support::report;
use crate::support::runner;
use crate::support::work;

#[test]
fn without_reports_each_entry_takes_its_part_of_a_runner() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    for queue_id in 0..6 {
        assert!(chosen(pool.admit(now, work(now, queue_id))).is_some());
    }
    assert_eq!(pool.admit(now, work(now, 6)), Admission::Wait);
}

/// Entries restart one after the other: those that are left must use what the
/// others leave free, and not a fixed part.
#[test]
fn with_reports_an_entry_uses_what_others_leave_free() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.update_load(now, address(0), &report(4, true));
    let taken = (0..20)
        .filter(|queue_id| chosen(pool.admit(now, work(now, *queue_id))).is_some())
        .count();
    assert_eq!(taken, 8);
}

#[test]
fn an_old_report_says_nothing() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.update_load(now, address(0), &report(0, true));
    let later = now + Duration::from_secs(3);
    let taken = (0..20)
        .filter(|queue_id| chosen(pool.admit(later, work(later, *queue_id))).is_some())
        .count();
    assert_eq!(taken, 3);
}

#[test]
fn the_least_loaded_runner_is_chosen() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    for (n, running) in [(0, 5), (1, 2), (2, 7)] {
        pool.update_load(now, address(n), &report(running, true));
    }
    let id = chosen(pool.admit(now, work(now, 1)));
    assert_eq!(id, Some("r1".into()));
}

/// Two runners, and many requests a second: a report that left its runner
/// before the last requests came there must not make it look free.
#[test]
fn requests_that_a_report_does_not_know_yet_still_count() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pool = pool(start, 2);
    let told = |pool: &mut Pool, now| {
        pool.update_load(now, address(0), &report(0, true));
        pool.update_load(now, address(1), &report(9, true));
    };
    told(&mut pool, start);
    let mut sent = Vec::new();
    for queue_id in 0..12 {
        sent.extend(chosen(pool.admit(at(100), work(at(100), queue_id))));
        // The runners were read before these requests reached them.
        told(&mut pool, at(101));
    }
    let first = RunnerId::from("r0");
    assert!(sent[..6].iter().all(|id| *id == first), "{sent:?}");
    let at_first = sent.iter().filter(|id| **id == first).count();
    assert!((8..=11).contains(&at_first), "{sent:?}");
}

/// Six entries hear the same reports and send several requests each before the
/// next one. The least loaded runners must not get all of them.
#[test]
fn entries_with_the_same_reports_do_not_crowd_the_same_runners() {
    const RUNNERS: u8 = 32;
    const ENTRIES: u64 = 6;
    const EACH: u64 = 4;
    let now = Instant::now();
    let mut sent = [0u32; RUNNERS as usize];
    for entry in 0..ENTRIES {
        let mut pool = Pool::new(now, "here".into(), LIMITS, entry);
        pool.set_runners(now, (0..RUNNERS).map(runner).collect());
        for at in 0..RUNNERS {
            pool.update_load(now, address(at), &report(4 + u32::from(at) / 4, true));
        }
        for queue_id in 0..EACH {
            let id = chosen(pool.admit(now, work(now, queue_id))).expect("room");
            let at = id.as_str()[1..].parse::<usize>().expect("a number");
            sent[at] += 1;
        }
    }
    let held = |at: usize| 4 + at as u32 / 4 + sent[at];
    let fullest = (0..RUNNERS.into()).map(held).max();
    assert!(fullest <= Some(12), "{sent:?}");
    let most = sent.iter().max();
    assert!(most <= Some(&5), "{sent:?}");
}

/// One rank of a group is slow and all others wait for it in each pass: what
/// runs there delays everybody.
#[test]
fn a_slow_rank_gets_work_only_when_the_others_have_no_room() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    for at in 0..3 {
        let mut load = report(0, true);
        load.slowdown = if at == 1 { 3.0 } else { 1.0 };
        pool.update_load(now, address(at), &load);
    }
    let sent: Vec<RunnerId> = (0..36)
        .filter_map(|queue_id| chosen(pool.admit(now, work(now, queue_id))))
        .collect();
    let slow = RunnerId::from("r1");
    assert_eq!(sent.len(), 36);
    assert!(!sent[..24].contains(&slow), "{sent:?}");
    assert!(sent[24..].iter().all(|id| *id == slow), "{sent:?}");
}
