//! Bounds the requests that try runners which may refuse them.

use std::time::Duration;
use std::time::Instant;

/// Pause after a refusal: about two passes. Doubles with the next one, since a group needs
/// a second or more to form again.
const PAUSE: Duration = Duration::from_millis(120);
/// Maximum number of doublings of [`PAUSE`] while nothing responds.
const MAX_DOUBLINGS: u32 = 1;
/// As [`MAX_DOUBLINGS`], while other runners respond: there are retries for the requests
/// that are refused, if they are few.
const MAX_DOUBLINGS_BESIDE_OTHERS: u32 = 5;

/// How many requests several runners may have together: half as many after a refusal, one
/// more after each response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Window {
    requests: u32,
    /// Pauses since a response last began.
    pauses: u32,
    paused_at: Option<Instant>,
}

impl Window {
    /// Returns a window without a bound, until the first refusal.
    pub(crate) fn unlimited() -> Self {
        Self {
            requests: u32::MAX,
            pauses: 0,
            paused_at: None,
        }
    }

    /// Returns a window of one request.
    pub(crate) fn single() -> Self {
        Self {
            requests: 1,
            ..Self::unlimited()
        }
    }

    pub(crate) fn is_single(&self) -> bool {
        self.requests == 1
    }

    /// Returns whether one more request is allowed beside `requests`.
    pub(crate) fn allows(&self, now: Instant, requests: u32, others_respond: bool) -> bool {
        requests < self.requests && !self.is_paused(now, others_respond)
    }

    /// Records a refusal while the runners have `requests` requests.
    pub(crate) fn refused(&mut self, requests: u32) {
        self.requests = (self.requests.min(requests) / 2).max(1);
    }

    /// Allows no request for a time. A pause that has begun does not get longer.
    pub(crate) fn pause(&mut self, now: Instant) {
        if !self.is_paused(now, false) {
            self.paused_at = Some(now);
            self.pauses += 1;
        }
    }

    fn is_paused(&self, now: Instant, others_respond: bool) -> bool {
        let max_doublings = match others_respond {
            true => MAX_DOUBLINGS_BESIDE_OTHERS,
            false => MAX_DOUBLINGS,
        };
        let doublings = self.pauses.saturating_sub(1).min(max_doublings);
        let pause = PAUSE * 2u32.pow(doublings);
        self.paused_at
            .is_some_and(|at| now.saturating_duration_since(at) < pause)
    }

    /// Records that one of the runners began a response.
    pub(crate) fn responded(&mut self) {
        self.requests = self.requests.saturating_add(1);
        self.pauses = 0;
        self.paused_at = None;
    }
}
