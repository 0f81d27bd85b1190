//! Orders of a leader, and the expert maps in them.

use serde::Deserialize;
use serde::Serialize;
use wisteriawick_core::maps::EncodedMap;
use wisteriawick_core::maps::LastMap;
use wisteriawick_core::maps::MapDelta;
use wisteriawick_core::maps::MapNumber;
use wisteriawick_core::maps::RankChange;
use wisteriawick_core::maps::RankOrder;

use crate::rank::order::EpochOrder;

/// An order of the leader, which is valid only in one epoch of the group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct OrderMessage {
    epoch: u64,
    order: OrderWire,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum OrderWire {
    Prepare { number: u64, map: MapWire },
    Arm { number: u64, pass: u64 },
    Hold { pass: u64 },
    Go { pass: u64 },
}

impl OrderMessage {
    /// Encodes an order; `None` if its map cannot be sent. `last_map` is the last map that
    /// was sent on the link.
    pub(crate) fn new(order: &EpochOrder, last_map: &mut LastMap) -> Option<Self> {
        let wire = match &order.order {
            RankOrder::Prepare { number, map } => OrderWire::Prepare {
                number: number.0,
                map: last_map.encode(map)?.into(),
            },
            RankOrder::Arm { number, pass } => OrderWire::Arm {
                number: number.0,
                pass: *pass,
            },
            RankOrder::Hold { pass } => OrderWire::Hold { pass: *pass },
            RankOrder::Go { pass } => OrderWire::Go { pass: *pass },
        };
        Some(Self {
            epoch: order.epoch,
            order: wire,
        })
    }

    /// Decodes an order; `None` if its map does not fit those before it on the link.
    pub(crate) fn into_order(self, last_map: &mut LastMap) -> Option<EpochOrder> {
        let order = match self.order {
            OrderWire::Prepare { number, map } => RankOrder::Prepare {
                number: MapNumber(number),
                map: last_map.decode(map.into())?,
            },
            OrderWire::Arm { number, pass } => RankOrder::Arm {
                number: MapNumber(number),
                pass,
            },
            OrderWire::Hold { pass } => RankOrder::Hold { pass },
            OrderWire::Go { pass } => RankOrder::Go { pass },
        };
        Some(EpochOrder {
            epoch: self.epoch,
            order,
        })
    }

    /// Names the order in metrics.
    pub(super) fn kind(&self) -> &'static str {
        match self.order {
            OrderWire::Prepare { .. } => "prepare",
            OrderWire::Arm { .. } => "arm",
            OrderWire::Hold { .. } => "hold",
            OrderWire::Go { .. } => "go",
        }
    }
}

/// A map, as in [`EncodedMap`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum MapWire {
    FromRoundRobin {
        sets: u16,
        ranks: u16,
        experts: u16,
        changes: Vec<RankChangeWire>,
    },
    FromLast(Vec<RankChangeWire>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RankChangeWire {
    set: u16,
    rank: u16,
    experts: Vec<u16>,
}

impl From<RankChange> for RankChangeWire {
    fn from(change: RankChange) -> Self {
        Self {
            set: change.set,
            rank: change.rank,
            experts: change.experts,
        }
    }
}

impl From<RankChangeWire> for RankChange {
    fn from(wire: RankChangeWire) -> Self {
        Self {
            set: wire.set,
            rank: wire.rank,
            experts: wire.experts,
        }
    }
}

fn changes_to_wire(delta: MapDelta) -> Vec<RankChangeWire> {
    delta.changes.into_iter().map(Into::into).collect()
}

fn changes_from_wire(changes: Vec<RankChangeWire>) -> MapDelta {
    MapDelta {
        changes: changes.into_iter().map(Into::into).collect(),
    }
}

impl From<EncodedMap> for MapWire {
    fn from(map: EncodedMap) -> Self {
        match map {
            EncodedMap::FromRoundRobin {
                sets,
                ranks,
                experts,
                delta,
            } => Self::FromRoundRobin {
                sets,
                ranks,
                experts,
                changes: changes_to_wire(delta),
            },
            EncodedMap::FromLast(delta) => Self::FromLast(changes_to_wire(delta)),
        }
    }
}

impl From<MapWire> for EncodedMap {
    fn from(wire: MapWire) -> Self {
        match wire {
            MapWire::FromRoundRobin {
                sets,
                ranks,
                experts,
                changes,
            } => Self::FromRoundRobin {
                sets,
                ranks,
                experts,
                delta: changes_from_wire(changes),
            },
            MapWire::FromLast(changes) => Self::FromLast(changes_from_wire(changes)),
        }
    }
}
