//! What a request may do: routes and keys, repeats, budgets, strikes.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::collections::HashMap;
use wisteriawick_core::gateway::AttemptOutcome;
use wisteriawick_core::gateway::CallerLimits;
use wisteriawick_core::gateway::CrashTracker;
use wisteriawick_core::gateway::Declaration;
use wisteriawick_core::gateway::Denied;
use wisteriawick_core::gateway::EntryCount;
use wisteriawick_core::gateway::LatestDeclaration;
use wisteriawick_core::gateway::NextStep;
use wisteriawick_core::gateway::RetryPolicy;
use wisteriawick_core::gateway::RetryState;
use wisteriawick_core::gateway::Route;
use wisteriawick_core::gateway::Tenancy;
use wisteriawick_core::gateway::WeightedService;
use wisteriawick_core::gateway::WindowedRetryBudget;
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
fn the_longest_prefix_of_the_host_takes_a_request() {
    let held = declaration(1, vec![route("short", "/a/"), route("long", "/a/b/")]);
    let taken = |path: &str| {
        let route_match = held.match_request("A.Example", path, Some("key"));
        route_match.map(|found| found.route.name.clone())
    };
    assert_eq!(taken("/a/b/c").as_deref(), Ok("long"));
    assert_eq!(taken("/a/bc").as_deref(), Ok("short"));
    assert_eq!(taken("/b/"), Err(Denied::NoRoute));
    let other_host = held.match_request("b.example", "/a/", Some("key"));
    assert_eq!(other_host.err(), Some(Denied::NoRoute));
}

#[test]
fn a_key_that_no_workspace_holds_is_denied_and_anonymous_routes_need_none() {
    let open = Route {
        allows_anonymous: true,
        ..route("open", "/open/")
    };
    let held = declaration(1, vec![route("shut", "/a/"), open]);
    for key in [None, Some("other")] {
        let denied = held.match_request("a.example", "/a/", key);
        assert_eq!(denied.err(), Some(Denied::UnknownKey));
        assert!(held.match_request("a.example", "/open/", key).is_ok());
    }
    let route_match = held
        .match_request("a.example", "/a/", Some("key"))
        .expect("held");
    assert_eq!(route_match.priority(), 0, "the workspace's rank goes first");
}

#[test]
fn a_route_is_split_by_weight() {
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
fn a_declaration_never_goes_back() {
    let mut latest_declaration = LatestDeclaration::default();
    assert!(latest_declaration.update(declaration(7, vec![])));
    assert!(!latest_declaration.update(declaration(7, vec![route("again", "/")])));
    assert!(
        !latest_declaration.update(declaration(3, vec![])),
        "a stale read"
    );
    assert!(
        latest_declaration.update(declaration(12, vec![])),
        "numbers grow unevenly"
    );
    assert_eq!(
        latest_declaration.get().map(|held| held.version()),
        Some(12)
    );
}

#[test]
fn a_request_that_runs_at_most_once_is_sent_again_only_on_evidence() {
    let now = Instant::now();
    let plan = RetryState::new(false, 3, now + Duration::from_secs(1));
    let next = |outcome| {
        let mut plan = plan;
        plan.next_step(now, outcome, || true)
    };
    assert_eq!(next(AttemptOutcome::NotSent), NextStep::Again);
    assert_eq!(next(AttemptOutcome::NotRun), NextStep::Again);
    assert_eq!(next(AttemptOutcome::Unknown), NextStep::Unknown);
    assert_eq!(next(AttemptOutcome::Failed), NextStep::PassOn);
}

#[test]
fn not_run_is_never_said_of_a_request_that_may_have_run() {
    let now = Instant::now();
    let mut plan = RetryState::new(true, 2, now + Duration::from_secs(1));
    assert_eq!(
        plan.next_step(now, AttemptOutcome::Unknown, || true),
        NextStep::Again
    );
    // The second runner refuses; the first may have run it all the same.
    assert_eq!(
        plan.next_step(now, AttemptOutcome::NotRun, || true),
        NextStep::Unknown
    );
}

#[test]
fn attempts_time_and_budget_bound_what_is_sent_again() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
    let mut last = RetryState::new(true, 1, deadline);
    assert_eq!(
        last.next_step(now, AttemptOutcome::NotRun, || true),
        NextStep::Refuse
    );
    let mut late = RetryState::new(true, 3, deadline);
    assert_eq!(
        late.next_step(deadline, AttemptOutcome::NotRun, || true),
        NextStep::Refuse
    );
    let mut poor = RetryState::new(true, 3, deadline);
    assert_eq!(
        poor.next_step(now, AttemptOutcome::Unknown, || false),
        NextStep::Unknown
    );
    let mut unsent = RetryState::new(true, 1, deadline);
    let spend = || panic!("what was not sent costs nothing");
    assert_eq!(
        unsent.next_step(now, AttemptOutcome::NotSent, spend),
        NextStep::Again
    );
}

