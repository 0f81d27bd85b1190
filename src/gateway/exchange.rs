//! One request of a caller, from its head to its answer.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use metrics::counter;
use metrics::histogram;
use serde_json::json;
use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::AttemptOutcome;
use wisteriawick_core::gateway::Denied;
use wisteriawick_core::gateway::NextStep;
use wisteriawick_core::gateway::QueuedRequest;
use wisteriawick_core::gateway::RetryState;
use wisteriawick_core::gateway::RouteMatch;
use wisteriawick_core::ids::Fingerprint;
use wisteriawick_core::ids::RunnerId;
use wisteriawick_core::ids::ServiceId;
use wisteriawick_platform::CallerRequest;

use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::gateway::attempt;
use crate::gateway::attempt::AttemptResult;
use crate::gateway::attempt::BufferedResponse;
use crate::gateway::attempt::FailedAttempt;
use crate::gateway::relay;
use crate::gateway::response::Body;
use crate::gateway::response::full_body;
use crate::gateway::response::local_reply;
use crate::gateway::response::response;
use crate::gateway::runner_slot::RunnerSlot;
use crate::gateway::state::GatewayState;
use crate::gateway::state::Placement;
use crate::gateway::state::lock;
use crate::telemetry;

/// Time before a deadline at which the final answer goes out, for its way.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// Patience of callers who state none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// Advice when to come back while the process has no declaration yet.
const RETRY_AFTER_UNDECLARED: Duration = Duration::from_millis(500);
/// Advice when to come back for a request that crashes runners.
const RETRY_AFTER_BLOCKED: Duration = Duration::from_secs(30);
/// Advice when to come back when the time ran out before a runner was free.
const RETRY_AFTER_WAIT: Duration = Duration::from_millis(500);
/// Gap without an event after which callers leave a stream: at least this,
/// four times the objective or eight times the longest pause.
const MIN_CALLER_STREAM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the start at a runner to the first event, that a stream needs
/// before its caller leaves.
const FIRST_EVENT_RESERVE: Duration = Duration::from_millis(300);

/// What stays the same over all attempts of a request.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) caller: CallerRequest,
    pub(crate) route_match: RouteMatch,
    pub(crate) service: ServiceId,
    pub(crate) arrived: Instant,
    /// When the final answer must go out.
    pub(crate) deadline: Instant,
    pub(crate) fingerprint: Fingerprint,
}

/// A request that was placed, and what it may still do.
pub(crate) struct AttemptState {
    pub(crate) retry: RetryState,
    pub(crate) excluded: Vec<RunnerId>,
    /// Whether an attempt is under way, so that its fate is open.
    pub(crate) is_in_flight: bool,
}

/// Serves one request.
pub(crate) async fn serve(state: Arc<GatewayState>, req: Request<Incoming>) -> Response<Body> {
    let arrived = state.now();
    let (head, body) = req.into_parts();
    let caller = match CallerRequest::try_from(&head) {
        Ok(caller) => caller,
        Err(_) => return local_reply("", StatusCode::BAD_REQUEST, None, "bad request"),
    };
    let Some(declaration) = state.declaration() else {
        log_rejected(&state, &caller.id, "no declaration yet");
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return local_reply(&caller.id, status, Some(RETRY_AFTER_UNDECLARED), "starting");
    };
    let key = caller.api_key.as_deref();
    let route_match = match declaration.match_request(&caller.host, head.uri.path(), key) {
        Ok(route_match) => route_match,
        Err(denied) => return deny(&state, &caller.id, declaration.version(), denied),
    };
    let patience = caller.timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let time = patience.min(route_match.route.timeout);
    let deadline = arrived + time.saturating_sub(RESPONSE_MARGIN);
    let limit = declaration.limits().max_body_bytes;
    let body = match read_body(body, limit, deadline).await {
        Ok(body) => body,
        Err(status) => {
            return local_reply(&caller.id, status, None, "the body did not arrive whole");
        }
    };
    let Some(service) = route_match
        .route
        .pick_service(state.random_fraction())
        .cloned()
    else {
        return local_reply(&caller.id, StatusCode::BAD_GATEWAY, None, "no service");
    };
    let fingerprint = fingerprint(&head, &body, &route_match);
    let exchange = Exchange {
        state,
        head,
        body,
        caller,
        route_match,
        service,
        arrived,
        deadline,
        fingerprint,
    };
    run(Arc::new(exchange)).await
}

fn deny(state: &GatewayState, id: &str, version: u64, denied: Denied) -> Response<Body> {
    let (status, reason) = match denied {
        Denied::NoRoute => (StatusCode::NOT_FOUND, "no route"),
        Denied::UnknownKey => (StatusCode::UNAUTHORIZED, "unknown key"),
    };
    counter!(telemetry::REQUESTS, "outcome" => "denied").increment(1);
    let fields = json!({"request": id, "reason": reason, "declaration": version});
    state.log.line(EventCategory::Failure, "denied", fields);
    local_reply(id, status, None, reason)
}

