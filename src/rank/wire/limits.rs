//! What entries and leaders tell each other of the rate limits of runners.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use wisteriawick_core::gateway::EntryShare;
use wisteriawick_core::gateway::LimitNote;
use wisteriawick_core::gateway::RateLimit;
use wisteriawick_core::gateway::ServiceDemand;
use wisteriawick_core::gateway::ServiceShare;

/// The demand of an entry, and the rate limits that runners named to it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct EntryLimitsWire {
    /// The entry's random identifier.
    pub(crate) entry: u64,
    pub(crate) demands: Vec<DemandWire>,
    pub(crate) notes: Vec<LimitNoteWire>,
}

/// The shares of an entry, and the rate limits that runners named to any entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct GroupLimitsWire {
    pub(crate) shares: Vec<ShareWire>,
    pub(crate) notes: Vec<LimitNoteWire>,
}

/// An entry's demand for a service, as in [`ServiceDemand`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct DemandWire {
    service: String,
    per_second: f64,
}

/// An entry's share of a service, as in [`ServiceShare`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ShareWire {
    service: String,
    fraction: f64,
    entries: u32,
    position: Option<u32>,
}

/// A runner's rate limit, as in [`LimitNote`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LimitNoteWire {
    runner: String,
    started_unix_ms: Option<u64>,
    /// Requests per second; `None` if there is no limit any more.
    per_second: Option<f64>,
    age_ms: u64,
}

impl From<&ServiceDemand> for DemandWire {
    fn from(demand: &ServiceDemand) -> Self {
        Self {
            service: demand.service.to_string(),
            per_second: demand.per_second,
        }
    }
}

impl From<DemandWire> for ServiceDemand {
    fn from(wire: DemandWire) -> Self {
        Self {
            service: wire.service.as_str().into(),
            per_second: finite_or_zero(wire.per_second).max(0.0),
        }
    }
}

impl From<&ServiceShare> for ShareWire {
    fn from(share: &ServiceShare) -> Self {
        Self {
            service: share.service.to_string(),
            fraction: share.share.fraction,
            entries: share.share.entries,
            position: share.share.position,
        }
    }
}

impl From<ShareWire> for ServiceShare {
    fn from(wire: ShareWire) -> Self {
        Self {
            service: wire.service.as_str().into(),
            share: EntryShare {
                fraction: finite_or_zero(wire.fraction).clamp(0.0, 1.0),
                entries: wire.entries.max(1),
                position: wire.position,
            },
        }
    }
}

/// Replaces a number that cannot be calculated with by the smallest demand or share.
fn finite_or_zero(number: f64) -> f64 {
    if number.is_finite() { number } else { 0.0 }
}

impl From<&LimitNote> for LimitNoteWire {
    fn from(note: &LimitNote) -> Self {
        Self {
            runner: note.runner.to_string(),
            started_unix_ms: note.started_unix_ms,
            per_second: note.limit.map(RateLimit::per_second),
            age_ms: note.age.as_millis() as u64,
        }
    }
}

impl TryFrom<LimitNoteWire> for LimitNote {
    type Error = InvalidLimit;

    fn try_from(wire: LimitNoteWire) -> Result<Self, InvalidLimit> {
        let limit = match wire.per_second {
            Some(per_second) => {
                Some(RateLimit::new(per_second).ok_or(InvalidLimit { per_second })?)
            }
            None => None,
        };
        Ok(Self {
            runner: wire.runner.as_str().into(),
            started_unix_ms: wire.started_unix_ms,
            limit,
            age: Duration::from_millis(wire.age_ms),
        })
    }
}

/// A note names a rate limit that is no valid number.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("rate limit of {per_second} requests per second; the note is ignored")]
pub(crate) struct InvalidLimit {
    per_second: f64,
}
