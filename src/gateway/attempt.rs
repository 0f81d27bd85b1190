//! One attempt of a request at one runner.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use wisteriawick_core::gateway::AttemptOutcome;
use wisteriawick_core::gateway::EventSplitter;
use wisteriawick_core::gateway::RetryPolicy;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::gateway::SequenceChecker;
use wisteriawick_core::gateway::StreamFault;
use wisteriawick_core::ids::RunnerId;
use wisteriawick_platform::ResponseHead;
use wisteriawick_platform::caller_response_headers;
use wisteriawick_platform::runner_request_headers;

use crate::gateway::exchange::Exchange;
use crate::gateway::runner_slot::RunnerSlot;
use crate::gateway::state::lock;
use crate::gateway::upstream::SendError;
use crate::gateway::upstream::Upstream;

/// Largest plain answer, in bytes; it is held until it is whole.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Time without a first event after which a stream is tried elsewhere, while
/// its caller is still there.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Share of its time after which an idempotent request is tried elsewhere.
const IDEMPOTENT_TIMEOUT_SHARE: f64 = 0.4;

/// A plain answer in whole.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A stream whose first event is there.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) source: StreamSource,
}

/// Where the events of a stream come from.
#[derive(Debug)]
pub(crate) struct StreamSource {
    pub(crate) slot: RunnerSlot,
    pub(crate) upstream: Upstream,
    pub(crate) body: Incoming,
    pub(crate) head: ResponseHead,
    pub(crate) splitter: EventSplitter,
    pub(crate) check: SequenceChecker,
    /// The first event, which was read to know that there is one.
    pub(crate) first: Option<Bytes>,
}

/// Why an attempt brought no answer to pass on.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) detail: String,
    /// The runner's own failure, if that is what came.
    pub(crate) error_response: Option<Box<BufferedResponse>>,
    /// Whether the runner's connection broke while it ran the request.
    pub(crate) connection_broke: bool,
}

/// What an attempt brought.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// A plain answer.
    Buffered(BufferedResponse),
    /// A stream.
    Stream(Box<OpenStream>),
    /// Nothing to pass on.
    Failed(FailedAttempt),
}

impl FailedAttempt {
    pub(crate) fn new(outcome: AttemptOutcome, detail: impl Into<String>) -> Self {
        Self {
            outcome,
            detail: detail.into(),
            error_response: None,
            connection_broke: false,
        }
    }

    fn connection_broken(detail: impl Into<String>) -> Self {
        Self {
            connection_broke: true,
            ..Self::new(AttemptOutcome::Unknown, detail)
        }
    }
}

/// Sends the request to the slot's runner and waits for a whole plain answer
/// or the first event of a stream after `last_event`.
pub(crate) async fn send(
    exchange: &Exchange,
    mut slot: RunnerSlot,
    last_event: Option<u64>,
) -> AttemptResult {
    let runner = slot.runner.id.clone();
    let timeout = attempt_timeout(exchange);
    let opening = open_response(exchange, &mut slot, last_event);
    let opened = match timeout {
        Some(timeout) => wait_while_progressing(exchange, &runner, timeout, opening).await,
        None => Some(opening.await),
    };
    match opened {
        Some(Ok(ResponseStart::Buffered(whole))) => AttemptResult::Buffered(whole),
        Some(Ok(ResponseStart::Stream(stream))) => AttemptResult::Stream(Box::new(OpenStream {
            status: stream.head.status,
            headers: stream.headers,
            source: StreamSource {
                slot,
                upstream: stream.upstream,
                body: stream.body,
                head: stream.head,
                splitter: stream.splitter,
                check: stream.check,
                first: Some(stream.first),
            },
        })),
        Some(Err(failed)) => AttemptResult::Failed(failed),
        None => {
            slot.set_outcome(RunnerOutcome::Failed);
            let waited = timeout.unwrap_or_default().as_millis();
            let detail = format!("nothing within {waited} ms");
            AttemptResult::Failed(FailedAttempt::new(AttemptOutcome::Unknown, detail))
        }
    }
}

