//! The demand of all entries that are linked to the leader of a group.
//!
//! The leader computes from it which share of a runner's rate limit each entry uses.
//! An entry whose link has ended may still send for a moment, so its demand counts a
//! little longer.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::EntryShare;
use crate::ids::ServiceId;

/// How long the demand of an entry counts after its link has ended.
const RETENTION: Duration = Duration::from_secs(2);
/// Part of the mean demand that each entry has at least, so that an entry that gets its
/// first requests has a share.
const MIN_DEMAND_SHARE: f64 = 0.1;

/// Identifies a process of an entry, by a random number. All leaders sort entries alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryId(pub u64);

/// An entry's demand for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceId,
    /// Requests per second that the entry gets for it.
    pub per_second: f64,
}

/// An entry's share of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceId,
    /// The share.
    pub share: EntryShare,
}

#[derive(Clone, Debug)]
struct EntryDemand {
    demands: Vec<ServiceDemand>,
    /// Number of its links.
    links: u32,
    /// When its last link ended; `None` while it has links.
    left_at: Option<Instant>,
}

/// The demands of entries.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    entries: BTreeMap<EntryId, EntryDemand>,
}

impl DemandTable {
    /// Records that an entry has one more link.
    pub fn join(&mut self, entry: EntryId) {
        let known = self.entries.entry(entry).or_insert(EntryDemand {
            demands: Vec::new(),
            links: 0,
            left_at: None,
        });
        known.links += 1;
        known.left_at = None;
    }

    /// Replaces the demands of an entry that has a link.
    pub fn report(&mut self, entry: EntryId, demands: Vec<ServiceDemand>) {
        if let Some(known) = self.entries.get_mut(&entry) {
            known.demands = demands;
        }
    }

    /// Records that a link of an entry has ended.
    pub fn leave(&mut self, now: Instant, entry: EntryId) {
        if let Some(known) = self.entries.get_mut(&entry) {
            known.links = known.links.saturating_sub(1);
            known.left_at = (known.links == 0).then_some(now);
        }
    }

    /// Returns the shares of an entry in the services that it demands.
    pub fn shares(&mut self, now: Instant, entry: EntryId) -> Vec<ServiceShare> {
        let is_kept = |left_at: Instant| now.saturating_duration_since(left_at) < RETENTION;
        self.entries
            .retain(|_, entry| entry.left_at.is_none_or(is_kept));
        let Some(own) = self.entries.get(&entry) else {
            return Vec::new();
        };
        let share_of = |demand: &ServiceDemand| ServiceShare {
            service: demand.service.clone(),
            share: self.share(entry, demand),
        };
        own.demands.iter().map(share_of).collect()
    }

    fn share(&self, own_id: EntryId, own: &ServiceDemand) -> EntryShare {
        let mut total = 0.0;
        let mut entries = 0;
        let mut position = 0;
        for (id, entry) in &self.entries {
            let mut demands = entry.demands.iter();
            if let Some(demand) = demands.find(|demand| demand.service == own.service) {
                total += demand.per_second;
                entries += 1;
                position += u32::from(*id < own_id);
            }
        }
        let least = (total / f64::from(entries)) * MIN_DEMAND_SHARE;
        let fraction = match total > 0.0 {
            true => (own.per_second + least) / (total * (1.0 + MIN_DEMAND_SHARE)),
            false => 1.0 / f64::from(entries),
        };
        EntryShare {
            fraction,
            entries,
            position: Some(position),
        }
    }
}
