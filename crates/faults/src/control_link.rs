//! A simulation of a group whose leader has a slow network link.
//!
//! The members report states and counts of expert choices to the leader, which plans
//! expert maps and changes the group to them, with the production code of
//! [`HoldSwitch`](wisteriawick_core::maps::HoldSwitch), the schedules and budgets of
//! reports, and the encoding of maps. All messages to the leader, and all from it, pass
//! through a queue that is emptied at the link's rate. The simulation measures by the size
//! of the group how full the link is, how long passes wait for a held change and how soon
//! a shift of popularity leads to a better map. Engines and links are fakes; what the
//! faults of orders do is in [`run_hold_switch`](crate::run_hold_switch).

mod group;
mod queue;

use crate::control_link::group::Group;

/// The shape of a group and the rate of its leader's link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkedGroup {
    /// Number of ranks.
    pub ranks: usize,
    /// Sets of layers.
    pub sets: usize,
    /// Experts of each set.
    pub experts: usize,
    /// Experts that a rank has room for in each set.
    pub slots: usize,
    /// Rate of the leader's link in each direction, in megabits per second.
    pub megabits: f64,
    /// Times, in milliseconds, between which nothing passes the link: the queue of an
    /// outage arrives at its end.
    pub outage_ms: Option<(u64, u64)>,
}

/// A deliberate defect, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMutation {
    /// Every rank reports its counts at every pass.
    CountsWithoutBudget,
    /// An order names the whole map, and is repeated until its effect shows.
    WholeMaps,
    /// A reading counts as made when it arrives.
    WindowByArrival,
}

/// The result of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkReport {
    /// Changes of the map that the leader saw complete.
    pub switches: usize,
    /// Times from when the leader knew of a hold to the release of its pass, in
    /// milliseconds, in rising order.
    pub holds_ms: Vec<u64>,
    /// Time for which passes that were due did not begin, in milliseconds.
    pub stood_ms: u64,
    /// For each shift of popularity, the time until a map was in use that is clearly
    /// better than the one before, in milliseconds.
    pub reactions_ms: Vec<u64>,
    /// Largest share of the link that messages to the leader took in a second.
    pub received_share: f64,
    /// As [`received_share`](Self::received_share), for messages from the leader.
    pub sent_share: f64,
    /// Longest time that a message waited for the link, in milliseconds.
    pub longest_queue_ms: u64,
    /// Readings that were made long before and yet were in the window of plans.
    pub old_readings: usize,
}

impl LinkReport {
    /// Returns a percentile of the holds in milliseconds; zero without any.
    pub fn hold_percentile_ms(&self, percent: usize) -> u64 {
        let at = self.holds_ms.len() * percent / 100;
        let at = at.min(self.holds_ms.len().saturating_sub(1));
        self.holds_ms.get(at).copied().unwrap_or_default()
    }
}

/// Runs the simulation.
pub fn run_control_link(
    group: LinkedGroup,
    seed: u64,
    mutation: Option<LinkMutation>,
) -> LinkReport {
    Group::new(group, seed, mutation).run()
}
