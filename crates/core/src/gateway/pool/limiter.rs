//! Keeps this entry's share of the limits on the requests to a runner.

use std::time::Instant;

use crate::gateway::EntryShare;
use crate::gateway::cold::ColdStatus;
use crate::gateway::entry_share::spread;
use crate::gateway::limit_state::LimitState;
use crate::gateway::token_bucket::Refill;
use crate::gateway::token_bucket::TokenBucket;
use crate::ids::RunnerId;

/// The limits of one runner, and the requests that this entry may send to it: the rate
/// that the runner names, and the bound for runners that may be cold. The stricter one
/// holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limiter {
    pub(super) state: LimitState,
    bucket: TokenBucket,
    pub(super) cold: ColdStatus,
    cold_bucket: TokenBucket,
    /// A number that differs between runners and is the same at all entries.
    pub(super) spread: u32,
}

/// What this entry may use of a runner's limits now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allowance<'a> {
    /// Its share of a rate that the runner names.
    pub(super) share: &'a EntryShare,
    /// Requests in any second because the runner may be cold; `None` if its service
    /// declares no cold start.
    pub(super) cold_quota: Option<u32>,
}

impl Limiter {
    pub(super) fn new(now: Instant, id: &RunnerId) -> Self {
        Self {
            state: LimitState::default(),
            bucket: TokenBucket::new(now),
            cold: ColdStatus::default(),
            cold_bucket: TokenBucket::new(now),
            spread: spread(id),
        }
    }

    /// Empties the bucket when a limit begins.
    pub(super) fn begin(&mut self, now: Instant) {
        self.bucket = TokenBucket::new(now);
    }

    /// Empties the bucket of the bound for runners that may be cold when it begins.
    pub(super) fn begin_cold(&mut self, now: Instant) {
        self.cold_bucket = TokenBucket::new(now);
    }

    /// Returns whether the runner named a limit and there is recent evidence for it.
    pub(super) fn is_in_force(&self, now: Instant) -> bool {
        self.state.limit().is_some() && !self.state.is_stale(now)
    }

    /// Returns whether the limits allow a request now.
    pub(super) fn allows(&self, now: Instant, id: &RunnerId, allowance: Allowance<'_>) -> bool {
        let is_within_rate = match self.rate(now, id, allowance.share) {
            Some(rate) => self.bucket.has_token(now, rate),
            None => true,
        };
        is_within_rate && self.allows_cold(now, allowance.cold_quota)
    }

    /// Returns whether the bound for runners that may be cold allows a request now.
    pub(super) fn allows_cold(&self, now: Instant, quota: Option<u32>) -> bool {
        quota.is_none_or(|quota| {
            let refill = Refill::within_a_second(quota);
            self.cold_bucket.has_token_of(now, refill)
        })
    }

    /// Counts a request; returns whether the rate that the runner names allows it.
    pub(super) fn take(&mut self, now: Instant, id: &RunnerId, share: &EntryShare) -> bool {
        match self.rate(now, id, share) {
            Some(rate) => self.bucket.take(now, rate),
            None => true,
        }
    }

    /// Counts a request; returns whether the bound for runners that may be cold allows it.
    pub(super) fn take_cold(&mut self, now: Instant, quota: u32) -> bool {
        self.cold_bucket
            .take_of(now, Refill::within_a_second(quota))
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
