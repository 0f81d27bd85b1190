//! What entries and leaders tell each other of evacuations.

use serde::Deserialize;
use serde::Serialize;
use wisteriawick_core::gateway::EvacuationNote;
use wisteriawick_core::hosting::Era;
use wisteriawick_core::hosting::Position;
use wisteriawick_core::hosting::Revision;

/// Whether a data centre was evacuated at a position of the store, as in
/// [`EvacuationNote`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EvacuationWire {
    place: String,
    era: u64,
    revision: u64,
    is_evacuated: bool,
}

impl From<&EvacuationNote> for EvacuationWire {
    fn from(note: &EvacuationNote) -> Self {
        Self {
            place: note.place.to_string(),
            era: note.as_of.era.0,
            revision: note.as_of.revision.0,
            is_evacuated: note.is_evacuated,
        }
    }
}

impl From<&EvacuationWire> for EvacuationNote {
    fn from(wire: &EvacuationWire) -> Self {
        Self {
            place: wire.place.as_str().into(),
            as_of: Position {
                era: Era(wire.era),
                revision: Revision(wire.revision),
            },
            is_evacuated: wire.is_evacuated,
        }
    }
}