/// Waits for something of a runner; `None` when nothing came for a time and its
/// group makes no passes.
///
/// A silent stream of a group that makes passes waits its turn there. To send
/// it elsewhere would have its prompt read twice and slow all others down: in
/// an overload that alone keeps the overload up.
pub(crate) async fn wait_while_progressing<T>(
    exchange: &Exchange,
    runner: &RunnerId,
    timeout: Duration,
    work: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(work);
    loop {
        match tokio::time::timeout(timeout, work.as_mut()).await {
            Ok(done) => return Some(done),
            Err(_) if exchange.state.is_making_progress(&exchange.service, runner) => {}
            Err(_) => return None,
        }
    }
}

/// Returns how long this attempt may go without anything before another is
/// made; `None` leaves that to the time of the whole request.
fn attempt_timeout(exchange: &Exchange) -> Option<Duration> {
    let route = &exchange.route_match.route;
    let left = exchange
        .deadline
        .saturating_duration_since(exchange.state.now());
    match route.retry_policy {
        RetryPolicy::Never => None,
        RetryPolicy::Idempotent => Some(
            left.mul_f64(IDEMPOTENT_TIMEOUT_SHARE)
                .max(route.latency_target),
        ),
        RetryPolicy::Resume => Some(FIRST_EVENT_TIMEOUT.max(route.latency_target)),
    }
}

enum ResponseStart {
    Buffered(BufferedResponse),
    Stream(Box<StreamStart>),
}

struct StreamStart {
    upstream: Upstream,
    body: Incoming,
    head: ResponseHead,
    headers: HeaderMap,
    splitter: EventSplitter,
    check: SequenceChecker,
    first: Bytes,
}

async fn open_response(
    exchange: &Exchange,
    slot: &mut RunnerSlot,
    last_event: Option<u64>,
) -> Result<ResponseStart, FailedAttempt> {
    let mut upstream = connect(exchange, slot).await?;
    let req = request(exchange, slot, last_event)?;
    let res = match upstream.send(req).await {
        Ok(res) => res,
        Err(SendError::NotSent(detail)) => {
            return Err(FailedAttempt::new(AttemptOutcome::NotSent, detail));
        }
        Err(SendError::MayHaveRun(detail)) => {
            slot.set_outcome(RunnerOutcome::Failed);
            return Err(FailedAttempt::connection_broken(detail));
        }
    };
    let (parts, body) = res.into_parts();
    let head = ResponseHead::new(parts.status, &parts.headers);
    if head.is_not_executed {
        let status = match head.is_misdirected {
            true => RunnerOutcome::Replaced,
            false => RunnerOutcome::Busy,
        };
        slot.set_outcome(status);
        let detail = format!("status {}", head.status.as_u16());
        return Err(FailedAttempt::new(AttemptOutcome::NotRun, detail));
    }
    if head.request_id.as_deref() != Some(exchange.caller.id.as_str()) {
        // An answer to another request; this one's may never come here.
        slot.set_outcome(RunnerOutcome::Failed);
        let detail = "the answer is for another request";
        return Err(FailedAttempt::new(AttemptOutcome::Unknown, detail));
    }
    if !head.is_signed || head.is_encoded {
        slot.set_outcome(RunnerOutcome::Failed);
        return Err(FailedAttempt::new(
            AttemptOutcome::Unknown,
            "the answer is not signed",
        ));
    }
    let headers = caller_response_headers(&parts.headers);
    if exchange.route_match.route.is_streaming && head.status.is_success() {
        let opened = start_stream(slot, upstream, head, headers, body, last_event).await?;
        exchange
            .state
            .response_began(&exchange.service, &slot.runner.id);
        Ok(ResponseStart::Stream(Box::new(opened)))
    } else {
        buffer_response(exchange, slot, upstream, head, headers, body)
            .await
            .map(ResponseStart::Buffered)
    }
}

async fn connect(exchange: &Exchange, slot: &mut RunnerSlot) -> Result<Upstream, FailedAttempt> {
    let state = &exchange.state;
    let address = slot.runner.address;
    // A request that runs at most once goes on a connection of its own: there
    // no late answer to another request and no idle close can cross it.
    if exchange.route_match.route.may_run_again()
        && let Some(kept) = state.upstreams.take_idle(state.now(), address)
    {
        return Ok(kept);
    }
    Upstream::connect(address).await.map_err(|e| {
        slot.set_outcome(RunnerOutcome::Failed);
        lock(&state.crash_tracker).runner_lost(state.now(), &slot.runner.id);
        let (SendError::NotSent(detail) | SendError::MayHaveRun(detail)) = e;
        FailedAttempt::new(AttemptOutcome::NotSent, detail)
    })
}

