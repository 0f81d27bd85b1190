//! The simulation of one group and its agents, in steps of a millisecond.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriawick_core::maps::MapNumber;
use wisteriawick_core::maps::PendingHold;
use wisteriawick_core::maps::RankView;

use crate::hold_switch::HoldFaults;
use crate::hold_switch::HoldMutation;
use crate::hold_switch::HoldReport;
use crate::hold_switch::StopCounts;
use crate::hold_switch::agent::Agent;
use crate::hold_switch::rank::RankEngine;
use crate::hold_switch::rank::SentOrder;

/// Number of ranks of the group.
const RANKS: usize = 4;
/// Simulated duration of a run.
const RUN_DURATION_MS: u64 = 30_000;
/// When faults end, so that the group must recover before the end of the run.
const FAULTS_END_AT_MS: u64 = 24_000;
/// Duration of a pass.
const PASS_DURATION_MS: u64 = 12;
/// Time between two reports of all ranks' states to the agents.
const POLL_INTERVAL_MS: u64 = 5;
/// Longest delivery time of an order that is not late.
const MAX_ORDER_DELAY_MS: u64 = 4;
/// Shortest and longest delivery time of a late order.
const LATE_ORDER_DELAY_MS: (u64, u64) = (300, 2_500);
/// How long a frozen leader does nothing.
const FREEZE_DURATION_MS: u64 = 900;
/// Longest time that a leader which is told to stop may go on.
const STOP_TIMEOUT_MS: u64 = 2_000;
/// Time from the end of a leader to the start of its replacement.
const LEADER_RESTART_DELAY_MS: u64 = 300;
/// Time from the loss of a link between the leader and a member to a new one.
const RELINK_DELAY_MS: u64 = 300;
/// Time that a broken group takes to form again.
const GROUP_FORM_DURATION_MS: u64 = 120;
/// Time without a new pass after which each resolving member begins to act.
const RESOLVE_AFTER_MS: [u64; 2] = [100, 160];
/// Age of the reports that a resolving member relies on: it queries the runners of
/// other machines, so its view of the ranks is older than the leader's.
const RESOLVER_VIEW_AGE_MS: u64 = 40;
/// How long a resolving member acts.
const RESOLVE_DURATION_MS: u64 = 400;

/// A member of the group that resolves a hold which the leader left.
struct Resolver {
    agent: Agent,
    until_ms: u64,
}

/// The state of a run.
pub(crate) struct Simulation {
    faults: HoldFaults,
    mutation: Option<HoldMutation>,
    rng: SmallRng,
    start: Instant,
    now_ms: u64,
    ranks: Vec<RankEngine>,
    /// Epoch of the group; it grows with every break.
    epoch: u64,
    formed_at_ms: u64,
    next_pass_at_ms: u64,
    last_pass_at_ms: u64,
    /// `None` while the leader is dead.
    leader: Option<Agent>,
    /// When the leader was told to stop, in milliseconds.
    stop_asked_at_ms: Option<u64>,
    /// The member whose link to the leader is lost, and when it is back.
    lost_link: Option<(usize, u64)>,
    leader_restart_at_ms: u64,
    /// The resolving members that act now, in the order of [`RESOLVE_AFTER_MS`].
    resolvers: Vec<Option<Resolver>>,
    /// Undelivered orders and their ranks, by delivery time in milliseconds.
    orders: BTreeMap<u64, Vec<(usize, SentOrder)>>,
    /// Recent states of all ranks with their times in milliseconds, oldest first.
    history: VecDeque<(u64, Vec<RankView>)>,
    /// Number of the next map that the leader proposes.
    next_number: u64,
    report: HoldReport,
    killed_leader_switches: u32,
}

