//! Which listed runners count as there.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::RunnerRegistry;
use wisteriawick_core::ids::RunnerId;

use crate::support::runner;

#[test]
fn entries_that_lapse_in_an_outage_of_the_store_are_kept_for_a_while() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut runner_registry = RunnerRegistry::default();
    runner_registry.store_responded(now);
    runner_registry.replace_all(now, vec![runner(0), runner(1)]);
    runner_registry.store_unreachable(at(3_000));
    runner_registry.store_responded(at(5_000));
    runner_registry.replace_all(at(5_000), vec![runner(0)]);
    assert_eq!(
        runner_registry.all().count(),
        2,
        "runner 1 may register again"
    );
    runner_registry.remove(at(5_100), &"r0".into());
    runner_registry.update(runner(1));
    assert_eq!(runner_registry.expire(at(7_300)), 1);
    let left: Vec<_> = runner_registry.all().map(|held| held.id.clone()).collect();
    assert_eq!(left, vec![RunnerId::from("r1")]);
}

#[test]
fn without_an_outage_a_removed_entry_is_gone() {
    let now = Instant::now();
    let mut runner_registry = RunnerRegistry::default();
    runner_registry.store_responded(now);
    runner_registry.replace_all(now, vec![runner(0)]);
    runner_registry.remove(now, &"r0".into());
    assert_eq!(runner_registry.all().count(), 0);
}
