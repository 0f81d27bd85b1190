//! What the caller is told at the end of a request that no stream answers.

use std::time::Duration;

use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use metrics::counter;
use serde_json::json;
use wisteriawick_core::gateway::RejectReason;
use wisteriawick_core::gateway::StopSchedule;
use wisteriawick_core::hosting::ListedRunner;

use crate::eventlog::EventCategory;
use crate::gateway::attempt::BufferedResponse;
use crate::gateway::exchange::Block;
use crate::gateway::exchange::Exchange;
use crate::gateway::exchange::RETRY_AFTER_WAIT;
use crate::gateway::exchange::RequestAttempts;
use crate::gateway::response::Body;
use crate::gateway::response::local_reply;
use crate::gateway::response::response;
use crate::gateway::slot_request::NoSlot;
use crate::gateway::stop::Due;
use crate::telemetry;

/// Share of the time until their deadline that callers wait before they retry at most.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;
/// Shortest time that a refusal states.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Part of the longest time over which callers are spread that would return together.
const RETRY_SPREAD: f64 = 0.25;

impl Exchange {
    /// Responds that this process is stopping and did not take the request.
    pub(super) fn refuse_during(&self, stop: StopSchedule) -> Response<Body> {
        self.count_outcome("refused");
        let retry_after = stop.retry_after(self.state.now());
        self.log(
            EventCategory::Failure,
            "refused",
            json!({
                "reason": "stopping",
                "after_stop_ms": self.arrived_after_stop.map(|time| time.as_millis() as u64),
                "first_on_connection": self.is_first_on_connection,
                "expected_ms": self.expected_time().as_millis() as u64,
                "retry_after_ms": retry_after.as_millis() as u64,
            }),
        );
        let status = StatusCode::SERVICE_UNAVAILABLE;
        local_reply(&self.caller.id, status, Some(retry_after), "stopping")
    }

    /// Responds that the request crashes runners and was not sent to any.
    pub(super) fn refuse_blocked(&self, block: Block) -> Response<Body> {
        self.count_outcome("blocked");
        self.log(
            EventCategory::Failure,
            "refused",
            json!({
                "reason": "crashes runners",
                "has": block.suspect.to_string(),
                "retry_after_ms": block.time.as_millis() as u64,
            }),
        );
        let status = StatusCode::SERVICE_UNAVAILABLE;
        local_reply(&self.caller.id, status, Some(block.time), "blocked")
    }

    /// Responds when the request gets no slot at a runner any more.
    pub(super) fn respond_without_slot(
        &self,
        attempts: &RequestAttempts,
        no_slot: NoSlot,
    ) -> Response<Body> {
        match no_slot {
            NoSlot::Full {
                retry_after,
                reason,
            } => self.reject(attempts, retry_after, reason),
            NoSlot::Blocked(_) if attempts.may_have_run() => self.respond_unknown(),
            NoSlot::Blocked(block) => self.refuse_blocked(block),
        }
    }

    /// Returns a runner's complete response to the caller.
    pub(super) fn forward(
        &self,
        buffered: BufferedResponse,
        runner: &ListedRunner,
    ) -> Response<Body> {
        let status = buffered.status;
        let category = match status.is_success() {
            true => EventCategory::Routine,
            false => EventCategory::Failure,
        };
        let fields = json!({"status": status.as_u16()});
        self.log_at(category, "answered", runner, fields);
        self.count_outcome(match status.is_success() {
            true => "answered",
            false => "failed by runner",
        });
        self.record_latency();
        if status.is_success() {
            self.record_times(self.age(), Duration::ZERO);
        }
        response(status, buffered.headers, buffered.body.boxed_unsync())
    }

    /// Responds when the caller waits no longer or the process ends, depending on
    /// whether the request may have been executed.
    pub(super) fn respond_due(&self, attempts: &RequestAttempts, due: Due) -> Response<Body> {
        if attempts.may_have_run() {
            match due {
                Due::Deadline => {
                    self.record_times(self.age(), Duration::ZERO);
                    self.count_outcome("timed out");
                    self.log(EventCategory::Failure, "timed_out", json!({"sent": true}));
                }
                Due::Stop => {
                    self.count_outcome("cut off");
                    self.log_cut_off(json!({"events": 0}));
                }
            }
            return local_reply(
                &self.caller.id,
                StatusCode::GATEWAY_TIMEOUT,
                None,
                "no answer in time",
            );
        }
        self.reject(attempts, RETRY_AFTER_WAIT, RejectReason::NoRoom)
    }

    /// Responds that the request was not executed, or that this is unknown if it may
    /// have been.
    pub(super) fn reject(
        &self,
        attempts: &RequestAttempts,
        retry_after: Duration,
        reason: RejectReason,
    ) -> Response<Body> {
        if attempts.may_have_run() {
            return self.respond_unknown();
        }
        self.count_outcome("refused");
        let rank = self.route_match.rank();
        let retry_after = match reason {
            RejectReason::AllRest => retry_after,
            _ => self.honored_retry_after(retry_after),
        };
        let counts = self.state.with_service(&self.service, |service_state| {
            let pool = &service_state.pool;
            (pool.request_counts(), pool.queued_ahead(rank))
        });
        let ((in_flight, waiting), (more_urgent, equally_urgent)) = counts.unwrap_or_default();
        let class = telemetry::priority_class(self.route_match.route.priority);
        let limit = attempts.retry().limit.map(|limit| limit.to_string());
        let label = match limit {
            Some(_) => "retry limit",
            None => reason.label(),
        };
        counter!(telemetry::REFUSED, "class" => class, "reason" => label).increment(1);
        self.log(
            EventCategory::Failure,
            "refused",
            json!({
                "reason": limit.unwrap_or_else(|| reason.to_string()),
                "in_flight": in_flight,
                "waiting": waiting,
                "priority": self.route_match.priority(),
                "route_priority": self.route_match.route.priority,
                "more_urgent": more_urgent,
                "equally_urgent": equally_urgent,
                "retry_after_ms": retry_after.as_millis() as u64,
            }),
        );
        let status = StatusCode::SERVICE_UNAVAILABLE;
        local_reply(
            &self.caller.id,
            status,
            Some(retry_after),
            "no room in time",
        )
    }

    /// Returns when the caller should retry, no later than callers wait. Callers whose
    /// time is cut short are spread, so that they don't return together.
    fn honored_retry_after(&self, retry_after: Duration) -> Duration {
        let left = self.deadline.saturating_duration_since(self.state.now());
        let longest = left.mul_f64(MAX_RETRY_SHARE).max(MIN_RETRY_AFTER);
        match retry_after > longest {
            true => longest.mul_f64(1.0 - RETRY_SPREAD * self.state.random_fraction()),
            false => retry_after,
        }
    }

    /// Responds that the request may have been executed.
    pub(super) fn respond_unknown(&self) -> Response<Body> {
        self.count_outcome("unknown");
        self.log(
            EventCategory::Failure,
            "failed",
            json!({"reason": "may have run"}),
        );
        local_reply(
            &self.caller.id,
            StatusCode::BAD_GATEWAY,
            None,
            "the runner did not answer",
        )
    }
}
