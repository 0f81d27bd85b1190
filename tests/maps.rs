//! Expert maps over sockets: a drift changes the map at one step for all
//! runners, and an engine that dies takes up what its group runs.

mod support;

use std::collections::BTreeSet;

use support::Fixture;
use support::eventually;
use support::small_sizes;
use wisteriawick::command::dev::FleetSpec;
use wisteriawick::command::dev::GroupSpec;
use wisteriawick_standins::engine::LockstepGroup;

const EXPERTS: usize = 8;
const LAYERS: usize = 2;

fn grouped_sizes() -> FleetSpec {
    let mut sizes = small_sizes();
    sizes.services[0].group = Some(GroupSpec {
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
    sizes
}

fn popularity(hot: usize) -> Vec<Vec<f64>> {
    let share = |expert| if expert == hot { 6.0 } else { 1.0 };
    vec![(0..EXPERTS).map(share).collect(); LAYERS]
}

/// Returns the maps that ran, after checking that no step mixed two.
fn maps_run(group: &LockstepGroup) -> BTreeSet<u64> {
    let mut maps = BTreeSet::new();
    for step in group.steps() {
        let used: BTreeSet<u64> = step.maps.iter().copied().collect();
        assert_eq!(used.len(), 1, "step {} ran with {:?}", step.step, step.maps);
        maps.extend(used);
    }
    maps
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_drift_changes_the_map_at_one_step_and_a_dead_engine_takes_it_up() {
    let fixture = Fixture::start(grouped_sizes()).await;
    let group = fixture.fleet.groups[0].lockstep.clone();
    group.set_popularity(popularity(5));
    eventually(|| maps_run(&group).len() > 1).await;

    fixture.engine("llm-2").kill();
    let before = group.steps().len();
    eventually(|| group.steps().len() > before + 20).await;
    group.set_popularity(popularity(2));
    let known = maps_run(&group).len();
    eventually(|| maps_run(&group).len() > known).await;
    fixture.stop();
}
