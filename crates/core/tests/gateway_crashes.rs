//! What an entry holds against requests under which runners crash, and what others learn.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::CrashNote;
use wisteriawick_core::gateway::CrashSuspect;
use wisteriawick_core::gateway::CrashTracker;
use wisteriawick_core::gateway::RunnerStart;
use wisteriawick_core::ids::Fingerprint;

const DEADLY: &[CrashSuspect] = &[CrashSuspect::Request(Fingerprint(1))];
const LONGEST_BLOCK: Duration = Duration::from_secs(24 * 3_600);

fn crash(tracker: &mut CrashTracker, now: Instant, runner: &str) {
    crash_start(tracker, now, &runner.into());
}

fn crash_start(tracker: &mut CrashTracker, now: Instant, start: &RunnerStart) {
    tracker.record_broken_attempt(now, DEADLY, start.clone());
    tracker.runner_lost(now, start);
}

/// Returns a start of a runner that keeps its identifier.
fn start_of(runner: &str, unix_ms: u64) -> RunnerStart {
    RunnerStart {
        unix_ms: Some(unix_ms),
        ..runner.into()
    }
}

fn is_blocked(tracker: &CrashTracker, now: Instant) -> bool {
    tracker.blocked_by(now, DEADLY).is_some()
}

fn pass_on(from: &mut CrashTracker, to: &mut CrashTracker, now: Instant) -> usize {
    let notes = from.take_notes();
    for note in &notes {
        to.merge(now, note);
    }
    notes.len()
}

#[test]
fn each_further_crash_blocks_a_request_for_longer() {
    let mut now = Instant::now();
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, now, "r0");
    assert!(
        tracker.begin(now, DEADLY, None).is_ok(),
        "one crash may be chance"
    );
    let mut last = Duration::ZERO;
    for n in 1..20 {
        crash(&mut tracker, now, &format!("r{n}"));
        let blocked_for = tracker.blocked_by(now, DEADLY).expect("blocked").1;
        assert!(blocked_for > last || blocked_for >= Duration::from_secs(24 * 3600));
        last = blocked_for;
        now += blocked_for;
        assert!(!is_blocked(&tracker, now), "the block ends");
    }
}

/// Guards against review/8: a runner that starts again under its identifier counted once.
#[test]
fn each_crash_of_a_runner_that_keeps_its_identifier_blocks_for_longer() {
    for runners in [1, 2, 3, 5] {
        let mut now = Instant::now();
        let mut entries = [CrashTracker::default(), CrashTracker::default()];
        let mut last = Duration::ZERO;
        for n in 0..20u64 {
            let runner = format!("r{}", n % runners);
            let [tracker, other] = &mut entries;
            assert!(tracker.begin(now, DEADLY, None).is_ok(), "crash {n}");
            crash_start(tracker, now, &start_of(&runner, n));
            pass_on(tracker, other, now);
            if n == 0 {
                continue;
            }
            let blocked_for = tracker.blocked_by(now, DEADLY).expect("blocked").1;
            assert!(
                blocked_for > last || blocked_for == LONGEST_BLOCK,
                "crash {n}"
            );
            assert_eq!(
                other.blocked_by(now, DEADLY),
                tracker.blocked_by(now, DEADLY)
            );
            last = blocked_for;
            now += blocked_for;
            entries.reverse();
        }
        assert_eq!(last, LONGEST_BLOCK);
    }
}

#[test]
fn a_request_that_crashes_few_runners_for_an_hour_crashes_them_a_handful_of_times() {
    for runners in [1, 2, 3] {
        let begin = Instant::now();
        let mut entries = [CrashTracker::default(), CrashTracker::default()];
        let mut crashes = 0;
        for second in 0..3_600u64 {
            let now = begin + Duration::from_secs(second);
            let [tracker, other] = &mut entries;
            if tracker.begin(now, DEADLY, None).is_ok() {
                let runner = format!("r{}", crashes % runners);
                crash_start(tracker, now, &start_of(&runner, second));
                crashes += 1;
            }
            pass_on(tracker, other, now);
            entries.reverse();
        }
        assert!(crashes <= 6, "{runners} runners: {crashes} crashes");
    }
}

