//! Which runners are registered, also after a store outage.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::RunnerRegistry;
use wisteriawick_core::hosting::Era;
use wisteriawick_core::ids::RunnerId;

use crate::support::runner;

const ERA: Era = Era(1);

#[test]
fn records_that_expire_in_a_store_outage_are_kept_for_a_grace_period() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut runner_registry = RunnerRegistry::default();
    runner_registry.store_responded(now);
    runner_registry.replace_all(now, ERA, vec![runner(0), runner(1)]);
    runner_registry.store_unreachable(at(3_000));
    runner_registry.store_responded(at(5_000));
    runner_registry.replace_all(at(5_000), ERA, vec![runner(0)]);
    assert_eq!(
        runner_registry.all().count(),
        2,
        "runner 1 may still register again"
    );
    runner_registry.remove(at(5_100), &"r0".into());
    runner_registry.update(runner(1));
    assert_eq!(runner_registry.expire(at(7_300)), 1);
    let remaining: Vec<_> = runner_registry
        .all()
        .map(|runner| runner.id.clone())
        .collect();
    assert_eq!(remaining, vec![RunnerId::from("r1")]);
}

#[test]
fn without_an_outage_a_removed_record_is_dropped_at_once() {
    let now = Instant::now();
    let mut runner_registry = RunnerRegistry::default();
    runner_registry.store_responded(now);
    runner_registry.replace_all(now, ERA, vec![runner(0)]);
    runner_registry.remove(now, &"r0".into());
    assert_eq!(runner_registry.all().count(), 0);
}
