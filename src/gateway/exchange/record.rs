//! What the log and the metrics tell of a request.

use std::sync::atomic::Ordering;

use metrics::counter;
use metrics::histogram;
use serde_json::json;
use wisteriawick_core::gateway::AttemptOutcome;
use wisteriawick_core::gateway::NextStep;
use wisteriawick_core::gateway::RetryState;
use wisteriawick_core::hosting::ListedRunner;

use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::gateway::attempt::FailedAttempt;
use crate::gateway::exchange::Exchange;
use crate::gateway::state::lock;
use crate::telemetry;

impl Exchange {
    /// Writes a log line about this request; routine lines are sampled.
    pub(crate) fn log(&self, category: EventCategory, kind: &str, fields: serde_json::Value) {
        if !self.is_logged(category) {
            return;
        }
        let mut line = json!({
            "request": self.caller.id,
            "route": self.route_match.route.name,
            "age_ms": self.age().as_millis() as u64,
        });
        extend(&mut line, fields);
        self.state.log.line(category, kind, line);
    }

    /// Writes a log line about this request at a runner; see [`log`](Self::log).
    pub(crate) fn log_at(
        &self,
        category: EventCategory,
        kind: &str,
        runner: &ListedRunner,
        fields: serde_json::Value,
    ) {
        if !self.is_logged(category) {
            return;
        }
        let mut line = self.state.positions.log_fields(runner);
        extend(&mut line, fields);
        self.log(category, kind, line);
    }

    fn is_logged(&self, category: EventCategory) -> bool {
        category != EventCategory::Routine || EventLog::is_sampled(&self.caller.id)
    }

    /// Logs and counts how an attempt failed and what follows.
    pub(super) fn log_attempt_ended(
        &self,
        retry: &RetryState,
        runner: &ListedRunner,
        failed: &FailedAttempt,
        step: NextStep,
    ) {
        let outcome = match failed.outcome {
            AttemptOutcome::NotSent => "not sent",
            AttemptOutcome::NotRun => "not run",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::Unknown => "unknown",
        };
        counter!(telemetry::FAILED_ATTEMPTS, "outcome" => outcome).increment(1);
        self.log_at(
            EventCategory::Failure,
            "attempt_ended",
            runner,
            json!({
                "outcome": format!("{:?}", failed.outcome),
                "detail": failed.detail,
                "next": format!("{step:?}"),
                "limit": retry.limit.map(|limit| limit.to_string()),
                "reached": retry.reached,
                "has": failed.connection_broke.then(|| self.suspect_names()),
            }),
        );
    }

    /// Logs that the request is cut off because the process ends.
    pub(crate) fn log_cut_off(&self, fields: serde_json::Value) {
        let mut line = json!({
            "after_stop_ms": self.arrived_after_stop.map(|time| time.as_millis() as u64),
            "first_on_connection": self.is_first_on_connection,
        });
        extend(&mut line, fields);
        self.log(EventCategory::Failure, "cut_off", line);
    }

    /// Logs and counts that the caller closed its connection before the response was
    /// complete.
    pub(super) fn log_caller_left(&self) {
        self.count_outcome("caller left");
        let category = EventCategory::Failure;
        match &*lock(&self.last_runner) {
            Some(runner) => self.log_at(category, "caller_left", runner, json!({})),
            None => self.log(category, "caller_left", json!({})),
        }
    }

    /// Counts the request by its outcome.
    pub(crate) fn count_outcome(&self, outcome: &'static str) {
        self.has_outcome.store(true, Ordering::Relaxed);
        counter!(telemetry::REQUESTS, "outcome" => outcome).increment(1);
    }

    /// Records the time since the request head arrived.
    pub(crate) fn record_latency(&self) {
        let age = self.age();
        let kind = match self.route_match.route.is_streaming {
            true => "stream",
            false => "plain",
        };
        histogram!(telemetry::RESPONSE_SECONDS, "kind" => kind).record(age.as_secs_f64());
    }
}

/// Adds fields to those of a log line.
fn extend(line: &mut serde_json::Value, fields: serde_json::Value) {
    if let (Some(line), serde_json::Value::Object(fields)) = (line.as_object_mut(), fields) {
        line.extend(fields);
    }
}
