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
use wisteriawick_core::gateway::Permit;
use wisteriawick_core::gateway::RequestPlan;
use wisteriawick_core::gateway::Work;
use wisteriawick_core::ids::Fingerprint;
use wisteriawick_core::ids::RunnerId;
use wisteriawick_core::ids::ServiceId;
use wisteriawick_platform::CallerRequest;

use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::gateway::answer::Body;
use crate::gateway::answer::answer;
use crate::gateway::answer::own;
use crate::gateway::answer::whole;
use crate::gateway::attempt;
use crate::gateway::attempt::Ended;
use crate::gateway::attempt::Opened;
use crate::gateway::attempt::WholeAnswer;
use crate::gateway::hub::Hub;
use crate::gateway::hub::Placed;
use crate::gateway::hub::lock;
use crate::gateway::relay;
use crate::gateway::slot::Slot;
use crate::telemetry;

/// Time before a deadline at which the final answer goes out, for its way.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// Patience of callers who state none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// Advice when to come back while the process has no declaration yet.
const RETRY_UNDECLARED: Duration = Duration::from_millis(500);
/// Advice when to come back for a request that crashes runners.
const RETRY_BLOCKED: Duration = Duration::from_secs(30);
/// Advice when to come back when the time ran out before a runner was free.
const RETRY_WAITED: Duration = Duration::from_millis(500);
/// Gap without an event after which callers leave a stream: at least this,
/// four times the objective or eight times the longest pause.
const LEAVE_AFTER: Duration = Duration::from_secs(2);
/// Time from the start at a runner to the first event, that a stream needs
/// before its caller leaves.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(300);

/// What stays the same over all attempts of a request.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) hub: Arc<Hub>,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) caller: CallerRequest,
    pub(crate) permit: Permit,
    pub(crate) service: ServiceId,
    pub(crate) arrived: Instant,
    /// When the final answer must go out.
    pub(crate) deadline: Instant,
    pub(crate) fingerprint: Fingerprint,
}

/// A request that was placed, and what it may still do.
pub(crate) struct Try {
    pub(crate) plan: RequestPlan,
    pub(crate) excluded: Vec<RunnerId>,
    /// Whether an attempt is under way, so that its fate is open.
    pub(crate) is_sent: bool,
}

/// Serves one request.
pub(crate) async fn serve(hub: Arc<Hub>, req: Request<Incoming>) -> Response<Body> {
    let arrived = hub.now();
    let (head, body) = req.into_parts();
    let caller = match CallerRequest::try_from(&head) {
        Ok(caller) => caller,
        Err(_) => return own("", StatusCode::BAD_REQUEST, None, "bad request"),
    };
    let Some(declaration) = hub.declaration() else {
        refused(&hub, &caller.id, "no declaration yet");
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return own(&caller.id, status, Some(RETRY_UNDECLARED), "starting");
    };
    let key = caller.api_key.as_deref();
    let permit = match declaration.permit(&caller.host, head.uri.path(), key) {
        Ok(permit) => permit,
        Err(denied) => return deny(&hub, &caller.id, declaration.version(), denied),
    };
    let patience = caller.timeout.unwrap_or(DEFAULT_PATIENCE);
    let time = patience.min(permit.route.timeout);
    let deadline = arrived + time.saturating_sub(ANSWER_MARGIN);
    let limit = declaration.limits().body_bytes;
    let body = match read_body(body, limit, deadline).await {
        Ok(body) => body,
        Err(status) => return own(&caller.id, status, None, "the body did not arrive whole"),
    };
    let Some(service) = permit.route.service_for(hub.draw()).cloned() else {
        return own(&caller.id, StatusCode::BAD_GATEWAY, None, "no service");
    };
    let fingerprint = fingerprint(&head, &body, &permit);
    let exchange = Exchange {
        hub,
        head,
        body,
        caller,
        permit,
        service,
        arrived,
        deadline,
        fingerprint,
    };
    run(Arc::new(exchange)).await
}

