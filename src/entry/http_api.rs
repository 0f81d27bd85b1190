//! The HTTP port for callers: chat completions, calls of plain services, and lookups of
//! keyed calls.
//!
//! Every response to a call or a lookup carries a header that says whether the call ran.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::HeaderValue;
use http_body_util::BodyExt;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::async_trait;
use salvo::http::ReqBody;
use salvo::http::StatusCode;
use serde_json::json;
use tokio::sync::mpsc;
use wisteriawick_core::call::Failure;
use wisteriawick_core::call::Outcome;
use wisteriawick_core::ids::ServiceId;
use wisteriawick_core::ledger::CallKey;
use wisteriawick_core::ledger::LedgerReply;
use wisteriawick_core::ledger::RecordedResponse;
use wisteriawick_core::response_status::is_final;
use wisteriawick_core::response_status::promises_not_run;

use crate::entry::EntryContext;
use crate::entry::call_task;
use crate::entry::call_task::CallerResponse;
use crate::entry::call_task::StreamItem;
use crate::entry::caller::CHAT_PATH;
use crate::entry::caller::CallerError;
use crate::entry::caller::CallerRequest;
use crate::entry::caller::RequestParts;
use crate::entry::caller::authenticate;
use crate::entry::caller::read_chat;
use crate::entry::caller::read_plain;
use crate::gateway::memory::RequestMemory;
use crate::gateway::request_body::ReceiveError;
use crate::gateway::request_body::receive_bytes;

/// Maximum size of a request body.
pub(crate) const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Longest time for a whole body. A body of the largest size needs 2.2 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of bytes of a refused body that are read before the response is sent.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;
/// Response header that says whether the request ran: `ran`, `not-run` or `unknown`.
const OUTCOME_HEADER: &str = "wisteriawick-outcome";
/// Response header that marks a response replayed from the ledger.
const REPLAYED_HEADER: &str = "wisteriawick-replayed";
/// Timeout of a lookup, including retries.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a lookup is retried when the shard's owner changed or is not reachable.
const LOOKUP_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Returns the routes of the HTTP port for callers.
pub(crate) fn routes(context: Arc<EntryContext>) -> salvo::Router {
    let api = |operation| ApiHandler {
        context: Arc::clone(&context),
        operation,
    };
    salvo::Router::new()
        .push(salvo::Router::with_path("livez").get(api(Operation::Live)))
        .push(salvo::Router::with_path("readyz").get(api(Operation::Ready)))
        .push(salvo::Router::with_path(&CHAT_PATH[1..]).post(api(Operation::Chat)))
        .push(salvo::Router::with_path("v1/calls/{service}/{key}").get(api(Operation::Lookup)))
        .push(salvo::Router::with_path("{service}/{**rest}").goal(api(Operation::Plain)))
}

#[derive(Clone, Copy, Debug)]
enum Operation {
    Live,
    Ready,
    Chat,
    Lookup,
    Plain,
}

struct ApiHandler {
    context: Arc<EntryContext>,
    operation: Operation,
}

#[async_trait]
impl Handler for ApiHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if self.context.node.is_leaving() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(http::header::CONNECTION, close);
        }
        match self.operation {
            Operation::Live => text_response(res, StatusCode::OK, "live"),
            Operation::Ready => readiness_response(&self.context, res),
            Operation::Chat | Operation::Plain => self.call(req, res).await,
            Operation::Lookup => self.lookup(req, res).await,
        }
    }
}

/// Responds whether the platform's balancer should send new requests to this entry.
pub(crate) fn readiness_response(context: &EntryContext, res: &mut Response) {
    if context.node.is_leaving() {
        text_response(res, StatusCode::SERVICE_UNAVAILABLE, "leaving");
    } else if !context.node.config.is_fresh() {
        let message = "no confirmed configuration; check the platform and the peers";
        text_response(res, StatusCode::SERVICE_UNAVAILABLE, message);
    } else {
        text_response(res, StatusCode::OK, "ready");
    }
}

/// Responds with a line of text.
pub(crate) fn text_response(res: &mut Response, status: StatusCode, line: &str) {
    res.status_code(status);
    res.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain"),
    );
    res.body(format!("{line}\n"));
}

impl ApiHandler {
    async fn call(&self, req: &mut Request, res: &mut Response) {
        let ending = &self.context.ending;
        let read = tokio::select! {
            biased;
            () = ending.cancelled() => Err(stopping()),
            read = self.read_caller(req) => read,
        };
        let caller = match read {
            Ok(caller) => caller,
            Err((status, message)) => {
                refuse(res, status, &message);
                return;
            }
        };
        let service = caller.service.clone();
        let response = call_task::spawn(&self.context, caller);
        match response.await {
            Ok(CallerResponse::Buffered { response, replayed }) => {
                buffered_response(res, response, replayed)
            }
            Ok(CallerResponse::Stream(items)) => streamed_response(res, items),
            Ok(CallerResponse::Failed(failure, outcome)) => call_failed(res, failure, outcome),
            Err(_) => {
                log::error!("a call of {service} ended without a response");
                call_failed(res, Failure::CutOff, Outcome::Unknown);
            }
        }
    }

