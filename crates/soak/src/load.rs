//! Callers, and what each of them must get.

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

/// Patience of callers, and time of the routes.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time beyond it that an answer may take, for a machine that is busy.
const RESPONSE_SLACK: Duration = Duration::from_millis(700);
/// Longest wait of a caller for any answer at all.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest wait for a look at readiness.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause of a caller between two requests.
const REQUEST_GAP: Duration = Duration::from_millis(15);
/// Events of a whole stream of the stand-in.
const STREAM_EVENTS: u64 = 8;

/// What a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// It may run again.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
    /// It is a stream, which may go on elsewhere.
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

/// Callers that run.
pub(crate) struct Callers {
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl Callers {
    /// Lets each caller finish its request.
    pub(crate) async fn stop(mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Starts callers that send one request after the other.
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

/// Sends one request of any kind to any open entry, and checks what comes.
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
    let response = response.unwrap_or_else(|_| Err("no answer at all".into()));
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

/// Returns what became of a request, or which promise was broken.
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
        // A wrong answer has no excuse.
        let complete = is_complete(kind, id, &response);
        if !complete && response.body.is_some() {
            fixture.report.record_violation(format!(
                "{id} {kind:?} got a wrong answer: {:?}",
                response.body
            ));
        }
        return match (complete, kind) {
            (true, _) if elapsed <= REQUEST_TIMEOUT + RESPONSE_SLACK => Ok("served"),
            (true, _) if is_excused => Ok("excused"),
            (true, _) => Err("the answer came too late".into()),
            // The break is seen, and a stream has no other way to tell.
            (false, RequestKind::Stream) => Ok("broken off"),
            (false, _) => Err("the answer broke off".into()),
        };
    }
    if response.status.is_client_error() && response.status != StatusCode::TOO_MANY_REQUESTS {
        return Err(format!("denied with {}", response.status));
    }
    if elapsed > REQUEST_TIMEOUT + RESPONSE_SLACK {
        return Err(format!("{} came too late", response.status));
    }
    if response.signature().is_some() {
        return Ok("failed by runner");
    }
    let has_retry_after = response.headers.contains_key(RETRY_AFTER);
    match response.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if has_retry_after => {
            let mut reported_not_run = fixture.reported_not_run.lock().expect("no holder panics");
            reported_not_run.push(id.into());
            Ok("refused")
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Err("refused without a time to come back".into())
        }
        _ => Ok("unknown"),
    }
}

fn is_complete(kind: RequestKind, id: &str, response: &CallerResponse) -> bool {
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

/// Sends one request on a connection of its own.
///
/// # Errors
///
/// Says why there is no answer.
pub(crate) async fn send_request(
    entry: &EntryProcess,
    kind: RequestKind,
    path: &str,
    id: &str,
) -> Result<CallerResponse, String> {
    let stream = TcpStream::connect(entry.caller_address)
        .await
        .map_err(|e| format!("not connected: {e}"))?;
    send(
        stream,
        caller_request(kind.method(), path, id, REQUEST_TIMEOUT),
    )
    .await
    .map_err(|e| format!("the connection ended without an answer: {e}"))
}

/// Returns whether an entry says that callers should come.
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
