//! Where requests run, wait or are turned away, by load patterns.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::GroupReport;
use wisteriawick_core::gateway::LoadReport;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::gateway::PoolLimits;
use wisteriawick_core::gateway::Roster;
use wisteriawick_core::gateway::RunnerStatus;
use wisteriawick_core::gateway::TicketId;
use wisteriawick_core::gateway::Work;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::hosting::ListedState;
use wisteriawick_core::ids::RunnerId;

const LIMITS: PoolLimits = PoolLimits {
    per_runner: 12,
    unreported: 3,
    in_groups: true,
    longest_pass: Some(Duration::from_millis(96)),
    waiting: 8,
    wait_share: 0.5,
};

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

fn runner(n: u8) -> ListedRunner {
    ListedRunner {
        id: format!("r{n}").as_str().into(),
        service: "s".into(),
        address: address(n),
        place: "here".into(),
        slots: 12,
        state: ListedState::Ready,
        cold: Duration::ZERO,
        born_ms: Some(1),
    }
}

fn work(now: Instant, ticket: u64) -> Work {
    Work {
        ticket: TicketId(ticket),
        priority: 1,
        on_time: now + Duration::from_millis(400),
        deadline: now + Duration::from_secs(2),
        excluded: Vec::new(),
    }
}

fn pool(now: Instant, runners: u8) -> Pool {
    let mut pool = Pool::new(now, "here".into(), LIMITS, 1);
    pool.set_runners(now, (0..runners).map(runner).collect());
    pool
}

fn report(running: u32, is_open: bool) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        pace: 1.0,
        group: Some(GroupReport {
            name: "g".into(),
            is_open,
            pass: Duration::from_millis(40),
        }),
    }
}

fn chosen(admission: Admission) -> Option<RunnerId> {
    match admission {
        Admission::Run(candidate) => Some(candidate.runner.id),
        _ => None,
    }
}

#[test]
fn without_reports_each_entry_takes_its_part_of_a_runner() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    for ticket in 0..6 {
        assert!(chosen(pool.admit(now, work(now, ticket))).is_some());
    }
    assert_eq!(pool.admit(now, work(now, 6)), Admission::Wait);
}

/// Entries restart one after the other: those that are left must use what the
/// others leave free, and not a fixed part.
#[test]
fn with_reports_an_entry_uses_what_others_leave_free() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.report(now, address(0), &report(4, true));
    let taken = (0..20)
        .filter(|ticket| chosen(pool.admit(now, work(now, *ticket))).is_some())
        .count();
    assert_eq!(taken, 8);
}

/// A group was lost and the other one takes its load: passes take three times
/// as long as streams allow. More requests at once would make all of them late.
#[test]
fn a_slow_group_gets_fewer_requests_at_once() {
    let now = Instant::now();
    let taken = |pass_ms: u64| {
        let mut pool = pool(now, 1);
        let mut slow = report(0, true);
        let group = slow.group.as_mut().expect("a group");
        group.pass = Duration::from_millis(pass_ms);
        pool.report(now, address(0), &slow);
        let admitted = (0..20).map(|ticket| pool.admit(now, work(now, ticket)));
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
    assert!(!pool.is_progressing(now, &id), "no report");
    pool.report(now, address(0), &report(4, true));
    assert!(pool.is_progressing(now + Duration::from_millis(300), &id));
    assert!(!pool.is_progressing(now + Duration::from_millis(700), &id));
    pool.report(now, address(0), &report(4, false));
    assert!(!pool.is_progressing(now, &id), "the group is not open");
}

#[test]
fn an_old_report_says_nothing() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.report(now, address(0), &report(0, true));
    let later = now + Duration::from_secs(3);
    let taken = (0..20)
        .filter(|ticket| chosen(pool.admit(later, work(later, *ticket))).is_some())
        .count();
    assert_eq!(taken, 3);
}

#[test]
fn the_least_loaded_runner_is_chosen() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    for (n, running) in [(0, 5), (1, 2), (2, 7)] {
        pool.report(now, address(n), &report(running, true));
    }
    let id = chosen(pool.admit(now, work(now, 1)));
    assert_eq!(id, Some("r1".into()));
}

