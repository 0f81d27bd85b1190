//! Sends and decodes what the ends of a link tell each other of evacuations.

use wisteriawick_core::gateway::EvacuationNote;

use crate::rank::link::Link;
use crate::rank::link::LinkMessage;
use crate::rank::wire::EvacuationWire;

/// Most notes in one message. With names of at most 256 bytes a message stays far below the
/// largest one that a leader takes from an entry.
const MAX_NOTES_PER_MESSAGE: usize = 64;

/// Sends notes in as many messages as they need. Without a note one message is sent, which
/// shows that this end takes part in the exchange.
pub(crate) async fn send_evacuations<T: LinkMessage>(
    link: &mut Link,
    notes: &[EvacuationNote],
    message: impl Fn(Vec<EvacuationWire>) -> T,
) -> std::io::Result<()> {
    if notes.is_empty() {
        return link.send(&message(Vec::new())).await;
    }
    for chunk in notes.chunks(MAX_NOTES_PER_MESSAGE) {
        let wire = chunk.iter().map(EvacuationWire::from).collect();
        link.send(&message(wire)).await?;
    }
    Ok(())
}

/// Decodes notes.
pub(crate) fn evacuation_notes(notes: &[EvacuationWire]) -> Vec<EvacuationNote> {
    notes.iter().map(EvacuationNote::from).collect()
}