async fn read_body(body: Incoming, limit: usize, deadline: Instant) -> Result<Bytes, StatusCode> {
    let collected = Limited::new(body, limit).collect();
    match tokio::time::timeout_at(deadline.into(), collected).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

fn fingerprint(head: &Parts, body: &[u8], route_match: &RouteMatch) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(head.uri.path().as_bytes());
    if let Some(tenancy) = &route_match.tenancy {
        hasher.update(tenancy.workspace.as_str().as_bytes());
    }
    hasher.update(body);
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Fingerprint(u128::from_le_bytes(first))
}

async fn run(exchange: Arc<Exchange>) -> Response<Body> {
    let state = &exchange.state;
    let now = state.now();
    if lock(&state.crash_tracker).is_blocked(now, exchange.fingerprint) {
        exchange.log(
            EventCategory::Failure,
            "refused",
            json!({"reason": "crashes runners"}),
        );
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return local_reply(
            &exchange.caller.id,
            status,
            Some(RETRY_AFTER_BLOCKED),
            "blocked",
        );
    }
    state.with_service(&exchange.service, |service_state| {
        service_state.budget.record_request(now)
    });
    let route = &exchange.route_match.route;
    let retry = RetryState::new(route.may_run_again(), route.max_attempts, exchange.deadline);
    let mut attempts = AttemptState {
        retry,
        excluded: Vec::new(),
        is_in_flight: false,
    };
    let done = attempt_until_answered(&exchange, &mut attempts);
    match tokio::time::timeout_at(exchange.deadline.into(), done).await {
        Ok(res) => res,
        Err(_) => exchange.respond_timeout(&attempts),
    }
}

async fn attempt_until_answered(
    exchange: &Arc<Exchange>,
    attempts: &mut AttemptState,
) -> Response<Body> {
    loop {
        let slot = match acquire_slot(exchange, attempts).await {
            Ok(slot) => slot,
            Err(retry_after) => return exchange.reject(attempts, retry_after),
        };
        let runner = slot.runner.id.clone();
        attempts.is_in_flight = true;
        let last_event = exchange.caller.last_event_id;
        let opened = attempt::send(exchange, slot, last_event).await;
        attempts.is_in_flight = false;
        let failed = match opened {
            AttemptResult::Buffered(response) => return exchange.forward(response, &runner),
            AttemptResult::Stream(stream) => {
                return relay::stream_response(Arc::clone(exchange), attempts.retry, *stream);
            }
            AttemptResult::Failed(failed) => failed,
        };
        match next_step(exchange, attempts, &runner, &failed) {
            NextStep::Again => {}
            NextStep::PassOn => {
                if let Some(error_response) = failed.error_response {
                    return exchange.forward(*error_response, &runner);
                }
                return exchange.respond_unknown();
            }
            NextStep::Unknown => return exchange.respond_unknown(),
            NextStep::Refuse => return exchange.reject(attempts, RETRY_AFTER_WAIT),
        }
    }
}

/// Decides what follows an attempt without an answer, and logs it.
pub(crate) fn next_step(
    exchange: &Exchange,
    attempts: &mut AttemptState,
    runner: &RunnerId,
    failed: &FailedAttempt,
) -> NextStep {
    let state = &exchange.state;
    let now = state.now();
    if failed.connection_broke {
        lock(&state.crash_tracker).record_broken_attempt(now, exchange.fingerprint, runner.clone());
    }
    attempts.excluded.push(runner.clone());
    let spend = || {
        state
            .with_service(&exchange.service, |service_state| {
                service_state.budget.try_retry(now)
            })
            .unwrap_or(false)
    };
    let step = attempts.retry.next_step(now, failed.outcome, spend);
    let outcome = match failed.outcome {
        AttemptOutcome::NotSent => "not sent",
        AttemptOutcome::NotRun => "not run",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::Unknown => "unknown",
    };
    counter!(telemetry::FAILED_ATTEMPTS, "outcome" => outcome).increment(1);
    exchange.log(
        EventCategory::Failure,
        "attempt_ended",
        json!({
            "runner": runner.as_str(),
            "outcome": format!("{:?}", failed.outcome),
            "detail": failed.detail,
            "next": format!("{step:?}"),
            "reached": attempts.retry.reached,
        }),
    );
    step
}

