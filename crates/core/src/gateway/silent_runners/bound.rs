//! Bounds the requests of this entry at one runner without reports.

use std::time::Duration;
use std::time::Instant;

use crate::gateway::PoolLimits;
use crate::gateway::silent_runners::Standing;

/// How long a runner gets no requests after it refused one: about two passes. Doubles with
/// each further refusal.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(120);
/// Maximum number of doublings of [`REFUSAL_BACKOFF`]: a group forms again within seconds.
const MAX_DOUBLINGS: u32 = 4;
/// Time in which the bound is halved at most once, since all streams of a runner show the
/// same slow pass.
const HALVING_INTERVAL: Duration = Duration::from_millis(400);

/// How many requests one runner gets, by its own responses.
///
/// The load that other entries bring is unknown, so the bound grows by one request at a time
/// while responses begin, and is halved when the runner refuses or is slow.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bound {
    /// Requests allowed beyond those that a new runner gets; negative below.
    change: i32,
    halved_at: Option<Instant>,
    /// Refusals since a response last began.
    refusals: u32,
    refused_until: Option<Instant>,
    /// When the runner last sent a part of a response.
    heard_at: Option<Instant>,
    /// As `heard_at`; `None` while the runner has no requests.
    pause_since: Option<Instant>,
}

impl Bound {
    /// Returns the maximum number of this entry's requests at the runner.
    pub(crate) fn requests(&self, limits: &PoolLimits) -> u32 {
        let max = limits.max_per_runner.max(limits.max_without_report);
        limits
            .max_without_report
            .saturating_add_signed(self.change)
            .clamp(1, max.max(1))
    }

    /// Records that a response began while the runner had `in_flight` requests.
    pub(crate) fn response_began(&mut self, now: Instant, in_flight: u32, limits: &PoolLimits) {
        self.refusals = 0;
        self.refused_until = None;
        self.heard_at = Some(now);
        self.pause_since = Some(now);
        let allowed = self.requests(limits);
        if in_flight >= allowed && allowed < limits.max_per_runner {
            self.change += 1;
        }
    }

    /// Records that an event of a stream arrived. If the one before came longer ago than
    /// a pass may take, the runner is slow.
    pub(crate) fn event_arrived(&mut self, now: Instant, limits: &PoolLimits) {
        if let Some(max_pass_time) = limits.max_pass_time
            && let Some(since) = self.pause_since
            && now.saturating_duration_since(since) > max_pass_time
        {
            self.halve(now, limits);
        }
        self.heard_at = Some(now);
        self.pause_since = Some(now);
    }

    /// Records that nothing is expected of the runner, so that the time until its next
    /// event is no pause.
    pub(crate) fn became_idle(&mut self) {
        self.pause_since = None;
    }

    /// Records that the runner refused a request as it is full.
    pub(crate) fn was_full(&mut self, now: Instant, limits: &PoolLimits) {
        self.refused_until = Some(now + REFUSAL_BACKOFF);
        self.halve(now, limits);
    }

    /// Records that the runner refused a request while it had room.
    pub(crate) fn refused(&mut self, now: Instant, limits: &PoolLimits) {
        let doublings = self.refusals.min(MAX_DOUBLINGS);
        self.refused_until = Some(now + REFUSAL_BACKOFF * 2u32.pow(doublings));
        self.refusals += 1;
        self.halve(now, limits);
    }

    /// Returns whether the runner refused a request a short time ago.
    pub(crate) fn is_refusing(&self, now: Instant) -> bool {
        self.refused_until.is_some_and(|until| now < until)
    }

    /// Returns whether a part of a response has arrived since `since`.
    pub(crate) fn is_heard_since(&self, since: Instant) -> bool {
        self.heard_at.is_some_and(|at| at >= since)
    }

    /// Returns the standing of the runner in a doubt that arose at `since`.
    pub(crate) fn standing(&self, since: Instant) -> Standing {
        match self.heard_at {
            _ if self.refusals > 0 => Standing::Refusing,
            Some(at) if at >= since => Standing::Heard,
            _ => Standing::Unheard,
        }
    }

    /// Halves the bound of a rank. A runner outside a group always has the same bound: its
    /// pauses are its own, and what it can't take it refuses.
    fn halve(&mut self, now: Instant, limits: &PoolLimits) {
        if !limits.has_groups {
            return;
        }
        let is_past = |at| now.saturating_duration_since(at) >= HALVING_INTERVAL;
        if self.halved_at.is_none_or(is_past) {
            self.halved_at = Some(now);
            let allowed = self.requests(limits);
            self.change -= (allowed / 2).cast_signed();
        }
    }
}
