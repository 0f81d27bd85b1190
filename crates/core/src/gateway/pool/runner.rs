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
const REPORT_LIFE: Duration = Duration::from_millis(1500);
/// Age of what a report says when it arrives: agents look at their runner every
/// 100 ms, and leaders pass on what they heard with each pass.
const REPORT_AGE: Duration = Duration::from_millis(150);

#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) listed: ListedRunner,
    /// Own requests at it.
    in_flight: u32,
    /// Own requests that began (one more) or ended (one less) of late.
    changes: VecDeque<(Instant, i32)>,
    pub(super) health: Health,
    report: Option<Reported>,
    /// Whether it is gone from the list; kept while requests are at it.
    pub(super) gone: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Reported {
    pub(super) at: Instant,
    pub(super) load: LoadReport,
    /// Own requests among those that the report tells of.
    own: u32,
}

impl Runner {
    pub(super) fn new(now: Instant, listed: ListedRunner) -> Self {
        Self {
            listed,
            in_flight: 0,
            changes: VecDeque::new(),
            health: Health::new(now),
            report: None,
            gone: false,
        }
    }

    /// Returns own requests at it.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records that an own request goes to it.
    pub(super) fn began(&mut self, now: Instant) {
        self.in_flight += 1;
        self.note_change(now, 1);
    }

    /// Records that an own request left it.
    pub(super) fn ended(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.note_change(now, -1);
    }

    fn note_change(&mut self, now: Instant, change: i32) {
        self.forget_changes(now);
        self.changes.push_back((now, change));
    }

    /// Drops changes of which any report tells that arrives from now on.
    fn forget_changes(&mut self, now: Instant) {
        let seen_at = now.checked_sub(REPORT_AGE).unwrap_or(now);
        while self.changes.front().is_some_and(|(at, _)| *at <= seen_at) {
            self.changes.pop_front();
        }
    }

    /// Takes a report.
    ///
    /// The load it answers: many requests a second over many runners. A report
    /// does not tell of what was sent while it was on its way. If that counted
    /// as told, the runner would look free again with each report, and the next
    /// requests would follow those before, to a runner that is full.
    pub(super) fn take_report(&mut self, now: Instant, load: &LoadReport) {
        self.forget_changes(now);
        let since: i32 = self.changes.iter().map(|(_, change)| change).sum();
        self.report = Some(Reported {
            at: now,
            load: load.clone(),
            own: self.in_flight.saturating_add_signed(-since),
        });
    }

    /// Forgets what reports said of an earlier life.
    pub(super) fn forget_report(&mut self) {
        self.report = None;
    }

    pub(super) fn report(&self) -> Option<&Reported> {
        self.report.as_ref()
    }

    pub(super) fn takes_work(&self, now: Instant) -> bool {
        let open = match self.fresh_report(now) {
            Some(Reported { load, .. }) => load.group.as_ref().is_none_or(|group| group.is_open),
            None => true,
        };
        open && !self.gone && self.listed.state == ListedState::Ready && !self.health.is_broken(now)
    }

    pub(super) fn fresh_report(&self, now: Instant) -> Option<&Reported> {
        self.report
            .as_ref()
            .filter(|report| now.saturating_duration_since(report.at) < REPORT_LIFE)
    }

    /// Returns the requests of all entries at the runner: own ones as they
    /// are, others' as of its last report.
    pub(super) fn held(&self, now: Instant) -> u32 {
        let others = self.fresh_report(now).map_or(0, |report| {
            let reported = report.load.running + report.load.waiting;
            reported.saturating_sub(report.own)
        });
        self.in_flight + others
    }

    pub(super) fn has_room(&self, now: Instant, limits: &PoolLimits) -> bool {
        match self.fresh_report(now) {
            Some(report) => self.held(now) < limits.at_pace(&report.load),
            None => self.in_flight < limits.unreported,
        }
    }

    pub(super) fn group(&self) -> Option<&Arc<str>> {
        Some(&self.report.as_ref()?.load.group.as_ref()?.name)
    }
}
