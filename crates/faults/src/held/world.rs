//! One group and its agents, millisecond by millisecond.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriawick_core::maps::MapNumber;
use wisteriawick_core::maps::RankView;

use crate::held::HeldFaults;
use crate::held::HeldReport;
use crate::held::HeldSabotage;
use crate::held::actor::Actor;
use crate::held::rank::RankEngine;
use crate::held::rank::SentOrder;

/// Ranks of the group.
const RANKS: usize = 4;
/// Length of a run.
const LENGTH_MS: u64 = 30_000;
/// When faults end, so that the group must come to rest after.
const CALM_AT_MS: u64 = 24_000;
/// Time of a pass.
const PASS_MS: u64 = 12;
/// Time between two looks of an agent at all ranks.
const LOOK_MS: u64 = 5;
/// Longest way of an order.
const WAY_MS: u64 = 4;
/// Delay of an order that is carried out late: shortest and longest.
const LATE_MS: (u64, u64) = (300, 2_500);
/// Length of a freeze.
const FREEZE_MS: u64 = 900;
/// Time that a dead leader is away.
const DEAD_MS: u64 = 300;
/// Time in which a broken group forms again.
const FORM_MS: u64 = 120;
/// Standstill after which each member begins to resolve.
const STUCK_MS: [u64; 2] = [100, 160];
/// Age of the reports that a resolving member goes by: it asks the runners of
/// other machines.
const STALE_MS: u64 = 40;
/// Time for which a resolving member acts.
const RESOLVE_MS: u64 = 400;

/// A member that resolves a hold.
struct Helper {
    actor: Actor,
    until_ms: u64,
}

pub(crate) struct World {
    faults: HeldFaults,
    sabotage: Option<HeldSabotage>,
    rng: SmallRng,
    start: Instant,
    now_ms: u64,
    ranks: Vec<RankEngine>,
    epoch: u64,
    formed_at_ms: u64,
    next_pass_ms: u64,
    last_pass_ms: u64,
    leader: Option<Actor>,
    leader_back_ms: u64,
    helpers: Vec<Option<Helper>>,
    /// Orders on their way, by time.
    orders: BTreeMap<u64, Vec<(usize, SentOrder)>>,
    /// How all ranks were of late, the oldest first.
    history: VecDeque<(u64, Vec<RankView>)>,
    next_number: u64,
    report: HeldReport,
    switches_of_dead: u32,
}

