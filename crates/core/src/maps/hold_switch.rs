//! Changes the expert map of a hosted group at one pass, although orders may
//! get lost or take effect late.
//!
//! Rank 0, the holder, is ordered to hold a pass. Then all ranks are armed: they
//! are ordered to change to the new map when that pass begins. The pass is
//! released only when the reported state of every rank shows that it is armed.
//! A held pass never begins in any other way. An arm order whose outcome is
//! unknown may still take effect until the pass begins, but not after that. All
//! ranks are therefore armed whenever the release takes effect.
//!
//! Ranks are armed for the map that all of them have prepared, which no rank can
//! change while the pass is held. Several agents that see the hold therefore
//! give the same orders, and any of them may resolve a hold that another one
//! left behind. This rule replaces a compare-and-set, which engines do not
//! offer for these orders.
//!
//! [`VotingSwitch`](crate::maps::VotingSwitch) is for engines that hold a step by
//! themselves once they are armed, and whose runners vote. Here, engines know
//! nothing of each other.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::maps::rank::ExpertMap;
use crate::maps::rank::MapNumber;
use crate::maps::rank::RankOrder;
use crate::maps::rank::RankView;

/// Number of passes from the newest known one to the one that is held. The next
/// pass may begin before the hold order arrives.
const SWITCH_LEAD_PASSES: u64 = 2;
/// Time after which an order without a visible effect is sent again. An order
/// and the report that shows its effect take a few milliseconds.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// As [`ORDER_RETRY_INTERVAL`], for an order to copy experts: its effect shows only once
/// they are copied.
const PREPARE_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which a change is aborted if its experts are not copied: several
/// times as long as the largest plan takes.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(6);
/// Rank whose engine holds the pass. Its agent is the group's leader.
const HOLDER_RANK: usize = 0;

/// An input of [`HoldSwitch`].
#[derive(Clone, Debug)]
pub enum HoldInput {
    /// A rank reported its state.
    View(usize, RankView),
    /// A rank's state is no longer reported. While a pass may be held, its last state
    /// still counts: an armed rank stays armed until the pass begins, and one that is
    /// not armed is ordered again.
    Lost(usize),
    /// The group is to change to a map. Ignored while another change is under
    /// way.
    Propose(MapNumber, Arc<ExpertMap>),
    /// The process is about to end. From now on no change begins, except one that
    /// a held pass needs to begin. A change whose pass may be held goes on; see
    /// [`HoldSwitch::pending_hold`].
    Stop,
    /// Time passed.
    Tick,
}

/// What a hold waits for before the group's pass can begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingHold {
    /// The hold is ordered, and its outcome is not known yet.
    Ordered,
    /// The pass is held, and no map is ready on all ranks.
    WithoutMap,
    /// The pass is held, and not all ranks are armed.
    Unarmed,
    /// All ranks are armed, and the release is not known to have taken effect.
    Unreleased,
}

/// An output of [`HoldSwitch`]: an order to send, or an event.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldOutput {
    /// Send a rank an order that is valid only in one epoch of the group.
    Order {
        /// Index of the rank that gets the order.
        rank: usize,
        /// Epoch of the group.
        epoch: u64,
        /// What the rank is to do.
        order: RankOrder,
    },
    /// All ranks use the new map.
    Switched {
        /// Number of the map that the ranks report.
        number: MapNumber,
        /// Time for which the pass may have been held.
        held: Duration,
    },
    /// A change was aborted: its copies took too long, the group formed again or
    /// the pass began with the former map.
    GaveUp {
        /// Number of the map that does not come into use.
        number: MapNumber,
        /// The cause, as a fixed text for the log.
        reason: &'static str,
    },
    /// A hold was found that another leader left behind.
    FoundHold {
        /// The held pass.
        pass: u64,
        /// The map that the ranks will be armed for; `None` if none is ready on
        /// all ranks, so that a map must be proposed.
        number: Option<MapNumber>,
    },
}

/// Progress of a change of maps.
#[derive(Clone, Debug)]
enum Phase {
    /// No change is under way.
    Idle,
    /// The ranks copy the experts of the map.
    Preparing {
        number: MapNumber,
        map: Arc<ExpertMap>,
        since: Instant,
    },
    /// The holder is ordered to hold a pass.
    Holding { number: MapNumber, pass: u64 },
    /// The pass is held, and all ranks are ordered to arm.
    Arming(PendingSwitch),
    /// All ranks are armed, and the holder is ordered to begin the pass.
    Releasing(PendingSwitch),
    /// The pass has begun, and the ranks are about to report the new map.
    Settling {
        number: MapNumber,
        pass: u64,
        held: Duration,
    },
}

