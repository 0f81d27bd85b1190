//! Expert maps of a lockstep group, over sockets: when the loads of the experts drift,
//! all runners change the map at the same step, and an engine that died and restarted
//! adopts the map that its group runs.

mod support;

use std::collections::BTreeSet;

use support::Fixture;
use support::eventually;
use support::small_fleet;
use wisteriawick::command::dev::FleetSpec;
use wisteriawick::command::dev::GroupSpec;
use wisteriawick_standins::engine::LockstepGroup;

const EXPERTS: usize = 8;
const LAYERS: usize = 2;

/// Returns the specification of a small fleet whose model service is one lockstep group.
fn fleet_with_group() -> FleetSpec {
    let mut spec = small_fleet();
    spec.services[0].group = Some(GroupSpec {
        runners: 3,
        ranks_per_runner: 2,
        experts: EXPERTS,
        layers: LAYERS,
        slots: 3,
        expert_bytes: 1_000_000,
        skew_weight: 1_000.0,
        move_cost: 0.1,
        plan_every_ms: 200,
        step_ms: 5,
    });
    spec
}

/// Returns loads of which one expert has six times as much as each other one.
fn popularity(hot: usize) -> Vec<Vec<f64>> {
    let share = |expert| if expert == hot { 6.0 } else { 1.0 };
    vec![(0..EXPERTS).map(share).collect(); LAYERS]
}

/// Returns the maps that the group ran, after checking that all runners used the
/// same one in each step.
fn maps_used(group: &LockstepGroup) -> BTreeSet<u64> {
    let mut maps = BTreeSet::new();
    for step in group.steps() {
        let used: BTreeSet<u64> = step.maps.iter().copied().collect();
        assert_eq!(used.len(), 1, "step {} mixed {:?}", step.step, step.maps);
        maps.extend(used);
    }
    maps
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_load_drift_changes_the_map_at_one_step_and_a_restarted_engine_adopts_it() {
    let fixture = Fixture::start(fleet_with_group()).await;
    let group = fixture.fleet.groups[0].lockstep.clone();
    group.set_popularity(popularity(5));
    eventually(|| maps_used(&group).len() > 1).await;

    fixture.engine("llm-2").kill();
    let steps_before = group.steps().len();
    eventually(|| group.steps().len() > steps_before + 20).await;
    group.set_popularity(popularity(2));
    let maps_before = maps_used(&group).len();
    eventually(|| maps_used(&group).len() > maps_before).await;
    fixture.stop();
}
