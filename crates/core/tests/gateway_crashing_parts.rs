//! Which part of the prompts of several requests is held against them when runners crash.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::CrashSuspect;
use wisteriawick_core::gateway::CrashTracker;
use wisteriawick_core::ids::Fingerprint;
use wisteriawick_core::ids::PromptPart;

const SECOND: Duration = Duration::from_secs(1);
/// The part that crashes runners, and one that all requests share.
const DEADLY: u64 = 1;
const COMMON: u64 = 2;

/// Returns what a request has that may crash runners.
fn request(content: u128, parts: &[u64]) -> Vec<CrashSuspect> {
    let content = CrashSuspect::Request(Fingerprint(content));
    let parts = parts
        .iter()
        .map(|part| CrashSuspect::Part(PromptPart(*part)));
    std::iter::once(content).chain(parts).collect()
}

/// Crashes a runner that executes these requests.
fn crash(tracker: &mut CrashTracker, now: Instant, runner: &str, requests: &[Vec<CrashSuspect>]) {
    for request in requests {
        tracker.record_broken_attempt(now, request, runner.into());
    }
    tracker.runner_lost(now, &runner.into());
}

fn is_blocked(tracker: &CrashTracker, now: Instant, parts: &[u64]) -> bool {
    tracker
        .blocked_by(now, &request(u128::MAX, parts))
        .is_some()
}

#[test]
fn a_part_is_blocked_at_its_second_crash_and_sound_ones_beside_it_are_not() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    tracker.clear(start, &request(1, &[COMMON, 10]));
    crash(
        &mut tracker,
        start,
        "r0",
        &[request(2, &[COMMON, DEADLY]), request(3, &[COMMON, 10])],
    );
    let now = start + SECOND;
    crash(
        &mut tracker,
        now,
        "r1",
        &[request(4, &[COMMON, DEADLY]), request(5, &[COMMON, 11])],
    );
    assert!(is_blocked(&tracker, now, &[COMMON, DEADLY]));
    assert!(!is_blocked(&tracker, now, &[COMMON, 10]));
    assert!(!is_blocked(&tracker, now, &[COMMON, 11]));
}

/// A sound part was beside the deadly one twice, by chance, and no runner had executed it
/// before: the third crash explains the first two.
#[test]
fn a_part_whose_crashes_another_one_explains_is_released() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for (runner, content) in [("r0", 1), ("r1", 2)] {
        let requests = [request(content, &[DEADLY]), request(10 + content, &[20])];
        crash(&mut tracker, now, runner, &requests);
    }
    assert!(
        is_blocked(&tracker, now, &[DEADLY, 20]),
        "nothing tells them apart"
    );
    crash(&mut tracker, now, "r2", &[request(3, &[DEADLY])]);
    assert!(is_blocked(&tracker, now, &[DEADLY]));
    assert!(!is_blocked(&tracker, now, &[20]));
}

#[test]
fn a_response_clears_the_parts_of_its_request_everywhere() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    let mut other = CrashTracker::default();
    for (runner, content) in [("r0", 1), ("r1", 2)] {
        crash(&mut tracker, now, runner, &[request(content, &[20])]);
    }
    for note in tracker.take_notes() {
        other.merge(now, &note);
    }
    assert!(is_blocked(&other, now, &[20]));
    tracker.clear(now, &request(2, &[20]));
    for note in tracker.take_notes() {
        other.merge(now, &note);
    }
    assert!(!is_blocked(&tracker, now, &[20]));
    assert!(!is_blocked(&other, now, &[20]));
}

/// A switch or a rack takes many runners at one moment, and all that they execute is in
/// each of these crashes.
#[test]
fn parts_that_runners_had_executed_are_not_blocked_when_many_runners_are_lost_at_once() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    tracker.clear(start, &request(1, &[COMMON, 10]));
    let now = start + SECOND;
    for n in 0..8 {
        let requests = [request(10 + n, &[COMMON, 10]), request(20 + n, &[COMMON])];
        crash(&mut tracker, now, &format!("r{n}"), &requests);
    }
    assert!(!is_blocked(&tracker, now, &[COMMON]));
    assert!(!is_blocked(&tracker, now, &[10]));
}

