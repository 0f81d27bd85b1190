//! Which rate limit of a runner is in force at an entry.
//!
//! Responses arrive in another order than the runner made them, and other entries
//! learn at other times. A response was made at some moment between the sending of
//! its request and its arrival. It therefore replaces what an earlier one said only if
//! its request was sent after the earlier one had arrived; while this is open, the
//! stricter limit holds.

use std::time::Duration;
use std::time::Instant;

use crate::gateway::LimitNotice;
use crate::gateway::RateLimit;

/// Longest time that a note of another entry is assumed to be on its way.
const MAX_NOTE_DELAY: Duration = Duration::from_millis(500);
/// How long a limit is relied upon without a further response or note about it.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(10);

/// What an entry knows of a runner's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitState {
    limit: Option<RateLimit>,
    /// Latest moment at which the limit is known to have been so; `None` as long as
    /// nothing named one.
    evidence_at: Option<Instant>,
    /// Whether the evidence is a response that this entry received.
    is_own: bool,
}

impl LimitState {
    /// Returns the limit in force.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Returns whether nothing was heard of the limit in force for so long that it may
    /// have ended.
    pub fn is_stale(&self, now: Instant) -> bool {
        let is_old = |at| now.saturating_duration_since(at) >= EVIDENCE_LIFETIME;
        self.evidence_at.is_some_and(is_old)
    }

    /// Takes in a response that arrived now to a request that was sent at `sent_at`;
    /// returns whether the limit in force changed.
    pub fn observe(&mut self, now: Instant, sent_at: Instant, notice: LimitNotice) -> bool {
        let heard = match notice {
            LimitNotice::Limited(limit) => Some(limit),
            LimitNotice::Unlimited => None,
            LimitNotice::Unreadable => return false,
        };
        let before = self.limit;
        let is_later = self.evidence_at.is_none_or(|at| sent_at >= at);
        if !is_later && !is_as_strict(heard, before) {
            return false;
        }
        if heard.is_none() && self.evidence_at.is_none() {
            return false;
        }
        self.limit = heard;
        self.is_own = true;
        let certain_at = match heard {
            Some(_) => now,
            None => sent_at,
        };
        self.evidence_at = self.evidence_at.max(Some(certain_at));
        heard != before
    }

    /// Takes in what another entry learned; returns whether the limit in force changed.
    pub fn learn(&mut self, now: Instant, limit: Option<RateLimit>, age: Duration) -> bool {
        let Some(at) = now.checked_sub(age) else {
            return false;
        };
        let margin = match limit {
            Some(_) => Duration::ZERO,
            None => MAX_NOTE_DELAY,
        };
        let is_news = match self.evidence_at {
            Some(known) => at > known + margin,
            None => limit.is_some(),
        };
        if !is_news {
            return false;
        }
        let is_changed = self.limit != limit;
        self.limit = limit;
        self.evidence_at = Some(at);
        self.is_own = false;
        is_changed
    }

    /// Returns the limit in force and the age of the evidence, if this entry's own
    /// responses are recent evidence for it.
    pub fn own_evidence(&self, now: Instant) -> Option<(Option<RateLimit>, Duration)> {
        let at = self.evidence_at.filter(|_| self.is_own)?;
        (!self.is_stale(now)).then(|| (self.limit, now.saturating_duration_since(at)))
    }
}

/// Returns whether a limit allows no more requests than another one.
fn is_as_strict(limit: Option<RateLimit>, than: Option<RateLimit>) -> bool {
    match (limit, than) {
        (_, None) => true,
        (None, Some(_)) => false,
        (Some(limit), Some(than)) => limit <= than,
    }
}
