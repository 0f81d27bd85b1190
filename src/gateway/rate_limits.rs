//! The rate limits of runners: what responses and other entries say of them.

use std::time::Instant;

use serde_json::json;
use wisteriawick_core::gateway::ColdChange;
use wisteriawick_core::gateway::EntryShare;
use wisteriawick_core::gateway::LimitChange;
use wisteriawick_core::gateway::LimitNote;
use wisteriawick_core::gateway::LimitNotice;
use wisteriawick_core::gateway::RateLimit;
use wisteriawick_core::gateway::ServiceDemand;
use wisteriawick_core::gateway::ServiceShare;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::ids::ServiceId;

use crate::eventlog::EventCategory;
use crate::gateway::state::GatewayState;

/// Most notes in one report to a leader.
const MAX_REPORTED_NOTES: usize = 512;

/// What this entry reports to the leader of a group.
#[derive(Debug, Default)]
pub(crate) struct LimitReport {
    pub(crate) demands: Vec<ServiceDemand>,
    pub(crate) notes: Vec<LimitNote>,
}

impl GatewayState {
    /// Takes in what a response says about its runner's rate limit.
    pub(crate) fn observe_limit(
        &self,
        service: &ServiceId,
        runner: &ListedRunner,
        sent_at: Instant,
        notice: LimitNotice,
    ) {
        if notice == LimitNotice::Unreadable {
            let mut fields = self.positions.log_fields(runner);
            fields["problem"] = "a rate limit that is no valid number; ignored".into();
            self.log.line(EventCategory::Failure, "unreadable", fields);
            return;
        }
        let now = self.now();
        let change = self.with_service(service, |service_state| {
            service_state
                .pool
                .observe_limit(now, sent_at, runner, notice)
        });
        if let Some(change) = change.flatten() {
            self.log_limit(&change, "response");
            self.limits_changed.send_modify(|version| *version += 1);
        }
    }

    /// Takes in what a leader tells of the shares and of what other entries learned.
    pub(crate) fn learn_limits(&self, group: &str, shares: Vec<ServiceShare>, notes: &[LimitNote]) {
        let now = self.now();
        self.leader_shares.set(now, group, shares);
        self.refresh_shares();
        let mut changes = Vec::new();
        self.for_each_service(|_, service_state| {
            let learned = notes
                .iter()
                .filter_map(|note| service_state.pool.learn_limit(now, note));
            changes.extend(learned);
        });
        for change in &changes {
            self.log_limit(change, "other entries");
        }
    }

    /// Updates the shares of all pools. Without a leader the limits are divided equally; of
    /// the bound for runners that may be cold only an equal part is used.
    pub(crate) fn refresh_shares(&self) {
        let now = self.now();
        let entries = self.estimated_entries(now);
        let settled = self.settled_entries(now);
        self.for_each_service(|service, service_state| {
            let told = self.leader_shares.get(now, service);
            service_state.pool.set_cold_share(now, settled.into(), told);
            let share = told.unwrap_or_else(|| EntryShare::equal(entries.into()));
            service_state.pool.set_share(share);
        });
    }

    /// Returns what the leader of a group is to know: the demand for services whose
    /// runners have limits or may turn cold, and the limits of the group's runners and of
    /// those that belong to no group.
    pub(crate) fn limit_report(&self, group: &str) -> LimitReport {
        let now = self.now();
        let mut report = LimitReport::default();
        self.for_each_service(|service, service_state| {
            let pool = &service_state.pool;
            if pool.limited_count() > 0 || pool.has_cold_limit() {
                report.demands.push(ServiceDemand {
                    service: service.clone(),
                    per_second: pool.demand(now),
                });
            }
            let concerns_group = |runner: &ListedRunner| {
                let position = self.positions.get(runner.address);
                position.is_none_or(|position| &*position.group == group)
            };
            let notes = pool.limit_notes(now).into_iter();
            let notes = notes.filter(|(runner, _)| concerns_group(runner));
            report.notes.extend(notes.map(|(_, note)| note));
        });
        report.notes.truncate(MAX_REPORTED_NOTES);
        report
    }

    /// Logs that a runner turned cold or warm.
    pub(super) fn log_cold(&self, change: &ColdChange) {
        let mut fields = self.positions.log_fields(&change.runner);
        fields["cold"] = change.is_cold.into();
        fields["left_ms"] = json!(change.left.as_millis() as u64);
        fields["from"] = change.source.to_string().into();
        self.log.line(EventCategory::State, "cold_runner", fields);
    }

    fn log_limit(&self, change: &LimitChange, source: &str) {
        let mut fields = self.positions.log_fields(&change.runner);
        fields["per_second"] = json!(change.limit.map(RateLimit::per_second));
        fields["before"] = json!(change.before.map(RateLimit::per_second));
        fields["from"] = source.into();
        self.log.line(EventCategory::State, "rate_limit", fields);
    }
}
