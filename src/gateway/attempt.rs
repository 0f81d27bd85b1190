//! One attempt to execute a request at one runner.
//!
//! An attempt ends with a complete response, with an open stream whose first event
//! has arrived, or with a failure from which the caller decides on a retry.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use hyper::body::Frame;
use metrics::counter;
use tokio::time::Instant;
use wisteriawick_core::gateway::AttemptOutcome;
use wisteriawick_core::gateway::EventSplitter;
use wisteriawick_core::gateway::RestNotice;
use wisteriawick_core::gateway::RetryPolicy;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::gateway::SequenceChecker;
use wisteriawick_core::gateway::StreamFault;
use wisteriawick_core::ids::RunnerId;
use wisteriawick_core::response_status::is_final;
use wisteriawick_core::response_status::promises_not_run;
use wisteriawick_platform::ResponseHead;
use wisteriawick_platform::caller_response_headers;
use wisteriawick_platform::runner_request_headers;

use crate::gateway::buffered_body::BufferedBody;
use crate::gateway::exchange::Block;
use crate::gateway::exchange::Exchange;
use crate::gateway::exchange::RequestAttempts;
use crate::gateway::request_body::RequestBody;
use crate::gateway::response_body::BodyError;
use crate::gateway::response_body::ResponseBody;
use crate::gateway::runner_slot::RunnerSlot;
use crate::gateway::upstream::ConnectError;
use crate::gateway::upstream::SendError;
use crate::gateway::upstream::Upstream;
use crate::telemetry;

/// Time without a first event after which a stream is retried at another runner,
/// before its caller disconnects.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Interval at which a silent attempt looks for another runner after its timeout.
const MOVE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time from the first byte of an event to its end.
const EVENT_END_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which bytes are counted that are no part of an event.
const FRAMING_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time after an event in which the rest of its framing may arrive.
const FRAMING_REST_TIME: Duration = Duration::from_millis(100);
/// Share of its remaining time after which an idempotent request is retried at
/// another runner.
const IDEMPOTENT_TIMEOUT_SHARE: f64 = 0.4;

/// A complete response that is not a stream.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: BufferedBody,
}

/// A stream whose first event has arrived.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) source: StreamSource,
}

/// The connection from which the events of a stream are read.
#[derive(Debug)]
pub(crate) struct StreamSource {
    pub(crate) slot: RunnerSlot,
    pub(crate) upstream: Upstream,
    pub(crate) body: ResponseBody,
    pub(crate) head: ResponseHead,
    pub(crate) splitter: EventSplitter,
    pub(crate) sequence: SequenceChecker,
    /// The first event, which was read to make sure that the stream has begun.
    pub(crate) first: Option<Bytes>,
}

/// An attempt without a successful response.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) detail: String,
    /// The runner's error response, if it sent one.
    pub(crate) error_response: Option<Box<BufferedResponse>>,
    /// Whether the connection broke while the runner executed the request.
    pub(crate) connection_broke: bool,
    /// What keeps the request from being sent to any runner; `None` if it may be.
    pub(crate) block: Option<Block>,
    /// Whether the runner takes no request now, as became known after it was selected.
    pub(crate) is_withheld: bool,
}

/// Why a stream cannot be forwarded any further.
#[derive(Debug)]
pub(crate) struct StreamError {
    detail: String,
    /// Whether its connection broke.
    connection_broke: bool,
}

impl StreamError {
    /// The connection is open, but what arrives, or does not arrive, is wrong.
    pub(crate) fn new(detail: impl Into<String>) -> Self {
        Self {
            detail: detail.into(),
            connection_broke: false,
        }
    }

    fn broken(detail: impl Into<String>) -> Self {
        Self {
            connection_broke: true,
            ..Self::new(detail)
        }
    }
}

impl From<StreamFault> for StreamError {
    fn from(fault: StreamFault) -> Self {
        Self::new(match fault {
            StreamFault::OutOfOrder => "an event does not follow the last one",

            StreamFault::NoEvent => "an event has a line that is no field",
            StreamFault::TooLarge => "an event is too large",
        })
    }
}

impl From<BodyError> for StreamError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Broken(_) => Self::broken(error.to_string()),
            _ => Self::new(error.to_string()),
        }
    }
}

impl From<StreamError> for FailedAttempt {
    fn from(error: StreamError) -> Self {
        match error.connection_broke {
            true => Self::connection_broken(error.detail),
            false => Self::new(AttemptOutcome::Unknown, error.detail),
        }
    }
}

