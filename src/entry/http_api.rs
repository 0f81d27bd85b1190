//! The callers' HTTP port.

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
use salvo::http::ParseError;
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

use crate::entry::EntryContext;
use crate::entry::call_task;
use crate::entry::call_task::CallerAnswer;
use crate::entry::call_task::StreamItem;
use crate::entry::caller::CHAT_PATH;
use crate::entry::caller::CallerError;
use crate::entry::caller::CallerRequest;
use crate::entry::caller::Parts;
use crate::entry::caller::authenticate;
use crate::entry::caller::read_chat;
use crate::entry::caller::read_plain;

/// Largest body of a caller, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Most of a refused body that is read before it is answered, in bytes.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;
/// Header with what became of a request: `ran`, `not-run` or `unknown`.
const OUTCOME_HEADER: &str = "wisteriawick-outcome";
/// Header that marks an answer replayed from the ledger.
const REPLAYED_HEADER: &str = "wisteriawick-replayed";
/// Longest wait of a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before a lookup asks the next owner.
const LOOKUP_PAUSE: Duration = Duration::from_millis(50);

/// Returns the routes of the callers' port.
pub(crate) fn routes(context: Arc<EntryContext>) -> salvo::Router {
    let api = |operation| Api {
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

struct Api {
    context: Arc<EntryContext>,
    operation: Operation,
}

#[async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.operation {
            Operation::Live => text(res, StatusCode::OK, "live"),
            Operation::Ready => ready(&self.context, res),
            Operation::Chat | Operation::Plain => self.call(req, res).await,
            Operation::Lookup => self.lookup(req, res).await,
        }
    }
}

/// Says whether new requests should come here.
pub(crate) fn ready(context: &EntryContext, res: &mut Response) {
    if context.node.is_leaving() {
        text(res, StatusCode::SERVICE_UNAVAILABLE, "leaving");
    } else if !context.node.config.is_fresh() {
        let message = "no confirmed configuration; check the platform and the peers";
        text(res, StatusCode::SERVICE_UNAVAILABLE, message);
    } else {
        text(res, StatusCode::OK, "ready");
    }
}

/// Writes a line of text.
pub(crate) fn text(res: &mut Response, status: StatusCode, line: &str) {
    res.status_code(status);
    res.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain"),
    );
    res.body(format!("{line}\n"));
}

impl Api {
    async fn call(&self, req: &mut Request, res: &mut Response) {
        let caller = match self.read_caller(req).await {
            Ok(caller) => caller,
            Err((status, message)) => {
                refuse(res, status, &message);
                return;
            }
        };
        let service = caller.service.clone();
        let answer = call_task::spawn(&self.context, caller);
        match answer.await {
            Ok(CallerAnswer::Whole { answer, replayed }) => whole(res, answer, replayed),
            Ok(CallerAnswer::Stream(items)) => streamed(res, items),
            Ok(CallerAnswer::Failed(failure, outcome)) => failed(res, failure, outcome),
            Err(_) => {
                log::error!("a call of {service} ended without an answer");
                failed(res, Failure::CutOff, Outcome::Unknown);
            }
        }
    }

    async fn read_caller(&self, req: &mut Request) -> Result<CallerRequest, (StatusCode, String)> {
        let body = read_body(req).await?;
        let fleet = self.context.node.config.fleet();
        let service = req.param::<String>("service");
        let method = req.method().clone();
        let read = match service {
            None => read_chat(
                &fleet,
                &Parts {
                    method: &method,
                    headers: req.headers(),
                    path: CHAT_PATH,
                    body: &body,
                },
            ),
            Some(service) => {
                let path = endpoint_path(req);
                let parts = Parts {
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
        self.answer_lookup(&key, res).await;
    }

    async fn answer_lookup(&self, key: &CallKey, res: &mut Response) {
        let clock = &self.context.node.clock;
        let deadline = clock.now() + LOOKUP_TIMEOUT;
        let reply = loop {
            let reply = self.context.ledger.lookup(key.digest(), deadline).await;
            if reply != LedgerReply::NotOwner || clock.now() >= deadline {
                break reply;
            }
            tokio::time::sleep(LOOKUP_PAUSE).await;
        };
        match reply {
            LedgerReply::Done(answer) => whole(res, answer, true),
            LedgerReply::InProgress => failed(res, Failure::InProgress, Outcome::Unknown),
            LedgerReply::Absent => {
                // A call on its way may still be claimed.
                let message = "no call with this key is recorded; send it again with the same key";
                error(res, StatusCode::NOT_FOUND, message, Outcome::Unknown, None);
            }
            _ => failed(res, Failure::LedgerUnavailable, Outcome::Unknown),
        }
    }
}

async fn read_body(req: &mut Request) -> Result<Bytes, (StatusCode, String)> {
    if declared_length(req) > MAX_BODY_BYTES {
        // A caller that is still writing would otherwise see a broken
        // connection in place of the answer.
        discard(req.take_body()).await;
        return Err(too_large());
    }
    match req.payload_with_max_size(MAX_BODY_BYTES).await {
        Ok(body) => Ok(body.clone()),
        Err(ParseError::PayloadTooLarge) => Err(too_large()),
        Err(e) => Err((
            StatusCode::BAD_REQUEST,
            format!("the body cannot be read ({e}); send it whole"),
        )),
    }
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

/// Reads a body that will not be used, as far as is reasonable.
async fn discard(mut body: ReqBody) {
    let mut read = 0;
    while let Some(Ok(frame)) = body.frame().await {
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

/// Returns the path and query below the service's name, as they were sent.
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

/// Refuses a request before anything was done with it.
fn refuse(res: &mut Response, status: StatusCode, message: &str) {
    error(res, status, message, Outcome::NotRun, None);
}

fn error(
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

fn whole(res: &mut Response, answer: RecordedResponse, replayed: bool) {
    set_outcome(res, Outcome::Ran);
    if replayed {
        let value = HeaderValue::from_static("true");
        res.headers_mut().insert(REPLAYED_HEADER, value);
    }
    res.status_code(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY));
    if let Ok(value) = HeaderValue::from_str(&answer.content_type)
        && !answer.content_type.is_empty()
    {
        res.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    match answer.body {
        Some(body) => {
            res.body(salvo::http::ResBody::Once(body));
        }
        None => {
            res.body(error_body(
                "the call ran; its answer was too large to keep",
                Outcome::Ran,
            ));
        }
    }
}

fn streamed(res: &mut Response, items: mpsc::Receiver<StreamItem>) {
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

fn failed(res: &mut Response, failure: Failure, outcome: Outcome) {
    let (status, retry_after) = match failure {
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
    };
    error(res, status, &failure.to_string(), outcome, retry_after);
}
