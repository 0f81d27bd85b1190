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
use wisteriawick_core::gateway::Repeat;
use wisteriawick_core::gateway::RunnerStatus;
use wisteriawick_core::gateway::StreamCheck;
use wisteriawick_core::gateway::StreamFault;
use wisteriawick_core::ids::RunnerId;
use wisteriawick_platform::ResponseHead;
use wisteriawick_platform::caller_response_headers;
use wisteriawick_platform::runner_request_headers;

use crate::gateway::exchange::Exchange;
use crate::gateway::hub::lock;
use crate::gateway::slot::Slot;
use crate::gateway::upstream::SendError;
use crate::gateway::upstream::Upstream;

/// Largest plain answer, in bytes; it is held until it is whole.
const MAX_PLAIN_ANSWER: usize = 8 * 1024 * 1024;
/// Time without a first event after which a stream is tried elsewhere, while
/// its caller is still there.
const FIRST_EVENT_PATIENCE: Duration = Duration::from_millis(1_300);
/// Share of its time after which an idempotent request is tried elsewhere.
const IDEMPOTENT_PATIENCE: f64 = 0.4;

/// A plain answer in whole.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A stream whose first event is there.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) source: Source,
}

/// Where the events of a stream come from.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) slot: Slot,
    pub(crate) upstream: Upstream,
    pub(crate) body: Incoming,
    pub(crate) head: ResponseHead,
    pub(crate) splitter: EventSplitter,
    pub(crate) check: StreamCheck,
    /// The first event, which was read to know that there is one.
    pub(crate) first: Option<Bytes>,
}

/// Why an attempt brought no answer to pass on.
#[derive(Debug)]
pub(crate) struct Ended {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) detail: String,
    /// The runner's own failure, if that is what came.
    pub(crate) failure: Option<Box<WholeAnswer>>,
    /// Whether the runner's connection broke while it ran the request.
    pub(crate) crashed: bool,
}

/// What an attempt brought.
#[derive(Debug)]
pub(crate) enum Opened {
    /// A plain answer.
    Whole(WholeAnswer),
    /// A stream.
    Stream(Box<OpenStream>),
    /// Nothing to pass on.
    Ended(Ended),
}

impl Ended {
    pub(crate) fn new(outcome: AttemptOutcome, detail: impl Into<String>) -> Self {
        Self {
            outcome,
            detail: detail.into(),
            failure: None,
            crashed: false,
        }
    }

    fn broken(detail: impl Into<String>) -> Self {
        Self {
            crashed: true,
            ..Self::new(AttemptOutcome::Unknown, detail)
        }
    }
}

