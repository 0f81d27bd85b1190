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

use crate::entries::Entry;
use crate::world::Front;
use crate::world::World;

/// Patience of callers, and time of the routes.
pub(crate) const PATIENCE: Duration = Duration::from_secs(2);
/// Time beyond it that an answer may take, for a machine that is busy.
const SLACK: Duration = Duration::from_millis(700);
/// Longest wait of a caller for any answer at all.
const HELD: Duration = Duration::from_secs(8);
/// Longest wait for a look at readiness.
const LOOK_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);
/// Events of a whole stream of the stand-in.
const EVENTS: u64 = 8;

/// What a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// It may run again.
    Idempotent,
    /// It runs at most once.
    Once,
    /// It is a stream, which may go on elsewhere.
    Stream,
}

impl Kind {
    const ALL: [Self; 3] = [Self::Idempotent, Self::Once, Self::Stream];

    fn path(self) -> &'static str {
        match self {
            Self::Idempotent => "/safe/",
            Self::Once => "/once/",
            Self::Stream => "/stream/",
        }
    }

    fn method(self) -> &'static str {
        match self {
            Self::Idempotent => "GET",
            Self::Once | Self::Stream => "POST",
        }
    }
}

/// Callers that run.
pub(crate) struct Callers {
    tasks: JoinSet<()>,
    end: CancellationToken,
}

impl Callers {
    /// Lets each caller finish its request.
    pub(crate) async fn stop(mut self) {
        self.end.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Starts callers that send one request after the other.
pub(crate) fn start(world: &Arc<World>, count: usize) -> Callers {
    let end = CancellationToken::new();
    let mut tasks = JoinSet::new();
    for _ in 0..count {
        let world = Arc::clone(world);
        let end = end.clone();
        tasks.spawn(async move {
            while !end.is_cancelled() {
                call(&world).await;
                tokio::time::sleep(PAUSE).await;
            }
        });
    }
    Callers { tasks, end }
}

/// Sends one request of any kind to any open entry, and checks what comes.
async fn call(world: &World) {
    let open: Vec<&Front> = world
        .fronts
        .iter()
        .filter(|front| front.entry.is_open())
        .collect();
    let (kind, front) = {
        let mut rng = rand::rng();
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
        (kind, open.choose(&mut rng).copied())
    };
    let Some(front) = front else {
        return;
    };
    let id = world.next_id();
    let sent = Instant::now();
    let got = tokio::time::timeout(HELD, ask(&front.entry, kind, kind.path(), &id)).await;
    let got = got.unwrap_or_else(|_| Err("no answer at all".into()));
    let took = sent.elapsed();
    let is_excused = front.entry.was_disturbed(sent, Instant::now());
    let outcome = judge(world, kind, &id, got, took, is_excused);
    match outcome {
        Ok(outcome) => world.verdict.count(outcome),
        Err(_) if is_excused => world.verdict.count("excused"),
        Err(problem) => {
            world.verdict.count("broken");
            let name = &front.entry.name;
            let took = took.as_millis();
            world.verdict.broken(format!(
                "{id} {kind:?} at {name} after {took} ms: {problem}"
            ));
        }
    }
}

/// Returns what became of a request, or which promise was broken.
fn judge(
    world: &World,
    kind: Kind,
    id: &str,
    got: Result<CallerResponse, String>,
    took: Duration,
    is_excused: bool,
) -> Result<&'static str, String> {
    let got = got?;
    if got.status.is_success() {
        // A wrong answer has no excuse.
        let whole = is_whole(kind, id, &got);
        if !whole && got.body.is_some() {
            world
                .verdict
                .broken(format!("{id} {kind:?} got a wrong answer: {:?}", got.body));
        }
        return match (whole, kind) {
            (true, _) if took <= PATIENCE + SLACK => Ok("served"),
            (true, _) if is_excused => Ok("excused"),
            (true, _) => Err("the answer came too late".into()),
            // The break is seen, and a stream has no other way to tell.
            (false, Kind::Stream) => Ok("broken off"),
            (false, _) => Err("the answer broke off".into()),
        };
    }
    if got.status.is_client_error() && got.status != StatusCode::TOO_MANY_REQUESTS {
        return Err(format!("denied with {}", got.status));
    }
    if took > PATIENCE + SLACK {
        return Err(format!("{} came too late", got.status));
    }
    if got.signature().is_some() {
        return Ok("failed by runner");
    }
    let comes_back = got.headers.contains_key(RETRY_AFTER);
    match got.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if comes_back => {
            let mut not_run = world.not_run.lock().expect("no holder panics");
            not_run.push(id.into());
            Ok("refused")
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Err("refused without a time to come back".into())
        }
        _ => Ok("unknown"),
    }
}

fn is_whole(kind: Kind, id: &str, got: &CallerResponse) -> bool {
    let Some(body) = &got.body else {
        return false;
    };
    let text = String::from_utf8_lossy(body);
    match kind {
        Kind::Stream => {
            let event = |n: u64| format!("id: {n}\ndata: token {n}\n\n");
            text == (1..=EVENTS).map(event).collect::<String>()
        }
        Kind::Idempotent | Kind::Once => {
            text.starts_with("answer of ") && text.ends_with(&format!(" to {id}"))
        }
    }
}

/// Sends one request on a connection of its own.
///
/// # Errors
///
/// Says why there is no answer.
pub(crate) async fn ask(
    entry: &Entry,
    kind: Kind,
    path: &str,
    id: &str,
) -> Result<CallerResponse, String> {
    let stream = TcpStream::connect(entry.callers)
        .await
        .map_err(|e| format!("not connected: {e}"))?;
    send(stream, caller_request(kind.method(), path, id, PATIENCE))
        .await
        .map_err(|e| format!("the connection ended without an answer: {e}"))
}

/// Returns whether an entry says that callers should come.
pub(crate) async fn is_ready(entry: &Entry) -> bool {
    let look = async {
        let stream = TcpStream::connect(entry.readiness).await.ok()?;
        let req = Request::get(READINESS_PATH).body(Full::new(Bytes::new()));
        let got = send(stream, req.ok()?).await.ok()?;
        Some(got.status == StatusCode::OK)
    };
    let looked = tokio::time::timeout(LOOK_TIMEOUT, look).await;
    matches!(looked, Ok(Some(true)))
}