fn request(
    exchange: &Exchange,
    slot: &RunnerSlot,
    last_event: Option<u64>,
) -> Result<Request<Full<Bytes>>, FailedAttempt> {
    let left = exchange
        .deadline
        .saturating_duration_since(exchange.state.now());
    let tenancy = exchange.route_match.tenancy.as_ref();
    let headers = runner_request_headers(
        &exchange.head.headers,
        &slot.runner.id,
        tenancy.map(|tenancy| &tenancy.workspace),
        left,
        last_event,
        None,
    );
    let target = exchange
        .head
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut req = Request::builder()
        .method(exchange.head.method.clone())
        .uri(target)
        .body(Full::new(exchange.body.clone()))
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
    body: Incoming,
) -> Result<BufferedResponse, FailedAttempt> {
    let body = match Limited::new(body, MAX_BUFFERED_RESPONSE_BYTES)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            slot.set_outcome(RunnerOutcome::Failed);
            return Err(FailedAttempt::connection_broken(format!(
                "the answer broke off: {e}"
            )));
        }
    };
    slot.set_outcome(match head.status {
        // Its time was too short, which says nothing of the runner.
        StatusCode::GATEWAY_TIMEOUT => RunnerOutcome::Served,
        status if status.is_server_error() => RunnerOutcome::ErrorResponse,
        _ => RunnerOutcome::Served,
    });
    let state = &exchange.state;
    if !head.closes_connection {
        state
            .upstreams
            .put_idle(state.now(), upstream, head.keep_alive);
    }
    let response = BufferedResponse {
        status: head.status,
        headers,
        body,
    };
    lock(&state.crash_tracker).clear(exchange.fingerprint);
    if head.status.is_server_error() {
        return Err(FailedAttempt {
            error_response: Some(Box::new(response)),
            ..FailedAttempt::new(
                AttemptOutcome::Failed,
                format!("status {}", head.status.as_u16()),
            )
        });
    }
    Ok(response)
}

async fn start_stream(
    slot: &mut RunnerSlot,
    upstream: Upstream,
    head: ResponseHead,
    headers: HeaderMap,
    mut body: Incoming,
    last_event: Option<u64>,
) -> Result<StreamStart, FailedAttempt> {
    let mut splitter = EventSplitter::default();
    let mut check = SequenceChecker::after(last_event);
    let first = match next_event(&mut body, &mut splitter, &mut check).await {
        Ok(Some(event)) => event,
        Ok(None) => {
            slot.set_outcome(RunnerOutcome::Failed);
            return Err(FailedAttempt::connection_broken("the stream has no event"));
        }
        Err(detail) => {
            slot.set_outcome(RunnerOutcome::Failed);
            return Err(FailedAttempt::connection_broken(detail));
        }
    };
    Ok(StreamStart {
        upstream,
        body,
        head,
        headers,
        splitter,
        check,
        first,
    })
}

/// Returns the next whole event; `None` at the end of the stream.
///
/// # Errors
///
/// Says why the stream cannot be passed on.
pub(crate) async fn next_event(
    body: &mut Incoming,
    splitter: &mut EventSplitter,
    check: &mut SequenceChecker,
) -> Result<Option<Bytes>, String> {
    loop {
        if let Some(event) = splitter.next_event() {
            check.accept(&event).map_err(describe)?;
            return Ok(Some(event));
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    splitter.push(&data).map_err(describe)?;
                }
            }
            Some(Err(e)) => return Err(format!("the stream broke off: {e}")),
            None if splitter.is_within_event() => {
                return Err("the stream ended within an event".into());
            }
            None => return Ok(None),
        }
    }
}

fn describe(fault: StreamFault) -> String {
    match fault {
        StreamFault::OutOfOrder => "an event does not follow the last one".into(),
        StreamFault::TooLarge => "an event is too large".into(),
    }
}
