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
use wisteriawick_platform_standin::CallerConnection;
use wisteriawick_platform_standin::CallerResponse;
use wisteriawick_platform_standin::caller_request;
use wisteriawick_platform_standin::send;

use crate::FaultMix;
use crate::defect;
use crate::entry::EntryProcess;
use crate::fixture::Fixture;

/// Tolerance beyond the timeout of a request for a response on a busy machine.
const RESPONSE_SLACK: Duration = Duration::from_millis(700);
/// Time beyond its timeout after which a caller abandons a request without a complete
/// response.
const ABANDON_DELAY: Duration = Duration::from_secs(6);
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

    pub(crate) fn path(self) -> &'static str {
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
    for number in 0..count {
        let keeps_connection = number % 2 == 0;
        let fixture = Arc::clone(fixture);
        let stop = stop.clone();
        tasks.spawn(async move {
            let mut kept = None;
            while !stop.is_cancelled() {
                run_request(&fixture, &mut kept).await;
                kept = kept.filter(|_| keeps_connection);
                tokio::time::sleep(REQUEST_GAP).await;
            }
        });
    }
    Callers { tasks, stop }
}

/// An open connection, and the index of the entry that it leads to.
struct Kept {
    index: usize,
    connection: CallerConnection,
}

/// Sends one request of a random kind, on the kept connection if there is one and else
/// to a random entry in rotation, and checks and counts the response. Leaves the
/// connection in `kept` if it can be used again.
async fn run_request(fixture: &Fixture, kept: &mut Option<Kept>) {
    let in_rotation: Vec<usize> = (0..fixture.entries.len())
        .filter(|index| fixture.entries[*index].process.is_in_rotation())
        .collect();
    let (kind, index) = {
        let mut rng = rand::rng();
        let kind = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
        (kind, in_rotation.choose(&mut rng).copied())
    };
    let used_before = kept.take();
    let is_kept = used_before.is_some();
    let Some(index) = used_before.as_ref().map(|kept| kept.index).or(index) else {
        return;
    };
    let entry = &fixture.entries[index].process;
    let id = fixture.next_id();
    let sent_at = Instant::now();
    let timeout = fixture.soak.request_timeout;
    let exchange = async {
        let mut connection = match used_before {
            Some(kept) => kept.connection,
            None => connect(entry).await?,
        };
        let req = caller_request(kind.method(), kind.path(), &id, timeout);
        let response = send_on(&mut connection, req).await?;
        let response = defect::apply(fixture, entry, kind, &id, response).await?;
        Ok((response, connection))
    };
    let exchanged = tokio::time::timeout(timeout + ABANDON_DELAY, exchange).await;
    let exchanged = exchanged.unwrap_or_else(|_| Err("no response at all".into()));
    let elapsed = sent_at.elapsed();
    let (response, connection) = match exchanged {
        Ok((response, connection)) => (Ok(response), Some(connection)),
        Err(e) => (Err(e), None),
    };
    let excuses = Excuses {
        outage: entry.had_outage(sent_at, Instant::now()),
        stop: entry.had_stop(sent_at, Instant::now()),
        is_kept,
    };
    let outcome = check_response(fixture, kind, &id, response, elapsed, excuses);
    *kept = connection
        .filter(|_| outcome == Ok("served"))
        .map(|connection| Kept { index, connection });
    match outcome {
        Ok(outcome) => fixture.report.count_outcome(outcome),
        Err(_) if excuses.outage => fixture.report.count_outcome("excused"),
        Err(violation) => {
            fixture.report.count_outcome("broken");
            let name = &entry.name;
            let elapsed = elapsed.as_millis();
            fixture.report.record_violation(format!(
                "{id} {kind:?} at {name} after {elapsed} ms ({excuses:?}): {violation}"
            ));
        }
    }
}

/// What a request met at its entry.
#[derive(Clone, Copy, Debug)]
struct Excuses {
    /// A fault impaired the entry meanwhile.
    outage: bool,
    /// The entry was stopping meanwhile.
    stop: bool,
    /// The request was sent on a connection that had been used before.
    is_kept: bool,
}

/// Returns the outcome of a request, or a description of the violated invariant. During
/// planned stops alone, each request must be served or must not have been executed.
fn check_response(
    fixture: &Fixture,
    kind: RequestKind,
    id: &str,
    response: Result<CallerResponse, String>,
    elapsed: Duration,
    excuses: Excuses,
) -> Result<&'static str, String> {
    let only_stops = fixture.soak.faults == FaultMix::PlannedStops;
    if response.is_err() && excuses.stop && (only_stops || excuses.is_kept) {
        // `Fixture::check_executions` verifies that it did not reach a runner.
        fixture.record_not_executed(id);
        return Ok("closed");
    }
    let outcome = classify_response(fixture, kind, id, response, elapsed, excuses.outage)?;
    if only_stops && ["broken off", "unknown", "failed by runner"].contains(&outcome) {
        return Err(outcome.into());
    }
    Ok(outcome)
}

/// Returns the outcome of a request, or a description of the violated invariant.
///
/// A complete but incorrect body is recorded as a violation here, even if `is_excused`.
fn classify_response(
    fixture: &Fixture,
    kind: RequestKind,
    id: &str,
    response: Result<CallerResponse, String>,
    elapsed: Duration,
    is_excused: bool,
) -> Result<&'static str, String> {
    let response = response?;
    let latest = fixture.soak.request_timeout + RESPONSE_SLACK;
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
            (true, _) if elapsed <= latest => Ok("served"),
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
    if elapsed > latest {
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
            fixture.record_not_executed(id);
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
    timeout: Duration,
) -> Result<CallerResponse, String> {
    let mut connection = connect(entry).await?;
    let req = caller_request(kind.method(), path, id, timeout);
    send_on(&mut connection, req).await
}

/// Opens a connection to an entry.
async fn connect(entry: &EntryProcess) -> Result<CallerConnection, String> {
    let stream = TcpStream::connect(entry.caller_address)
        .await
        .map_err(|e| format!("could not connect: {e}"))?;
    CallerConnection::open(stream)
        .await
        .map_err(|e| format!("could not open the connection: {e}"))
}

/// Sends a request on an open connection and waits for the response.
async fn send_on(
    connection: &mut CallerConnection,
    req: Request<Full<Bytes>>,
) -> Result<CallerResponse, String> {
    connection
        .send(req)
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
