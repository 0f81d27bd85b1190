//! Route matching, declarations, retries, retry budgets and crash tracking.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::collections::HashMap;
use wisteriawick_core::gateway::AttemptOutcome;
use wisteriawick_core::gateway::CallerLimits;
use wisteriawick_core::gateway::CrashSuspect;
use wisteriawick_core::gateway::CrashTracker;
use wisteriawick_core::gateway::Declaration;
use wisteriawick_core::gateway::Denied;
use wisteriawick_core::gateway::EntryCount;
use wisteriawick_core::gateway::LatestDeclaration;
use wisteriawick_core::gateway::NextStep;
use wisteriawick_core::gateway::RetryPolicy;
use wisteriawick_core::gateway::RetryState;
use wisteriawick_core::gateway::Route;
use wisteriawick_core::gateway::RouteMatch;
use wisteriawick_core::gateway::Tenancy;
use wisteriawick_core::gateway::WeightedService;
use wisteriawick_core::gateway::WindowedRetryBudget;
use wisteriawick_core::hosting::Era;
use wisteriawick_core::ids::Fingerprint;

const LIMITS: CallerLimits = CallerLimits {
    max_head_bytes: 16_384,
    max_body_bytes: 1 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        weighted_services: vec![WeightedService {
            service: "s".into(),
            weight: 1,
        }],
        retry_policy: RetryPolicy::Never,
        is_streaming: false,
        max_attempts: 2,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        max_event_gap: None,
        priority: 1,
        allows_anonymous: false,
    }
}

fn declaration(version: u64, routes: Vec<Route>) -> Declaration {
    let mut keys = HashMap::default();
    let tenancy = Tenancy {
        workspace: "gwydr".into(),
        priority: Some(0),
    };
    keys.insert("key".to_string(), tenancy);
    Declaration::new(version, Vec::new(), routes, Some(keys), LIMITS)
}

#[test]
fn a_request_matches_the_longest_prefix_of_its_host() {
    let declaration = declaration(1, vec![route("short", "/a/"), route("long", "/a/b/")]);
    let matched = |path: &str| {
        let route_match = declaration.match_request("A.Example", path, Some("key"));
        route_match.map(|found| found.route.name.clone())
    };
    assert_eq!(matched("/a/b/c").as_deref(), Ok("long"));
    assert_eq!(matched("/a/bc").as_deref(), Ok("short"));
    assert_eq!(matched("/b/"), Err(Denied::NoRoute));
    let other_host = declaration.match_request("b.example", "/a/", Some("key"));
    assert_eq!(other_host.err(), Some(Denied::NoRoute));
}

#[test]
fn an_unknown_key_is_denied_and_anonymous_routes_need_none() {
    let anonymous = Route {
        allows_anonymous: true,
        ..route("open", "/open/")
    };
    let declaration = declaration(1, vec![route("shut", "/a/"), anonymous]);
    for key in [None, Some("other")] {
        let denied = declaration.match_request("a.example", "/a/", key);
        assert_eq!(denied.err(), Some(Denied::UnknownKey));
        assert!(
            declaration
                .match_request("a.example", "/open/", key)
                .is_ok()
        );
    }
    let route_match = declaration
        .match_request("a.example", "/a/", Some("key"))
        .expect("a known key");
    assert_eq!(
        route_match.priority(),
        0,
        "the workspace's priority replaces the route's"
    );
}

/// All workspaces have the same priority: the more urgent route goes first. Otherwise the
/// workspace decides.
#[test]
fn among_workspaces_of_equal_priority_the_route_decides() {
    let rank = |workspace: Option<u32>, route_priority: u32| {
        let tenancy = workspace.map(|priority| Tenancy {
            workspace: "gwydr".into(),
            priority: Some(priority),
        });
        let route = Route {
            priority: route_priority,
            ..route("r", "/a/")
        };
        let route_match = RouteMatch {
            route: Arc::new(route),
            tenancy,
        };
        route_match.rank()
    };
    assert!(rank(Some(1), 0) < rank(Some(1), 2));
    assert!(rank(Some(0), 9) < rank(Some(1), 0));
    assert!(rank(None, 0) < rank(None, 1));
    assert!(rank(Some(u32::MAX), 0) >= rank(Some(9), u32::MAX));
}