fn deny(hub: &Hub, id: &str, version: u64, denied: Denied) -> Response<Body> {
    let (status, reason) = match denied {
        Denied::NoRoute => (StatusCode::NOT_FOUND, "no route"),
        Denied::UnknownKey => (StatusCode::UNAUTHORIZED, "unknown key"),
    };
    counter!(telemetry::REQUESTS, "outcome" => "denied").increment(1);
    let fields = json!({"request": id, "reason": reason, "declaration": version});
    hub.log.line(EventCategory::Failure, "denied", fields);
    own(id, status, None, reason)
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

fn fingerprint(head: &Parts, body: &[u8], permit: &Permit) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(head.uri.path().as_bytes());
    if let Some(tenancy) = &permit.tenancy {
        hasher.update(tenancy.workspace.as_str().as_bytes());
    }
    hasher.update(body);
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Fingerprint(u128::from_le_bytes(first))
}

async fn run(exchange: Arc<Exchange>) -> Response<Body> {
    let hub = &exchange.hub;
    let now = hub.now();
    if lock(&hub.strikes).is_blocked(now, exchange.fingerprint) {
        exchange.log(
            EventCategory::Failure,
            "refused",
            json!({"reason": "crashes runners"}),
        );
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return own(&exchange.caller.id, status, Some(RETRY_BLOCKED), "blocked");
    }
    hub.with_service(&exchange.service, |state| state.budget.request(now));
    let route = &exchange.permit.route;
    let plan = RequestPlan::new(route.may_run_again(), route.max_attempts, exchange.deadline);
    let mut tried = Try {
        plan,
        excluded: Vec::new(),
        is_sent: false,
    };
    let done = attempt_until_answered(&exchange, &mut tried);
    match tokio::time::timeout_at(exchange.deadline.into(), done).await {
        Ok(res) => res,
        Err(_) => exchange.out_of_time(&tried),
    }
}

async fn attempt_until_answered(exchange: &Arc<Exchange>, tried: &mut Try) -> Response<Body> {
    loop {
        let slot = match place(exchange, tried).await {
            Ok(slot) => slot,
            Err(retry_after) => return exchange.give_up(tried, retry_after),
        };
        let runner = slot.runner.id.clone();
        tried.is_sent = true;
        let last_event = exchange.caller.last_event_id;
        let opened = attempt::start(exchange, slot, last_event).await;
        tried.is_sent = false;
        let ended = match opened {
            Opened::Whole(whole) => return exchange.pass_on(whole, &runner),
            Opened::Stream(stream) => {
                return relay::answer(Arc::clone(exchange), tried.plan, *stream);
            }
            Opened::Ended(ended) => ended,
        };
        match next_step(exchange, tried, &runner, &ended) {
            NextStep::Again => {}
            NextStep::PassOn => {
                if let Some(failure) = ended.failure {
                    return exchange.pass_on(*failure, &runner);
                }
                return exchange.unknown();
            }
            NextStep::Unknown => return exchange.unknown(),
            NextStep::Refuse => return exchange.give_up(tried, RETRY_WAITED),
        }
    }
}

/// Decides what follows an attempt without an answer, and logs it.
pub(crate) fn next_step(
    exchange: &Exchange,
    tried: &mut Try,
    runner: &RunnerId,
    ended: &Ended,
) -> NextStep {
    let hub = &exchange.hub;
    let now = hub.now();
    if ended.crashed {
        lock(&hub.strikes).record(now, exchange.fingerprint, runner.clone());
    }
    tried.excluded.push(runner.clone());
    let spend = || {
        hub.with_service(&exchange.service, |state| state.budget.try_repeat(now))
            .unwrap_or(false)
    };
    let step = tried.plan.next(now, ended.outcome, spend);
    let outcome = match ended.outcome {
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
            "outcome": format!("{:?}", ended.outcome),
            "detail": ended.detail,
            "next": format!("{step:?}"),
            "reached": tried.plan.reached,
        }),
    );
    step
}

/// Waits for a place at a runner.
///
/// # Errors
///
/// Returns when the caller should come back, if there will be none in time.
pub(crate) async fn place(exchange: &Exchange, tried: &Try) -> Result<Slot, Duration> {
    let hub = &exchange.hub;
    let ticket = hub.next_ticket();
    let latest = exchange.latest_start();
    let work = Work {
        ticket,
        priority: exchange.permit.priority(),
        on_time: exchange.arrived + exchange.permit.route.objective,
        deadline: latest,
        excluded: tried.excluded.clone(),
    };
    let admission = match hub.place(&exchange.service, work) {
        None => return Err(RETRY_WAITED),
        Some(Placed::Now(admission)) => admission,
        Some(Placed::Later(ticket, rx)) => {
            let _waiting = Waiting { exchange, ticket };
            match tokio::time::timeout_at(latest.into(), rx).await {
                Ok(Ok(admission)) => admission,
                _ => return Err(RETRY_WAITED),
            }
        }
    };
    match admission {
        Admission::Run(candidate) => Ok(Slot::new(
            Arc::clone(hub),
            exchange.service.clone(),
            candidate.runner,
        )),
        Admission::Refuse { retry_after } => Err(retry_after),
        Admission::Wait => Err(RETRY_WAITED),
    }
}