/// Guards against the cause of review/8 where no restart is known: the store is silent, or
/// states no time of a start.
#[test]
fn crashes_of_one_start_count_again_if_they_are_seconds_apart() {
    for start in [start_of("r0", 1), "r0".into()] {
        let mut now = Instant::now();
        let mut tracker = CrashTracker::default();
        let mut other = CrashTracker::default();
        for n in 0..20 {
            crash_start(&mut tracker, now, &start);
            pass_on(&mut tracker, &mut other, now);
            let blocked_for = tracker.blocked_by(now, DEADLY).map(|(_, time)| time);
            assert_eq!(blocked_for.is_some(), n > 0, "crash {n}");
            assert_eq!(
                other.blocked_by(now, DEADLY).map(|(_, time)| time),
                blocked_for
            );
            now += blocked_for.unwrap_or(Duration::from_secs(5));
        }
        let blocked_for = tracker.blocked_by(now - Duration::from_secs(1), DEADLY);
        assert_eq!(
            blocked_for.map(|(_, time)| time),
            Some(Duration::from_secs(1))
        );
    }
}

#[test]
fn one_crash_counts_once_however_many_attempts_and_entries_see_it() {
    let now = Instant::now();
    let start = start_of("r0", 7);
    let mut entries = [CrashTracker::default(), CrashTracker::default()];
    for tracker in &mut entries {
        for ms in [0, 300, 900] {
            let at = now + Duration::from_millis(ms);
            tracker.record_broken_attempt(at, DEADLY, start.clone());
        }
        tracker.runner_lost(now + Duration::from_secs(1), &start);
        // The store reports it too, after an attempt that noticed late.
        let later = now + Duration::from_millis(3_500);
        tracker.record_broken_attempt(later, DEADLY, start.clone());
        tracker.runner_lost(later, &start);
    }
    let [first, second] = &mut entries;
    let later = now + Duration::from_secs(4);
    pass_on(first, second, later);
    pass_on(second, first, later);
    assert!(!is_blocked(first, later) && !is_blocked(second, later));
}

#[test]
fn a_crash_of_an_earlier_start_proves_nothing_of_a_later_one() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    tracker.record_broken_attempt(now, DEADLY, start_of("r0", 2));
    assert!(tracker.runner_lost(now, &start_of("r0", 1)).is_empty());
    assert_eq!(tracker.runner_lost(now, &start_of("r0", 2)), DEADLY);
}

/// A trial ends with the crash of its runner, however many crashes there were before.
#[test]
fn a_trial_allows_no_second_attempt_after_a_crash() {
    let mut now = Instant::now();
    let mut tracker = CrashTracker::default();
    for n in 0..20 {
        let trial = tracker.begin(now, DEADLY, None).expect("no block");
        crash_start(&mut tracker, now, &start_of("r0", n));
        if n > 0 {
            assert!(tracker.begin(now, DEADLY, trial).is_err(), "crash {n}");
        }
        now += LONGEST_BLOCK;
    }
}

/// A request resent every second for an hour ends a handful of runners.
#[test]
fn a_request_that_is_resent_for_an_hour_ends_a_handful_of_runners() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    let mut crashes = 0;
    for second in 0..3_600 {
        let now = start + Duration::from_secs(second);
        if tracker.begin(now, DEADLY, None).is_ok() {
            crash(&mut tracker, now, &format!("r{second}"));
            crashes += 1;
        }
    }
    assert!(crashes <= 6, "{crashes} runners crashed");
}

#[test]
fn after_a_block_one_attempt_at_a_time_tells_whether_runners_still_crash() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    let mut other = CrashTracker::default();
    crash(&mut tracker, now, "r0");
    crash(&mut tracker, now, "r1");
    pass_on(&mut tracker, &mut other, now);
    let later = now + tracker.blocked_by(now, DEADLY).expect("blocked").1;
    let later = later + Duration::from_secs(1);
    let trial = tracker.begin(later, DEADLY, None).expect("a trial");
    assert!(tracker.begin(later, DEADLY, None).is_err(), "one at a time");
    let again = tracker.begin(later, DEADLY, trial);
    assert_eq!(again, Ok(trial), "its own retry");
    pass_on(&mut tracker, &mut other, later);
    assert!(other.begin(later, DEADLY, None).is_err(), "elsewhere too");

    tracker.clear(later, DEADLY);
    pass_on(&mut tracker, &mut other, later);
    assert!(tracker.begin(later, DEADLY, None).is_ok());
    assert!(other.begin(later, DEADLY, None).is_ok());
}