/// A change of maps at a pass that is held.
#[derive(Clone, Copy, Debug)]
struct PendingSwitch {
    number: MapNumber,
    pass: u64,
    /// When the hold became known.
    since: Instant,
}

impl PendingSwitch {
    /// Returns the phase that waits until all ranks report the new map.
    fn settling(self, now: Instant) -> Phase {
        Phase::Settling {
            number: self.number,
            pass: self.pass,
            held: now.saturating_duration_since(self.since),
        }
    }
}

/// Changes the maps of one group; run by its leader, or by any member that finds
/// a hold which the leader left behind.
#[derive(Debug)]
pub struct HoldSwitch {
    views: Vec<Option<RankView>>,
    /// The last order to each rank, and when it was sent.
    last_orders: Vec<Option<(Instant, RankOrder)>>,
    phase: Phase,
    epoch: u64,
    /// A held pass for which no map is ready on all ranks.
    pass_without_map: Option<u64>,
    is_stopping: bool,
}

impl HoldSwitch {
    /// Returns an idle switch for a group of `size` ranks.
    pub fn new(size: usize) -> Self {
        Self {
            views: vec![None; size],
            last_orders: vec![None; size],
            phase: Phase::Idle,
            epoch: 0,
            pass_without_map: None,
            is_stopping: false,
        }
    }

    /// Returns the group's epoch and the map that all ranks use, if a new map may
    /// be proposed: no change is under way, or a held pass waits for a map. After
    /// [`HoldInput::Stop`] only the latter allows a proposal.
    pub fn idle_map(&self) -> Option<(u64, MapNumber)> {
        if !matches!(self.phase, Phase::Idle) || self.is_stopping && !self.needs_map() {
            return None;
        }
        let views = self.all_views()?;
        let first = views.first()?;
        let held = views.iter().any(|view| view.held.is_some());
        let same = views
            .iter()
            .all(|view| view.map == first.map && view.armed.is_none());
        (same && held == self.needs_map()).then_some((first.epoch, first.map))
    }

    /// Returns whether a held pass waits for a map. Then a map must be proposed;
    /// the current one under a new number is enough.
    pub fn needs_map(&self) -> bool {
        self.pass_without_map.is_some()
    }

    /// Returns the last pass that the group is known to have begun.
    pub fn pass(&self) -> Option<u64> {
        self.holder().map(|view| view.pass)
    }

    /// Returns whether a pass may be held, so that orders are urgent.
    pub fn is_urgent(&self) -> bool {
        !matches!(self.phase, Phase::Idle | Phase::Preparing { .. })
    }

    /// Returns what a hold waits for that this switch ordered or found; `None` if no
    /// pass is known to need this switch to begin. An agent that stops may end then:
    /// prepared experts and armed ranks without a hold delay no pass.
    pub fn pending_hold(&self) -> Option<PendingHold> {
        match self.phase {
            Phase::Idle | Phase::Preparing { .. } | Phase::Settling { .. } => {
                let held = self.holder().and_then(|view| view.held);
                held.map(|_| PendingHold::WithoutMap)
            }
            Phase::Holding { .. } => Some(PendingHold::Ordered),
            Phase::Arming(_) => Some(PendingHold::Unarmed),
            Phase::Releasing(_) => Some(PendingHold::Unreleased),
        }
    }

    /// Handles an input and appends the outputs that follow from it.
    pub fn handle(&mut self, now: Instant, input: HoldInput, out: &mut Vec<HoldOutput>) {
        match input {
            HoldInput::View(rank, view) => self.update_view(rank, view, out),
            HoldInput::Lost(rank) => {
                // An order that was under way may have been lost with the link.
                if let Some(last) = self.last_orders.get_mut(rank) {
                    *last = None;
                }
                if !self.is_urgent()
                    && let Some(view) = self.views.get_mut(rank)
                {
                    *view = None;
                }
            }
            HoldInput::Propose(number, map) => {
                if self.idle_map().is_some() {
                    self.phase = Phase::Preparing {
                        number,
                        map,
                        since: now,
                    };
                }
            }
            HoldInput::Stop => self.is_stopping = true,
            HoldInput::Tick => {}
        }
        self.run_steps(now, out);
    }