#[test]
fn requests_of_a_route_are_split_by_weight() {
    let split = Route {
        weighted_services: vec![
            WeightedService {
                service: "a".into(),
                weight: 9,
            },
            WeightedService {
                service: "b".into(),
                weight: 1,
            },
        ],
        ..route("split", "/")
    };
    let to_b = (0..100)
        .map(|n| f64::from(n) / 100.0)
        .filter(|draw| split.pick_service(*draw) == Some(&"b".into()))
        .count();
    assert_eq!(to_b, 10);
}

#[test]
fn an_older_declaration_never_replaces_a_newer_one() {
    let mut latest_declaration = LatestDeclaration::default();
    let era = Era(1);
    assert!(latest_declaration.update(era, declaration(7, vec![])));
    assert!(!latest_declaration.update(era, declaration(7, vec![route("again", "/")])));
    assert!(
        !latest_declaration.update(era, declaration(3, vec![])),
        "a stale read is ignored"
    );
    assert!(
        latest_declaration.update(era, declaration(12, vec![])),
        "versions may skip numbers"
    );
    assert_eq!(
        latest_declaration
            .get()
            .map(|declaration| declaration.version()),
        Some(12)
    );
}

#[test]
fn a_request_executed_at_most_once_is_retried_only_if_no_runner_executed_it() {
    let now = Instant::now();
    let retry = RetryState::new(false, 3, now + Duration::from_secs(1));
    let next = |outcome| {
        let mut retry = retry;
        retry.next_step(now, outcome, || true)
    };
    assert_eq!(next(AttemptOutcome::NotSent), NextStep::Again);
    assert_eq!(next(AttemptOutcome::NotRun), NextStep::Again);
    assert_eq!(next(AttemptOutcome::Unknown), NextStep::Unknown);
    assert_eq!(next(AttemptOutcome::Failed), NextStep::PassOn);
}

#[test]
fn a_request_that_may_have_been_executed_is_never_reported_as_not_executed() {
    let now = Instant::now();
    let mut retry = RetryState::new(true, 2, now + Duration::from_secs(1));
    assert_eq!(
        retry.next_step(now, AttemptOutcome::Unknown, || true),
        NextStep::Again
    );
    // The second runner refuses, but the first may have executed the request.
    assert_eq!(
        retry.next_step(now, AttemptOutcome::NotRun, || true),
        NextStep::Unknown
    );
}

#[test]
fn attempts_deadline_and_budget_bound_retries() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
    let mut last_attempt = RetryState::new(true, 1, deadline);
    assert_eq!(
        last_attempt.next_step(now, AttemptOutcome::NotRun, || true),
        NextStep::Refuse
    );
    let mut past_deadline = RetryState::new(true, 3, deadline);
    assert_eq!(
        past_deadline.next_step(deadline, AttemptOutcome::NotRun, || true),
        NextStep::Refuse
    );
    let mut without_budget = RetryState::new(true, 3, deadline);
    assert_eq!(
        without_budget.next_step(now, AttemptOutcome::Unknown, || false),
        NextStep::Unknown
    );
    let mut unsent = RetryState::new(true, 1, deadline);
    let spend = || panic!("an attempt that was not sent needs no retry budget");
    assert_eq!(
        unsent.next_step(now, AttemptOutcome::NotSent, spend),
        NextStep::Again
    );
}

/// Four entries with uneven traffic use their whole budget. Together they must not
/// exceed the bound in any window.
#[test]
fn entries_together_stay_within_the_retry_bound() {
    const WINDOW: Duration = Duration::from_secs(10);
    const STEP: Duration = Duration::from_millis(50);
    const RATIO: f64 = 0.2;
    const FIXED_ALLOWANCE: f64 = 88.0;
    let start = Instant::now();
    let mut entries = vec![WindowedRetryBudget::new(RATIO, FIXED_ALLOWANCE, 4, WINDOW); 4];
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for tick in 0..1_200u32 {
        let now = start + STEP * tick;
        for (n, entry) in entries.iter_mut().enumerate() {
            if tick % (n as u32 + 1) == 0 {
                entry.record_request(now);
                requests.push(now);
            }
            while entry.try_retry(now) {
                retries.push(now);
            }
        }
    }
    let count_in_window = |times: &[Instant], from: Instant| {
        let matching = times
            .iter()
            .filter(|at| **at >= from && **at < from + WINDOW);
        matching.count() as f64
    };
    for tick in 0..1_000 {
        let from = start + STEP * tick;
        let bound = RATIO * count_in_window(&requests, from) + FIXED_ALLOWANCE;
        assert!(count_in_window(&retries, from) <= bound, "window {tick}");
    }
}

fn suspect(request: u128) -> [CrashSuspect; 1] {
    [CrashSuspect::Request(Fingerprint(request))]
}

