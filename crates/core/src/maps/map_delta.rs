//! Differences between expert maps, by which a leader sends maps to its members.
//!
//! A plan changes a few experts, while a whole map names all experts of all ranks and is
//! sent to each rank: its bytes grow with the square of the group. A difference is taken
//! from a map that both ends know. It is an encoding and decides nothing.

use std::sync::Arc;

use crate::maps::rank::ExpertMap;

/// Most lists of experts in a map: its sets times its ranks. A peer cannot make this
/// process build a larger one.
const MAX_LISTS: usize = 64 * 1024;

/// The experts of one rank in one set, which differ between two maps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankChange {
    /// Index of the set.
    pub set: u16,
    /// Index of the rank.
    pub rank: u16,
    /// The experts that the rank holds in the new map.
    pub experts: Vec<u16>,
}

/// The changes that turn one expert map into another one of the same sets and ranks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MapDelta {
    /// The ranks that hold other experts, at most one change a set and rank.
    pub changes: Vec<RankChange>,
}

impl MapDelta {
    /// Returns the changes from `base` to `map`; `None` if the maps differ in their
    /// numbers of sets or ranks.
    pub fn between(base: &ExpertMap, map: &ExpertMap) -> Option<Self> {
        if base.sets.len() != map.sets.len() {
            return None;
        }
        let mut changes = Vec::new();
        for (set, (old, new)) in base.sets.iter().zip(&map.sets).enumerate() {
            if old.len() != new.len() {
                return None;
            }
            for (rank, (old, new)) in old.iter().zip(new).enumerate() {
                if old != new {
                    changes.push(RankChange {
                        set: u16::try_from(set).ok()?,
                        rank: u16::try_from(rank).ok()?,
                        experts: new.clone(),
                    });
                }
            }
        }
        Some(Self { changes })
    }

    /// Returns `base` with the changes made; `None` if a change names a set or a rank
    /// that it does not have.
    pub fn apply(self, base: &ExpertMap) -> Option<ExpertMap> {
        let mut map = base.clone();
        for change in self.changes {
            let set = map.sets.get_mut(usize::from(change.set))?;
            *set.get_mut(usize::from(change.rank))? = change.experts;
        }
        Some(map)
    }
}

/// The map from which the next difference on a link is taken: the last map that was sent
/// on it. Both ends of a link keep one, and it is empty on a new link.
#[derive(Clone, Debug, Default)]
pub struct LastMap {
    map: Option<Arc<ExpertMap>>,
}

/// A map as it is sent on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EncodedMap {
    /// Changes to the map that a group of this shape begins with.
    FromRoundRobin {
        /// Number of sets.
        sets: u16,
        /// Number of ranks.
        ranks: u16,
        /// Number of experts in a set.
        experts: u16,
        /// The changes.
        delta: MapDelta,
    },
    /// Changes to the last map that was sent on the link.
    FromLast(MapDelta),
}

impl LastMap {
    /// Encodes a map and keeps it for the next difference; `None` if the map has more
    /// sets, ranks or experts than can be sent.
    pub fn encode(&mut self, map: &Arc<ExpertMap>) -> Option<EncodedMap> {
        let last = self.map.as_ref();
        let encoded = match last.and_then(|last| MapDelta::between(last, map)) {
            Some(delta) => EncodedMap::FromLast(delta),
            None => from_round_robin(map)?,
        };
        self.map = Some(Arc::clone(map));
        Some(encoded)
    }

    /// Decodes a map and keeps it for the next difference; `None` if it does not fit what
    /// was received before.
    pub fn decode(&mut self, encoded: EncodedMap) -> Option<Arc<ExpertMap>> {
        let map = match encoded {
            EncodedMap::FromLast(delta) => delta.apply(self.map.as_ref()?)?,
            EncodedMap::FromRoundRobin {
                sets,
                ranks,
                experts,
                delta,
            } => {
                let lists = usize::from(sets) * usize::from(ranks);
                if lists == 0 || lists > MAX_LISTS {
                    return None;
                }
                delta.apply(&ExpertMap::round_robin(
                    sets.into(),
                    ranks.into(),
                    experts.into(),
                ))?
            }
        };
        let map = Arc::new(map);
        self.map = Some(Arc::clone(&map));
        Some(map)
    }
}

fn from_round_robin(map: &ExpertMap) -> Option<EncodedMap> {
    let sets = map.sets.len();
    let ranks = map.sets.first().map_or(0, Vec::len);
    let highest = map.sets.iter().flatten().flatten().max();
    let experts = highest.map_or(0, |expert| usize::from(*expert) + 1);
    if ranks == 0 || sets * ranks > MAX_LISTS {
        return None;
    }
    let base = ExpertMap::round_robin(sets, ranks, experts);
    Some(EncodedMap::FromRoundRobin {
        sets: u16::try_from(sets).ok()?,
        ranks: u16::try_from(ranks).ok()?,
        experts: u16::try_from(experts).ok()?,
        delta: MapDelta::between(&base, map)?,
    })
}