    fn update_view(&mut self, rank: usize, view: RankView, out: &mut Vec<HoldOutput>) {
        if rank >= self.views.len() {
            return;
        }
        if view.epoch > self.epoch {
            // In a new epoch no rank has prepared maps, is armed or holds a pass.
            self.epoch = view.epoch;
            self.abort("the group formed again", out);
            self.last_orders.fill(None);
            self.pass_without_map = None;
        }
        if view.epoch == self.epoch {
            self.views[rank] = Some(view);
        } else {
            self.views[rank] = None;
        }
    }

    fn abort(&mut self, reason: &'static str, out: &mut Vec<HoldOutput>) {
        let number = match self.phase {
            Phase::Idle => None,
            Phase::Preparing { number, .. }
            | Phase::Holding { number, .. }
            | Phase::Arming(PendingSwitch { number, .. })
            | Phase::Releasing(PendingSwitch { number, .. })
            | Phase::Settling { number, .. } => Some(number),
        };
        self.phase = Phase::Idle;
        if let Some(number) = number {
            out.push(HoldOutput::GaveUp { number, reason });
        }
    }

    /// Returns the state of every rank, if all are known in this epoch and the
    /// group is complete.
    fn all_views(&self) -> Option<Vec<&RankView>> {
        let views: Option<Vec<&RankView>> = self.views.iter().map(Option::as_ref).collect();
        let views = views?;
        let current = |view: &&RankView| view.epoch == self.epoch && view.is_open;
        views.iter().all(current).then_some(views)
    }

    fn holder(&self) -> Option<&RankView> {
        self.views[HOLDER_RANK]
            .as_ref()
            .filter(|view| view.epoch == self.epoch)
    }

    fn run_steps(&mut self, now: Instant, out: &mut Vec<HoldOutput>) {
        // A step may allow the next one without further input.
        while self.step(now, out) {}
    }

    /// Does what the phase requires; returns whether the phase changed.
    fn step(&mut self, now: Instant, out: &mut Vec<HoldOutput>) -> bool {
        match self.phase.clone() {
            Phase::Idle => self.resolve_found_hold(now, out),
            Phase::Preparing { number, map, since } => self.prepare(now, number, &map, since, out),
            Phase::Holding { number, pass } => self.hold(now, number, pass, out),
            Phase::Arming(pending) => self.arm(now, pending, out),
            Phase::Releasing(pending) => self.release(now, pending, out),
            Phase::Settling { number, pass, held } => self.settle(number, pass, held, out),
        }
    }

    /// Begins to resolve a hold that another agent left behind.
    fn resolve_found_hold(&mut self, now: Instant, out: &mut Vec<HoldOutput>) -> bool {
        let Some(pass) = self.holder().and_then(|view| view.held) else {
            self.pass_without_map = None;
            return false;
        };
        let Some(number) = self.armable_map(pass) else {
            if self.all_views().is_some() && self.pass_without_map != Some(pass) {
                self.pass_without_map = Some(pass);
                out.push(HoldOutput::FoundHold { pass, number: None });
            }
            return false;
        };
        self.pass_without_map = None;
        out.push(HoldOutput::FoundHold {
            pass,
            number: Some(number),
        });
        self.phase = Phase::Arming(PendingSwitch {
            number,
            pass,
            since: now,
        });
        true
    }

    /// Returns the map for which all ranks can be armed: one for which some rank
    /// is already armed, or one that all ranks have prepared and do not use yet.
    fn armable_map(&self, pass: u64) -> Option<MapNumber> {
        let views = self.all_views()?;
        let armed = views
            .iter()
            .filter_map(|view| view.armed)
            .find(|(_, armed_pass)| *armed_pass == pass);
        if let Some((number, _)) = armed {
            return Some(number);
        }
        let number = views.first()?.prepared?;
        let fits = |view: &&RankView| view.prepared == Some(number) && view.map != number;
        views.iter().all(fits).then_some(number)
    }

    fn prepare(
        &mut self,
        now: Instant,
        number: MapNumber,
        map: &Arc<ExpertMap>,
        since: Instant,
        out: &mut Vec<HoldOutput>,
    ) -> bool {
        let held = self.holder().and_then(|view| view.held);
        if held.is_none() && now.saturating_duration_since(since) > PREPARE_TIMEOUT {
            self.abort("the experts were not copied in time", out);
            return true;
        }
        if held.is_none() && self.is_stopping {
            self.abort("the leader stops", out);
            return true;
        }
        let order = RankOrder::Prepare {
            number,
            map: Arc::clone(map),
        };
        self.order_unfinished_ranks(now, &order, out);
        let Some(views) = self.all_views() else {
            return false;
        };
        if !views.iter().all(|view| view.prepared == Some(number)) {
            return false;
        }
        self.pass_without_map = None;
        let pass = self.next_pass();
        self.phase = Phase::Holding { number, pass };
        true
    }

