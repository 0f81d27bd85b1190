//! What attempts that broke at about the same time have in common.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::BrokenTogether;
use wisteriawick_core::gateway::CrashSuspect;
use wisteriawick_core::gateway::GroupRank;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::hosting::ListedState;
use wisteriawick_core::ids::PromptPart;

/// Time after which attempts no longer break together with the first.
const LATER: Duration = Duration::from_millis(600);

fn runner(id: &str, place: &str) -> ListedRunner {
    ListedRunner {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        place: place.into(),
        slots: 12,
        state: ListedState::Ready,
        cold_remaining: Duration::ZERO,
        sequence: None,
        started_unix_ms: None,
    }
}

fn position(group: &str, rank: usize) -> GroupRank {
    GroupRank {
        group: Arc::from(group),
        rank,
    }
}

fn parts(parts: &[u64]) -> Vec<CrashSuspect> {
    let parts = parts.iter();
    parts
        .map(|part| CrashSuspect::Part(PromptPart(*part)))
        .collect()
}

#[test]
fn attempts_that_share_a_group_and_a_part_are_summed_up_in_one_line() {
    let start = Instant::now();
    let mut broken = BrokenTogether::default();
    for rank in 0..40 {
        let runner = runner(&format!("i-{rank}"), "here");
        let now = start + Duration::from_millis(rank as u64);
        let suspects = parts(&[7, 100 + rank as u64]);
        broken.record(now, &runner, Some(&position("g", rank)), &suspects);
    }
    assert_eq!(
        broken.take_summary(start + LATER / 2),
        None,
        "others may follow"
    );
    let summary = broken.take_summary(start + LATER).expect("many broke");
    assert_eq!(summary.attempts, 40);
    assert_eq!(summary.runner, None, "each was at another runner");
    assert_eq!(summary.group.as_deref(), Some("g"));
    assert_eq!(summary.place, Some("here".into()));
    assert_eq!(summary.suspects, parts(&[7]));
    assert_eq!(broken.take_summary(start + LATER), None, "summed up once");
}

#[test]
fn attempts_that_share_only_their_runner_name_it() {
    let start = Instant::now();
    let mut broken = BrokenTogether::default();
    for part in 0..3 {
        broken.record(start, &runner("i-1", "here"), None, &parts(&[part]));
    }
    let summary = broken.take_summary(start + LATER).expect("three broke");
    assert_eq!(summary.runner, Some("i-1".into()));
    assert_eq!(summary.group, None);
    assert!(summary.suspects.is_empty());
}

#[test]
fn what_one_attempt_lacks_is_not_in_common_though_later_ones_agree() {
    let start = Instant::now();
    let mut broken = BrokenTogether::default();
    broken.record(start, &runner("i-1", "here"), Some(&position("g", 1)), &[]);
    broken.record(start, &runner("i-2", "there"), None, &parts(&[7]));
    broken.record(
        start,
        &runner("i-2", "there"),
        Some(&position("g", 2)),
        &parts(&[7]),
    );
    let summary = broken.take_summary(start + LATER).expect("three broke");
    assert_eq!(summary.runner, None);
    assert_eq!(summary.group, None);
    assert_eq!(summary.place, None);
    assert!(summary.suspects.is_empty());
}

#[test]
fn a_few_attempts_and_those_far_apart_are_not_summed_up() {
    let start = Instant::now();
    let mut broken = BrokenTogether::default();
    for n in 0..6 {
        let now = start + LATER * n;
        assert_eq!(broken.take_summary(now), None);
        broken.record(now, &runner("i-1", "here"), None, &[]);
    }
}
