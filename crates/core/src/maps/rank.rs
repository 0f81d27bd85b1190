//! Ranks of a hosted service: their state, their expert maps and the orders
//! that they accept.
//!
//! An order may get lost, or may take effect late. Only the rank's own state
//! shows whether it was executed.

use std::sync::Arc;

/// Number of an expert map. Two maps with different contents never have the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MapNumber(pub u64);

/// The experts that each rank holds.
///
/// The layers of a model are grouped in sets, and each set has experts of its
/// own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpertMap {
    /// The experts by set, then by rank, in rising order.
    pub sets: Vec<Vec<Vec<u16>>>,
}

impl ExpertMap {
    /// Returns the map that a group begins with: the experts are assigned to
    /// the ranks in turn.
    pub fn round_robin(sets: usize, ranks: usize, experts: usize) -> Self {
        let rank = |rank: usize| (rank..experts).step_by(ranks).map(|e| e as u16).collect();
        let set: Vec<Vec<u16>> = (0..ranks).map(rank).collect();
        Self {
            sets: vec![set; sets],
        }
    }

    /// Returns how many experts each rank holds that it does not hold in
    /// `previous`.
    pub fn copies_from(&self, previous: &Self) -> Vec<usize> {
        let ranks = self.sets.first().map_or(0, Vec::len);
        let mut copies = vec![0; ranks];
        for (set, old) in self.sets.iter().zip(&previous.sets) {
            for (rank, experts) in set.iter().enumerate() {
                copies[rank] += experts
                    .iter()
                    .filter(|expert| !old[rank].contains(expert))
                    .count();
            }
        }
        copies
    }
}

/// The state that a rank reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankView {
    /// Epoch of its group; it grows whenever the group forms again.
    pub epoch: u64,
    /// Whether all ranks have joined the group.
    pub is_open: bool,
    /// The last pass that the rank began.
    pub pass: u64,
    /// The map in use.
    pub map: MapNumber,
    /// The map whose experts have all been copied to the rank.
    pub prepared: Option<MapNumber>,
    /// The map that the rank changes to when a pass begins, and that pass.
    pub armed: Option<(MapNumber, u64)>,
    /// The pass that the rank does not begin until it is released.
    pub held: Option<u64>,
    /// Number of orders that the rank has accepted. An order may state the
    /// number that it expects, and is refused at any other.
    pub orders: u64,
}

/// An order for a rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RankOrder {
    /// Copies the experts of a map to the rank.
    Prepare {
        /// Number under which the map is ordered later.
        number: MapNumber,
        /// The experts of each rank, by set.
        map: Arc<ExpertMap>,
    },
    /// Changes to a prepared map when a pass begins.
    Arm {
        /// Number of a map that the rank has prepared.
        number: MapNumber,
        /// Number of the pass that is the first to use the map.
        pass: u64,
    },
    /// Holds a pass: the rank does not begin it until it is released.
    Hold {
        /// Number of the pass that must not begin.
        pass: u64,
    },
    /// Releases a held pass.
    Go {
        /// Number of the held pass that may begin.
        pass: u64,
    },
}

impl RankOrder {
    /// Returns whether a rank's state shows that the order was executed.
    pub fn is_done(&self, view: &RankView) -> bool {
        match self {
            Self::Prepare { number, .. } => view.prepared == Some(*number) || view.map == *number,
            Self::Arm { number, pass } => {
                view.armed == Some((*number, *pass)) || view.map == *number
            }
            Self::Hold { pass } => view.held == Some(*pass),
            Self::Go { pass } => view.held != Some(*pass),
        }
    }
}
