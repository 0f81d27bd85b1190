//! Changes a group's expert map at one pass, where orders get lost and are
//! carried out late.
//!
//! Rank 0, the holder, holds a pass. Then all ranks are armed for that pass,
//! and only when every rank's own report shows that does the pass get leave to
//! begin. A held pass never begins in any other way: an arm whose fate is
//! unknown may still take effect until the pass begins, and none can after
//! that. So leave, however late it comes, finds all ranks armed.
//!
//! Ranks are armed for the map that all of them have prepared, which none of
//! them can change while the pass is held. Several agents that see the hold
//! therefore do the same, and any of them may resolve a hold that another one
//! left. Engines offer nothing to compare and set that covers these orders;
//! the rule above needs nothing of the kind.
//!
//! It differs from [`VotingSwitch`](crate::maps::Switch), whose engines hold an
//! armed pass by themselves and vote; here engines know nothing of each other.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::maps::rank::ExpertMap;
use crate::maps::rank::MapNumber;
use crate::maps::rank::RankOrder;
use crate::maps::rank::RankView;

/// Passes between the newest known one and the one at which maps change: the
/// next pass may begin before the hold arrives.
const NOTICE: u64 = 2;
/// Time after which an order without visible effect is given again. An order
/// and its report take a few milliseconds.
const REPEAT: Duration = Duration::from_millis(40);
/// Time after which copying is given up: several times the longest plan.
const PREPARE_LIMIT: Duration = Duration::from_secs(6);
/// Rank whose engine holds the pass; its agent leads.
const HOLDER: usize = 0;

/// What the core is told.
#[derive(Clone, Debug)]
pub enum HoldInput {
    /// A rank's state.
    View(usize, RankView),
    /// A rank's state is not known any more.
    Lost(usize),
    /// A new map is wanted; ignored unless the core is idle.
    Propose(MapNumber, Arc<ExpertMap>),
    /// Time passed.
    Tick,
}

/// What the core wants done, or tells.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldOutput {
    /// Give a rank an order that is void in any other life of the group.
    Order {
        /// The rank.
        rank: usize,
        /// Life of the group.
        epoch: u64,
        /// The order.
        order: RankOrder,
    },
    /// All ranks use a map.
    Switched {
        /// The map.
        number: MapNumber,
        /// Time that the group may have been held.
        held: Duration,
    },
    /// A change was given up before any rank was armed.
    GaveUp {
        /// The map.
        number: MapNumber,
        /// Why.
        reason: &'static str,
    },
    /// A hold of an earlier leader was found.
    FoundHold {
        /// The pass.
        pass: u64,
        /// The map that ranks are armed for; `None` if none is ready, so that
        /// one must be proposed.
        number: Option<MapNumber>,
    },
}

#[derive(Clone, Debug)]
enum Phase {
    Idle,
    Preparing {
        number: MapNumber,
        map: Arc<ExpertMap>,
        since: Instant,
    },
    Holding {
        number: MapNumber,
        pass: u64,
    },
    Arming(HeldChange),
    Releasing(HeldChange),
    Settling {
        number: MapNumber,
        pass: u64,
        held: Duration,
    },
}

/// A change at a pass that is held.
#[derive(Clone, Copy, Debug)]
struct HeldChange {
    number: MapNumber,
    pass: u64,
    /// Since when the hold is known.
    since: Instant,
}

impl HeldChange {
    /// Returns the phase that waits until all ranks show the change.
    fn settling(self, now: Instant) -> Phase {
        Phase::Settling {
            number: self.number,
            pass: self.pass,
            held: now.saturating_duration_since(self.since),
        }
    }
}

/// The leader's part of changing maps, for one group.
#[derive(Debug)]
pub struct HoldSwitch {
    views: Vec<Option<RankView>>,
    /// When each rank was given its last order, and which.
    given: Vec<Option<(Instant, RankOrder)>>,
    phase: Phase,
    epoch: u64,
    /// A held pass for which no map is ready.
    waits_for_map: Option<u64>,
}

