//! The data centres that an operator has asked to evacuate.
//!
//! The operator keeps an object in the platform's store for each evacuated data centre.
//! Processes read the store at different times, may be cut off from it, and pass on what
//! they know. Each record therefore states as of which position of the store it holds:
//! the later one is right, whoever tells it.

mod note;
mod timing;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::hosting::Era;
use crate::hosting::Position;
use crate::ids::PlaceId;

pub use note::EvacuationNote;
pub use timing::evacuation_watch_hold;

/// Most data centres for which it is remembered that their evacuation was taken back. A
/// message that is older than the oldest of that many changes does not arrive any more.
const MAX_TAKEN_BACK: usize = 64;

/// What one process knows of evacuations.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    records: BTreeMap<PlaceId, Record>,
    /// Position up to which this process has read the store itself. A data centre without
    /// a record was not evacuated then.
    read_to: Option<Position>,
    /// When the call was sent by which the store last confirmed the records.
    confirmed_at: Option<Instant>,
    /// Era of the last listing whose missing evacuations were reported.
    reported_era: Option<Era>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Record {
    as_of: Position,
    is_evacuated: bool,
}

impl Evacuations {
    /// Takes in a complete listing of the store, for which the call was sent at `sent_at`.
    /// Returns what it changes.
    ///
    /// Evacuations of an earlier era that it lacks stay in force: the copy from which the
    /// store was restored may be older than they are.
    pub fn replace_all(
        &mut self,
        sent_at: Instant,
        position: Position,
        listed: &[PlaceId],
    ) -> Vec<EvacuationNote> {
        let mut notes: Vec<_> = listed
            .iter()
            .map(|place| EvacuationNote::new(place, position, true))
            .collect();
        for (place, record) in &self.records {
            if record.as_of.era == position.era && !listed.contains(place) {
                notes.push(EvacuationNote::new(place, position, false));
            }
        }
        self.confirm(sent_at, position);
        self.apply(&notes)
    }

    /// Takes in what a watch returned, in the order of the changes: which data centres the
    /// operator has asked to evacuate (`true`) or given back. `position` is where the next
    /// watch begins. Returns what it changes.
    pub fn update(
        &mut self,
        sent_at: Instant,
        position: Position,
        changes: &[(PlaceId, bool)],
    ) -> Vec<EvacuationNote> {
        // Only the last change of each data centre holds at that position.
        let last: BTreeMap<_, _> = changes.iter().map(|(place, is)| (place, *is)).collect();
        let notes: Vec<_> = last
            .into_iter()
            .map(|(place, is_evacuated)| EvacuationNote::new(place, position, is_evacuated))
            .collect();
        self.confirm(sent_at, position);
        self.apply(&notes)
    }

    /// Takes in what another process knows; returns what it changes.
    pub fn merge(&mut self, notes: &[EvacuationNote]) -> Vec<EvacuationNote> {
        let is_news = |note: &&EvacuationNote| {
            let is_read =
                |read_to: Position| note.as_of.era == read_to.era && note.as_of <= read_to;
            !self.read_to.is_some_and(is_read)
        };
        let news: Vec<_> = notes.iter().filter(is_news).cloned().collect();
        self.apply(&news)
    }

    /// Returns all records, for another process.
    pub fn to_notes(&self) -> Vec<EvacuationNote> {
        self.records
            .iter()
            .map(|(place, record)| EvacuationNote::new(place, record.as_of, record.is_evacuated))
            .collect()
    }

    /// Returns the evacuated data centres.
    pub fn places(&self) -> BTreeSet<PlaceId> {
        let evacuated = self.records.iter().filter(|(_, r)| r.is_evacuated);
        evacuated.map(|(place, _)| place.clone()).collect()
    }

    /// Returns whether this process has read the store.
    pub fn is_known(&self) -> bool {
        self.read_to.is_some()
    }

    /// Returns for how long the store has not confirmed the records; zero before it is first
    /// read.
    pub fn unconfirmed_for(&self, now: Instant) -> Duration {
        self.confirmed_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Returns the evacuations in force that the store lacks since it was restored.
    pub fn missing_in_store(&self) -> Vec<PlaceId> {
        let Some(read_to) = self.read_to else {
            return Vec::new();
        };
        let is_missing = |record: &Record| record.is_evacuated && record.as_of.era < read_to.era;
        let missing = self.records.iter().filter(|(_, r)| is_missing(r));
        missing.map(|(place, _)| place.clone()).collect()
    }

    /// Returns the evacuations in force that the store lacks, once for each era in which
    /// there are any.
    pub fn take_missing_report(&mut self) -> Vec<PlaceId> {
        let missing = self.missing_in_store();
        let era = self.read_to.map(|position| position.era);
        if missing.is_empty() || self.reported_era == era {
            return Vec::new();
        }
        self.reported_era = era;
        missing
    }

    fn confirm(&mut self, sent_at: Instant, position: Position) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        self.read_to = self.read_to.max(Some(position));
    }

    /// Applies later records; returns those that change what is in force.
    fn apply(&mut self, notes: &[EvacuationNote]) -> Vec<EvacuationNote> {
        let mut changes = Vec::new();
        for note in notes {
            let known = self.records.get(&note.place);
            if known.is_some_and(|known| note.as_of <= known.as_of) {
                continue;
            }
            let was_evacuated = known.is_some_and(|known| known.is_evacuated);
            let record = Record {
                as_of: note.as_of,
                is_evacuated: note.is_evacuated,
            };
            self.records.insert(note.place.clone(), record);
            if was_evacuated != note.is_evacuated {
                changes.push(note.clone());
            }
        }
        self.forget_taken_back();
        changes
    }

    fn forget_taken_back(&mut self) {
        let taken_back = self.records.iter().filter(|(_, r)| !r.is_evacuated);
        let mut by_age: Vec<_> = taken_back.map(|(place, r)| (r.as_of, place)).collect();
        let excess = by_age.len().saturating_sub(MAX_TAKEN_BACK);
        by_age.sort();
        let oldest: Vec<PlaceId> = by_age[..excess].iter().map(|(_, p)| (*p).clone()).collect();
        for place in oldest {
            self.records.remove(&place);
        }
    }
}