/// A group lost a rank: its runners refuse at once. Requests wait for the
/// group to form again; they don't spend their attempts on its other ranks.
#[test]
fn a_refusal_by_a_runner_with_room_rests_its_whole_group() {
    let now = Instant::now();
    let mut pool = pool(now, 4);
    for n in 0..4 {
        pool.report(now, address(n), &report(1, true));
    }
    let id = chosen(pool.admit(now, work(now, 1))).expect("room");
    assert!(pool.ended(now, &id, RunnerStatus::Busy).is_empty());
    assert_eq!(pool.admit(now, work(now, 2)), Admission::Wait);
    let later = now + Duration::from_millis(200);
    let wakes = pool.wake(later);
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
    let mut ticket = 0;
    for ms in (0..1_600).step_by(40) {
        let at = now + Duration::from_millis(ms);
        ticket += 1;
        let mut sent = Vec::new();
        sent.extend(chosen(pool.admit(at, work(at, ticket))));
        sent.extend(
            pool.wake(at)
                .into_iter()
                .filter_map(|wake| chosen(wake.admission)),
        );
        assert!(sent.len() <= 1, "{sent:?}");
        for id in sent {
            tries += 1;
            pool.ended(at, &id, RunnerStatus::Busy);
        }
    }
    assert!((4..=12).contains(&tries), "{tries}");
    let at = now + Duration::from_millis(2_000);
    let wake = pool
        .wake(at)
        .into_iter()
        .find_map(|wake| chosen(wake.admission));
    let id = wake
        .or_else(|| chosen(pool.admit(at, work(at, 99))))
        .expect("a try");
    let freed = pool.began(at, &id);
    let open = freed.len() + usize::from(chosen(pool.admit(at, work(at, 100))).is_some());
    assert!(open >= 1, "the group is open for all");
}

#[test]
fn a_closed_group_takes_no_work() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.report(now, address(0), &report(0, false));
    assert_eq!(pool.admit(now, work(now, 1)), Admission::Wait);
    pool.report(now, address(0), &report(0, true));
    assert_eq!(pool.wake(now).len(), 1);
}

#[test]
fn the_most_urgent_goes_first_and_a_request_whose_time_is_over_is_told() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let mut ids = Vec::new();
    for ticket in 0..3 {
        ids.extend(chosen(pool.admit(now, work(now, ticket))));
    }
    let urgent = Work {
        priority: 0,
        ..work(now, 11)
    };
    assert_eq!(pool.admit(now, work(now, 10)), Admission::Wait);
    assert_eq!(pool.admit(now, urgent), Admission::Wait);
    let wakes = pool.ended(now, &ids[0], RunnerStatus::Served);
    assert_eq!(wakes[0].ticket, TicketId(11));
    let late = pool.wake(now + Duration::from_secs(2));
    assert_eq!(late.len(), 1);
    assert!(matches!(late[0].admission, Admission::Refuse { .. }));
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
    let (mut on_time, mut late) = (0, 0);
    for ms in 0..6_000 {
        let mut started = Vec::new();
        if ms % COME_EVERY_MS == 0 {
            let ticket = arrived.len() as u64;
            arrived.push(ms);
            let id = chosen(pool.admit(at(ms), work(at(ms), ticket)));
            started.extend(id.map(|id| (ticket, id)));
        }
        let (done, left) = running.into_iter().partition(|(end, _)| *end == ms);
        running = left;
        let mut wakes = pool.wake(at(ms));
        for (_, id) in done {
            wakes.extend(pool.ended(at(ms), &id, RunnerStatus::Served));
        }
        for wake in wakes {
            let ticket = wake.ticket.0;
            started.extend(chosen(wake.admission).map(|id| (ticket, id)));
        }
        for (ticket, id) in started {
            match ms - arrived[ticket as usize] <= 240 {
                true => on_time += 1,
                false => late += 1,
            }
            running.push((ms + SERVED_IN_MS, id));
        }
    }
    assert!(on_time > 8 * late, "{on_time} on time, {late} late");
}

