//! Ranks that take orders which may get lost, or are carried out late.

use std::sync::Arc;

/// Number of an expert map. Each content has a number of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MapNumber(pub u64);

/// Which experts each rank holds, by set of layers and rank, in rising order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpertMap {
    /// By set, then rank: the experts.
    pub sets: Vec<Vec<Vec<u16>>>,
}

impl ExpertMap {
    /// Returns the map that a group begins with: experts in turn.
    pub fn round_robin(sets: usize, ranks: usize, experts: usize) -> Self {
        let rank = |rank: usize| (rank..experts).step_by(ranks).map(|e| e as u16).collect();
        let set: Vec<Vec<u16>> = (0..ranks).map(rank).collect();
        Self {
            sets: vec![set; sets],
        }
    }

    /// Returns how many experts of each rank are not in `former`.
    pub fn copies_from(&self, former: &Self) -> Vec<usize> {
        let ranks = self.sets.first().map_or(0, Vec::len);
        let mut copies = vec![0; ranks];
        for (set, old) in self.sets.iter().zip(&former.sets) {
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

/// What a rank says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankView {
    /// Life of its group; it grows whenever the group forms again.
    pub epoch: u64,
    /// Whether all ranks of the group are there.
    pub is_open: bool,
    /// The last pass that was begun.
    pub pass: u64,
    /// Map in use.
    pub map: MapNumber,
    /// Map whose experts are all copied.
    pub prepared: Option<MapNumber>,
    /// Map that it changes to as a pass begins, and that pass.
    pub armed: Option<(MapNumber, u64)>,
    /// Pass that it does not begin without leave.
    pub held: Option<u64>,
    /// Orders that it accepted. An order may expect a number, and is refused
    /// at any other.
    pub orders: u64,
}

/// An order for a rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RankOrder {
    /// Copy the experts of a map.
    Prepare {
        /// Its number.
        number: MapNumber,
        /// Its content.
        map: Arc<ExpertMap>,
    },
    /// Change to a prepared map as a pass begins.
    Arm {
        /// The map.
        number: MapNumber,
        /// The pass.
        pass: u64,
    },
    /// Do not begin a pass without leave.
    Hold {
        /// The pass.
        pass: u64,
    },
    /// Leave to begin a held pass.
    Go {
        /// The pass.
        pass: u64,
    },
}

impl RankOrder {
    /// Returns whether a rank's state shows that the order was carried out.
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
