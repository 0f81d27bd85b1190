//! Maps changed behind a hold, over ranks whose orders get lost, are carried
//! out late or twice, and are refused; agents that die, freeze and come back;
//! groups that break and form again; several members acting at once.

mod actor;
mod rank;
mod world;

use crate::held::world::World;

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldFaults {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Share of orders that are lost before the rank.
    pub lost: f64,
    /// Share of orders that get no answer and are carried out seconds later.
    pub late: f64,
    /// Share of orders that are carried out twice.
    pub doubled: f64,
    /// Mean time between freezes of the leader, in milliseconds; zero for none.
    pub freeze_every_ms: u64,
    /// Mean time between deaths of the leader, in milliseconds; zero for none.
    pub kill_every_ms: u64,
    /// Mean time between breaks of the group, in milliseconds; zero for none.
    pub break_every_ms: u64,
}

impl HeldFaults {
    /// Returns a run without faults.
    pub fn none(seed: u64) -> Self {
        Self {
            seed,
            lost: 0.0,
            late: 0.0,
            doubled: 0.0,
            freeze_every_ms: 0,
            kill_every_ms: 0,
            break_every_ms: 0,
        }
    }
}

/// A part of the protocol that is left out, to show that the check sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldSabotage {
    /// Ranks are armed without a hold.
    NoHold,
    /// The pass gets leave before all ranks are armed.
    EarlyGo,
    /// A hold that somebody left is released without arming.
    ReleaseUnarmed,
}

/// What a run showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldReport {
    /// Passes that began with two maps.
    pub mixed_passes: u32,
    /// Changes of map that all ranks made.
    pub switches: u32,
    /// Passes that began.
    pub passes: u64,
    /// Longest time that the group stood still while it was whole, in
    /// milliseconds.
    pub longest_hold_ms: u64,
}

/// Runs the protocol for a time, with faults in all but the last part of it.
pub fn run_held(faults: HeldFaults, sabotage: Option<HeldSabotage>) -> HeldReport {
    World::new(faults, sabotage).run()
}
