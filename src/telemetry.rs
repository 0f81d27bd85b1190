//! Names of metrics, and their export as Prometheus text.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::accept;

/// Calls to the platform, by operation and result.
pub const PLATFORM_CALLS: &str = "wisteriawick_platform_calls_total";
/// Answers to callers, by service and outcome.
pub const RESPONSES: &str = "wisteriawick_answers_total";
/// Attempts, by service and result.
pub const ATTEMPTS: &str = "wisteriawick_attempts_total";
/// Frames that belong to no current attempt.
pub const STRAY_FRAMES: &str = "wisteriawick_stray_frames_total";
/// Links that were closed and redialled.
pub const LINKS_LOST: &str = "wisteriawick_links_lost_total";
/// Handshakes and frames refused from strangers.
pub const UNAUTHENTICATED_PEERS: &str = "wisteriawick_strangers_total";
/// Streamed events relayed to callers.
pub const EVENTS_RELAYED: &str = "wisteriawick_events_relayed_total";
/// The number of the ticket in force.
pub const TICKET_IN_FORCE: &str = "wisteriawick_ticket_in_force";
/// Requests that wait for a runner, by service.
pub const WAITING_REQUESTS: &str = "wisteriawick_waiting_requests";

/// Requests that a gateway answered, by what became of them.
pub const REQUESTS: &str = "wisteriawick_requests_total";
/// Attempts at runners that brought no answer to pass on, by outcome.
pub const FAILED_ATTEMPTS: &str = "wisteriawick_failed_attempts_total";
/// Streams that went on at another runner.
pub const RESUMED_STREAMS: &str = "wisteriawick_resumed_streams_total";
/// Streams that became late, by cause: first event or pause.
pub const LATE_STREAMS: &str = "wisteriawick_late_streams_total";
/// Seconds from a request's head to its answer, or to the first event of a
/// stream.
pub const RESPONSE_SECONDS: &str = "wisteriawick_answer_seconds";
/// Requests at runners.
pub const IN_FLIGHT_REQUESTS: &str = "wisteriawick_in_flight_requests";
/// Calls to the platform's store that failed, by what they were for.
pub const STORE_FAILURES: &str = "wisteriawick_store_failures_total";
/// Changes of expert maps that all ranks made.
pub const MAP_SWITCHES: &str = "wisteriawick_map_switches_total";
/// Seconds for which a change of maps may have held a group.
pub const HELD_SECONDS: &str = "wisteriawick_held_seconds";
/// Load of the slowest ranks over the mean, before the last plan.
pub const EXPERT_SKEW: &str = "wisteriawick_expert_skew";

/// Upper bounds of the buckets of times, in seconds: from a pass to the
/// longest patience of callers.
const SECONDS_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0,
];
/// Time between two clean-ups of what the recorder holds.
const UPKEEP_EVERY: Duration = Duration::from_secs(5);

/// Serves the metrics of a hosted process as text until `end`.
pub async fn serve(listener: TcpListener, handle: PrometheusHandle, end: CancellationToken) {
    let serving = accept::serve_connections(listener, end, |stream| {
        let handle = handle.clone();
        let text = move |_: &str| Response::new(Full::new(Bytes::from(handle.render())));
        accept::serve_http(stream, text)
    });
    tokio::select! {
        () = serving => {}
        () = keep_up(&handle) => {}
    }
}

async fn keep_up(handle: &PrometheusHandle) {
    let mut upkeep = tokio::time::interval(UPKEEP_EVERY);
    loop {
        upkeep.tick().await;
        handle.run_upkeep();
    }
}

/// Starts the export with buckets for times, as hosted processes do; `None`
/// when this process exports already.
pub fn init_with_buckets() -> Option<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets(&SECONDS_BUCKETS)
        .ok()?
        .install_recorder()
        .ok()
}

/// Starts the export; `None` when this process exports already, as the roles
/// in one `dev` process do.
pub fn init() -> Option<PrometheusHandle> {
    PrometheusBuilder::new().install_recorder().ok()
}