fn is_blocked(tracker: &CrashTracker, now: Instant, suspects: &[CrashSuspect]) -> bool {
    tracker.blocked_by(now, suspects).is_some()
}

#[test]
fn a_request_that_crashes_two_runners_is_blocked_and_a_response_clears_it() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    let (poison, harmless) = (suspect(1), suspect(2));
    for runner in ["r1", "r2"] {
        tracker.clear(now, &harmless);
        tracker.record_broken_attempt(now, &poison, runner.into());
        tracker.record_broken_attempt(now, &harmless, runner.into());
    }
    for runner in ["r1", "r2"] {
        tracker.runner_lost(now, &runner.into());
    }
    assert!(is_blocked(&tracker, now, &poison));
    assert!(!is_blocked(&tracker, now, &harmless));
    let later = now + Duration::from_secs(61);
    assert!(
        !is_blocked(&tracker, later, &poison),
        "it may be sent again later"
    );
}

/// Two responses broke off although no runner crashed: callers must not be blocked
/// for a minute. A request that may have crashed two runners is blocked only until
/// it is known whether they crashed.
#[test]
fn broken_attempts_without_a_crash_block_a_request_for_seconds() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    let request = suspect(1);
    tracker.record_broken_attempt(now, &request, "r1".into());
    tracker.record_broken_attempt(now, &request, "r2".into());
    assert!(is_blocked(&tracker, now + Duration::from_secs(3), &request));
    assert!(!is_blocked(
        &tracker,
        now + Duration::from_secs(5),
        &request
    ));
}

#[test]
fn distant_broken_attempts_without_a_crash_do_not_block() {
    let now = Instant::now();
    let later = now + Duration::from_secs(10);
    let mut tracker = CrashTracker::default();
    let request = suspect(1);
    tracker.record_broken_attempt(now, &request, "r1".into());
    tracker.record_broken_attempt(later, &request, "r2".into());
    assert!(!is_blocked(&tracker, later, &request));
}

/// Guards against dividing the fixed allowance by a wrong number of entries: eight
/// entries each used a quarter of it and together sent twice the permitted retries.
#[test]
fn the_fixed_retry_allowance_is_divided_among_the_running_entries() {
    let now = Instant::now();
    let mut entry_count = EntryCount::default();
    assert_eq!(
        entry_count.get(now),
        8,
        "no leader has reported a count yet"
    );
    entry_count.update(now, 6);
    let mut budget = WindowedRetryBudget::new(0.2, 120.0, 4, Duration::from_secs(10));
    budget.set_entries(entry_count.get(now).into());
    let retries = (0..100).filter(|_| budget.try_retry(now)).count();
    assert!((1..=20).contains(&retries), "{retries}");
}

#[test]
fn a_larger_entry_count_is_used_for_a_minute() {
    let now = Instant::now();
    let at = |secs| now + Duration::from_secs(secs);
    let mut entry_count = EntryCount::default();
    entry_count.update(at(0), 6);
    entry_count.update(at(10), 5);
    entry_count.update(at(11), 0);
    assert_eq!(entry_count.get(at(50)), 6);
    assert_eq!(entry_count.get(at(61)), 5);
    assert_eq!(
        entry_count.get(at(500)),
        5,
        "the last count is used until another arrives"
    );
    entry_count.update(at(501), 8);
    assert_eq!(entry_count.get(at(501)), 8);
}

#[test]
fn a_retry_that_reaches_no_runner_is_given_back_to_the_budget() {
    let now = Instant::now();
    let mut budget = WindowedRetryBudget::new(0.0, 10.0, 4, Duration::from_secs(10));
    let mut retry = RetryState::new(true, 3, now + Duration::from_secs(1));
    let step = retry.next_step(now, AttemptOutcome::NotRun, || budget.try_retry(now));
    assert_eq!(step, NextStep::Again);
    // The runner that was to get it rests, and so do all others.
    let spend = || panic!("it has a retry already");
    retry.next_step(now, AttemptOutcome::NotSent, spend);
    assert!(retry.take_unused_retry());
    assert!(!retry.take_unused_retry(), "once");
    budget.refund_retry();
    let left = (0..10).filter(|_| budget.try_retry(now)).count();
    assert_eq!(
        left, 2,
        "as many as at first: ten for four entries, less the margin"
    );

    retry.next_step(now, AttemptOutcome::NotRun, || true);
    retry.record_sent();
    assert!(!retry.take_unused_retry(), "a runner got it");
}
