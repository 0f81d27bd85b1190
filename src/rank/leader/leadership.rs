//! The state of a group's leader, from the time it begins to lead until it ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::collections::HashMap;
use wisteriawick_core::collections::HashSet;
use wisteriawick_core::gateway::ExpertLayout;
use wisteriawick_core::hosting::HostSettings;
use wisteriawick_core::maps::CountWindow;
use wisteriawick_core::maps::ExpertMap;
use wisteriawick_core::maps::HoldSwitch;
use wisteriawick_core::maps::MapNumber;
use wisteriawick_core::maps::ReportBudget;
use wisteriawick_core::maps::ReportIntervals;

use crate::rank::member::OwnRank;
use crate::rank::order::EpochOrder;
use crate::rank::passes::PassTimes;
use crate::rank::peers::GroupNews;
use crate::rank::peers::PeerEvent;
use crate::rank::wire::ExpertsWire;
use crate::rank::wire::LoadWire;

/// What this agent knows of the group that it leads.
pub(super) struct Leadership {
    pub(super) group: String,
    pub(super) size: usize,
    pub(super) switch: HoldSwitch,
    pub(super) counts: CountWindow,
    /// How much of this machine's link reports may take.
    budget: ReportBudget,
    intervals: watch::Sender<ReportIntervals>,
    /// Addresses of all runners by rank; empty until all are known.
    complete_runners: watch::Sender<Vec<Option<SocketAddr>>>,
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
    /// The newest order; an earlier one that is not sent yet is replaced.
    pub(super) orders: watch::Sender<Option<EpochOrder>>,
}

impl Leadership {
    pub(super) fn new(
        own: &OwnRank,
        settings: &HostSettings,
        events: mpsc::Sender<PeerEvent>,
        now: Instant,
    ) -> Self {
        let mut runners = vec![None; own.state.size];
        runners[0] = settings.runner;
        let budget = ReportBudget::new(settings.link_rate);
        let members = own.state.size.saturating_sub(1);
        Self {
            group: own.state.group.clone(),
            size: own.state.size,
            switch: HoldSwitch::new(own.state.size),
            counts: CountWindow::default(),
            budget,
            intervals: watch::Sender::new(budget.member_intervals(members, 0)),
            complete_runners: watch::Sender::new(Vec::new()),
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

    /// Returns what the links tell all members.
    pub(super) fn news(&self) -> GroupNews {
        GroupNews {
            runners: self.complete_runners.subscribe(),
            intervals: self.intervals.subscribe(),
        }
    }

    /// Records the address of a rank's runner. Members are told once all are known: they
    /// need all of them to resolve a hold, and each message names every rank.
    pub(super) fn set_runner(&mut self, rank: usize, runner: SocketAddr) {
        self.runners[rank] = Some(runner);
        if self.runners.iter().all(Option::is_some) {
            self.complete_runners.send_if_modified(|known| {
                let is_news = *known != self.runners;
                known.clone_from(&self.runners);
                is_news
            });
        }
    }

    /// Returns how many changes a plan may have.
    pub(super) fn max_map_changes(&self) -> usize {
        self.budget.max_map_changes(self.size.saturating_sub(1))
    }

    /// Sets how often members report, from the shape of the group's counts; returns it.
    pub(super) fn set_layout(&mut self, layout: &ExpertLayout) -> ReportIntervals {
        let members = self.size.saturating_sub(1);
        let counters = layout.sets * layout.experts;
        let intervals = self.budget.member_intervals(members, counters);
        self.intervals.send_if_modified(|known| {
            let is_news = *known != intervals;
            *known = intervals;
            is_news
        });
        intervals
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
