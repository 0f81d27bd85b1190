//! The state of one runner, as known to this entry.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::LoadReport;
use crate::gateway::PoolLimits;
use crate::gateway::pool::health::Health;
use crate::hosting::ListedRunner;
use crate::hosting::ListedState;

/// Age at which a load report is no longer used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);
/// Age of the data in a load report on arrival: agents poll their runner every
/// 100 ms, and group leaders forward the results with each pass.
const REPORT_DELAY: Duration = Duration::from_millis(150);

#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) listed: ListedRunner,
    /// Number of this entry's requests at the runner.
    in_flight: u32,
    /// Recent changes of `in_flight`, which load reports do not include yet.
    recent_changes: VecDeque<(Instant, i32)>,
    pub(super) health: Health,
    last_report: Option<ReceivedReport>,
    /// Whether the runner is no longer listed. It is kept until its requests have
    /// ended.
    pub(super) is_unlisted: bool,
}

#[derive(Clone, Debug)]
pub(super) struct ReceivedReport {
    pub(super) at: Instant,
    pub(super) load: LoadReport,
    /// Number of this entry's requests that the report includes.
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

    /// Returns the number of this entry's requests at the runner.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records that this entry sends a request to the runner.
    pub(super) fn request_started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.record_change(now, 1);
    }

    /// Records that one of this entry's requests ended at the runner.
    pub(super) fn request_ended(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_change(now, -1);
    }

    fn record_change(&mut self, now: Instant, change: i32) {
        self.drop_reported_changes(now);
        self.recent_changes.push_back((now, change));
    }

    /// Drops the changes that are included in every report arriving from now on.
    fn drop_reported_changes(&mut self, now: Instant) {
        let reported_until = now.checked_sub(REPORT_DELAY).unwrap_or(now);
        while self
            .recent_changes
            .front()
            .is_some_and(|(at, _)| *at <= reported_until)
        {
            self.recent_changes.pop_front();
        }
    }

    /// Stores a load report.
    ///
    /// A report does not include requests that were sent while it was on its way.
    /// If they were taken as included, each report would make a busy runner look
    /// idle, and at many requests per second the following ones would all be sent
    /// to a runner that is already full.
    pub(super) fn receive_report(&mut self, now: Instant, load: &LoadReport) {
        self.drop_reported_changes(now);
        let unreported: i32 = self.recent_changes.iter().map(|(_, change)| change).sum();
        self.last_report = Some(ReceivedReport {
            at: now,
            load: load.clone(),
            own_requests: self.in_flight.saturating_add_signed(-unreported),
        });
    }

    /// Drops the last report, which is about an earlier incarnation.
    pub(super) fn clear_report(&mut self) {
        self.last_report = None;
    }

    pub(super) fn last_report(&self) -> Option<&ReceivedReport> {
        self.last_report.as_ref()
    }

    /// Returns whether requests may be sent to the runner, apart from its load and
    /// from ejection for error responses.
    pub(super) fn accepts_requests(&self, now: Instant) -> bool {
        let is_group_open = match self.fresh_report(now) {
            Some(ReceivedReport { load, .. }) => {
                load.group.as_ref().is_none_or(|group| group.is_open)
            }
            None => true,
        };
        is_group_open
            && !self.is_unlisted
            && self.listed.state == ListedState::Ready
            && !self.health.is_unavailable(now)
    }

    /// Returns the last report unless it is too old.
    pub(super) fn fresh_report(&self, now: Instant) -> Option<&ReceivedReport> {
        self.last_report
            .as_ref()
            .filter(|report| now.saturating_duration_since(report.at) < MAX_REPORT_AGE)
    }

    /// Returns the number of all entries' requests at the runner: the current
    /// number of this entry's, plus the others' according to the last report.
    pub(super) fn total_requests(&self, now: Instant) -> u32 {
        let others = self.fresh_report(now).map_or(0, |report| {
            let reported = report.load.running + report.load.waiting;
            reported.saturating_sub(report.own_requests)
        });
        self.in_flight + others
    }

    /// Returns whether the limits allow one more request at the runner.
    pub(super) fn has_room(&self, now: Instant, limits: &PoolLimits) -> bool {
        match self.fresh_report(now) {
            Some(report) => self.total_requests(now) < limits.at_pass_time(&report.load),
            None => self.in_flight < limits.max_without_report,
        }
    }

    /// Returns the name of the runner's group; `None` if no report named one.
    pub(super) fn group(&self) -> Option<&Arc<str>> {
        Some(&self.last_report.as_ref()?.load.group.as_ref()?.name)
    }
}
