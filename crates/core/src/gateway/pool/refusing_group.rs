//! The part of the pool for groups whose runners refused requests while they had room.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::Pool;
use crate::gateway::pool::Exclusions;
use crate::gateway::pool::runner::Runner;

/// How long a group gets no requests after one of its runners refused one: about two
/// passes. Doubles with each further refusal, since a group needs a second or more to form
/// again.
const BACKOFF: Duration = Duration::from_millis(120);
/// Maximum number of doublings of [`BACKOFF`] while nothing else responds.
const MAX_DOUBLINGS: u32 = 1;
/// As [`MAX_DOUBLINGS`], while other groups respond. A group that lacks ranks refuses for
/// minutes, and its idle runners look least loaded. If it is tried every four seconds,
/// also an entry with few requests has retries for those that it refuses.
const MAX_DOUBLINGS_BESIDE_OTHERS: u32 = 5;
/// Age up to which a part of a response shows that a group responds.
const MAX_RESPONSE_AGE: Duration = Duration::from_secs(2);

/// A group that refused requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RefusingGroup {
    /// Refusals since the group last served a request. Refusals during a backoff
    /// are not counted again.
    refusals: u32,
    refused_at: Option<Instant>,
    /// Requests in flight that probe whether the group accepts requests again.
    probes: u32,
}

impl RefusingGroup {
    pub(super) fn refused(&mut self, now: Instant) {
        let is_counted = self.is_paused(now, MAX_DOUBLINGS);
        if !is_counted {
            self.refused_at = Some(now);
            self.refusals += 1;
        }
        self.probe_ended();
    }

    pub(super) fn probe_began(&mut self) {
        self.probes += 1;
    }

    pub(super) fn probe_ended(&mut self) {
        self.probes = self.probes.saturating_sub(1);
    }

    fn is_paused(&self, now: Instant, max_doublings: u32) -> bool {
        self.is_within(now, self.refusals.saturating_sub(1).min(max_doublings))
    }

    fn is_within(&self, now: Instant, doublings: u32) -> bool {
        let pause = BACKOFF * 2u32.pow(doublings);
        self.refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < pause)
    }
}

impl Pool {
    /// Returns the groups that respond, if that matters, as others refuse.
    pub(super) fn responding_groups(&self, now: Instant) -> Vec<Option<Arc<str>>> {
        let mut groups = Vec::new();
        if self.refusing_groups.is_empty() && self.doubt.since(now).is_none() {
            return groups;
        }
        let since = now.checked_sub(MAX_RESPONSE_AGE).unwrap_or(now);
        for runner in self.runners.values() {
            let group = runner.group();
            if runner.bound.is_heard_since(since)
                && !groups
                    .iter()
                    .any(|known: &Option<_>| known.as_ref() == group)
            {
                groups.push(group.cloned());
            }
        }
        groups
    }

    /// Returns whether a request may be sent to a runner's group. After refusals,
    /// one request at a time probes the group.
    pub(super) fn group_may_be_tried(
        &self,
        now: Instant,
        runner: &Runner,
        exclusions: &Exclusions,
    ) -> bool {
        let Some(group) = runner.group() else {
            return true;
        };
        let Some(refusing) = self.refusing_groups.get(group) else {
            return true;
        };
        let mut responding = exclusions.responding_groups.iter();
        let is_paused = match responding.any(|other| other.as_ref() != Some(group)) {
            // A report that the group has opened ends the pause.
            true if runner.was_reported_closed() => {
                refusing.is_within(now, MAX_DOUBLINGS_BESIDE_OTHERS)
            }
            true => refusing.is_paused(now, MAX_DOUBLINGS_BESIDE_OTHERS),
            false => refusing.is_paused(now, MAX_DOUBLINGS),
        };
        refusing.probes == 0 && !is_paused
    }
}
