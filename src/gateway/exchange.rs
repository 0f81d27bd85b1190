//! Serves one request of a caller, from its head to the response.
//!
//! The request is matched to a route and assigned to runners until one of them
//! responds, a failure rules out a retry, or the deadline is over.

mod attempts;
mod record;
mod replies;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::request::Parts;
use hyper::body::Incoming;
use metrics::counter;
use serde_json::json;
use wisteriawick_core::gateway::AttemptOutcome;
use wisteriawick_core::gateway::CrashSuspect;
use wisteriawick_core::gateway::CrashTrial;
use wisteriawick_core::gateway::Denied;
use wisteriawick_core::gateway::NextStep;
use wisteriawick_core::gateway::RejectReason;
use wisteriawick_core::gateway::RouteMatch;
use wisteriawick_core::gateway::StopSchedule;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::ids::Fingerprint;
use wisteriawick_core::ids::ServiceId;
use wisteriawick_platform::CallerRequest;

use crate::eventlog::EventCategory;
use crate::gateway::attempt;
use crate::gateway::attempt::AttemptResult;
use crate::gateway::attempt::FailedAttempt;
use crate::gateway::caller_connection::BegunRequest;
use crate::gateway::caller_connection::CallerConnection;
use crate::gateway::crash_probe::RunningProbe;
pub(crate) use crate::gateway::exchange::attempts::RequestAttempts;
use crate::gateway::memory::HeldMemory;
use crate::gateway::relay;
use crate::gateway::request_body;
use crate::gateway::request_body::ReceiveError;
use crate::gateway::request_body::RequestBody;
use crate::gateway::response::Body;
use crate::gateway::response::local_reply;
use crate::gateway::slot_request::NoSlot;
use crate::gateway::slot_request::SlotUse;
use crate::gateway::slot_request::acquire_slot;
use crate::gateway::state::GatewayState;
use crate::gateway::state::lock;
use crate::telemetry;

/// How long before its deadline a request is answered, so that the response reaches
/// the caller in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// Timeout of callers that state none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which to retry while this process has no declaration yet.
const RETRY_AFTER_UNDECLARED: Duration = Duration::from_millis(500);
/// Time after which to retry if there was no memory for the body.
const RETRY_AFTER_MEMORY: Duration = Duration::from_millis(500);
/// Time after which to retry if no runner was free in time.
pub(crate) const RETRY_AFTER_WAIT: Duration = Duration::from_millis(500);
/// Minimum time without an event after which callers disconnect from a stream. It
/// is four times the latency target or eight times the maximum event gap if one of
/// these is longer.
const MIN_CALLER_STREAM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a stream needs from being sent to a runner until its first event, which
/// must arrive before the caller disconnects.
const FIRST_EVENT_RESERVE: Duration = Duration::from_millis(300);

/// Time in which the announcement of a trial reaches the other entries.
const ANNOUNCE_TIME: Duration = Duration::from_millis(25);

/// A request and the data that all of its attempts share.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) head: Parts,
    pub(crate) body: RequestBody,
    pub(crate) connection: Arc<CallerConnection>,
    /// What the head holds of the budget of memory.
    _held_head: Option<HeldMemory>,
    pub(crate) caller: CallerRequest,
    pub(crate) route_match: RouteMatch,
    pub(crate) service: ServiceId,
    pub(crate) arrived: Instant,
    /// Time from the signal to stop to the arrival, if there was one before.
    arrived_after_stop: Option<Duration>,
    /// Whether this is the first request on its connection.
    is_first_on_connection: bool,
    /// When the response must have been sent to the caller.
    pub(crate) deadline: Instant,
    /// What the request has that may crash runners: its content, which is the same
    /// across retries of the caller, and the parts of its prompt that others share.
    suspects: Vec<CrashSuspect>,
    /// Set if the request was sent to find out whether it still crashes runners.
    trial: Mutex<Option<CrashTrial>>,
    /// The runner of the last attempt.
    last_runner: Mutex<Option<ListedRunner>>,
    /// Whether the caller has the outcome, or will learn that there is none.
    has_outcome: AtomicBool,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.has_outcome.load(Ordering::Relaxed) {
            self.log_caller_left();
        }
    }
}

