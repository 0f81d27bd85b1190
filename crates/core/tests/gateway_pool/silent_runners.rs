//! Hundreds of runners of which no agent reports.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::DequeuedRequest;
use wisteriawick_core::gateway::LoadReport;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::gateway::QueuedRequest;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::ids::RunnerId;

use crate::support::LIMITS;
use crate::support::queued_request;
use crate::support::report;
use crate::support::runner;
use crate::support::selected_runner;

fn silent_runner(n: u16) -> ListedRunner {
    let [high, low] = n.to_be_bytes();
    ListedRunner {
        id: format!("r{n:04}").as_str().into(),
        address: SocketAddr::from(([10, 1, high, low], 80)),
        ..runner(0)
    }
}

fn silent_pool(now: Instant, runners: u16) -> Pool {
    let mut pool = Pool::new(now, "here".into(), LIMITS, 1);
    pool.set_runners(now, (0..runners).map(silent_runner).collect());
    pool
}

/// Sends `count` requests at once; returns the runners that got one.
fn send(pool: &mut Pool, now: Instant, count: u64) -> Vec<RunnerId> {
    let admissions = (0..count).map(|queue_id| pool.admit(now, queued_request(now, queue_id)));
    admissions.filter_map(selected_runner).collect()
}

/// A deployment has an agent beside a tenth of its runners, so that no report names a
/// group. A runner that is out of order must not stop the 299 others.
#[test]
fn one_refusal_does_not_stop_the_runners_without_reports() {
    let now = Instant::now();
    let mut pool = silent_pool(now, 300);
    let id = selected_runner(pool.admit(now, queued_request(now, 1))).expect("room");
    pool.request_ended(now, &id, RunnerOutcome::Busy);
    let sent = send(&mut pool, now, 100);
    assert_eq!(sent.len(), 100);
    assert!(!sent.contains(&id), "the one that refused gets none");
}

/// Runs one second of requests, one each 4 ms, at runners of which those below `closed`
/// refuse and the others respond after 60 ms. Returns how many requests were refused, and
/// how many got a response.
fn run_second(pool: &mut Pool, start: Instant, closed: usize, second: u64) -> (u32, u32) {
    let mut refused = 0;
    let mut responded = 0;
    let mut running: VecDeque<(Instant, RunnerId)> = VecDeque::new();
    for step in 0..250 {
        let now = start + Duration::from_millis(1_000 * second + 4 * step);
        while let Some((due, id)) = running.pop_front() {
            if due > now {
                running.push_front((due, id));
                break;
            }
            responded += 1;
            let mut sent = ids(pool.response_began(now, &id));
            sent.extend(ids(pool.request_ended(now, &id, RunnerOutcome::Served)));
            running.extend(sent.into_iter().map(|id| (now + RESPONSE_TIME, id)));
        }
        let queue_id = 1_000 * second + step;
        let mut sent = ids(pool.dispatch_queued(now));
        sent.extend(selected_runner(
            pool.admit(now, queued_request(now, queue_id)),
        ));
        while let Some(id) = sent.pop() {
            match is_below(&id, closed) {
                true => {
                    refused += 1;
                    sent.extend(ids(pool.request_ended(now, &id, RunnerOutcome::Busy)));
                }
                false => running.push_back((now + RESPONSE_TIME, id)),
            }
        }
    }
    for (due, id) in running {
        pool.response_began(due, &id);
        pool.request_ended(due, &id, RunnerOutcome::Served);
        responded += 1;
    }
    (refused, responded)
}

/// How long a runner takes to begin a response.
const RESPONSE_TIME: Duration = Duration::from_millis(60);

fn ids(dequeued: Vec<DequeuedRequest>) -> Vec<RunnerId> {
    let admissions = dequeued.into_iter().map(|request| request.admission);
    admissions.filter_map(selected_runner).collect()
}

fn is_below(id: &RunnerId, closed: usize) -> bool {
    *id < RunnerId::from(format!("r{closed:04}").as_str())
}

/// Of four groups of unknown name one is closed: the others serve, and the closed one costs
/// a few refusals a second.
#[test]
fn a_closed_group_of_unknown_name_costs_few_refusals() {
    let start = Instant::now();
    let mut pool = silent_pool(start, 300);
    let seconds: Vec<_> = (0..4)
        .map(|second| run_second(&mut pool, start, 72, second))
        .collect();
    let (_, responded) = seconds[0];
    assert!(responded >= 150, "{seconds:?}");
    for (refused, responded) in &seconds[1..] {
        assert!(*refused <= 25, "{seconds:?}");
        assert!(*responded >= 220, "{seconds:?}");
    }
}

