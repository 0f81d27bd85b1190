//! Accepts callers' connections and readiness probes, and stops gracefully.
//!
//! After a request to stop, the readiness probe fails so that the load balancer in
//! front of the entries sends no more callers. A [`StopSchedule`] tells what is still
//! taken and until when; requests that were taken have until then to finish.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use serde_json::json;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wisteriawick_core::gateway::MemoryPlan;
use wisteriawick_core::gateway::StopSchedule;
use wisteriawick_core::hosting::HostSettings;
use wisteriawick_platform::READINESS_PATH;

use crate::accept;
use crate::accept::ACCEPT_RETRY_DELAY;
use crate::binding::ListenAddress;
use crate::connection_slots::ConnectionSlot;
use crate::error::Error;
use crate::error::Result;
use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::gateway::caller_connection::BegunRequest;
use crate::gateway::caller_connection::CallerConnection;
use crate::gateway::caller_stream::CallerStream;
use crate::gateway::caller_stream::Reset;
use crate::gateway::exchange;
use crate::gateway::response::Body;
use crate::gateway::state::GatewayState;
use crate::gateway::upstream::enable_dead_peer_detection;

/// Longest time of a probe that comes before the entry is ready.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a caller may stop reading its response before the connection is broken. A
/// caller that is gone is noticed sooner by keepalive probes, unless data is on its way.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for streams to end that are cut off.
const CUT_OFF_TIME: Duration = Duration::from_millis(50);
/// Factor by which the actual idle timeout exceeds the declared one. A caller that
/// respects the declared time never sends a request while the connection closes.
const IDLE_TIMEOUT_FACTOR: u32 = 2;
/// Factor by which the actual time limit of heads exceeds the declared one.
const HEAD_TIMEOUT_FACTOR: u32 = 2;
/// Time limit of heads while there is no declaration yet.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle timeout while there is no declaration yet.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Smallest buffer for a request head that hyper accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// The sockets of an entry, bound but not yet served.
///
/// Whoever binds them holds the addresses from then on, so nobody else can take one
/// before [`run`](crate::gateway::run) serves it.
#[derive(Debug)]
pub struct Listeners {
    callers: std::net::TcpListener,
    readiness: std::net::TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings; port zero lets the system choose.
    ///
    /// # Errors
    ///
    /// Fails when an address is missing from the settings or cannot be bound.
    pub async fn bind(settings: &HostSettings) -> Result<Self> {
        let addresses = Addresses::try_from(settings)?;
        let callers = addresses.callers.bind()?;
        let readiness = addresses.readiness.bind()?;
        Self::new(settings, callers, readiness)
    }

    /// As [`bind`](Self::bind), but waits for addresses that are not free yet. While it waits
    /// for the callers' address, the readiness probe fails. Returns `None` if `stop` is
    /// cancelled before.
    ///
    /// # Errors
    ///
    /// Fails when an address is missing from the settings or cannot be bound however long
    /// the process waits.
    pub(crate) async fn bind_when_free(
        settings: &HostSettings,
        log: &EventLog,
        stop: &CancellationToken,
    ) -> Result<Option<Self>> {
        let addresses = Addresses::try_from(settings)?;
        let Some(readiness) = addresses.readiness.bind_when_free(log, stop).await? else {
            return Ok(None);
        };
        let bound = tokio::select! {
            biased;
            bound = addresses.callers.bind_when_free(log, stop) => bound?,
            () = refuse_probes(&readiness) => None,
        };
        match bound {
            Some(callers) => Self::new(settings, callers, readiness).map(Some),
            None => Ok(None),
        }
    }

    fn new(settings: &HostSettings, callers: TcpListener, readiness: TcpListener) -> Result<Self> {
        let callers = callers.into_std().map_err(describe_handover)?;
        let plan = MemoryPlan::new(&settings.resources);
        if let Some(bytes) = plan.receive_buffer_bytes {
            // Connections that the listener accepts inherit the size.
            SockRef::from(&callers)
                .set_recv_buffer_size(bytes)
                .map_err(|e| {
                    Error::Other(format!(
                        "receive buffer of {bytes} bytes: {e}; raise memory"
                    ))
                })?;
        }
        Ok(Self {
            callers,
            readiness: readiness.into_std().map_err(describe_handover)?,
        })
    }