/// Waits for a place at a runner.
///
/// # Errors
///
/// Returns when the caller should come back, if there will be none in time.
pub(crate) async fn acquire_slot(
    exchange: &Exchange,
    attempts: &AttemptState,
) -> Result<RunnerSlot, Duration> {
    let state = &exchange.state;
    let queue_id = state.next_queue_id();
    let latest = exchange.latest_start();
    let request = QueuedRequest {
        queue_id,
        priority: exchange.route_match.priority(),
        response_due: exchange.arrived + exchange.route_match.route.latency_target,
        deadline: latest,
        excluded: attempts.excluded.clone(),
    };
    let admission = match state.admit(&exchange.service, request) {
        None => return Err(RETRY_AFTER_WAIT),
        Some(Placement::Immediate(admission)) => admission,
        Some(Placement::Queued(queue_id, rx)) => {
            let _waiting = QueueGuard { exchange, queue_id };
            match tokio::time::timeout_at(latest.into(), rx).await {
                Ok(Ok(admission)) => admission,
                _ => return Err(RETRY_AFTER_WAIT),
            }
        }
    };
    match admission {
        Admission::Run(candidate) => Ok(RunnerSlot::new(
            Arc::clone(state),
            exchange.service.clone(),
            candidate.runner,
        )),
        Admission::Reject { retry_after } => Err(retry_after),
        Admission::Wait => Err(RETRY_AFTER_WAIT),
    }
}

/// Takes a request out of the queue when its caller leaves.
struct QueueGuard<'a> {
    exchange: &'a Exchange,
    queue_id: wisteriawick_core::gateway::QueuedRequestId,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.exchange
            .state
            .cancel(&self.exchange.service, self.queue_id);
    }
}

impl Exchange {
    /// Returns when the request must be at a runner to be of use.
    fn latest_start(&self) -> Instant {
        let route = &self.route_match.route;
        if !route.is_streaming {
            return self.deadline;
        }
        let pause = route.max_event_gap.unwrap_or_default();
        let leave = MIN_CALLER_STREAM_TIMEOUT
            .max(route.latency_target * 4)
            .max(pause * 8);
        (self.arrived + leave - FIRST_EVENT_RESERVE).min(self.deadline)
    }

    /// Logs a line about this request.
    pub(crate) fn log(&self, weight: EventCategory, kind: &str, fields: serde_json::Value) {
        if weight == EventCategory::Routine && !EventLog::is_sampled(&self.caller.id) {
            return;
        }
        let mut line = json!({
            "request": self.caller.id,
            "route": self.route_match.route.name,
            "age_ms": self.state.now().saturating_duration_since(self.arrived).as_millis() as u64,
        });
        if let (Some(line), serde_json::Value::Object(fields)) = (line.as_object_mut(), fields) {
            line.extend(fields);
        }
        self.state.log.line(weight, kind, line);
    }

    fn forward(&self, buffered: BufferedResponse, runner: &RunnerId) -> Response<Body> {
        let status = buffered.status;
        let weight = match status.is_success() {
            true => EventCategory::Routine,
            false => EventCategory::Failure,
        };
        let fields = json!({"status": status.as_u16(), "runner": runner.as_str()});
        self.log(weight, "answered", fields);
        self.count_outcome(match status.is_success() {
            true => "answered",
            false => "failed by runner",
        });
        self.record_latency();
        response(status, buffered.headers, full_body(buffered.body))
    }

    /// Counts what became of a request.
    pub(crate) fn count_outcome(&self, outcome: &'static str) {
        counter!(telemetry::REQUESTS, "outcome" => outcome).increment(1);
    }

    /// Records the time from the request's head until now.
    pub(crate) fn record_latency(&self) {
        let age = self.state.now().saturating_duration_since(self.arrived);
        let kind = match self.route_match.route.is_streaming {
            true => "stream",
            false => "plain",
        };
        histogram!(telemetry::RESPONSE_SECONDS, "kind" => kind).record(age.as_secs_f64());
    }

    fn respond_timeout(&self, attempts: &AttemptState) -> Response<Body> {
        if attempts.is_in_flight || attempts.retry.may_have_run {
            self.count_outcome("timed out");
            self.log(EventCategory::Failure, "timed_out", json!({"sent": true}));
            return local_reply(
                &self.caller.id,
                StatusCode::GATEWAY_TIMEOUT,
                None,
                "no answer in time",
            );
        }
        self.reject(attempts, RETRY_AFTER_WAIT)
    }

    /// Answers that it did not run, or that its fate is unknown if it may have.
    fn reject(&self, attempts: &AttemptState, retry_after: Duration) -> Response<Body> {
        if attempts.retry.may_have_run {
            return self.respond_unknown();
        }
        self.count_outcome("refused");
        let load = self.state.with_service(&self.service, |service_state| {
            service_state.pool.request_counts()
        });
        let (in_flight, waiting) = load.unwrap_or_default();
        self.log(
            EventCategory::Failure,
            "refused",
            json!({
                "reason": "no room in time",
                "in_flight": in_flight,
                "waiting": waiting,
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

    fn respond_unknown(&self) -> Response<Body> {
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

fn log_rejected(state: &GatewayState, id: &str, reason: &str) {
    let fields = json!({"request": id, "reason": reason});
    state.log.line(EventCategory::Failure, "refused", fields);
}