/// Four entries with uneven traffic spend all they may: in no window do they
/// exceed the bound together.
#[test]
fn entries_keep_the_bound_on_repeats_together() {
    const WINDOW: Duration = Duration::from_secs(10);
    const STEP: Duration = Duration::from_millis(50);
    const RATIO: f64 = 0.2;
    const EXTRA: u32 = 88;
    let start = Instant::now();
    let mut entries = vec![WindowedRetryBudget::new(RATIO, EXTRA, 4, WINDOW); 4];
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    for tick in 0..1_200u32 {
        let now = start + STEP * tick;
        for (at, entry) in entries.iter_mut().enumerate() {
            if tick % (at as u32 + 1) == 0 {
                entry.record_request(now);
                requests.push(now);
            }
            while entry.try_retry(now) {
                repeats.push(now);
            }
        }
    }
    let within = |times: &[Instant], from: Instant| {
        let held = times
            .iter()
            .filter(|at| **at >= from && **at < from + WINDOW);
        held.count() as f64
    };
    for tick in 0..1_000 {
        let from = start + STEP * tick;
        let bound = RATIO * within(&requests, from) + f64::from(EXTRA);
        assert!(within(&repeats, from) <= bound, "window {tick}");
    }
}

#[test]
fn a_request_that_crashes_two_runners_is_stopped_and_an_answer_clears_it() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    let (bad, good) = (Fingerprint(1), Fingerprint(2));
    for runner in ["r1", "r2"] {
        tracker.clear(good);
        tracker.record_broken_attempt(now, bad, runner.into());
        tracker.record_broken_attempt(now, good, runner.into());
    }
    for runner in ["r1", "r2"] {
        tracker.runner_lost(now, &runner.into());
    }
    assert!(tracker.is_blocked(now, bad));
    assert!(!tracker.is_blocked(now, good));
    let later = now + Duration::from_secs(61);
    assert!(!tracker.is_blocked(later, bad), "it is tried again later");
}

/// Two answers of a lookup broke off by themselves: nobody may wait a minute
/// for the next. What may have crashed two runners is held until it is known.
#[test]
fn answers_that_broke_off_without_a_crash_hold_a_request_for_seconds() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    let request = Fingerprint(1);
    tracker.record_broken_attempt(now, request, "r1".into());
    tracker.record_broken_attempt(now, request, "r2".into());
    assert!(tracker.is_blocked(now + Duration::from_secs(3), request));
    assert!(!tracker.is_blocked(now + Duration::from_secs(5), request));
}

#[test]
fn strikes_that_are_far_apart_do_not_add_up_without_a_crash() {
    let now = Instant::now();
    let later = now + Duration::from_secs(10);
    let mut tracker = CrashTracker::default();
    let request = Fingerprint(1);
    tracker.record_broken_attempt(now, request, "r1".into());
    tracker.record_broken_attempt(later, request, "r2".into());
    assert!(!tracker.is_blocked(later, request));
}

/// Eight entries each took a quarter of the fixed number, and together sent
/// twice as many repeats as a service takes.
#[test]
fn the_fixed_part_of_the_retry_budget_is_divided_by_the_entries_there_are() {
    let now = Instant::now();
    let mut entry_count = EntryCount::default();
    assert_eq!(entry_count.get(now), 8, "nobody told yet");
    entry_count.update(now, 6);
    let mut budget = WindowedRetryBudget::new(0.2, 120, 4, Duration::from_secs(10));
    budget.set_entries(entry_count.get(now).into());
    let repeats = (0..100).filter(|_| budget.try_retry(now)).count();
    assert!((1..=20).contains(&repeats), "{repeats}");
}

#[test]
fn entries_that_were_cut_off_count_for_a_minute() {
    let now = Instant::now();
    let at = |secs| now + Duration::from_secs(secs);
    let mut entry_count = EntryCount::default();
    entry_count.update(at(0), 6);
    entry_count.update(at(10), 5);
    entry_count.update(at(11), 0);
    assert_eq!(entry_count.get(at(50)), 6);
    assert_eq!(entry_count.get(at(61)), 5);
    assert_eq!(entry_count.get(at(500)), 5, "the last word holds");
    entry_count.update(at(501), 8);
    assert_eq!(entry_count.get(at(501)), 8);
}
