//! What a leader knows of its group while it leads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::collections::HashMap;
use wisteriawick_core::maps::ExpertMap;
use wisteriawick_core::maps::HoldSwitch;
use wisteriawick_core::maps::MapNumber;

use crate::rank::counts::CountWindow;
use crate::rank::member::OwnRank;
use crate::rank::passes::PassTimes;
use crate::rank::wire::ExpertsWire;
use crate::rank::wire::LeaderMessage;
use crate::rank::wire::LoadWire;

/// What is known while this agent leads a group.
pub(super) struct Leadership {
    pub(super) group: String,
    pub(super) size: usize,
    pub(super) switch: HoldSwitch,
    pub(super) counts: CountWindow,
    pub(super) links: HashMap<usize, PeerLink>,
    pub(super) experts: Vec<Option<ExpertsWire>>,
    pub(super) dialers: HashMap<SocketAddr, CancellationToken>,
    pub(super) planned_at: Instant,
    pub(super) pace_logged_at: Instant,
    pub(super) refreshed_at: Option<Instant>,
    /// Runner addresses of ranks, also of those whose link is down.
    pub(super) runners: Vec<Option<SocketAddr>>,
    pub(super) loads: Vec<LoadWire>,
    pub(super) passes: PassTimes,
}

pub(super) struct PeerLink {
    pub(super) orders: mpsc::Sender<LeaderMessage>,
}

impl Leadership {
    pub(super) fn new(own: &OwnRank, runner: Option<SocketAddr>, now: Instant) -> Self {
        let mut runners = vec![None; own.state.size];
        runners[0] = runner;
        Self {
            group: own.state.group.clone(),
            size: own.state.size,
            switch: HoldSwitch::new(own.state.size),
            counts: CountWindow::default(),
            links: HashMap::default(),
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

    /// Tells all members where the group's runners are.
    pub(super) fn send_runners(&self) {
        for link in self.links.values() {
            // A member that misses this learns it with the next link.
            let _ = link
                .orders
                .try_send(LeaderMessage::Runners(self.runners.clone()));
        }
    }

    pub(super) fn matches(&self, own: &OwnRank) -> bool {
        own.state.rank == 0 && own.state.group == self.group && own.state.size == self.size
    }

    /// Puts together the map in use from what each rank says that it holds.
    pub(super) fn current_map(&self, epoch: u64, number: MapNumber) -> Option<Arc<ExpertMap>> {
        let ranks: Option<Vec<&ExpertsWire>> = self.experts.iter().map(Option::as_ref).collect();
        let ranks = ranks?;
        let same = |held: &&ExpertsWire| held.epoch == epoch && held.map == number.0;
        if !ranks.iter().all(same) {
            return None;
        }
        let sets = ranks.first()?.experts.len();
        let set = |at: usize| -> Option<Vec<Vec<u16>>> {
            ranks
                .iter()
                .map(|held| held.experts.get(at).cloned())
                .collect()
        };
        let sets: Option<Vec<_>> = (0..sets).map(set).collect();
        Some(Arc::new(ExpertMap { sets: sets? }))
    }
}
