//! Callers that send requests to the entries and check the responses.
//!
//! A successful response must be correct and in time, though a stream may break off. An
//! error must be in time and must not blame the caller (4xx other than 429); a rejection
//! by the entry (429 or 503) must have `Retry-After`. All else is a violation, unless the
//! entry had an outage meanwhile. A complete but incorrect body is always a violation.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header::RETRY_AFTER;
use http_body_util::Full;
use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use wisteriawick_platform::READINESS_PATH;
use wisteriawick_platform_standin::CallerResponse;
use wisteriawick_platform_standin::caller_request;
use wisteriawick_platform_standin::send;

use crate::entry::EntryProcess;
use crate::fixture::Fixture;
use crate::fixture::ProxiedEntry;

/// Deadline that callers put on a request, and timeout of the routes.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Tolerance beyond [`REQUEST_TIMEOUT`] for a response on a busy machine.
const RESPONSE_SLACK: Duration = Duration::from_millis(700);
/// Time after which a caller abandons a request without a complete response.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest wait for a response to a readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause of a caller between two of its requests.
const REQUEST_GAP: Duration = Duration::from_millis(15);
/// Number of events in a complete stream of the stand-in runner.
const STREAM_EVENTS: u64 = 8;

/// Kind of a request, which determines whether it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// The request may be executed more than once.
    Idempotent,
    /// The request must not be executed more than once.
    AtMostOnce,
    /// The response is a stream of events, which another runner may resume.
    Stream,
}

impl RequestKind {
    const ALL: [Self; 3] = [Self::Idempotent, Self::AtMostOnce, Self::Stream];

    fn path(self) -> &'static str {
        match self {
            Self::Idempotent => "/safe/",
            Self::AtMostOnce => "/once/",
            Self::Stream => "/stream/",
        }
    }

    fn method(self) -> &'static str {
        match self {
            Self::Idempotent => "GET",
            Self::AtMostOnce | Self::Stream => "POST",
        }
    }
}