impl World {
    pub(crate) fn new(faults: HeldFaults, sabotage: Option<HeldSabotage>) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(faults.seed),
            faults,
            sabotage,
            start: Instant::now(),
            now_ms: 0,
            ranks: vec![RankEngine::new(1, 0); RANKS],
            epoch: 1,
            formed_at_ms: 0,
            next_pass_ms: 0,
            last_pass_ms: 0,
            leader: Some(Actor::new(RANKS, sabotage)),
            leader_back_ms: 0,
            helpers: STUCK_MS.map(|_| None).into(),
            orders: BTreeMap::new(),
            history: VecDeque::new(),
            next_number: 1,
            report: HeldReport::default(),
            switches_of_dead: 0,
        }
    }

    pub(crate) fn run(mut self) -> HeldReport {
        while self.now_ms < LENGTH_MS {
            self.strike();
            self.deliver();
            self.advance_group();
            if self.now_ms.is_multiple_of(LOOK_MS) {
                self.act();
            }
            self.now_ms += 1;
        }
        let living = self.leader.as_ref().map_or(0, |leader| leader.switched);
        self.report.switches = living + self.switches_of_dead;
        self.report
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn is_calm(&self) -> bool {
        self.now_ms >= CALM_AT_MS
    }

    /// Draws whether something that comes every so many milliseconds comes now.
    fn comes(&mut self, every_ms: u64) -> bool {
        every_ms > 0 && !self.is_calm() && self.rng.random::<f64>() * (every_ms as f64) < 1.0
    }

    fn strike(&mut self) {
        if self.comes(self.faults.freeze_every_ms) {
            let until = self.now_ms + FREEZE_MS;
            if let Some(leader) = &mut self.leader {
                leader.frozen_until_ms = until;
            }
        }
        if self.comes(self.faults.kill_every_ms)
            && let Some(dead) = self.leader.take()
        {
            self.switches_of_dead += dead.switched;
            self.leader_back_ms = self.now_ms + DEAD_MS;
        }
        if self.leader.is_none() && self.now_ms >= self.leader_back_ms {
            self.leader = Some(Actor::new(RANKS, self.sabotage));
        }
        if self.comes(self.faults.break_every_ms) {
            self.epoch += 1;
            self.formed_at_ms = self.now_ms + FORM_MS;
            let pass = self.ranks[0].pass;
            self.ranks = vec![RankEngine::new(self.epoch, pass); RANKS];
        }
    }

    fn deliver(&mut self) {
        let due = self.orders.remove(&self.now_ms).unwrap_or_default();
        for (rank, sent) in due {
            self.ranks[rank].take(self.now_ms, &sent);
        }
    }

    fn advance_group(&mut self) {
        if self.now_ms < self.formed_at_ms {
            self.last_pass_ms = self.now_ms;
            return;
        }
        let stood = self.now_ms - self.last_pass_ms;
        self.report.longest_hold_ms = self.report.longest_hold_ms.max(stood);
        if self.now_ms < self.next_pass_ms {
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
            self.report.mixed_passes += 1;
        }
        self.report.passes += 1;
        self.last_pass_ms = self.now_ms;
        self.next_pass_ms = self.now_ms + PASS_MS;
    }

    /// Remembers how all ranks are now.
    fn remember(&mut self) {
        let now_ms = self.now_ms;
        let views = self.ranks.iter_mut().map(|rank| rank.view(now_ms));
        let views: Vec<RankView> = views.collect();
        self.history.push_back((now_ms, views));
        while self
            .history
            .front()
            .is_some_and(|(at, _)| at + STALE_MS < now_ms)
        {
            self.history.pop_front();
        }
    }

    fn act(&mut self) {
        self.remember();
        self.call_helpers();
        let now = self.now();
        let mut leader = self.leader.take();
        if let Some(leader) = &mut leader
            && self.now_ms >= leader.frozen_until_ms
        {
            self.lead(now, leader);
        }
        self.leader = leader;
        for at in 0..self.helpers.len() {
            let Some(mut helper) = self.helpers[at].take() else {
                continue;
            };
            self.look(now, &mut helper.actor, STALE_MS);
            self.send(&mut helper.actor);
            if self.now_ms < helper.until_ms {
                self.helpers[at] = Some(helper);
            }
        }
    }

    /// Lets the leader send what it decided before it looks again, so that a
    /// leader that froze in between sends what is long out of date.
    fn lead(&mut self, now: Instant, leader: &mut Actor) {
        self.send(leader);
        self.look(now, leader, 0);
        if leader.propose(now, MapNumber(self.next_number)) {
            self.next_number += 1;
        }
    }

    fn call_helpers(&mut self) {
        let stood = self.now_ms.saturating_sub(self.last_pass_ms);
        for (at, wait) in STUCK_MS.into_iter().enumerate() {
            if stood >= wait && self.helpers[at].is_none() {
                self.helpers[at] = Some(Helper {
                    actor: Actor::new(RANKS, self.sabotage),
                    until_ms: self.now_ms + RESOLVE_MS,
                });
            }
        }
    }

    /// Shows an agent all ranks as they were some time ago.
    fn look(&mut self, now: Instant, actor: &mut Actor, age_ms: u64) {
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
            actor.see(now, rank, view.clone());
        }
        actor.tick(now);
    }

    fn send(&mut self, actor: &mut Actor) {
        for (rank, sent) in actor.orders() {
            let calm = self.is_calm();
            let draw: f64 = self.rng.random();
            let mut at = self.now_ms + self.rng.random_range(1..=WAY_MS);
            if !calm && draw < self.faults.lost {
                continue;
            }
            if !calm && draw < self.faults.lost + self.faults.late {
                at = self.now_ms + self.rng.random_range(LATE_MS.0..=LATE_MS.1);
            }
            if !calm && self.rng.random::<f64>() < self.faults.doubled {
                let again = at + self.rng.random_range(1..=LATE_MS.1);
                let copy = (rank, sent.clone());
                self.orders.entry(again).or_default().push(copy);
            }
            self.orders.entry(at).or_default().push((rank, sent));
        }
    }
}