/// The result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// A complete response.
    Buffered(BufferedResponse),
    /// An open stream.
    Stream(Box<OpenStream>),
    /// A failure, with an error response if the runner sent one.
    Failed(FailedAttempt),
}

impl AttemptResult {
    /// Returns whether the request reached the runner, or may have.
    fn was_sent(&self) -> bool {
        match self {
            Self::Buffered(_) | Self::Stream(_) => true,
            Self::Failed(failed) => failed.outcome != AttemptOutcome::NotSent,
        }
    }
}

impl FailedAttempt {
    pub(crate) fn new(outcome: AttemptOutcome, detail: impl Into<String>) -> Self {
        Self {
            outcome,
            detail: detail.into(),
            error_response: None,
            connection_broke: false,
            block: None,
            is_withheld: false,
        }
    }

    /// The request was not sent because the runner takes none now.
    fn withheld() -> Self {
        Self {
            is_withheld: true,
            ..Self::new(AttemptOutcome::NotSent, "the runner takes no request now")
        }
    }

    /// The request was not sent because it crashes runners.
    fn blocked(block: Block) -> Self {
        Self {
            block: Some(block),
            ..Self::new(AttemptOutcome::NotSent, "crashes runners")
        }
    }

    fn connection_broken(detail: impl Into<String>) -> Self {
        Self {
            connection_broke: true,
            ..Self::new(AttemptOutcome::Unknown, detail)
        }
    }
}

/// Sends the request to the slot's runner and waits for a complete response, or for
/// the first event of a stream after `last_event`.
///
/// The attempt stays in flight in `attempts` until the caller has recorded a failure
/// there.
pub(crate) async fn send(
    exchange: &Exchange,
    attempts: &mut RequestAttempts,
    slot: RunnerSlot,
    last_event: Option<u64>,
) -> AttemptResult {
    attempts.begin();
    let result = send_to_runner(exchange, attempts, slot, last_event).await;
    if result.was_sent() {
        attempts.record_sent();
    }
    result
}

async fn send_to_runner(
    exchange: &Exchange,
    attempts: &RequestAttempts,
    mut slot: RunnerSlot,
    last_event: Option<u64>,
) -> AttemptResult {
    let runner = slot.runner().id.clone();
    let timeout = attempt_timeout(exchange);
    let opening = open_response(exchange, &mut slot, last_event);
    let result = match timeout {
        Some(timeout) => wait_unless_movable(exchange, attempts, &runner, timeout, opening).await,
        None => Some(opening.await),
    };
    match result {
        Some(Ok(ResponseStart::Buffered(response))) => AttemptResult::Buffered(response),
        Some(Ok(ResponseStart::Stream(stream))) => AttemptResult::Stream(Box::new(OpenStream {
            status: stream.head.status,
            headers: stream.headers,
            source: StreamSource {
                slot,
                upstream: stream.upstream,
                body: stream.body,
                head: stream.head,
                splitter: stream.splitter,
                sequence: stream.sequence,
                first: Some(stream.first),
            },
        })),
        Some(Err(failed)) => AttemptResult::Failed(failed),
        None => {
            slot.set_outcome(RunnerOutcome::Failed);
            let waited = timeout.unwrap_or_default().as_millis();
            let detail = format!("no response within {waited} ms");
            AttemptResult::Failed(FailedAttempt::new(AttemptOutcome::Unknown, detail))
        }
    }
}

/// Waits for an operation of a runner. Returns `None` if it does not finish within
/// the timeout, the runner's group makes no progress, and another runner could take
/// over the request.
///
/// If the group makes passes, a stream without events is queued there and the wait
/// continues. Retrying it at another runner would process its prompt twice and slow
/// down all other requests, which alone can sustain an overload. And as long as no
/// other runner could respond sooner, giving up would only lose the work begun.
pub(crate) async fn wait_unless_movable<T>(
    exchange: &Exchange,
    attempts: &RequestAttempts,
    runner: &RunnerId,
    timeout: Duration,
    operation: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(operation);
    let mut wait = timeout;
    loop {
        match tokio::time::timeout(wait, operation.as_mut()).await {
            Ok(done) => return Some(done),
            Err(_) if exchange.state.is_making_progress(&exchange.service, runner) => {}
            Err(_) if !may_move(exchange, attempts, runner) => {}
            Err(_) => return None,
        }
        wait = MOVE_CHECK_INTERVAL;
    }
}