    /// Returns the address that callers connect to.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell the address.
    pub fn caller_address(&self) -> std::io::Result<SocketAddr> {
        self.callers.local_addr()
    }

    /// Returns the address of the readiness probe.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell the address.
    pub fn readiness_address(&self) -> std::io::Result<SocketAddr> {
        self.readiness.local_addr()
    }

    /// Hands the sockets to the current runtime: callers' first, then readiness.
    pub(crate) fn into_tokio(self) -> Result<(TcpListener, TcpListener)> {
        let callers = TcpListener::from_std(self.callers).map_err(describe_handover)?;
        let readiness = TcpListener::from_std(self.readiness).map_err(describe_handover)?;
        Ok((callers, readiness))
    }
}

/// The addresses of an entry's settings.
struct Addresses {
    callers: ListenAddress,
    readiness: ListenAddress,
}

impl TryFrom<&HostSettings> for Addresses {
    type Error = Error;

    fn try_from(settings: &HostSettings) -> Result<Self> {
        let address = |purpose: &'static str, address: Option<SocketAddr>| {
            let missing =
                || Error::Other(format!("settings: no address for {purpose}; fill it in"));
            let address = address.ok_or_else(missing)?;
            Ok::<_, Error>(ListenAddress { purpose, address })
        };
        Ok(Self {
            callers: address("callers", settings.callers)?,
            readiness: address("readiness", settings.readiness)?,
        })
    }
}

/// Tells the load balancer's probes that the entry is not ready.
async fn refuse_probes(listener: &TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let refuse = |_: &str| {
            let mut res = Response::new(Full::default());
            *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            res.headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
            res
        };
        // A probe that stalls must not keep the next one from its response.
        tokio::spawn(tokio::time::timeout(
            PROBE_TIMEOUT,
            accept::serve_http(stream, refuse),
        ));
    }
}

fn describe_handover(e: std::io::Error) -> Error {
    Error::Other(format!(
        "a bound listener cannot be served: {e}; start again"
    ))
}

/// Serves callers until `stop`, then finishes what was taken within the grace period.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    state: Arc<GatewayState>,
    stop: CancellationToken,
) {
    let tracker = TaskTracker::new();
    // Connections that are open at the signal to stop are closed when they are idle and
    // the load balancer has noticed; those accepted after it, with the listener.
    let close_open = CancellationToken::new();
    accept_until(&listener, &state, &tracker, &close_open, stop.cancelled()).await;
    let schedule = begin_stop(&state, &tracker);
    let close_new = CancellationToken::new();
    let noticed = sleep_until(schedule.balancer_has_noticed_at());
    accept_until(&listener, &state, &tracker, &close_new, noticed).await;
    close_open.cancel();
    let last_accept = sleep_until(schedule.close_listener_at());
    accept_until(&listener, &state, &tracker, &close_new, last_accept).await;
    drop(listener);
    close_new.cancel();
    tracker.close();
    if has_ended_by(&tracker, schedule.respond_by()).await {
        return;
    }
    state.stop.require_responses();
    if has_ended_by(&tracker, schedule.finish_by()).await {
        return;
    }
    let fields = json!({"connections": tracker.len()});
    state
        .log
        .line(EventCategory::Failure, "cut_off_at_end_of_grace", fields);
    state.stop.finish();
    // Each stream that is cut off logs how far it was. The process ends anyway.
    let _ = tokio::time::timeout(CUT_OFF_TIME, tracker.wait()).await;
}

fn begin_stop(state: &GatewayState, tracker: &TaskTracker) -> StopSchedule {
    let grace = state.settings.bounds.grace;
    let schedule = StopSchedule::new(state.now(), grace);
    state.stop.begin(schedule);
    state.log.line(
        EventCategory::State,
        "stopping",
        json!({"connections": tracker.len(), "grace_ms": grace.as_millis() as u64}),
    );
    schedule
}