/// Sends the request to the slot's runner and waits for a whole plain answer
/// or the first event of a stream after `last_event`.
pub(crate) async fn start(exchange: &Exchange, mut slot: Slot, last_event: Option<u64>) -> Opened {
    let runner = slot.runner.id.clone();
    let patience = patience(exchange);
    let opening = open(exchange, &mut slot, last_event);
    let opened = match patience {
        Some(patience) => wait_while_progressing(exchange, &runner, patience, opening).await,
        None => Some(opening.await),
    };
    match opened {
        Some(Ok(Reply::Whole(whole))) => Opened::Whole(whole),
        Some(Ok(Reply::Stream(stream))) => Opened::Stream(Box::new(OpenStream {
            status: stream.head.status,
            headers: stream.headers,
            source: Source {
                slot,
                upstream: stream.upstream,
                body: stream.body,
                head: stream.head,
                splitter: stream.splitter,
                check: stream.check,
                first: Some(stream.first),
            },
        })),
        Some(Err(ended)) => Opened::Ended(ended),
        None => {
            slot.set_status(RunnerStatus::Failed);
            let waited = patience.unwrap_or_default().as_millis();
            let detail = format!("nothing within {waited} ms");
            Opened::Ended(Ended::new(AttemptOutcome::Unknown, detail))
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
    patience: Duration,
    work: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(work);
    loop {
        match tokio::time::timeout(patience, work.as_mut()).await {
            Ok(done) => return Some(done),
            Err(_) if exchange.hub.is_progressing(&exchange.service, runner) => {}
            Err(_) => return None,
        }
    }
}

/// Returns how long this attempt may go without anything before another is
/// made; `None` leaves that to the time of the whole request.
fn patience(exchange: &Exchange) -> Option<Duration> {
    let route = &exchange.permit.route;
    let left = exchange
        .deadline
        .saturating_duration_since(exchange.hub.now());
    match route.repeat {
        Repeat::Never => None,
        Repeat::Idempotent => Some(left.mul_f64(IDEMPOTENT_PATIENCE).max(route.objective)),
        Repeat::Resume => Some(FIRST_EVENT_PATIENCE.max(route.objective)),
    }
}

enum Reply {
    Whole(WholeAnswer),
    Stream(Box<FirstEvent>),
}

struct FirstEvent {
    upstream: Upstream,
    body: Incoming,
    head: ResponseHead,
    headers: HeaderMap,
    splitter: EventSplitter,
    check: StreamCheck,
    first: Bytes,
}

async fn open(
    exchange: &Exchange,
    slot: &mut Slot,
    last_event: Option<u64>,
) -> Result<Reply, Ended> {
    let mut upstream = connect(exchange, slot).await?;
    let req = request(exchange, slot, last_event)?;
    let res = match upstream.send(req).await {
        Ok(res) => res,
        Err(SendError::NotSent(detail)) => {
            return Err(Ended::new(AttemptOutcome::NotSent, detail));
        }
        Err(SendError::MayHaveRun(detail)) => {
            slot.set_status(RunnerStatus::Failed);
            return Err(Ended::broken(detail));
        }
    };
    let (parts, body) = res.into_parts();
    let head = ResponseHead::new(parts.status, &parts.headers);
    if head.is_not_executed {
        let status = match head.is_misdirected {
            true => RunnerStatus::Replaced,
            false => RunnerStatus::Busy,
        };
        slot.set_status(status);
        let detail = format!("status {}", head.status.as_u16());
        return Err(Ended::new(AttemptOutcome::NotRun, detail));
    }
    if head.request_id.as_deref() != Some(exchange.caller.id.as_str()) {
        // An answer to another request; this one's may never come here.
        slot.set_status(RunnerStatus::Failed);
        let detail = "the answer is for another request";
        return Err(Ended::new(AttemptOutcome::Unknown, detail));
    }
    if !head.is_signed || head.is_encoded {
        slot.set_status(RunnerStatus::Failed);
        return Err(Ended::new(
            AttemptOutcome::Unknown,
            "the answer is not signed",
        ));
    }
    let headers = caller_response_headers(&parts.headers);
    if exchange.permit.route.streams && head.status.is_success() {
        let opened = first_event(slot, upstream, head, headers, body, last_event).await?;
        exchange.hub.began(&exchange.service, &slot.runner.id);
        Ok(Reply::Stream(Box::new(opened)))
    } else {
        whole_answer(exchange, slot, upstream, head, headers, body)
            .await
            .map(Reply::Whole)
    }
}

async fn connect(exchange: &Exchange, slot: &mut Slot) -> Result<Upstream, Ended> {
    let hub = &exchange.hub;
    let address = slot.runner.address;
    // A request that runs at most once goes on a connection of its own: there
    // no late answer to another request and no idle close can cross it.
    if exchange.permit.route.may_run_again()
        && let Some(kept) = hub.upstreams.take(hub.now(), address)
    {
        return Ok(kept);
    }
    Upstream::connect(address).await.map_err(|e| {
        slot.set_status(RunnerStatus::Failed);
        lock(&hub.strikes).runner_lost(hub.now(), &slot.runner.id);
        let (SendError::NotSent(detail) | SendError::MayHaveRun(detail)) = e;
        Ended::new(AttemptOutcome::NotSent, detail)
    })
}

fn request(
    exchange: &Exchange,
    slot: &Slot,
    last_event: Option<u64>,
) -> Result<Request<Full<Bytes>>, Ended> {
    let left = exchange
        .deadline
        .saturating_duration_since(exchange.hub.now());
    let tenancy = exchange.permit.tenancy.as_ref();
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
        .map_err(|e| Ended::new(AttemptOutcome::NotSent, e.to_string()))?;
    *req.headers_mut() = headers;
    Ok(req)
}

async fn whole_answer(
    exchange: &Exchange,
    slot: &mut Slot,
    upstream: Upstream,
    head: ResponseHead,
    headers: HeaderMap,
    body: Incoming,
) -> Result<WholeAnswer, Ended> {
    let body = match Limited::new(body, MAX_PLAIN_ANSWER).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            slot.set_status(RunnerStatus::Failed);
            return Err(Ended::broken(format!("the answer broke off: {e}")));
        }
    };
    slot.set_status(match head.status {
        // Its time was too short, which says nothing of the runner.
        StatusCode::GATEWAY_TIMEOUT => RunnerStatus::Served,
        status if status.is_server_error() => RunnerStatus::Erred,
        _ => RunnerStatus::Served,
    });
    let hub = &exchange.hub;
    if !head.closes_connection {
        hub.upstreams.keep(hub.now(), upstream, head.keep_alive);
    }
    let answer = WholeAnswer {
        status: head.status,
        headers,
        body,
    };
    lock(&hub.strikes).clear(exchange.fingerprint);
    if head.status.is_server_error() {
        return Err(Ended {
            failure: Some(Box::new(answer)),
            ..Ended::new(
                AttemptOutcome::Failed,
                format!("status {}", head.status.as_u16()),
            )
        });
    }
    Ok(answer)
}

async fn first_event(
    slot: &mut Slot,
    upstream: Upstream,
    head: ResponseHead,
    headers: HeaderMap,
    mut body: Incoming,
    last_event: Option<u64>,
) -> Result<FirstEvent, Ended> {
    let mut splitter = EventSplitter::default();
    let mut check = StreamCheck::after(last_event);
    let first = match next_event(&mut body, &mut splitter, &mut check).await {
        Ok(Some(event)) => event,
        Ok(None) => {
            slot.set_status(RunnerStatus::Failed);
            return Err(Ended::broken("the stream has no event"));
        }
        Err(detail) => {
            slot.set_status(RunnerStatus::Failed);
            return Err(Ended::broken(detail));
        }
    };
    Ok(FirstEvent {
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
    check: &mut StreamCheck,
) -> Result<Option<Bytes>, String> {
    loop {
        if let Some(event) = splitter.next_event() {
            check.take(&event).map_err(describe)?;
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