/// What keeps a request from being sent to runners.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Block {
    /// What it has that crashes them.
    pub(crate) suspect: CrashSuspect,
    /// How much longer it is blocked.
    pub(crate) time: Duration,
}

impl From<(CrashSuspect, Duration)> for Block {
    fn from((suspect, time): (CrashSuspect, Duration)) -> Self {
        Self { suspect, time }
    }
}

/// Serves one request.
pub(crate) async fn serve(
    state: Arc<GatewayState>,
    req: Request<Incoming>,
    begun: BegunRequest,
) -> Response<Body> {
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
    let caller_timeout = caller.timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let timeout = caller_timeout.min(route_match.route.timeout);
    let deadline = arrived + timeout.saturating_sub(RESPONSE_MARGIN);
    let limit = declaration.limits().max_body_bytes;
    let body = match read_body(&state, body, limit, deadline).await {
        Ok(body) => body,
        Err(error) => return refuse_body(&state, &caller.id, &error),
    };
    let Some(service) = route_match
        .route
        .pick_service(state.random_fraction())
        .cloned()
    else {
        return local_reply(&caller.id, StatusCode::BAD_GATEWAY, None, "no service");
    };
    let content = CrashSuspect::Request(fingerprint(&head, &body, &route_match));
    let parts = caller.shared_prompt_parts.iter();
    let suspects = std::iter::once(content)
        .chain(parts.map(|part| CrashSuspect::Part(*part)))
        .collect();
    let stop = state.stop.schedule().copied();
    let exchange = Exchange {
        state,
        head,
        body,
        connection: begun.connection,
        _held_head: begun.head,
        caller,
        route_match,
        service,
        arrived,
        arrived_after_stop: stop.map(|stop| stop.elapsed(arrived)),
        is_first_on_connection: begun.is_first,
        deadline,
        suspects,
        trial: Mutex::default(),
        last_runner: Mutex::default(),
        has_outcome: AtomicBool::new(false),
    };
    match stop {
        Some(stop) if !exchange.is_taken_during(stop) => exchange.refuse_during(stop),
        _ => run(Arc::new(exchange)).await,
    }
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

async fn read_body(
    state: &GatewayState,
    body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<RequestBody, BodyFailure> {
    let received = request_body::receive(&state.memory, body, limit);
    match state.stop.unless_due(deadline, received).await {
        Ok(received) => received.map_err(BodyFailure::Failed),
        Err(_) => Err(BodyFailure::Late),
    }
}

/// Why a request has no whole body.
enum BodyFailure {
    Failed(ReceiveError),
    /// The request is due before its body has arrived.
    Late,
}

/// Responds to a request whose body is not read to its end, so that the connection can't
/// be used any further.
fn refuse_body(state: &GatewayState, id: &str, failure: &BodyFailure) -> Response<Body> {
    let (status, retry_after, reason) = match failure {
        BodyFailure::Failed(ReceiveError::TooLong) => {
            (StatusCode::PAYLOAD_TOO_LARGE, None, "the body is too long")
        }
        BodyFailure::Failed(ReceiveError::Broken) => (
            StatusCode::BAD_REQUEST,
            None,
            "the body did not arrive whole",
        ),
        BodyFailure::Failed(ReceiveError::Memory(short)) => {
            state.memory.record_refusal((*short).into());
            counter!(telemetry::REQUESTS, "outcome" => "refused").increment(1);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            (status, Some(RETRY_AFTER_MEMORY), "no memory in time")
        }
        BodyFailure::Late => (
            StatusCode::REQUEST_TIMEOUT,
            None,
            "the body did not arrive whole",
        ),
    };
    let mut res = local_reply(id, status, retry_after, reason);
    let close = HeaderValue::from_static("close");
    res.headers_mut().insert(CONNECTION, close);
    res
}

/// Returns a digest of path, workspace and body, which a caller's retry has too.
fn fingerprint(head: &Parts, body: &RequestBody, route_match: &RouteMatch) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(head.uri.path().as_bytes());
    if let Some(tenancy) = &route_match.tenancy {
        hasher.update(tenancy.workspace.as_str().as_bytes());
    }
    for part in body.parts() {
        hasher.update(part);
    }
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Fingerprint(u128::from_le_bytes(first))
}

async fn run(exchange: Arc<Exchange>) -> Response<Body> {
    let state = &exchange.state;
    let now = state.now();
    let blocked = state.crashes.update(|tracker, now| {
        tracker.record_arrival(&exchange.suspects);
        tracker.blocked_by(now, &exchange.suspects)
    });
    if let Some(blocked) = blocked {
        return exchange.refuse_blocked(blocked.into());
    }
    state.with_service(&exchange.service, |service_state| {
        service_state.budget.record_request(now)
    });
    let mut attempts = RequestAttempts::new(Arc::clone(&exchange));
    let responding = attempt_until_response(&exchange, &mut attempts);
    match state.stop.unless_due(exchange.deadline, responding).await {
        Ok(res) => res,
        Err(due) => exchange.respond_due(&attempts, due),
    }
}

async fn attempt_until_response(
    exchange: &Arc<Exchange>,
    attempts: &mut RequestAttempts,
) -> Response<Body> {
    loop {
        let slot = match acquire_slot(exchange, attempts, SlotUse::Start).await {
            Ok(slot) => slot,
            Err(no_slot) => return exchange.respond_without_slot(attempts, no_slot),
        };
        let runner = slot.runner().clone();
        let last_event = exchange.caller.last_event_id;
        let failed = match attempt::send(exchange, attempts, slot, last_event).await {
            AttemptResult::Buffered(response) => return exchange.forward(response, &runner),
            AttemptResult::Stream(stream) => {
                return relay::stream_response(attempts.to_stream(), *stream);
            }
            AttemptResult::Failed(failed) => failed,
        };
        let probe = exchange.record_failure(&runner, &failed);
        let step = attempts.fail(&runner, &failed);
        if let Some(block) = failed.block {
            return exchange.respond_without_slot(attempts, NoSlot::Blocked(block));
        }
        match step {
            // If the runner crashed, the next attempt must take that into account.
            NextStep::Again => {
                if let Some(probe) = probe {
                    probe.wait().await;
                }
            }
            NextStep::PassOn => {
                if let Some(error_response) = failed.error_response {
                    return exchange.forward(*error_response, &runner);
                }
                return exchange.respond_unknown();
            }
            NextStep::Unknown => return exchange.respond_unknown(),
            NextStep::Refuse => {
                return exchange.reject(attempts, RETRY_AFTER_WAIT, RejectReason::NoRoom);
            }
        }
    }
}

impl Exchange {
    /// Returns how long requests of this kind take, as far as this entry has seen.
    pub(crate) fn expected_time(&self) -> Duration {
        let is_streaming = self.route_match.route.is_streaming;
        let tokens = self.caller.size.max_response_tokens;
        self.state
            .with_service(&self.service, |service_state| {
                service_state.times(is_streaming).expected(tokens)
            })
            .unwrap_or_default()
    }

    /// Records how long the request took: until the first byte of its response, and
    /// from then to the end.
    pub(crate) fn record_times(&self, first: Duration, rest: Duration) {
        let is_streaming = self.route_match.route.is_streaming;
        let tokens = self.caller.size.max_response_tokens;
        self.state.with_service(&self.service, |service_state| {
            service_state
                .times(is_streaming)
                .record(first, rest, tokens);
        });
    }

    fn is_taken_during(&self, stop: StopSchedule) -> bool {
        stop.takes(self.state.now(), self.deadline, self.expected_time())
    }

    /// Returns the latest time at which sending the request to a runner is useful.
    pub(crate) fn latest_start(&self, slot_use: SlotUse) -> Instant {
        let route = &self.route_match.route;
        let caller_waits_from = match slot_use {
            SlotUse::Start => self.arrived,
            SlotUse::Resume { last_event_at } => last_event_at,
        };
        let latest = match route.is_streaming {
            true => {
                let max_event_gap = route.max_event_gap.unwrap_or_default();
                let caller_timeout = MIN_CALLER_STREAM_TIMEOUT
                    .max(route.latency_target * 4)
                    .max(max_event_gap * 8);
                let event_due = caller_waits_from + caller_timeout;
                (event_due - FIRST_EVENT_RESERVE).min(self.deadline)
            }
            false => self.deadline,
        };
        match (slot_use, self.state.stop.schedule()) {
            (SlotUse::Start, Some(stop)) => latest.min(stop.latest_start(self.expected_time())),
            _ => latest,
        }
    }

    /// Returns what keeps this request from being sent to runners, if it crashes them.
    fn block(&self) -> Option<Block> {
        let blocked = self
            .state
            .crashes
            .update(|tracker, now| tracker.blocked_by(now, &self.suspects));
        blocked.map(Block::from)
    }

    /// Returns the names of what the request has that may crash runners, for the log.
    fn suspect_names(&self) -> Vec<String> {
        self.suspects.iter().map(ToString::to_string).collect()
    }

    /// Waits until this request must not be sent to runners; returns why.
    pub(crate) async fn wait_until_blocked(&self) -> Block {
        let mut changes = self.state.crashes.changes();
        loop {
            if let Some(block) = self.block() {
                return block;
            }
            changes.wait().await;
        }
    }

    /// Records that the request is sent to a runner now.
    ///
    /// # Errors
    ///
    /// Returns what keeps it from being sent, if it crashes runners.
    pub(crate) async fn begin_attempt(&self, runner: &ListedRunner) -> Result<(), Block> {
        *lock(&self.last_runner) = Some(runner.clone());
        let Some(trial) = self.begin_trial()? else {
            return Ok(());
        };
        if trial.is_announced() {
            tokio::time::sleep(ANNOUNCE_TIME).await;
            self.state
                .crashes
                .update(|tracker, now| tracker.confirm(now, &self.suspects, trial))
                .map_err(Block::from)?;
        }
        Ok(())
    }

    fn begin_trial(&self) -> Result<Option<CrashTrial>, Block> {
        let mut trial = lock(&self.trial);
        let begun = self
            .state
            .crashes
            .update(|tracker, now| tracker.begin(now, &self.suspects, *trial));
        *trial = begun.map_err(Block::from)?;
        Ok(*trial)
    }

    /// Records that a runner executed the request without crashing.
    pub(crate) fn record_sound(&self) {
        self.state
            .crashes
            .update(|tracker, now| tracker.clear(now, &self.suspects));
    }

    /// Records what a failed attempt tells of its runner. If its connection broke, and it
    /// is not known yet whether the runner crashed, returns the probe that finds out.
    ///
    /// This waits for nothing, so that the record is whole when the request is dropped.
    pub(crate) fn record_failure(
        &self,
        runner: &ListedRunner,
        failed: &FailedAttempt,
    ) -> Option<RunningProbe> {
        if failed.outcome == AttemptOutcome::Unknown {
            self.state.record_break(runner, &self.suspects);
        }
        if !failed.connection_broke {
            return None;
        }
        let has_crashed = self.state.crashes.update(|tracker, now| {
            tracker.record_broken_attempt(now, &self.suspects, runner.into())
        });
        (!has_crashed).then(|| RunningProbe::start(&self.state, runner))
    }

    /// Returns the time since the request arrived.
    pub(crate) fn age(&self) -> Duration {
        self.state.now().saturating_duration_since(self.arrived)
    }
}

fn log_rejected(state: &GatewayState, id: &str, reason: &str) {
    let fields = json!({"request": id, "reason": reason});
    state.log.line(EventCategory::Failure, "refused", fields);
}