async fn sleep_until(at: Instant) {
    tokio::time::sleep_until(at.into()).await;
}

/// Waits for all connections to end; returns whether they had ended by this time.
async fn has_ended_by(tracker: &TaskTracker, at: Instant) -> bool {
    tokio::time::timeout_at(at.into(), tracker.wait())
        .await
        .is_ok()
}

async fn accept_until(
    listener: &TcpListener,
    state: &Arc<GatewayState>,
    tracker: &TaskTracker,
    close: &CancellationToken,
    until: impl Future<Output = ()>,
) {
    tokio::pin!(until);
    loop {
        tokio::select! {
            () = &mut until => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    if let Some(slot) = state.connections.enter(peer.ip()) {
                        let state = Arc::clone(state);
                        tracker.spawn(serve_connection(stream, slot, state, close.clone()));
                    }
                    state.connections.let_close().await;
                }
                Err(e) => {
                    let fields = json!({"error": e.to_string()});
                    state.log.line(EventCategory::Failure, "accept_failed", fields);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    slot: ConnectionSlot,
    state: Arc<GatewayState>,
    close: CancellationToken,
) {
    if enable_dead_peer_detection(&stream, CALLER_USER_TIMEOUT).is_err() {
        return; // The caller has already disconnected.
    }
    let reset = Reset::default();
    let limits = state.declaration().map(|declaration| declaration.limits());
    let head_timeout = limits.map_or(DEFAULT_HEAD_TIMEOUT, |limits| {
        limits.head_timeout * HEAD_TIMEOUT_FACTOR
    });
    let connection = CallerConnection::new(slot, Arc::clone(&state.memory), head_timeout);
    let caller = Arc::new(connection);
    let stream = CallerStream::new(stream, reset.clone(), Arc::clone(&caller));
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
        limits.idle_timeout * IDLE_TIMEOUT_FACTOR
    });
    let head_bytes = limits.map_or(MIN_HEAD_BUFFER_BYTES, |limits| limits.max_head_bytes);
    let is_without_chunks = AtomicBool::new(false);
    let service = service_fn(|req: Request<Incoming>| {
        let state = Arc::clone(&state);
        is_without_chunks.store(req.version() < Version::HTTP_11, Ordering::Relaxed);
        let begun = caller.begin_request();
        async move { Ok::<_, Infallible>(serve_request(state, req, begun).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(head_bytes.max(MIN_HEAD_BUFFER_BYTES) * 2)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = close.cancelled() => None,
        () = caller.closing().cancelled() => return,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            // Without a first request hyper keeps the connection open.
            if !caller.is_used() {
                return;
            }
            tokio::select! {
                ended = connection.as_mut() => ended,
                () = caller.closing().cancelled() => return,
            }
        }
    };
    // Other errors of a caller's connection need no handling here.
    if ended.is_err_and(|e| e.is_user()) && is_without_chunks.load(Ordering::Relaxed) {
        reset.require();
    }
}

async fn serve_request(
    state: Arc<GatewayState>,
    req: Request<Incoming>,
    begun: BegunRequest,
) -> Response<TrackedBody> {
    let connection = Arc::clone(&begun.connection);
    let mut res = exchange::serve(Arc::clone(&state), req, begun).await;
    if state.is_stopping() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    res.map(|body| TrackedBody { body, connection })
}

/// The body of a response. Its connection is idle again when this is dropped.
struct TrackedBody {
    body: Body,
    connection: Arc<CallerConnection>,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.end_request();
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Responds to the load balancer's readiness probes.
pub(crate) async fn serve_readiness(
    listener: TcpListener,
    state: Arc<GatewayState>,
    shutdown: CancellationToken,
) {
    accept::serve_connections(listener, accept::side_slots(), shutdown, |stream, slot| {
        let state = Arc::clone(&state);
        async move {
            let _slot = slot;
            accept::serve_http(stream, move |path| readiness(&state, path)).await;
        }
    })
    .await;
}

fn readiness(state: &GatewayState, path: &str) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = match path {
        READINESS_PATH if state.is_ready() => StatusCode::OK,
        READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    res
}