/// Takes a request out of the queue when its caller leaves.
struct Waiting<'a> {
    exchange: &'a Exchange,
    ticket: wisteriawick_core::gateway::TicketId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.exchange
            .hub
            .cancel(&self.exchange.service, self.ticket);
    }
}

impl Exchange {
    /// Returns when the request must be at a runner to be of use.
    fn latest_start(&self) -> Instant {
        let route = &self.permit.route;
        if !route.streams {
            return self.deadline;
        }
        let pause = route.pause.unwrap_or_default();
        let leave = LEAVE_AFTER.max(route.objective * 4).max(pause * 8);
        (self.arrived + leave - FIRST_EVENT_TIME).min(self.deadline)
    }

    /// Logs a line about this request.
    pub(crate) fn log(&self, weight: EventCategory, kind: &str, fields: serde_json::Value) {
        if weight == EventCategory::Routine && !EventLog::is_sampled(&self.caller.id) {
            return;
        }
        let mut line = json!({
            "request": self.caller.id,
            "route": self.permit.route.name,
            "age_ms": self.hub.now().saturating_duration_since(self.arrived).as_millis() as u64,
        });
        if let (Some(line), serde_json::Value::Object(fields)) = (line.as_object_mut(), fields) {
            line.extend(fields);
        }
        self.hub.log.line(weight, kind, line);
    }

    fn pass_on(&self, whole_answer: WholeAnswer, runner: &RunnerId) -> Response<Body> {
        let status = whole_answer.status;
        let weight = match status.is_success() {
            true => EventCategory::Routine,
            false => EventCategory::Failure,
        };
        let fields = json!({"status": status.as_u16(), "runner": runner.as_str()});
        self.log(weight, "answered", fields);
        self.count(match status.is_success() {
            true => "answered",
            false => "failed by runner",
        });
        self.count_time();
        answer(status, whole_answer.headers, whole(whole_answer.body))
    }

    /// Counts what became of a request.
    pub(crate) fn count(&self, outcome: &'static str) {
        counter!(telemetry::REQUESTS, "outcome" => outcome).increment(1);
    }

    /// Records the time from the request's head until now.
    pub(crate) fn count_time(&self) {
        let age = self.hub.now().saturating_duration_since(self.arrived);
        let kind = match self.permit.route.streams {
            true => "stream",
            false => "plain",
        };
        histogram!(telemetry::RESPONSE_SECONDS, "kind" => kind).record(age.as_secs_f64());
    }

    fn out_of_time(&self, tried: &Try) -> Response<Body> {
        if tried.is_sent || tried.plan.may_have_run {
            self.count("timed out");
            self.log(EventCategory::Failure, "timed_out", json!({"sent": true}));
            return own(
                &self.caller.id,
                StatusCode::GATEWAY_TIMEOUT,
                None,
                "no answer in time",
            );
        }
        self.give_up(tried, RETRY_WAITED)
    }

    /// Answers that it did not run, or that its fate is unknown if it may have.
    fn give_up(&self, tried: &Try, retry_after: Duration) -> Response<Body> {
        if tried.plan.may_have_run {
            return self.unknown();
        }
        self.count("refused");
        let load = self
            .hub
            .with_service(&self.service, |state| state.pool.load());
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
        own(
            &self.caller.id,
            status,
            Some(retry_after),
            "no room in time",
        )
    }

    fn unknown(&self) -> Response<Body> {
        self.count("unknown");
        self.log(
            EventCategory::Failure,
            "failed",
            json!({"reason": "may have run"}),
        );
        own(
            &self.caller.id,
            StatusCode::BAD_GATEWAY,
            None,
            "the runner did not answer",
        )
    }
}

fn refused(hub: &Hub, id: &str, reason: &str) {
    let fields = json!({"request": id, "reason": reason});
    hub.log.line(EventCategory::Failure, "refused", fields);
}