#[test]
fn a_part_that_turns_deadly_after_it_is_trusted_is_blocked_by_the_fifth_crash() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    tracker.clear(start, &request(1, &[COMMON, DEADLY]));
    let mut crashes = 0;
    for n in 0..20 {
        let now = start + SECOND * (n as u32 + 1);
        if !is_blocked(&tracker, now, &[COMMON, DEADLY]) {
            let deadly = request(10 + n, &[COMMON, DEADLY]);
            crash(&mut tracker, now, &format!("r{n}"), &[deadly]);
            crashes += 1;
        }
        tracker.clear(now, &request(1_000 + n, &[COMMON]));
    }
    assert!(crashes <= 5, "{crashes} runners crashed");
}

/// The same request crashed two runners: its content may be the reason, or a part.
#[test]
fn a_part_is_not_blocked_for_the_crashes_of_one_request() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for runner in ["r0", "r1"] {
        crash(&mut tracker, now, runner, &[request(1, &[COMMON, DEADLY])]);
    }
    assert!(!is_blocked(&tracker, now, &[COMMON, DEADLY]));
    let same = request(1, &[COMMON, DEADLY]);
    assert!(tracker.blocked_by(now, &same).is_some());
    crash(&mut tracker, now, "r2", &[request(2, &[10, DEADLY])]);
    assert!(is_blocked(&tracker, now, &[11, DEADLY]));
    assert!(!is_blocked(&tracker, now, &[COMMON]));
}

/// Two parts are in the same crashes and no runner had executed either: requests with one
/// of them are sent, and their results tell which it was.
#[test]
fn of_two_parts_that_cannot_be_told_apart_each_may_be_tried_without_the_other() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for (runner, content) in [("r0", 1), ("r1", 2)] {
        crash(
            &mut tracker,
            now,
            runner,
            &[request(content, &[COMMON, DEADLY])],
        );
    }
    assert!(is_blocked(&tracker, now, &[COMMON, DEADLY]));
    assert!(!is_blocked(&tracker, now, &[COMMON, 10]));
    tracker.clear(now, &request(3, &[COMMON, 10]));
    assert!(!is_blocked(&tracker, now, &[COMMON]));
    assert!(is_blocked(&tracker, now, &[DEADLY]));
    assert!(is_blocked(&tracker, now, &[COMMON, DEADLY]));
}

/// One entry has seen a part executed, another has not and learns of it.
#[test]
fn an_entry_learns_that_a_part_is_trusted() {
    let now = Instant::now();
    let mut knowing = CrashTracker::default();
    let mut fresh = CrashTracker::default();
    knowing.clear(now, &request(1, &[COMMON]));
    for (runner, content) in [("r0", 2), ("r1", 3)] {
        crash(&mut fresh, now, runner, &[request(content, &[COMMON])]);
    }
    assert!(is_blocked(&fresh, now, &[COMMON]));
    for note in fresh.take_notes() {
        knowing.merge(now, &note);
    }
    for note in knowing.take_notes() {
        fresh.merge(now, &note);
    }
    assert!(!is_blocked(&fresh, now, &[COMMON]));
    assert!(!is_blocked(&knowing, now, &[COMMON]));
}

/// Runners begin to respond to what they were sent before the last crash was known.
#[test]
fn crashes_under_different_requests_with_one_part_add_up_over_entries() {
    let now = Instant::now();
    let mut first = CrashTracker::default();
    let mut second = CrashTracker::default();
    crash(&mut first, now, "r0", &[request(1, &[DEADLY])]);
    crash(&mut second, now, "r1", &[request(2, &[DEADLY])]);
    for note in first.take_notes() {
        second.merge(now, &note);
    }
    assert!(is_blocked(&second, now, &[DEADLY]));
    let notes = second.take_notes();
    assert!(notes.iter().any(|note| note.runners.len() == 2));
}