#[test]
fn crashes_that_two_entries_saw_add_up_and_notes_come_to_an_end() {
    let now = Instant::now();
    let mut first = CrashTracker::default();
    let mut second = CrashTracker::default();
    crash(&mut first, now, "r0");
    crash(&mut second, now, "r1");
    let from_second = second.take_notes();
    pass_on(&mut first, &mut second, now);
    for note in &from_second {
        first.merge(now, note);
    }
    assert!(is_blocked(&first, now));
    assert!(is_blocked(&second, now));
    let mut rounds = 0;
    while pass_on(&mut first, &mut second, now) + pass_on(&mut second, &mut first, now) > 0 {
        rounds += 1;
        assert!(rounds < 4, "the same is told again and again");
    }
}

#[test]
fn a_process_that_begins_learns_all_from_another_one() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, now, "r0");
    crash(&mut tracker, now, "r1");
    let mut fresh = CrashTracker::default();
    for note in tracker.to_notes(now) {
        fresh.merge(now, &note);
    }
    assert_eq!(
        fresh.blocked_by(now, DEADLY),
        tracker.blocked_by(now, DEADLY)
    );
}

#[test]
fn broken_connections_to_runners_that_live_block_a_request_for_seconds_and_tell_nobody() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for runner in ["r0", "r1", "r2"] {
        tracker.record_broken_attempt(now, DEADLY, runner.into());
    }
    assert!(is_blocked(&tracker, now + Duration::from_secs(3)));
    assert!(!is_blocked(&tracker, now + Duration::from_secs(5)));
    assert!(tracker.take_notes().is_empty(), "no runner has crashed");
}

#[test]
fn an_attempt_that_breaks_after_its_runner_is_known_to_have_crashed_counts() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for runner in ["r0", "r1"] {
        tracker.runner_lost(now, &runner.into());
        tracker.record_broken_attempt(now, DEADLY, runner.into());
    }
    assert!(is_blocked(&tracker, now));
}

#[test]
fn what_is_known_of_crashes_is_bounded_and_keeps_the_worst() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, now, "r0");
    crash(&mut tracker, now, "r1");
    for n in 0..20_000 {
        tracker.merge(
            now,
            &CrashNote {
                suspect: CrashSuspect::Request(Fingerprint(100 + n)),
                generation: 0,
                moments: 1,
                runners: vec!["r0".into()],
                further: 0,
                blocked_for: Duration::ZERO,
                is_trusted: false,
                trial: None,
            },
        );
        tracker.take_notes();
    }
    assert!(tracker.to_notes(now).len() <= 4_096);
    assert!(is_blocked(&tracker, now));
}

/// Notes of a crash and of its clearing cross each other on the way through a leader, and
/// processes passed both on for ever, more of them each time.
#[test]
fn notes_that_cross_each_other_come_to_an_end() {
    let now = Instant::now();
    let mut leader = CrashTracker::default();
    let mut entries: Vec<CrashTracker> = (0..4).map(|_| CrashTracker::default()).collect();
    crash(&mut entries[0], now, "r0");
    crash(&mut entries[1], now, "r1");
    let known = entries[0].to_notes(now);
    entries[2].merge(now, &known[0]);
    entries[2].clear(now, DEADLY);
    let mut in_flight: Vec<CrashNote> = entries.iter_mut().flat_map(|e| e.take_notes()).collect();
    for round in 0.. {
        assert!(round < 20, "{} notes are on their way", in_flight.len());
        for note in in_flight.drain(..) {
            leader.merge(now, &note);
        }
        let passed_on = leader.take_notes();
        for entry in &mut entries {
            for note in &passed_on {
                entry.merge(now, note);
            }
            in_flight.extend(entry.take_notes());
        }
        if passed_on.is_empty() {
            break;
        }
    }
    let agreed = leader.blocked_by(now, DEADLY).is_some();
    for entry in &entries {
        assert_eq!(is_blocked(entry, now), agreed, "all agree");
    }
}