    async fn read_caller(&self, req: &mut Request) -> Result<CallerRequest, (StatusCode, String)> {
        let body = read_body(&self.context.memory, req).await?;
        let fleet = self.context.node.config.fleet();
        let service = req.param::<String>("service");
        let method = req.method().clone();
        let read = match service {
            None => read_chat(
                &fleet,
                &RequestParts {
                    method: &method,
                    headers: req.headers(),
                    path: CHAT_PATH,
                    body: &body,
                },
            ),
            Some(service) => {
                let path = endpoint_path(req);
                let parts = RequestParts {
                    method: &method,
                    headers: req.headers(),
                    path: &path,
                    body: &body,
                };
                read_plain(&fleet, &service, &parts)
            }
        };
        read.map_err(|e| (e.status(), e.to_string()))
    }

    async fn lookup(&self, req: &mut Request, res: &mut Response) {
        let fleet = self.context.node.config.fleet();
        let workspace = match authenticate(&fleet, req.headers()) {
            Ok((workspace, _)) => workspace.clone(),
            Err(e) => return refuse(res, e.status(), &e.to_string()),
        };
        let service = req.param::<String>("service").unwrap_or_default();
        if !fleet
            .services
            .contains_key(&ServiceId::new(service.as_str()))
        {
            let e = CallerError::UnknownService(service);
            return refuse(res, e.status(), &e.to_string());
        }
        let key = CallKey {
            workspace,
            service: ServiceId::new(service),
            key: req.param::<String>("key").unwrap_or_default(),
        };
        self.respond_to_lookup(&key, res).await;
    }

    async fn respond_to_lookup(&self, key: &CallKey, res: &mut Response) {
        let clock = &self.context.node.clock;
        let deadline = clock.now() + LOOKUP_TIMEOUT;
        let reply = loop {
            let reply = tokio::select! {
                reply = self.context.ledger.lookup(key.digest(), deadline) => reply,
                () = self.context.ending.cancelled() => break LedgerReply::Unavailable,
            };
            if reply != LedgerReply::NotOwner || clock.now() >= deadline {
                break reply;
            }
            tokio::time::sleep(LOOKUP_RETRY_DELAY).await;
        };
        match reply {
            LedgerReply::Done(response) => buffered_response(res, response, true),
            LedgerReply::InProgress => lookup_failed(res, Failure::InProgress, Outcome::Unknown),
            LedgerReply::Absent => {
                // The call may be in transit and claimed later, so its outcome is not known.
                let message = "no call with this key is recorded; send it again with the same key";
                error_response(res, StatusCode::NOT_FOUND, message, Outcome::Unknown, None);
            }
            _ => lookup_failed(res, Failure::LedgerUnavailable, Outcome::Unknown),
        }
    }
}

async fn read_body(
    memory: &Arc<RequestMemory>,
    req: &mut Request,
) -> Result<Bytes, (StatusCode, String)> {
    if declared_length(req) > MAX_BODY_BYTES {
        // Without this, a caller that is still sending its body would get a connection
        // reset instead of the response.
        let discarded = discard(req.take_body());
        // A caller that stops before its end gets the response all the same.
        let _ = tokio::time::timeout(BODY_TIMEOUT, discarded).await;
        return Err(too_large());
    }
    let received = receive_bytes(memory, req.take_body(), MAX_BODY_BYTES);
    let received = tokio::time::timeout(BODY_TIMEOUT, received);
    let Ok(received) = received.await else {
        let message = "the body did not arrive in time; send it again".to_string();
        return Err((StatusCode::REQUEST_TIMEOUT, message));
    };
    received.map_err(|e| match e {
        ReceiveError::TooLong => too_large(),
        ReceiveError::Broken => (
            StatusCode::BAD_REQUEST,
            "the body cannot be read; send it whole".to_string(),
        ),
        ReceiveError::Memory(short) => {
            memory.record_refusal(short.into());
            let message = format!("{short}; send the request again");
            (StatusCode::SERVICE_UNAVAILABLE, message)
        }
    })
}

fn stopping() -> (StatusCode, String) {
    let message = "this entry stops; send the request again".to_string();
    (StatusCode::SERVICE_UNAVAILABLE, message)
}

fn too_large() -> (StatusCode, String) {
    let message = format!("the body is larger than {MAX_BODY_BYTES} bytes; send less");
    (StatusCode::PAYLOAD_TOO_LARGE, message)
}

