//! A runner as one entry sees it.

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

#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) listed: ListedRunner,
    /// Own requests at it.
    pub(super) in_flight: u32,
    pub(super) health: Health,
    pub(super) report: Option<Reported>,
    /// Whether it is gone from the list; kept while requests are at it.
    pub(super) gone: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Reported {
    pub(super) at: Instant,
    pub(super) load: LoadReport,
    /// Own requests at the runner when the report came.
    pub(super) own: u32,
}

impl Runner {
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