/// All runners refuse, as their only group forms again, and then accept requests.
#[test]
fn a_group_of_unknown_name_that_opens_again_is_found_soon() {
    let start = Instant::now();
    let mut pool = silent_pool(start, 72);
    let (refused, _) = run_second(&mut pool, start, 72, 0);
    assert!((3..=12).contains(&refused), "{refused}");
    let (refused, responded) = run_second(&mut pool, start, 0, 1);
    assert_eq!(refused, 0);
    assert!(responded >= 150, "{responded}");
}

/// Other entries' requests are not known, so a full runner refuses while this entry has
/// few requests there. The streams that it sends show that it is open.
#[test]
fn a_full_runner_that_sends_events_gets_fewer_requests_and_no_doubt() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pool = silent_pool(start, 2);
    let sent = send(&mut pool, start, 6);
    for id in &sent {
        pool.response_began(at(50), id);
    }
    for id in [&sent[0], &sent[1]] {
        pool.request_ended(at(60), id, RunnerOutcome::Busy);
    }
    assert_eq!(pool.doubted_count(at(60)), 0);
    assert_eq!(send(&mut pool, at(250), 6).len(), 0, "three became one");
}

#[test]
fn the_bound_grows_while_responses_begin() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pool = silent_pool(start, 1);
    let id = RunnerId::from("r0000");
    let mut running = 0;
    for step in 1..20 {
        running += send(&mut pool, at(100 * step), 20).len();
        running += ids(pool.response_began(at(100 * step + 50), &id)).len();
    }
    assert!(running as u32 > LIMITS.max_without_report, "{running}");
    assert!(running as u32 <= LIMITS.max_per_runner, "{running}");
}

/// Sends a request every 300 ms for a minute to 4 runners of an open group, which reports,
/// and 4 nearer ones that refuse. Returns how many of the first twenty and of the last
/// hundred were refused.
fn refused_of_first_and_last(report_of_closed: Option<LoadReport>) -> (usize, usize) {
    let start = Instant::now();
    let mut pool = Pool::new(start, "here".into(), LIMITS, 1);
    let mut runners: Vec<_> = (0..8).map(silent_runner).collect();
    for far in &mut runners[4..] {
        far.place = "there".into();
    }
    pool.set_runners(start, runners);
    if let Some(report) = &report_of_closed {
        for n in 0..4 {
            pool.update_load(start, silent_runner(n).address, report);
        }
    }
    let mut refused = Vec::new();
    for step in 0..200 {
        let now = start + Duration::from_millis(300 * step);
        for n in 4..8 {
            pool.update_load(now, silent_runner(n).address, &report(1, true));
        }
        let mut id = selected_runner(pool.admit(now, queued_request(now, step))).expect("room");
        refused.push(is_below(&id, 4));
        if is_below(&id, 4) {
            pool.request_ended(now, &id, RunnerOutcome::Busy);
            let retry = QueuedRequest {
                excluded: vec![id],
                ..queued_request(now, step)
            };
            id = selected_runner(pool.admit(now, retry)).expect("room");
        }
        match is_below(&id, 4) {
            true => drop(pool.request_ended(now, &id, RunnerOutcome::Busy)),
            false => {
                pool.response_began(now, &id);
                pool.request_ended(now, &id, RunnerOutcome::Served);
            }
        }
    }
    let count = |refused: &[bool]| refused.iter().filter(|refused| **refused).count();
    (count(&refused[..20]), count(&refused[100..]))
}

/// An entry in the data centre of a group that lacks ranks prefers its idle runners. If
/// more requests were refused than the retry budget has retries, callers would get the
/// refusals while other groups serve.
#[test]
fn few_requests_try_a_closed_group_while_another_one_serves() {
    let mut closed = report(0, false);
    if let Some(group) = &mut closed.group {
        group.name = "lacks ranks".into();
    }
    let (first, last) = refused_of_first_and_last(Some(closed));
    assert!(first <= 3, "{first} by a known group");
    assert!((1..=9).contains(&last), "{last} by a known group");
    let (_, last) = refused_of_first_and_last(None);
    assert!((1..=18).contains(&last), "{last} by an unknown group");
}

/// The report that a group has opened ends its pause.
#[test]
fn a_closed_group_gets_requests_once_it_reports_that_it_is_open() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pool = silent_pool(start, 2);
    let [first, second] = [0, 1].map(|n| silent_runner(n).address);
    let mut other = report(1, true);
    if let Some(group) = &mut other.group {
        group.name = "other".into();
    }
    for step in 0..20 {
        let now = at(500 * step);
        pool.update_load(now, first, &other);
        let closed = report(0, false);
        pool.update_load(now, second, &closed);
        let refusing = RunnerId::from("r0001");
        pool.request_ended(now, &refusing, RunnerOutcome::Busy);
        pool.response_began(now, &RunnerId::from("r0000"));
    }
    let now = at(10_000);
    pool.update_load(now, first, &other);
    pool.update_load(now, second, &report(0, true));
    let sent = send(&mut pool, now, 24);
    assert!(sent.contains(&RunnerId::from("r0001")), "{sent:?}");
}