fn declared_length(req: &Request) -> usize {
    let length = req.headers().get(http::header::CONTENT_LENGTH);
    length
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Reads and drops a body, up to [`MAX_DISCARDED_BYTES`].
async fn discard(mut body: ReqBody) {
    let mut read = 0;
    while let Some(Ok(frame)) = body.frame().await {
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

/// Returns the path and query that follow the service's name, exactly as received.
fn endpoint_path(req: &Request) -> String {
    let uri = req.uri();
    let path = uri.path();
    let rest = path[1..].find('/').map_or("/", |at| &path[at + 1..]);
    match uri.query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_string(),
    }
}

fn set_outcome(res: &mut Response, outcome: Outcome) {
    let value = HeaderValue::from_static(outcome.as_str());
    res.headers_mut().insert(OUTCOME_HEADER, value);
}

/// Responds to a request that is refused before any of it ran.
fn refuse(res: &mut Response, status: StatusCode, message: &str) {
    error_response(res, status, message, Outcome::NotRun, None);
}

fn error_response(
    res: &mut Response,
    status: StatusCode,
    message: &str,
    outcome: Outcome,
    retry_after: Option<Duration>,
) {
    res.status_code(status);
    set_outcome(res, outcome);
    if let Some(retry_after) = retry_after {
        let seconds = retry_after.as_secs_f64().ceil() as u64;
        res.headers_mut()
            .insert(http::header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    res.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    res.body(error_body(message, outcome));
}

fn error_body(message: &str, outcome: Outcome) -> String {
    json!({ "error": { "message": message, "outcome": outcome.as_str() } }).to_string()
}

fn buffered_response(res: &mut Response, response: RecordedResponse, replayed: bool) {
    let outcome = response.outcome();
    set_outcome(res, outcome);
    if replayed {
        let value = HeaderValue::from_static("true");
        res.headers_mut().insert(REPLAYED_HEADER, value);
    }
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    res.status_code(proven_status(status, outcome));
    if let Ok(value) = HeaderValue::from_str(&response.content_type)
        && !response.content_type.is_empty()
    {
        res.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    match response.body {
        Some(body) => {
            res.body(salvo::http::ResBody::Once(body));
        }
        None => {
            res.body(error_body(
                "the call was answered; its answer was too large to keep",
                outcome,
            ));
        }
    }
}

fn streamed_response(res: &mut Response, items: mpsc::Receiver<StreamItem>) {
    res.status_code(StatusCode::OK);
    set_outcome(res, Outcome::Ran);
    res.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    let events = stream::unfold(items, |mut items| async move {
        let item = items.recv().await?;
        let data = match item {
            StreamItem::Events(events) => events,
            StreamItem::End => Bytes::from_static(b"data: [DONE]\n\n"),
            StreamItem::Failed(failure, outcome) => {
                let body = error_body(&failure.to_string(), outcome);
                Bytes::from(format!("event: error\ndata: {body}\n\n"))
            }
        };
        Some((Ok::<_, Infallible>(data), items))
    });
    res.stream(events);
}

/// Returns the status of a response to a call. One that promises that the call did not run
/// stands only where that is proven, and one that no final response has never does.
fn proven_status(status: StatusCode, outcome: Outcome) -> StatusCode {
    let is_unproven = outcome != Outcome::NotRun && promises_not_run(status.as_u16());
    match is_unproven || !is_final(status.as_u16()) {
        true => StatusCode::BAD_GATEWAY,
        false => status,
    }
}

/// Responds to a call that has no complete response.
fn call_failed(res: &mut Response, failure: Failure, outcome: Outcome) {
    let (status, retry_after) = failure_status(failure);
    let retry_after = retry_after.filter(|_| outcome == Outcome::NotRun);
    let status = proven_status(status, outcome);
    error_response(res, status, &failure.to_string(), outcome, retry_after);
}

/// Responds to a lookup without a result; the status is that of the lookup, and `outcome`
/// that of the call.
fn lookup_failed(res: &mut Response, failure: Failure, outcome: Outcome) {
    let (status, retry_after) = failure_status(failure);
    error_response(res, status, &failure.to_string(), outcome, retry_after);
}

fn failure_status(failure: Failure) -> (StatusCode, Option<Duration>) {
    match failure {
        Failure::Overloaded { retry_after } => (StatusCode::TOO_MANY_REQUESTS, Some(retry_after)),
        Failure::DeadlineBeforeStart { retry_after } => {
            (StatusCode::SERVICE_UNAVAILABLE, Some(retry_after))
        }
        Failure::NoRunner { retry_after } => (StatusCode::SERVICE_UNAVAILABLE, Some(retry_after)),
        Failure::Blocked { retry_after } => (StatusCode::UNPROCESSABLE_ENTITY, Some(retry_after)),
        Failure::DeadlineWhileRunning => (StatusCode::GATEWAY_TIMEOUT, None),
        Failure::Refused => (
            StatusCode::SERVICE_UNAVAILABLE,
            Some(Duration::from_secs(1)),
        ),
        Failure::CutOff => (StatusCode::BAD_GATEWAY, None),
        Failure::InProgress => (StatusCode::CONFLICT, None),
        Failure::KeyReused => (StatusCode::UNPROCESSABLE_ENTITY, None),
        Failure::LedgerFull | Failure::LedgerUnavailable => (
            StatusCode::SERVICE_UNAVAILABLE,
            Some(Duration::from_secs(1)),
        ),
    }
}
