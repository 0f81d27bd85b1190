//! The shares of rate limits that the leaders of groups have told this entry.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::collections::HashMap;
use wisteriawick_core::gateway::EntryShare;
use wisteriawick_core::gateway::ServiceShare;
use wisteriawick_core::ids::ServiceId;

use crate::gateway::state::lock;

/// How long a share is used after a leader has told it.
const SHARE_LIFETIME: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct ToldShares {
    at: Instant,
    shares: Vec<ServiceShare>,
}

/// What each leader told last, by group.
#[derive(Debug, Default)]
pub(crate) struct LeaderShares(Mutex<HashMap<String, ToldShares>>);

impl LeaderShares {
    /// Stores what the leader of a group tells.
    pub(crate) fn set(&self, now: Instant, group: &str, shares: Vec<ServiceShare>) {
        let told = ToldShares { at: now, shares };
        lock(&self.0).insert(group.to_string(), told);
    }

    /// Returns the share of a service; `None` if no leader has told one recently. Leaders
    /// may be linked to different entries; the one that knows the largest demand tells the
    /// smallest share.
    pub(crate) fn get(&self, now: Instant, service: &ServiceId) -> Option<EntryShare> {
        let mut told = lock(&self.0);
        let is_recent = |told: &ToldShares| now.saturating_duration_since(told.at) < SHARE_LIFETIME;
        told.retain(|_, told| is_recent(told));
        let shares = told.values().flat_map(|told| &told.shares);
        shares
            .filter(|share| share.service == *service)
            .map(|share| share.share)
            .min_by(|a, b| a.fraction.total_cmp(&b.fraction))
    }
}
