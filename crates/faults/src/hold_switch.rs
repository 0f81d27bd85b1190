//! A simulation of switches of the expert map behind a held pass.
//!
//! The agents run the production code of
//! [`HoldSwitch`](wisteriawick_core::maps::HoldSwitch); the ranks' engines are fakes.
//! Orders are lost, executed late or twice, or refused. The leader freezes, is killed
//! or is told to stop, and is replaced, the group breaks and forms again, and several members may
//! resolve a hold at once. The simulation counts the passes that begin with
//! different maps on different ranks, which must never happen.

mod agent;
mod rank;
mod simulation;

pub(crate) use crate::hold_switch::rank::RankEngine;
pub(crate) use crate::hold_switch::rank::SentOrder;
use crate::hold_switch::simulation::Simulation;

/// The rates of the faults that are injected into a run, and its seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HoldFaults {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Share of orders that are lost before they reach the rank.
    pub lost: f64,
    /// Share of orders whose outcome stays unknown and that are executed up to
    /// seconds later.
    pub late: f64,
    /// Share of orders that are delivered twice.
    pub duplicated: f64,
    /// Mean time between freezes of the leader, in milliseconds; zero for none.
    pub freeze_interval_ms: u64,
    /// Mean time between kills of the leader, in milliseconds; zero for none.
    pub kill_interval_ms: u64,
    /// Mean time between stops of the leader, in milliseconds; zero for none. Unlike a
    /// killed one, a leader that is told to stop may finish its change.
    pub stop_interval_ms: u64,
    /// Mean time between losses of a link from the leader to a member whose agent ends
    /// while its rank continues, in milliseconds; zero for none.
    pub unlink_interval_ms: u64,
    /// Mean time between breaks of the group, in milliseconds; zero for none.
    pub break_interval_ms: u64,
}

impl HoldFaults {
    /// Returns rates without any faults.
    pub fn none(seed: u64) -> Self {
        Self {
            seed,
            lost: 0.0,
            late: 0.0,
            duplicated: 0.0,
            freeze_interval_ms: 0,
            kill_interval_ms: 0,
            stop_interval_ms: 0,
            unlink_interval_ms: 0,
            break_interval_ms: 0,
        }
    }
}

/// A deliberate defect in the protocol, to show that the check detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldMutation {
    /// Ranks are armed for a pass that is not held.
    NoHold,
    /// The pass is released before all ranks are armed.
    EarlyGo,
    /// A hold that another agent left is released without arming the ranks.
    ReleaseUnarmed,
    /// A leader that is told to stop ends at once, whatever it has begun.
    EndAtOnce,
}

/// How often a leader was told to stop, by the state of its change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopCounts {
    /// No pass was held, and no hold was ordered.
    pub without_hold: u32,
    /// The hold was ordered and its outcome not known.
    pub hold_ordered: u32,
    /// The pass was held, and not all ranks were armed.
    pub unarmed: u32,
    /// All ranks were armed, and the release was not known to have taken effect.
    pub unreleased: u32,
}

/// The result of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HoldReport {
    /// Number of passes that began with different maps on different ranks.
    pub mixed_map_passes: u32,
    /// Number of map switches that a leader saw complete on all ranks.
    pub switches: u32,
    /// Number of passes that began.
    pub passes: u64,
    /// Longest time from the beginning of a pass to that of the next while the group was
    /// complete, in milliseconds.
    pub longest_hold_ms: u64,
    /// When leaders were told to stop.
    pub stops: StopCounts,
    /// Number of leaders that ended after they were told to stop, while a pass was held.
    pub holds_left: u32,
}

/// Runs the simulation. No faults are injected in its last seconds, so that the group
/// can recover.
pub fn run_hold_switch(faults: HoldFaults, mutation: Option<HoldMutation>) -> HoldReport {
    Simulation::new(faults, mutation).run()
}