/// Returns whether another runner could take over the request.
fn may_move(exchange: &Exchange, attempts: &RequestAttempts, runner: &RunnerId) -> bool {
    let mut excluded = attempts.excluded().to_vec();
    excluded.push(runner.clone());
    attempts.retry().may_move() && exchange.state.has_room_except(&exchange.service, &excluded)
}

/// Returns how long to wait for this attempt before the request is retried at
/// another runner; `None` waits until the request's deadline.
fn attempt_timeout(exchange: &Exchange) -> Option<Duration> {
    let route = &exchange.route_match.route;
    let remaining = exchange
        .deadline
        .saturating_duration_since(exchange.state.now());
    match route.retry_policy {
        RetryPolicy::Never => None,
        RetryPolicy::Idempotent => Some(
            remaining
                .mul_f64(IDEMPOTENT_TIMEOUT_SHARE)
                .max(route.latency_target),
        ),
        RetryPolicy::Resume => Some(FIRST_EVENT_TIMEOUT.max(route.latency_target)),
    }
}

/// A complete response or the start of a stream, as received by this attempt.
enum ResponseStart {
    Buffered(BufferedResponse),
    Stream(Box<StreamStart>),
}

struct StreamStart {
    upstream: Upstream,
    body: ResponseBody,
    head: ResponseHead,
    headers: HeaderMap,
    splitter: EventSplitter,
    sequence: SequenceChecker,
    first: Bytes,
}

async fn open_response(
    exchange: &Exchange,
    slot: &mut RunnerSlot,
    last_event: Option<u64>,
) -> Result<ResponseStart, FailedAttempt> {
    let mut upstream = connect(exchange, slot).await?;
    let req = build_request(exchange, slot, last_event)?;
    if let Err(block) = exchange.begin_attempt(slot.runner()).await {
        return Err(FailedAttempt::blocked(block));
    }
    if !slot.may_hand_out() {
        return Err(FailedAttempt::withheld());
    }
    let sent_at = exchange.state.now();
    let begun = || slot.response_begun(exchange.deadline);
    let res = match upstream.send(req, begun).await {
        Ok(res) => res,
        Err(SendError::NotSent(detail)) => {
            return Err(FailedAttempt::new(AttemptOutcome::NotSent, detail));
        }
        Err(SendError::MayHaveRun(detail)) => {
            slot.set_outcome(RunnerOutcome::Failed);
            return Err(FailedAttempt::connection_broken(detail));
        }
    };
    slot.response_begun(exchange.deadline);
    let (parts, body) = res.into_parts();
    let head = ResponseHead::new(parts.status, &parts.headers);
    if !is_final(head.status.as_u16()) {
        slot.set_outcome(RunnerOutcome::Failed);
        let detail = format!("status {} of no final response", head.status.as_u16());
        return Err(FailedAttempt::new(AttemptOutcome::Unknown, detail));
    }
    if !is_for_request(&head, exchange, &slot.runner().id, &upstream) {
        // A response to another request; this request's may never arrive here.
        slot.set_outcome(RunnerOutcome::Failed);
        let detail = "the response is for another request";
        return Err(FailedAttempt::new(AttemptOutcome::Unknown, detail));
    }
    if !head.is_misdirected {
        slot.observe(sent_at, &head);
    }
    let runner = &slot.runner().id;
    if head.proves_not_run(runner) {
        let outcome = match head.rest {
            _ if head.is_misdirected => RunnerOutcome::Replaced,
            RestNotice::For(_) => RunnerOutcome::Rests,
            RestNotice::None | RestNotice::Unreadable => RunnerOutcome::Busy,
        };
        slot.set_outcome(outcome);
        let detail = format!("status {}", head.status.as_u16());
        return Err(FailedAttempt::new(AttemptOutcome::NotRun, detail));
    }
    if !head.is_signed || head.is_encoded {
        slot.set_outcome(RunnerOutcome::Failed);
        return Err(FailedAttempt::new(
            AttemptOutcome::Unknown,
            "the response is not signed",
        ));
    }
    if promises_not_run(head.status.as_u16()) {
        return Err(unproven_refusal(slot, &head));
    }
    let headers = caller_response_headers(&parts.headers);
    if exchange.route_match.route.is_streaming && head.status.is_success() {
        let stream = start_stream(slot, upstream, head, headers, body, last_event).await?;
        exchange
            .state
            .response_began(&exchange.service, &slot.runner().id);
        Ok(ResponseStart::Stream(Box::new(stream)))
    } else {
        buffer_response(exchange, slot, upstream, head, headers, body)
            .await
            .map(ResponseStart::Buffered)
    }
}

