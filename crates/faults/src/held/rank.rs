//! The engine of one rank, as its interface describes it.

use wisteriawick_core::maps::MapNumber;
use wisteriawick_core::maps::RankOrder;
use wisteriawick_core::maps::RankView;

/// Time to copy a map's experts, in milliseconds.
const COPY_MS: u64 = 30;

/// An order on its way, with the state that it holds in.
#[derive(Clone, Debug)]
pub(crate) struct SentOrder {
    pub(crate) epoch: u64,
    pub(crate) order: RankOrder,
}

/// A rank's engine.
#[derive(Clone, Debug)]
pub(crate) struct RankEngine {
    pub(crate) epoch: u64,
    pub(crate) pass: u64,
    pub(crate) map: MapNumber,
    pub(crate) held: Option<u64>,
    prepared: Option<MapNumber>,
    copying: Option<(MapNumber, u64)>,
    armed: Option<(MapNumber, u64)>,
    highest: MapNumber,
}

impl RankEngine {
    /// Returns an engine of a new life of its group.
    pub(crate) fn new(epoch: u64, pass: u64) -> Self {
        Self {
            epoch,
            pass,
            map: MapNumber(0),
            held: None,
            prepared: None,
            copying: None,
            armed: None,
            highest: MapNumber(0),
        }
    }

    pub(crate) fn view(&mut self, now_ms: u64) -> RankView {
        self.finish_copy(now_ms);
        RankView {
            epoch: self.epoch,
            is_open: true,
            pass: self.pass,
            map: self.map,
            prepared: self.prepared,
            armed: self.armed,
            held: self.held,
            // The worst case: these orders are not counted.
            orders: 0,
        }
    }

    fn finish_copy(&mut self, now_ms: u64) {
        if let Some((number, done)) = self.copying
            && now_ms >= done
        {
            self.prepared = Some(number);
            self.copying = None;
        }
    }

    /// Carries an order out, or refuses it.
    pub(crate) fn take(&mut self, now_ms: u64, sent: &SentOrder) {
        self.finish_copy(now_ms);
        if sent.epoch != self.epoch {
            return;
        }
        match &sent.order {
            RankOrder::Prepare { number, .. } => self.prepare(now_ms, *number),
            RankOrder::Arm { number, pass } => self.arm(*number, *pass),
            RankOrder::Hold { pass } => self.hold(*pass),
            RankOrder::Go { pass } => self.go(*pass),
        }
    }

    fn prepare(&mut self, now_ms: u64, number: MapNumber) {
        if number <= self.highest || self.armed.is_some() {
            return;
        }
        self.highest = number;
        self.prepared = None;
        self.copying = Some((number, now_ms + COPY_MS));
    }

    fn arm(&mut self, number: MapNumber, pass: u64) {
        let applies_to = self.prepared == Some(number) && self.pass < pass && self.armed.is_none();
        if applies_to {
            self.armed = Some((number, pass));
        }
    }

    fn hold(&mut self, pass: u64) {
        let applies_to = self.held.is_none() && self.pass < pass;
        if applies_to {
            self.held = Some(pass);
        }
    }

    fn go(&mut self, pass: u64) {
        if self.held == Some(pass) {
            self.held = None;
        }
    }

    /// Begins a pass.
    pub(crate) fn begin(&mut self, pass: u64) {
        self.pass = pass;
        if let Some((number, at)) = self.armed
            && at <= pass
        {
            self.map = number;
            self.armed = None;
        }
    }
}