/// A request and a part both crash runners before anything has been executed, and what
/// they share is in all crashes: blocking it would refuse every request.
#[test]
fn a_part_that_nearly_all_requests_have_is_tried_again_soon() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for n in 0..12 {
        tracker.record_arrival(&request(100 + n, &[COMMON, 10]));
    }
    for (runner, requests) in [
        ("r0", [request(1, &[COMMON, 10])]),
        ("r1", [request(1, &[COMMON, 10])]),
        ("r2", [request(2, &[COMMON, DEADLY])]),
        ("r3", [request(3, &[COMMON, DEADLY])]),
    ] {
        crash(&mut tracker, now, runner, &requests);
    }
    let later = now + SECOND * 9;
    assert!(!is_blocked(&tracker, later, &[COMMON, 20]));
    assert!(
        is_blocked(&tracker, later, &[COMMON, 10]),
        "it would not tell the parts apart"
    );
    assert!(is_blocked(&tracker, later, &[COMMON, DEADLY]));
}

/// Passes what each process has to tell on to the other, until nothing is new.
fn exchange_notes(trackers: &mut [CrashTracker; 2], now: Instant) {
    for (from, to) in [(0, 1), (1, 0), (0, 1)] {
        for note in trackers[from].take_notes() {
            trackers[to].merge(now, &note);
        }
    }
}

/// Returns two processes that know of a request which crashed two runners, with a retry.
fn after_a_retry(now: Instant) -> [CrashTracker; 2] {
    let mut trackers = [CrashTracker::default(), CrashTracker::default()];
    for runner in ["r0", "r1"] {
        let deadly = request(1, &[COMMON, DEADLY]);
        crash(&mut trackers[0], now, runner, &[deadly]);
    }
    exchange_notes(&mut trackers, now);
    trackers
}

/// A request and its retry crashed two runners of two large groups. When these accepted
/// requests again, all others with its part were sent at once.
#[test]
fn after_a_request_and_its_retry_one_other_with_its_parts_is_tried() {
    let now = Instant::now();
    let [mut tracker, mut other] = after_a_retry(now);
    let second = request(2, &[COMMON, DEADLY]);
    let third = request(3, &[COMMON, DEADLY]);
    assert!(tracker.begin(now, &second, None).is_ok());
    assert!(tracker.begin(now, &third, None).is_err(), "one at a time");
    let sound = request(4, &[COMMON, 10]);
    assert!(tracker.begin(now, &sound, None).is_ok(), "it lacks a part");

    for note in tracker.take_notes() {
        other.merge(now, &note);
    }
    assert!(other.begin(now, &third, None).is_err(), "elsewhere too");

    crash(&mut tracker, now, "r2", std::slice::from_ref(&second));
    let later = now + 10 * SECOND;
    assert!(tracker.begin(later, &third, None).is_err(), "three crashes");
}

#[test]
fn a_trial_that_ends_well_lets_all_others_with_its_parts_go_on() {
    let now = Instant::now();
    let [mut tracker, _] = after_a_retry(now);
    let second = request(2, &[COMMON, DEADLY]);
    assert!(tracker.begin(now, &second, None).is_ok());
    tracker.clear(now, &second);
    for content in 3..9 {
        let next = request(content, &[COMMON, DEADLY]);
        assert!(tracker.begin(now, &next, None).is_ok());
    }
    let first = request(1, &[COMMON, DEADLY]);
    assert!(tracker.begin(now, &first, None).is_err(), "its content");
}

#[test]
fn of_two_trials_that_begin_at_the_same_time_one_goes_on() {
    let now = Instant::now();
    let mut trackers = after_a_retry(now);
    let requests = [request(2, &[COMMON, DEADLY]), request(3, &[COMMON, DEADLY])];
    let trials: Vec<_> = trackers
        .iter_mut()
        .zip(&requests)
        .map(|(tracker, request)| {
            let begun = tracker
                .begin(now, request, None)
                .expect("nothing known yet");
            begun.expect("a trial")
        })
        .collect();
    assert!(trials.iter().all(|trial| trial.is_announced()));
    exchange_notes(&mut trackers, now);
    let confirmed = |n: usize| trackers[n].confirm(now, &requests[n], trials[n]).is_ok();
    assert_eq!([confirmed(0), confirmed(1)], [true, false]);
}