impl Simulation {
    pub(crate) fn new(faults: HoldFaults, mutation: Option<HoldMutation>) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(faults.seed),
            faults,
            mutation,
            start: Instant::now(),
            now_ms: 0,
            ranks: vec![RankEngine::new(1, 0); RANKS],
            epoch: 1,
            formed_at_ms: 0,
            next_pass_at_ms: 0,
            last_pass_at_ms: 0,
            leader: Some(Agent::new(RANKS, mutation)),
            stop_asked_at_ms: None,
            lost_link: None,
            leader_restart_at_ms: 0,
            resolvers: RESOLVE_AFTER_MS.map(|_| None).into(),
            orders: BTreeMap::new(),
            history: VecDeque::new(),
            next_number: 1,
            report: HoldReport::default(),
            killed_leader_switches: 0,
        }
    }

    pub(crate) fn run(mut self) -> HoldReport {
        while self.now_ms < RUN_DURATION_MS {
            self.inject_faults();
            self.deliver_orders();
            self.run_group();
            if self.now_ms.is_multiple_of(POLL_INTERVAL_MS) {
                self.run_agents();
            }
            self.now_ms += 1;
        }
        let leader_switches = self.leader.as_ref().map_or(0, |leader| leader.switches);
        self.report.switches = leader_switches + self.killed_leader_switches;
        self.report
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn has_faults_ended(&self) -> bool {
        self.now_ms >= FAULTS_END_AT_MS
    }

    /// Draws whether a fault with this mean interval occurs in this millisecond.
    fn occurs(&mut self, mean_interval_ms: u64) -> bool {
        mean_interval_ms > 0
            && !self.has_faults_ended()
            && self.rng.random::<f64>() * (mean_interval_ms as f64) < 1.0
    }

    /// Injects this millisecond's faults, and replaces a leader that died.
    fn inject_faults(&mut self) {
        if self.occurs(self.faults.freeze_interval_ms) {
            let until = self.now_ms + FREEZE_DURATION_MS;
            if let Some(leader) = &mut self.leader {
                leader.frozen_until_ms = until;
            }
        }
        if self.occurs(self.faults.kill_interval_ms)
            && let Some(killed) = self.leader.take()
        {
            self.end_leader(&killed);
        }
        if self.occurs(self.faults.stop_interval_ms)
            && let Some(leader) = &self.leader
            && self.stop_asked_at_ms.is_none()
        {
            self.stop_asked_at_ms = Some(self.now_ms);
            self.report.stops.count(leader.pending_hold());
        }
        if self.leader.is_none() && self.now_ms >= self.leader_restart_at_ms {
            self.leader = Some(Agent::new(RANKS, self.mutation));
        }
        if self.lost_link.is_none() && self.occurs(self.faults.unlink_interval_ms) {
            self.lose_link();
        }
        self.regain_link();
        if self.occurs(self.faults.break_interval_ms) {
            self.epoch += 1;
            self.formed_at_ms = self.now_ms + GROUP_FORM_DURATION_MS;
            let pass = self.ranks[0].pass;
            self.ranks = vec![RankEngine::new(self.epoch, pass); RANKS];
        }
    }

    /// Cuts the link between the leader and a random member.
    fn lose_link(&mut self) {
        let rank = self.rng.random_range(1..RANKS);
        let now = self.now();
        if let Some(leader) = &mut self.leader {
            leader.lose_link(now, rank);
            self.lost_link = Some((rank, self.now_ms + RELINK_DELAY_MS));
        }
    }

    fn regain_link(&mut self) {
        let Some((rank, _)) = self.lost_link.filter(|(_, at_ms)| self.now_ms >= *at_ms) else {
            return;
        };
        self.lost_link = None;
        if let Some(leader) = &mut self.leader {
            leader.regain_link(rank);
        }
    }

    /// Schedules the replacement of a leader that has ended.
    fn end_leader(&mut self, leader: &Agent) {
        self.killed_leader_switches += leader.switches;
        self.stop_asked_at_ms = None;
        self.leader_restart_at_ms = self.now_ms + LEADER_RESTART_DELAY_MS;
    }

    fn deliver_orders(&mut self) {
        let due = self.orders.remove(&self.now_ms).unwrap_or_default();
        for (rank, sent) in due {
            self.ranks[rank].execute(self.now_ms, &sent);
        }
    }

    /// Begins the next pass if it is due and no rank holds it.
    fn run_group(&mut self) {
        if self.now_ms < self.formed_at_ms {
            self.last_pass_at_ms = self.now_ms;
            return;
        }
        let stalled_ms = self.now_ms - self.last_pass_at_ms;
        self.report.longest_hold_ms = self.report.longest_hold_ms.max(stalled_ms);
        if self.now_ms < self.next_pass_at_ms {
            return;
        }
        let pass = self.ranks[0].pass + 1;
        if self.ranks.iter().any(|rank| rank.held == Some(pass)) {
            return;
        }
        for rank in &mut self.ranks {
            rank.begin(pass);
        }
        let map = self.ranks[0].map;
        if self.ranks.iter().any(|rank| rank.map != map) {
            self.report.mixed_map_passes += 1;
        }
        self.report.passes += 1;
        self.last_pass_at_ms = self.now_ms;
        self.next_pass_at_ms = self.now_ms + PASS_DURATION_MS;
    }

    /// Records the states of all ranks for the agents.
    fn record_views(&mut self) {
        let now_ms = self.now_ms;
        let views = self.ranks.iter_mut().map(|rank| rank.view(now_ms));
        let views: Vec<RankView> = views.collect();
        self.history.push_back((now_ms, views));
        while self
            .history
            .front()
            .is_some_and(|(at, _)| at + RESOLVER_VIEW_AGE_MS < now_ms)
        {
            self.history.pop_front();
        }
    }

    fn run_agents(&mut self) {
        self.record_views();
        self.start_resolvers();
        let now = self.now();
        let mut leader = self.leader.take();
        if let Some(leader) = &mut leader
            && self.now_ms >= leader.frozen_until_ms
        {
            self.run_leader(now, leader);
        }
        self.leader = leader;
        self.end_stopped_leader();
        for index in 0..self.resolvers.len() {
            let Some(mut resolver) = self.resolvers[index].take() else {
                continue;
            };
            self.report_views(now, &mut resolver.agent, RESOLVER_VIEW_AGE_MS);
            self.send_orders(&mut resolver.agent);
            if self.now_ms < resolver.until_ms {
                self.resolvers[index] = Some(resolver);
            }
        }
    }

    /// Sends the leader's pending orders before it receives new states, so that a
    /// leader that was frozen in between sends orders that are long out of date.
    fn run_leader(&mut self, now: Instant, leader: &mut Agent) {
        self.send_orders(leader);
        self.report_views(now, leader, 0);
        if self.stop_asked_at_ms.is_some() {
            leader.stop(now);
        }
        if leader.propose(now, MapNumber(self.next_number)) {
            self.next_number += 1;
        }
    }

    /// Ends a leader that was told to stop, once it has finished or its time is over.
    fn end_stopped_leader(&mut self) {
        let Some(asked_at_ms) = self.stop_asked_at_ms else {
            return;
        };
        let Some(leader) = self.leader.take() else {
            return;
        };
        let is_frozen = self.now_ms < leader.frozen_until_ms;
        let is_late = self.now_ms - asked_at_ms >= STOP_TIMEOUT_MS;
        let ends_at_once = self.mutation == Some(HoldMutation::EndAtOnce);
        let is_done = leader.pending_hold().is_none();
        if is_frozen || !(is_done || is_late || ends_at_once) {
            self.leader = Some(leader);
            return;
        }
        self.report.holds_left += u32::from(self.ranks[0].held.is_some());
        self.end_leader(&leader);
    }

    /// Starts the members that resolve a hold, if no pass has begun for long enough.
    fn start_resolvers(&mut self) {
        let stalled_ms = self.now_ms.saturating_sub(self.last_pass_at_ms);
        for (index, after_ms) in RESOLVE_AFTER_MS.into_iter().enumerate() {
            if stalled_ms >= after_ms && self.resolvers[index].is_none() {
                self.resolvers[index] = Some(Resolver {
                    agent: Agent::new(RANKS, self.mutation),
                    until_ms: self.now_ms + RESOLVE_DURATION_MS,
                });
            }
        }
    }

    /// Passes the states of all ranks to an agent as they were `age_ms` ago.
    fn report_views(&mut self, now: Instant, agent: &mut Agent, age_ms: u64) {
        if self.now_ms < self.formed_at_ms {
            return;
        }
        let Some((_, views)) = self
            .history
            .iter()
            .find(|(at, _)| *at + age_ms >= self.now_ms)
        else {
            return;
        };
        for (rank, view) in views.iter().enumerate() {
            agent.receive_view(now, rank, view.clone());
        }
        agent.tick(now);
    }

    /// Schedules an agent's orders for delivery, some of them lost, late or twice.
    fn send_orders(&mut self, agent: &mut Agent) {
        for (rank, sent) in agent.take_orders() {
            let faults_ended = self.has_faults_ended();
            let draw: f64 = self.rng.random();
            let mut at_ms = self.now_ms + self.rng.random_range(1..=MAX_ORDER_DELAY_MS);
            if !faults_ended && draw < self.faults.lost {
                continue;
            }
            if !faults_ended && draw < self.faults.lost + self.faults.late {
                at_ms = self.now_ms
                    + self
                        .rng
                        .random_range(LATE_ORDER_DELAY_MS.0..=LATE_ORDER_DELAY_MS.1);
            }
            if !faults_ended && self.rng.random::<f64>() < self.faults.duplicated {
                let duplicate_at_ms = at_ms + self.rng.random_range(1..=LATE_ORDER_DELAY_MS.1);
                let copy = (rank, sent.clone());
                self.orders.entry(duplicate_at_ms).or_default().push(copy);
            }
            self.orders.entry(at_ms).or_default().push((rank, sent));
        }
    }
}

impl StopCounts {
    /// Counts a leader that is told to stop while this hold is pending.
    fn count(&mut self, hold: Option<PendingHold>) {
        let count = match hold {
            None => &mut self.without_hold,
            Some(PendingHold::Ordered) => &mut self.hold_ordered,
            Some(PendingHold::WithoutMap | PendingHold::Unarmed) => &mut self.unarmed,
            Some(PendingHold::Unreleased) => &mut self.unreleased,
        };
        *count += 1;
    }
}