/// Handle to the running callers.
pub(crate) struct Callers {
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl Callers {
    /// Stops the callers after their current requests.
    pub(crate) async fn stop(mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Starts `count` callers, each of which sends one request at a time.
pub(crate) fn start(fixture: &Arc<Fixture>, count: usize) -> Callers {
    let stop = CancellationToken::new();
    let mut tasks = JoinSet::new();
    for _ in 0..count {
        let fixture = Arc::clone(fixture);
        let stop = stop.clone();
        tasks.spawn(async move {
            while !stop.is_cancelled() {
                run_request(&fixture).await;
                tokio::time::sleep(REQUEST_GAP).await;
            }
        });
    }
    Callers { tasks, stop }
}

/// Sends one request of a random kind to a random entry in rotation, and checks and
/// counts the response.
async fn run_request(fixture: &Fixture) {
    let in_rotation: Vec<&ProxiedEntry> = fixture
        .entries
        .iter()
        .filter(|entry| entry.process.is_in_rotation())
        .collect();
    let (kind, entry) = {
        let mut rng = rand::rng();
        let kind = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
        (kind, in_rotation.choose(&mut rng).copied())
    };
    let Some(entry) = entry else {
        return;
    };
    let id = fixture.next_id();
    let sent_at = Instant::now();
    let response = tokio::time::timeout(
        CALL_TIMEOUT,
        send_request(&entry.process, kind, kind.path(), &id),
    )
    .await;
    let response = response.unwrap_or_else(|_| Err("no response at all".into()));
    let elapsed = sent_at.elapsed();
    let is_excused = entry.process.had_outage(sent_at, Instant::now());
    let outcome = check_response(fixture, kind, &id, response, elapsed, is_excused);
    match outcome {
        Ok(outcome) => fixture.report.count_outcome(outcome),
        Err(_) if is_excused => fixture.report.count_outcome("excused"),
        Err(violation) => {
            fixture.report.count_outcome("broken");
            let name = &entry.process.name;
            let elapsed = elapsed.as_millis();
            fixture.report.record_violation(format!(
                "{id} {kind:?} at {name} after {elapsed} ms: {violation}"
            ));
        }
    }
}

/// Returns the outcome of a request, or a description of the violated invariant.
///
/// A complete but incorrect body is recorded as a violation here, even if `is_excused`.
fn check_response(
    fixture: &Fixture,
    kind: RequestKind,
    id: &str,
    response: Result<CallerResponse, String>,
    elapsed: Duration,
    is_excused: bool,
) -> Result<&'static str, String> {
    let response = response?;
    if response.status.is_success() {
        // An outage never excuses an incorrect body.
        let correct = is_correct(kind, id, &response);
        if !correct && response.body.is_some() {
            fixture.report.record_violation(format!(
                "{id} {kind:?} got an incorrect response: {:?}",
                response.body
            ));
        }
        return match (correct, kind) {
            (true, _) if elapsed <= REQUEST_TIMEOUT + RESPONSE_SLACK => Ok("served"),
            (true, _) if is_excused => Ok("excused"),
            (true, _) => Err("the response was too late".into()),
            // Once a stream has begun, closing the connection is the only way to signal
            // an error, and the caller notices it.
            (false, RequestKind::Stream) => Ok("broken off"),
            (false, _) => Err("the response was truncated".into()),
        };
    }
    if response.status.is_client_error() && response.status != StatusCode::TOO_MANY_REQUESTS {
        return Err(format!("rejected with {}", response.status));
    }
    if elapsed > REQUEST_TIMEOUT + RESPONSE_SLACK {
        return Err(format!("{} was too late", response.status));
    }
    // Only runners sign responses, so this error was not produced by the entry.
    if response.signature().is_some() {
        return Ok("failed by runner");
    }
    // With `Retry-After`, these statuses state that the request was not executed, which
    // `Fixture::check_executions` verifies.
    let has_retry_after = response.headers.contains_key(RETRY_AFTER);
    match response.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if has_retry_after => {
            let mut reported_not_executed = fixture
                .reported_not_executed
                .lock()
                .expect("no holder panics");
            reported_not_executed.push(id.into());
            Ok("refused")
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Err("rejected without a Retry-After header".into())
        }
        // Other errors do not say whether the request was executed.
        _ => Ok("unknown"),
    }
}

/// Returns whether the body is complete and the one expected for the request.
fn is_correct(kind: RequestKind, id: &str, response: &CallerResponse) -> bool {
    let Some(body) = &response.body else {
        return false;
    };
    let text = String::from_utf8_lossy(body);
    match kind {
        RequestKind::Stream => {
            let event = |n: u64| format!("id: {n}\ndata: token {n}\n\n");
            text == (1..=STREAM_EVENTS).map(event).collect::<String>()
        }
        RequestKind::Idempotent | RequestKind::AtMostOnce => {
            text.starts_with("answer of ") && text.ends_with(&format!(" to {id}"))
        }
    }
}

/// Sends one request on a new connection and waits for the response.
///
/// # Errors
///
/// Returns the reason why there is no response.
pub(crate) async fn send_request(
    entry: &EntryProcess,
    kind: RequestKind,
    path: &str,
    id: &str,
) -> Result<CallerResponse, String> {
    let stream = TcpStream::connect(entry.caller_address)
        .await
        .map_err(|e| format!("could not connect: {e}"))?;
    send(
        stream,
        caller_request(kind.method(), path, id, REQUEST_TIMEOUT),
    )
    .await
    .map_err(|e| format!("the connection ended without a response: {e}"))
}

/// Returns whether the readiness endpoint of an entry responds with status 200.
pub(crate) async fn is_ready(entry: &EntryProcess) -> bool {
    let probe = async {
        let stream = TcpStream::connect(entry.readiness_address).await.ok()?;
        let req = Request::get(READINESS_PATH).body(Full::new(Bytes::new()));
        let response = send(stream, req.ok()?).await.ok()?;
        Some(response.status == StatusCode::OK)
    };
    let probed = tokio::time::timeout(READINESS_TIMEOUT, probe).await;
    matches!(probed, Ok(Some(true)))
}
