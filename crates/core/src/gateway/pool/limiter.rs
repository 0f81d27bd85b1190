//! Keeps this entry's share of a runner's rate limit.

use std::time::Instant;

use crate::gateway::EntryShare;
use crate::gateway::limit_state::LimitState;
use crate::gateway::token_bucket::TokenBucket;
use crate::ids::RunnerId;

/// The rate limit of one runner, and the requests that this entry may send to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limiter {
    pub(super) state: LimitState,
    bucket: TokenBucket,
}

impl Limiter {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            state: LimitState::default(),
            bucket: TokenBucket::new(now),
        }
    }

    /// Empties the bucket when a limit begins.
    pub(super) fn begin(&mut self, now: Instant) {
        self.bucket = TokenBucket::new(now);
    }

    /// Returns whether there is a limit and recent evidence for it.
    pub(super) fn is_in_force(&self, now: Instant) -> bool {
        self.state.limit().is_some() && !self.state.is_stale(now)
    }

    /// Returns whether the limit allows a request now.
    pub(super) fn allows(&self, now: Instant, id: &RunnerId, share: &EntryShare) -> bool {
        match self.rate(now, id, share) {
            Some(rate) => self.bucket.has_token(now, rate),
            None => true,
        }
    }

    /// Counts a request; returns whether the limit allows it.
    pub(super) fn take(&mut self, now: Instant, id: &RunnerId, share: &EntryShare) -> bool {
        match self.rate(now, id, share) {
            Some(rate) => self.bucket.take(now, rate),
            None => true,
        }
    }

    /// Returns the requests per second that this entry may send; `None` without a limit.
    fn rate(&self, now: Instant, id: &RunnerId, share: &EntryShare) -> Option<f64> {
        let limit = self.state.limit()?;
        Some(match self.state.is_stale(now) {
            true => share.stale_rate(id, limit),
            false => share.rate(id, limit),
        })
    }
}
