//! The state of a group's leader, from the time it begins to lead until it ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::collections::HashMap;
use wisteriawick_core::collections::HashSet;
use wisteriawick_core::maps::ExpertMap;
use wisteriawick_core::maps::HoldSwitch;
use wisteriawick_core::maps::MapNumber;

use crate::rank::counts::CountWindow;
use crate::rank::member::OwnRank;
use crate::rank::passes::PassTimes;
use crate::rank::peers::PeerEvent;
use crate::rank::wire::ExpertsWire;
use crate::rank::wire::LeaderMessage;
use crate::rank::wire::LoadWire;

/// What this agent knows of the group that it leads.
pub(super) struct Leadership {
    pub(super) group: String,
    pub(super) size: usize,
    pub(super) switch: HoldSwitch,
    pub(super) counts: CountWindow,
    /// Links to the agents of the other ranks, by rank.
    pub(super) links: HashMap<usize, MemberLink>,
    /// Receives the events of the links.
    pub(super) events: mpsc::Sender<PeerEvent>,
    /// Ranks that are being armed without a link.
    pub(super) arming_directly: HashSet<usize>,
    /// The experts that each rank holds, by rank.
    pub(super) experts: Vec<Option<ExpertsWire>>,
    /// Tasks that keep up links, by the address of the runner beside the agent.
    pub(super) dialers: HashMap<SocketAddr, CancellationToken>,
    pub(super) planned_at: Instant,
    pub(super) pace_logged_at: Instant,
    pub(super) refreshed_at: Option<Instant>,
    /// Addresses of the runners by rank, also of those whose agent is not linked.
    pub(super) runners: Vec<Option<SocketAddr>>,
    /// The last reported load of each rank.
    pub(super) loads: Vec<LoadWire>,
    pub(super) passes: PassTimes,
}

/// The link to a member.
pub(super) struct MemberLink {
    pub(super) orders: mpsc::Sender<LeaderMessage>,
}

impl Leadership {
    pub(super) fn new(
        own: &OwnRank,
        runner: Option<SocketAddr>,
        events: mpsc::Sender<PeerEvent>,
        now: Instant,
    ) -> Self {
        let mut runners = vec![None; own.state.size];
        runners[0] = runner;
        Self {
            group: own.state.group.clone(),
            size: own.state.size,
            switch: HoldSwitch::new(own.state.size),
            counts: CountWindow::default(),
            links: HashMap::default(),
            events,
            arming_directly: HashSet::default(),
            experts: vec![None; own.state.size],
            dialers: HashMap::default(),
            planned_at: now,
            pace_logged_at: now,
            refreshed_at: None,
            runners,
            loads: vec![LoadWire::default(); own.state.size],
            passes: PassTimes::default(),
        }
    }

    /// Sends the addresses of the group's runners to all linked members.
    pub(super) fn send_runners(&self) {
        for link in self.links.values() {
            // A member whose queue is full receives them when the next link opens.
            let _ = link
                .orders
                .try_send(LeaderMessage::Runners(self.runners.clone()));
        }
    }

    /// Returns whether the state of this agent's rank still fits the leadership.
    pub(super) fn matches(&self, own: &OwnRank) -> bool {
        own.state.rank == 0 && own.state.group == self.group && own.state.size == self.size
    }

    /// Assembles the map in use from the experts that the ranks report; `None`
    /// unless all ranks report the same map and epoch.
    pub(super) fn current_map(&self, epoch: u64, number: MapNumber) -> Option<Arc<ExpertMap>> {
        let ranks: Option<Vec<&ExpertsWire>> = self.experts.iter().map(Option::as_ref).collect();
        let ranks = ranks?;
        let same = |experts: &&ExpertsWire| experts.epoch == epoch && experts.map == number.0;
        if !ranks.iter().all(same) {
            return None;
        }
        let sets = ranks.first()?.experts.len();
        let set = |at: usize| -> Option<Vec<Vec<u16>>> {
            ranks
                .iter()
                .map(|rank| rank.experts.get(at).cloned())
                .collect()
        };
        let sets: Option<Vec<_>> = (0..sets).map(set).collect();
        Some(Arc::new(ExpertMap { sets: sets? }))
    }
}
