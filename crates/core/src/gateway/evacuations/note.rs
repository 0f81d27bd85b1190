//! What processes tell each other of evacuations.

use crate::hosting::Position;
use crate::ids::PlaceId;

/// Whether a data centre was evacuated at a position of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationNote {
    /// The data centre.
    pub place: PlaceId,
    /// Position as of which this holds.
    pub as_of: Position,
    /// Whether its runners get no requests.
    pub is_evacuated: bool,
}

impl EvacuationNote {
    pub(super) fn new(place: &PlaceId, as_of: Position, is_evacuated: bool) -> Self {
        Self {
            place: place.clone(),
            as_of,
            is_evacuated,
        }
    }
}