#[test]
fn beyond_what_can_wait_requests_are_turned_away_at_once() {
    let now = Instant::now();
    let mut pool = pool(now, 0);
    for ticket in 0..8 {
        assert_eq!(pool.admit(now, work(now, ticket)), Admission::Wait);
    }
    let refused = pool.admit(now, work(now, 9));
    assert!(matches!(refused, Admission::Refuse { retry_after } if !retry_after.is_zero()));
}

#[test]
fn a_runner_that_fails_is_left_out_and_tried_again() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    for ticket in 0..2 {
        let id = chosen(pool.admit(now, work(now, ticket))).expect("room");
        pool.ended(now, &id, RunnerStatus::Failed);
    }
    assert_eq!(pool.admit(now, work(now, 3)), Admission::Wait);
    let later = now + Duration::from_millis(600);
    assert_eq!(pool.wake(later).len(), 1);
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
    pool.cancel(TicketId(1));
    pool.set_runners(now, vec![runner(0)]);
    for ticket in 2..4 {
        let id = chosen(pool.admit(now, work(now, ticket))).expect("room");
        pool.ended(now, &id, RunnerStatus::Failed);
    }
    let reborn = ListedRunner {
        born_ms: Some(2),
        ..runner(0)
    };
    pool.set_runners(now, vec![reborn]);
    assert!(chosen(pool.admit(now, work(now, 5))).is_some());
}

#[test]
fn entries_that_lapse_in_an_outage_of_the_store_are_kept_for_a_while() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut roster = Roster::default();
    roster.heard(now);
    roster.list(now, vec![runner(0), runner(1)]);
    roster.lost_contact(at(3_000));
    roster.heard(at(5_000));
    roster.list(at(5_000), vec![runner(0)]);
    assert_eq!(roster.all().count(), 2, "runner 1 may register again");
    roster.remove(at(5_100), &"r0".into());
    roster.write(runner(1));
    assert_eq!(roster.expire(at(7_300)), 1);
    let left: Vec<_> = roster.all().map(|held| held.id.clone()).collect();
    assert_eq!(left, vec![RunnerId::from("r1")]);
}

#[test]
fn without_an_outage_a_removed_entry_is_gone() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.heard(now);
    roster.list(now, vec![runner(0)]);
    roster.remove(now, &"r0".into());
    assert_eq!(roster.all().count(), 0);
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
            true => RunnerStatus::Erred,
            false => RunnerStatus::Served,
        };
        spoiled += u32::from(id == sick);
        pool.ended(now, &id, status);
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
            true => RunnerStatus::Erred,
            false => RunnerStatus::Served,
        };
        pool.ended(now, &id, status);
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
    for ticket in 0..40 {
        if let Some(id) = chosen(pool.admit(now, work(now, ticket))) {
            pool.ended(now, &id, RunnerStatus::Erred);
        }
    }
    assert!(chosen(pool.admit(now, work(now, 41))).is_some());
}

/// Two runners, and many requests a second: a report that left its runner
/// before the last requests came there must not make it look free.
#[test]
fn requests_that_a_report_does_not_know_yet_still_count() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pool = pool(start, 2);
    let told = |pool: &mut Pool, now| {
        pool.report(now, address(0), &report(0, true));
        pool.report(now, address(1), &report(9, true));
    };
    told(&mut pool, start);
    let mut sent = Vec::new();
    for ticket in 0..12 {
        sent.extend(chosen(pool.admit(at(100), work(at(100), ticket))));
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
            pool.report(now, address(at), &report(4 + u32::from(at) / 4, true));
        }
        for ticket in 0..EACH {
            let id = chosen(pool.admit(now, work(now, ticket))).expect("room");
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
        load.pace = if at == 1 { 3.0 } else { 1.0 };
        pool.report(now, address(at), &load);
    }
    let sent: Vec<RunnerId> = (0..36)
        .filter_map(|ticket| chosen(pool.admit(now, work(now, ticket))))
        .collect();
    let slow = RunnerId::from("r1");
    assert_eq!(sent.len(), 36);
    assert!(!sent[..24].contains(&slow), "{sent:?}");
    assert!(sent[24..].iter().all(|id| *id == slow), "{sent:?}");
}
