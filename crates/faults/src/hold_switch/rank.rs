//! A fake of the engine of one rank, with the order rules that real engines state.

use wisteriawick_core::maps::MapNumber;
use wisteriawick_core::maps::RankOrder;
use wisteriawick_core::maps::RankView;

/// Time that it takes to copy the experts of a map.
const COPY_DURATION_MS: u64 = 30;

/// An order to a rank, which is valid only in one epoch of its group.
#[derive(Clone, Debug)]
pub(crate) struct SentOrder {
    pub(crate) epoch: u64,
    pub(crate) order: RankOrder,
}

/// The engine of a rank.
#[derive(Clone, Debug)]
pub(crate) struct RankEngine {
    pub(crate) epoch: u64,
    /// The last pass that began.
    pub(crate) pass: u64,
    pub(crate) map: MapNumber,
    /// The pass that does not begin until it is released.
    pub(crate) held: Option<u64>,
    prepared: Option<MapNumber>,
    /// The map whose experts are being copied, and when that ends, in milliseconds.
    copying: Option<(MapNumber, u64)>,
    /// The map to change to, and the pass at which to do so.
    armed: Option<(MapNumber, u64)>,
    /// Highest number of a map that the engine began to copy.
    highest_prepared: MapNumber,
}

impl RankEngine {
    /// Returns an engine in a new epoch of its group, where `pass` is the last pass.
    pub(crate) fn new(epoch: u64, pass: u64) -> Self {
        Self {
            epoch,
            pass,
            map: MapNumber(0),
            held: None,
            prepared: None,
            copying: None,
            armed: None,
            highest_prepared: MapNumber(0),
        }
    }

    /// Returns the state that the rank reports.
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
            // The worst case: an engine that does not count orders, so that no order
            // can be made conditional on the count.
            orders: 0,
        }
    }

    fn finish_copy(&mut self, now_ms: u64) {
        if let Some((number, end_ms)) = self.copying
            && now_ms >= end_ms
        {
            self.prepared = Some(number);
            self.copying = None;
        }
    }

    /// Executes an order, or ignores it if it is not valid now.
    pub(crate) fn execute(&mut self, now_ms: u64, sent: &SentOrder) {
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
        if number <= self.highest_prepared || self.armed.is_some() {
            return;
        }
        self.highest_prepared = number;
        self.prepared = None;
        self.copying = Some((number, now_ms + COPY_DURATION_MS));
    }

    fn arm(&mut self, number: MapNumber, pass: u64) {
        let valid = self.prepared == Some(number) && self.pass < pass && self.armed.is_none();
        if valid {
            self.armed = Some((number, pass));
        }
    }

    fn hold(&mut self, pass: u64) {
        let valid = self.held.is_none() && self.pass < pass;
        if valid {
            self.held = Some(pass);
        }
    }

    fn go(&mut self, pass: u64) {
        if self.held == Some(pass) {
            self.held = None;
        }
    }

    /// Begins a pass, with the new map if the rank is armed for this pass.
    pub(crate) fn begin(&mut self, pass: u64) {
        self.pass = pass;
        if let Some((number, from_pass)) = self.armed
            && from_pass <= pass
        {
            self.map = number;
            self.armed = None;
        }
    }
}