/// Returns the failure for a response whose status promises that the request was not
/// executed while nothing proves it. The response itself is dropped: the caller would
/// believe the status, and no other status may carry the runner's signature.
fn unproven_refusal(slot: &mut RunnerSlot, head: &ResponseHead) -> FailedAttempt {
    slot.set_outcome(match head.is_misdirected {
        true => RunnerOutcome::Replaced,
        false => RunnerOutcome::ErrorResponse,
    });
    let status = head.status.as_u16();
    counter!(telemetry::UNPROVEN_REFUSALS, "status" => status.to_string()).increment(1);
    let detail = format!("status {status} without proof that the request was not executed");
    FailedAttempt::new(AttemptOutcome::Failed, detail)
}

/// Returns whether a response belongs to the request that was sent.
///
/// A faulty runner may write a response once more. On a connection that carried other
/// requests only the identifier tells them apart; a refused request leaves no connection
/// behind, so its identifier cannot come again. A refusal on a new connection may lack the
/// identifier: nothing could have been written there for another request.
fn is_for_request(
    head: &ResponseHead,
    exchange: &Exchange,
    runner: &RunnerId,
    upstream: &Upstream,
) -> bool {
    match head.request_id.as_deref() {
        Some(id) => id == exchange.caller.id,
        None => head.proves_not_run(runner) && !upstream.is_reused(),
    }
}

async fn connect(exchange: &Exchange, slot: &mut RunnerSlot) -> Result<Upstream, FailedAttempt> {
    let state = &exchange.state;
    let address = slot.runner().address;
    // A request that must be executed at most once gets a new connection, which can
    // carry no late response to another request and is not closed as idle while the
    // request is sent.
    if exchange.route_match.route.may_run_again()
        && let Some(idle) = state.upstreams.take_idle(state.now(), address)
    {
        return Ok(idle);
    }
    Upstream::connect(address).await.map_err(|e| {
        slot.set_outcome(RunnerOutcome::Failed);
        if let ConnectError::Refused(_) = e {
            state.runner_lost(&slot.runner().into(), "refuses connections");
        }
        FailedAttempt::new(AttemptOutcome::NotSent, e.into_detail())
    })
}

fn build_request(
    exchange: &Exchange,
    slot: &RunnerSlot,
    last_event: Option<u64>,
) -> Result<Request<RequestBody>, FailedAttempt> {
    let remaining = exchange
        .deadline
        .saturating_duration_since(exchange.state.now());
    let tenancy = exchange.route_match.tenancy.as_ref();
    let headers = runner_request_headers(
        &exchange.head.headers,
        &slot.runner().id,
        tenancy.map(|tenancy| &tenancy.workspace),
        remaining,
        last_event,
        None,
    )
    .map_err(|e| FailedAttempt::new(AttemptOutcome::NotSent, e.to_string()))?;
    let target = exchange
        .head
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut req = Request::builder()
        .method(exchange.head.method.clone())
        .uri(target)
        .body(exchange.body.clone())
        .map_err(|e| FailedAttempt::new(AttemptOutcome::NotSent, e.to_string()))?;
    *req.headers_mut() = headers;
    Ok(req)
}

async fn buffer_response(
    exchange: &Exchange,
    slot: &mut RunnerSlot,
    upstream: Upstream,
    head: ResponseHead,
    headers: HeaderMap,
    body: ResponseBody,
) -> Result<BufferedResponse, FailedAttempt> {
    let state = &exchange.state;
    let collected = body.collect(
        &state.body_budget,
        &state.memory,
        exchange.connection.closing(),
    );
    let body = match collected.await {
        Ok(body) => body,
        // The lack of room says nothing about the runner.
        Err(e @ BodyError::NoRoom) => {
            return Err(FailedAttempt::new(AttemptOutcome::Unknown, e.to_string()));
        }
        Err(e @ BodyError::Broken(_)) => {
            slot.set_outcome(RunnerOutcome::Failed);
            return Err(FailedAttempt::connection_broken(e.to_string()));
        }
        Err(e) => {
            slot.set_outcome(RunnerOutcome::Failed);
            return Err(FailedAttempt::new(AttemptOutcome::Unknown, e.to_string()));
        }
    };
    slot.set_outcome(match head.status {
        // The request's time was too short, which says nothing about the runner.
        StatusCode::GATEWAY_TIMEOUT => RunnerOutcome::Served,
        status if status.is_server_error() => RunnerOutcome::ErrorResponse,
        _ => RunnerOutcome::Served,
    });
    // Only requests that may run again use idle connections. Those of other requests
    // would pile up until the runner resets new ones.
    if !head.closes_connection && exchange.route_match.route.may_run_again() {
        state
            .upstreams
            .put_idle(state.now(), upstream, head.keep_alive);
    }
    let response = BufferedResponse {
        status: head.status,
        headers,
        body,
    };
    if head.status.is_server_error() {
        return Err(FailedAttempt {
            error_response: Some(Box::new(response)),
            ..FailedAttempt::new(
                AttemptOutcome::Failed,
                format!("status {}", head.status.as_u16()),
            )
        });
    }
    exchange.record_sound();
    Ok(response)
}

