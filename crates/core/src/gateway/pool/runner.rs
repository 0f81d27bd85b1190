//! The state of one runner, as known to this entry.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::LoadReport;
use crate::gateway::PoolLimits;
use crate::gateway::pool::health::Health;
use crate::gateway::pool::limiter::Limiter;
use crate::gateway::silent_runners::Bound;
use crate::hosting::ListedRunner;
use crate::hosting::ListedState;

/// Age at which a load report is no longer used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);
/// Age of the data in a load report on arrival: agents poll their runner every
/// 100 ms, and group leaders forward the results with each pass.
const REPORT_DELAY: Duration = Duration::from_millis(150);
/// How long a runner may hold requests without a sign of life. A slow pass takes a
/// quarter of a second.
const MAX_SILENCE: Duration = Duration::from_millis(400);
/// As [`MAX_SILENCE`], in passes of a group that is slower.
const MAX_SILENT_PASSES: u32 = 2;

#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) listed: ListedRunner,
    /// Number of this entry's requests at the runner.
    in_flight: u32,
    /// Recent changes of `in_flight`, which load reports do not include yet.
    recent_changes: VecDeque<(Instant, i32)>,
    pub(super) health: Health,
    pub(super) limiter: Limiter,
    /// Bounds the requests while there are no reports.
    pub(super) bound: Bound,
    /// Until when the runner has asked to be left alone.
    pub(super) resting_until: Option<Instant>,
    /// Since when the runner has had requests without a sign of life.
    silent_since: Option<Instant>,
    last_report: Option<ReceivedReport>,
    /// Whether the runner is no longer listed. It is kept until its requests have
    /// ended, and while what it said of itself may hold, in case it is listed again.
    pub(super) is_unlisted: bool,
    /// Whether the runner's data centre is evacuated.
    pub(super) is_evacuated: bool,
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
            limiter: Limiter::new(now, &listed.id),
            listed,
            in_flight: 0,
            recent_changes: VecDeque::new(),
            health: Health::new(now),
            bound: Bound::default(),
            resting_until: None,
            silent_since: None,
            last_report: None,
            is_unlisted: false,
            is_evacuated: false,
        }
    }

    /// Returns the number of this entry's requests at the runner.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether the runner that was selected takes no more requests: it is leaving,
    /// is not listed any more, or has started again.
    pub(super) fn is_gone(&self, selected: &ListedRunner) -> bool {
        self.is_unlisted
            || self.listed.state != ListedState::Ready
            || self.listed.started_unix_ms != selected.started_unix_ms
            || self.listed.address != selected.address
    }

    /// Returns how long the runner still wants no request.
    pub(super) fn rest_left(&self, now: Instant) -> Option<Duration> {
        let left = self.resting_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether nothing of the runner needs to be kept.
    pub(super) fn is_forgettable(&self, now: Instant) -> bool {
        self.is_unlisted
            && self.in_flight == 0
            && !self.limiter.is_in_force(now)
            && self.rest_left(now).is_none()
    }

    /// Records that this entry sends a request to the runner.
    pub(super) fn request_started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.silent_since.get_or_insert(now);
        self.record_change(now, 1);
    }

    /// Records that something arrived from the runner.
    pub(super) fn record_sign_of_life(&mut self, now: Instant) {
        self.silent_since = (self.in_flight > 0).then_some(now);
    }

    /// Returns whether the runner has had requests for longer than a slow pass and
    /// has given no sign of life. A request that is sent to a machine that does not
    /// respond arrives when it does again, after its caller has left.
    ///
    /// Reports do not count: they come from the leader of the runner's group, which
    /// may run while this runner is unreachable.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        let pass_time = self
            .fresh_report(now)
            .and_then(|report| report.load.group.as_ref())
            .map_or(Duration::ZERO, |group| group.pass_time);
        let max_silence = MAX_SILENCE.max(pass_time * MAX_SILENT_PASSES);
        let is_overdue = |since| now.saturating_duration_since(since) > max_silence;
        self.in_flight > 0 && self.silent_since.is_some_and(is_overdue)
    }

    /// Records that one of this entry's requests ended at the runner.
    pub(super) fn request_ended(&mut self, now: Instant) {
        let was_silent = self.is_silent(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.bound.became_idle();
        }
        if self.in_flight == 0 && !was_silent {
            self.silent_since = None;
        }
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

    /// Returns whether a report says that the runner's group has opened.
    pub(super) fn opens_with(&self, load: &LoadReport) -> bool {
        load.group.as_ref().is_some_and(|group| group.is_open) && self.was_reported_closed()
    }

    /// Returns whether the last report, also an old one, says that the group is closed.
    pub(super) fn was_reported_closed(&self) -> bool {
        let last = self.last_report.as_ref();
        last.and_then(|last| last.load.group.as_ref())
            .is_some_and(|group| !group.is_open)
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
            && !self.is_evacuated
            && self.is_listed_ready()
            && !self.health.is_unavailable(now)
            && self.rest_left(now).is_none()
    }

    /// Returns whether the list has the runner as one that takes requests.
    pub(super) fn is_listed_ready(&self) -> bool {
        !self.is_unlisted && self.listed.state == ListedState::Ready
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
        if limits.max_pass_time.is_some() && self.is_silent(now) {
            return false;
        }
        match self.fresh_report(now) {
            Some(report) => self.total_requests(now) < limits.at_pass_time(&report.load),
            None => self.in_flight < self.bound.requests(limits),
        }
    }

    /// Returns the name of the runner's group; `None` if no report named one.
    pub(super) fn group(&self) -> Option<&Arc<str>> {
        Some(&self.last_report.as_ref()?.load.group.as_ref()?.name)
    }
}