impl HoldSwitch {
    /// Returns the core for a group of `size` ranks.
    pub fn new(size: usize) -> Self {
        Self {
            views: vec![None; size],
            given: vec![None; size],
            phase: Phase::Idle,
            epoch: 0,
            waits_for_map: None,
        }
    }

    /// Returns the group's life and the map that all ranks use, when nothing is
    /// under way or a held pass waits for a map.
    pub fn idle_map(&self) -> Option<(u64, MapNumber)> {
        if !matches!(self.phase, Phase::Idle) {
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

    /// Returns whether a held pass waits for a map, so that the next one, even
    /// of the same content, is worth proposing.
    pub fn needs_map(&self) -> bool {
        self.waits_for_map.is_some()
    }

    /// Returns whether ranks may be armed or held, so that orders are urgent.
    pub fn is_urgent(&self) -> bool {
        !matches!(self.phase, Phase::Idle | Phase::Preparing { .. })
    }

    /// Takes an input and appends what has to be done.
    pub fn handle(&mut self, now: Instant, input: HoldInput, out: &mut Vec<HoldOutput>) {
        match input {
            HoldInput::View(rank, view) => self.see(rank, view, out),
            HoldInput::Lost(rank) => {
                if let Some(view) = self.views.get_mut(rank) {
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
            HoldInput::Tick => {}
        }
        self.advance(now, out);
    }

    fn see(&mut self, rank: usize, view: RankView, out: &mut Vec<HoldOutput>) {
        if rank >= self.views.len() {
            return;
        }
        if view.epoch > self.epoch {
            // A new life of the group has no copies, arms or holds.
            self.epoch = view.epoch;
            self.give_up("the group formed again", out);
            self.given.fill(None);
            self.waits_for_map = None;
        }
        if view.epoch == self.epoch {
            self.views[rank] = Some(view);
        } else {
            self.views[rank] = None;
        }
    }

    fn give_up(&mut self, reason: &'static str, out: &mut Vec<HoldOutput>) {
        let number = match self.phase {
            Phase::Idle => None,
            Phase::Preparing { number, .. }
            | Phase::Holding { number, .. }
            | Phase::Arming(HeldChange { number, .. })
            | Phase::Releasing(HeldChange { number, .. })
            | Phase::Settling { number, .. } => Some(number),
        };
        self.phase = Phase::Idle;
        if let Some(number) = number {
            out.push(HoldOutput::GaveUp { number, reason });
        }
    }

    /// Returns every rank's state, if all are known in this life of the group.
    fn all_views(&self) -> Option<Vec<&RankView>> {
        let views: Option<Vec<&RankView>> = self.views.iter().map(Option::as_ref).collect();
        let views = views?;
        let current = |view: &&RankView| view.epoch == self.epoch && view.is_open;
        views.iter().all(current).then_some(views)
    }

    fn holder(&self) -> Option<&RankView> {
        self.views[HOLDER]
            .as_ref()
            .filter(|view| view.epoch == self.epoch)
    }

    fn advance(&mut self, now: Instant, out: &mut Vec<HoldOutput>) {
        // Each step may make the next one possible at once.
        while self.step(now, out) {}
    }

    /// Does what the phase asks for; returns whether the phase changed.
    fn step(&mut self, now: Instant, out: &mut Vec<HoldOutput>) -> bool {
        match self.phase.clone() {
            Phase::Idle => self.look_for_hold(now, out),
            Phase::Preparing { number, map, since } => self.prepare(now, number, &map, since, out),
            Phase::Holding { number, pass } => self.hold(now, number, pass, out),
            Phase::Arming(change) => self.arm(now, change, out),
            Phase::Releasing(change) => self.release(now, change, out),
            Phase::Settling { number, pass, held } => self.settle(number, pass, held, out),
        }
    }

    /// Resolves a hold that somebody else left.
    fn look_for_hold(&mut self, now: Instant, out: &mut Vec<HoldOutput>) -> bool {
        let Some(pass) = self.holder().and_then(|view| view.held) else {
            self.waits_for_map = None;
            return false;
        };
        let Some(number) = self.map_for(pass) else {
            if self.all_views().is_some() && self.waits_for_map != Some(pass) {
                self.waits_for_map = Some(pass);
                out.push(HoldOutput::FoundHold { pass, number: None });
            }
            return false;
        };
        self.waits_for_map = None;
        out.push(HoldOutput::FoundHold {
            pass,
            number: Some(number),
        });
        self.phase = Phase::Arming(HeldChange {
            number,
            pass,
            since: now,
        });
        true
    }

    /// Returns the map for which all ranks can be armed: one that some are
    /// armed for already, or one that all have prepared and do not use.
    fn map_for(&self, pass: u64) -> Option<MapNumber> {
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
        if held.is_none() && now.saturating_duration_since(since) > PREPARE_LIMIT {
            self.give_up("the experts were not copied in time", out);
            return true;
        }
        let order = RankOrder::Prepare {
            number,
            map: Arc::clone(map),
        };
        self.give_missing(now, &order, out);
        let Some(views) = self.all_views() else {
            return false;
        };
        if !views.iter().all(|view| view.prepared == Some(number)) {
            return false;
        }
        self.waits_for_map = None;
        let pass = self.next_pass();
        self.phase = Phase::Holding { number, pass };
        true
    }

    fn next_pass(&self) -> u64 {
        let newest = self.views.iter().flatten().map(|view| view.pass).max();
        newest.unwrap_or(0) + NOTICE
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
            // Somebody else made the change; a hold of this one may still come.
            self.phase = Phase::Settling {
                number,
                pass,
                held: Duration::ZERO,
            };
            return true;
        }
        if let Some(held) = view.held {
            // Any held pass will do, also one whose hold came late.
            self.phase = Phase::Arming(HeldChange {
                number,
                pass: held,
                since: now,
            });
            return true;
        }
        if view.pass >= pass {
            // The pass began before the hold came.
            let pass = self.next_pass();
            self.phase = Phase::Holding { number, pass };
            return true;
        }
        self.give(now, HOLDER, RankOrder::Hold { pass }, out);
        false
    }

    fn arm(&mut self, now: Instant, change: HeldChange, out: &mut Vec<HoldOutput>) -> bool {
        let HeldChange { number, pass, .. } = change;
        let Some(holder) = self.holder() else {
            return false;
        };
        if holder.map == number || holder.pass >= pass && holder.held.is_none() {
            // Somebody else carried the change through while this agent stood
            // still.
            self.phase = change.settling(now);
            return true;
        }
        self.give_missing(now, &RankOrder::Arm { number, pass }, out);
        let Some(views) = self.all_views() else {
            return false;
        };
        if !views.iter().all(|view| view.armed == Some((number, pass))) {
            return false;
        }
        self.phase = Phase::Releasing(change);
        true
    }

    fn release(&mut self, now: Instant, change: HeldChange, out: &mut Vec<HoldOutput>) -> bool {
        let pass = change.pass;
        let Some(view) = self.holder() else {
            return false;
        };
        if view.held == Some(pass) {
            self.give(now, HOLDER, RankOrder::Go { pass }, out);
            return false;
        }
        self.phase = change.settling(now);
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
            self.give_up("the pass began with the former map", out);
            return true;
        }
        false
    }

    fn give_missing(&mut self, now: Instant, order: &RankOrder, out: &mut Vec<HoldOutput>) {
        for rank in 0..self.views.len() {
            let missing = self.views[rank]
                .as_ref()
                .is_some_and(|view| !order.is_done(view));
            if missing {
                self.give(now, rank, order.clone(), out);
            }
        }
    }

    fn give(&mut self, now: Instant, rank: usize, order: RankOrder, out: &mut Vec<HoldOutput>) {
        let given = &mut self.given[rank];
        let repeated = given
            .as_ref()
            .is_some_and(|(at, last)| *last == order && now < *at + REPEAT);
        if repeated {
            return;
        }
        *given = Some((now, order.clone()));
        out.push(HoldOutput::Order {
            rank,
            epoch: self.epoch,
            order,
        });
    }
}