    fn next_pass(&self) -> u64 {
        let newest = self.views.iter().flatten().map(|view| view.pass).max();
        newest.unwrap_or(0) + SWITCH_LEAD_PASSES
    }

    fn hold(
        &mut self,
        now: Instant,
        number: MapNumber,
        pass: u64,
        out: &mut Vec<HoldOutput>,
    ) -> bool {
        let Some(view) = self.holder() else {
            return false;
        };
        if view.map == number {
            // Another agent made the change. A hold order of this one may still
            // take effect.
            self.phase = Phase::Settling {
                number,
                pass,
                held: Duration::ZERO,
            };
            return true;
        }
        if let Some(held) = view.held {
            // Any held pass can be used, also one whose hold order was late.
            self.phase = Phase::Arming(PendingSwitch {
                number,
                pass: held,
                since: now,
            });
            return true;
        }
        if view.pass >= pass {
            // The pass began before the hold order arrived, which has no effect now.
            if self.is_stopping {
                self.abort("the leader stops", out);
                return true;
            }
            let pass = self.next_pass();
            self.phase = Phase::Holding { number, pass };
            return true;
        }
        self.send_order(now, HOLDER_RANK, RankOrder::Hold { pass }, out);
        false
    }

    fn arm(&mut self, now: Instant, pending: PendingSwitch, out: &mut Vec<HoldOutput>) -> bool {
        let PendingSwitch { number, pass, .. } = pending;
        let Some(holder) = self.holder() else {
            return false;
        };
        if holder.map == number || holder.pass >= pass && holder.held.is_none() {
            // Another agent completed the change while this one was suspended.
            self.phase = pending.settling(now);
            return true;
        }
        self.order_unfinished_ranks(now, &RankOrder::Arm { number, pass }, out);
        let Some(views) = self.all_views() else {
            return false;
        };
        if !views.iter().all(|view| view.armed == Some((number, pass))) {
            return false;
        }
        self.phase = Phase::Releasing(pending);
        true
    }

    fn release(&mut self, now: Instant, pending: PendingSwitch, out: &mut Vec<HoldOutput>) -> bool {
        let pass = pending.pass;
        let Some(view) = self.holder() else {
            return false;
        };
        if view.held == Some(pass) {
            self.send_order(now, HOLDER_RANK, RankOrder::Go { pass }, out);
            return false;
        }
        self.phase = pending.settling(now);
        true
    }

    fn settle(
        &mut self,
        number: MapNumber,
        pass: u64,
        held: Duration,
        out: &mut Vec<HoldOutput>,
    ) -> bool {
        let Some(views) = self.all_views() else {
            return false;
        };
        if views.iter().all(|view| view.map == number) {
            out.push(HoldOutput::Switched { number, held });
            self.phase = Phase::Idle;
            return true;
        }
        if views
            .iter()
            .all(|view| view.pass >= pass && view.armed.is_none())
        {
            self.abort("the pass began with the former map", out);
            return true;
        }
        false
    }

    /// Sends an order to each rank whose known state does not show it as executed.
    fn order_unfinished_ranks(
        &mut self,
        now: Instant,
        order: &RankOrder,
        out: &mut Vec<HoldOutput>,
    ) {
        for rank in 0..self.views.len() {
            let is_unfinished = self.views[rank]
                .as_ref()
                .is_some_and(|view| !order.is_done(view));
            if is_unfinished {
                self.send_order(now, rank, order.clone(), out);
            }
        }
    }

    /// Sends an order to a rank, unless the same one was sent a moment ago.
    fn send_order(
        &mut self,
        now: Instant,
        rank: usize,
        order: RankOrder,
        out: &mut Vec<HoldOutput>,
    ) {
        let retry_interval = match order {
            RankOrder::Prepare { .. } => PREPARE_RETRY_INTERVAL,
            RankOrder::Arm { .. } | RankOrder::Hold { .. } | RankOrder::Go { .. } => {
                ORDER_RETRY_INTERVAL
            }
        };
        let last_order = &mut self.last_orders[rank];
        let sent_recently = last_order
            .as_ref()
            .is_some_and(|(at, last)| *last == order && now < *at + retry_interval);
        if sent_recently {
            return;
        }
        *last_order = Some((now, order.clone()));
        out.push(HoldOutput::Order {
            rank,
            epoch: self.epoch,
            order,
        });
    }
}
