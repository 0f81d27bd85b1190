//! A runner as one entry sees it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::LoadReport;
use crate::gateway::PoolLimits;
use crate::gateway::pool::health::Health;
use crate::hosting::ListedRunner;
use crate::hosting::ListedState;

/// Age at which a load report says nothing any more.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);
/// Age of what a report says when it arrives: agents look at their runner every
/// 100 ms, and leaders pass on what they heard with each pass.
const REPORT_DELAY: Duration = Duration::from_millis(150);

#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) listed: ListedRunner,
    /// Own requests at it.
    in_flight: u32,
    /// Own requests that began (one more) or ended (one less) of late.
    recent_changes: VecDeque<(Instant, i32)>,
    pub(super) health: Health,
    last_report: Option<ReceivedReport>,
    /// Whether it is gone from the list; kept while requests are at it.
    pub(super) is_unlisted: bool,
}

#[derive(Clone, Debug)]
pub(super) struct ReceivedReport {
    pub(super) at: Instant,
    pub(super) load: LoadReport,
    /// Own requests among those that the report tells of.
    own_requests: u32,
}

impl Runner {
    pub(super) fn new(now: Instant, listed: ListedRunner) -> Self {
        Self {
            listed,
            in_flight: 0,
            recent_changes: VecDeque::new(),
            health: Health::new(now),
            last_report: None,
            is_unlisted: false,
        }
    }

    /// Returns own requests at it.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records that an own request goes to it.
    pub(super) fn request_started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.record_change(now, 1);
    }

    /// Records that an own request left it.
    pub(super) fn request_ended(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_change(now, -1);
    }

    fn record_change(&mut self, now: Instant, change: i32) {
        self.drop_reported_changes(now);
        self.recent_changes.push_back((now, change));
    }

    /// Drops changes of which any report tells that arrives from now on.
    fn drop_reported_changes(&mut self, now: Instant) {
        let seen_at = now.checked_sub(REPORT_DELAY).unwrap_or(now);
        while self
            .recent_changes
            .front()
            .is_some_and(|(at, _)| *at <= seen_at)
        {
            self.recent_changes.pop_front();
        }
    }

    /// Takes a report.
    ///
    /// The load it answers: many requests a second over many runners. A report
    /// does not tell of what was sent while it was on its way. If that counted
    /// as told, the runner would look free again with each report, and the next
    /// requests would follow those before, to a runner that is full.
    pub(super) fn receive_report(&mut self, now: Instant, load: &LoadReport) {
        self.drop_reported_changes(now);
        let since: i32 = self.recent_changes.iter().map(|(_, change)| change).sum();
        self.last_report = Some(ReceivedReport {
            at: now,
            load: load.clone(),
            own_requests: self.in_flight.saturating_add_signed(-since),
        });
    }

    /// Forgets what reports said of an earlier life.
    pub(super) fn clear_report(&mut self) {
        self.last_report = None;
    }

    pub(super) fn last_report(&self) -> Option<&ReceivedReport> {
        self.last_report.as_ref()
    }

    pub(super) fn accepts_requests(&self, now: Instant) -> bool {
        let open = match self.fresh_report(now) {
            Some(ReceivedReport { load, .. }) => {
                load.group.as_ref().is_none_or(|group| group.is_open)
            }
            None => true,
        };
        open && !self.is_unlisted
            && self.listed.state == ListedState::Ready
            && !self.health.is_unavailable(now)
    }

    pub(super) fn fresh_report(&self, now: Instant) -> Option<&ReceivedReport> {
        self.last_report
            .as_ref()
            .filter(|last_report| now.saturating_duration_since(last_report.at) < MAX_REPORT_AGE)
    }

    /// Returns the requests of all entries at the runner: own ones as they
    /// are, others' as of its last report.
    pub(super) fn total_requests(&self, now: Instant) -> u32 {
        let others = self.fresh_report(now).map_or(0, |last_report| {
            let reported = last_report.load.running + last_report.load.waiting;
            reported.saturating_sub(last_report.own_requests)
        });
        self.in_flight + others
    }

    pub(super) fn has_room(&self, now: Instant, limits: &PoolLimits) -> bool {
        match self.fresh_report(now) {
            Some(last_report) => self.total_requests(now) < limits.at_pass_time(&last_report.load),
            None => self.in_flight < limits.max_without_report,
        }
    }

    pub(super) fn group(&self) -> Option<&Arc<str>> {
        Some(&self.last_report.as_ref()?.load.group.as_ref()?.name)
    }
}