async fn start_stream(
    slot: &mut RunnerSlot,
    upstream: Upstream,
    head: ResponseHead,
    headers: HeaderMap,
    mut body: ResponseBody,
    last_event: Option<u64>,
) -> Result<StreamStart, FailedAttempt> {
    let mut splitter = EventSplitter::default();
    let mut sequence = SequenceChecker::after(last_event);
    let first = match next_event(&mut body, &mut splitter, &mut sequence).await {
        Ok(Some(event)) => event,
        Ok(None) => {
            slot.set_outcome(RunnerOutcome::Failed);
            return Err(FailedAttempt::connection_broken("the stream has no event"));
        }
        Err(e) => {
            slot.set_outcome(RunnerOutcome::Failed);
            return Err(e.into());
        }
    };
    Ok(StreamStart {
        upstream,
        body,
        head,
        headers,
        splitter,
        sequence,
        first,
    })
}

/// Returns the next complete event; `None` at the end of the stream.
///
/// # Errors
///
/// Fails if the stream cannot be forwarded any further.
pub(crate) async fn next_event(
    body: &mut ResponseBody,
    splitter: &mut EventSplitter,
    sequence: &mut SequenceChecker,
) -> Result<Option<Bytes>, StreamError> {
    let mut event_end = EventEnd::new(body);
    loop {
        if let Some(event) = splitter.next_event() {
            sequence.accept(&event)?;
            return Ok(Some(event));
        }
        match event_end.wait_for_frame(body, splitter).await? {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    splitter.push(&data)?;
                }
            }
            Some(Err(e)) => return Err(e.into()),
            None if splitter.is_within_event() => {
                return Err(StreamError::broken("the stream ended within an event"));
            }
            None => return Ok(None),
        }
    }
}

/// Finds out when bytes arrive without completing an event.
struct EventEnd {
    /// When the event must have ended, if a part of it has arrived.
    due: Option<Instant>,
    /// End of the current interval in which bytes are counted.
    interval_end: Instant,
    /// Bytes on the connection up to the start of that interval.
    counted: u64,
    /// Whether the rest of the framing of the event before has had time to arrive.
    is_framing_over: bool,
}

impl EventEnd {
    fn new(body: &ResponseBody) -> Self {
        Self {
            due: None,
            interval_end: Instant::now() + FRAMING_REST_TIME,
            counted: body.received(),
            is_framing_over: false,
        }
    }

    /// Waits for the next part of the body.
    ///
    /// # Errors
    ///
    /// Fails if an event has begun and does not end in time, or if bytes keep arriving
    /// that are no part of an event.
    async fn wait_for_frame(
        &mut self,
        body: &mut ResponseBody,
        splitter: &EventSplitter,
    ) -> Result<Option<Result<Frame<Bytes>, BodyError>>, StreamError> {
        if splitter.is_within_event() && self.due.is_none() {
            self.due = Some(Instant::now() + EVENT_END_TIMEOUT);
        }
        loop {
            let until = self.due.unwrap_or(self.interval_end);
            if let Ok(frame) = tokio::time::timeout_at(until, body.frame()).await {
                return Ok(frame);
            }
            if self.due.is_some() {
                return Err(StreamError::new("an event did not end in time"));
            }
            let received = body.received();
            if self.is_framing_over && received > self.counted {
                return Err(StreamError::new("bytes arrived that are no event"));
            }
            self.is_framing_over = true;
            self.counted = received;
            self.interval_end = Instant::now() + FRAMING_INTERVAL;
        }
    }
}
