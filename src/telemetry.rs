//! Names of the metrics, and their export in the Prometheus text format.

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
/// Responses to callers, by service and outcome.
pub const RESPONSES: &str = "wisteriawick_answers_total";
/// Attempts, by service and result.
pub const ATTEMPTS: &str = "wisteriawick_attempts_total";
/// Frames received that belong to no current attempt.
pub const STRAY_FRAMES: &str = "wisteriawick_stray_frames_total";
/// Links that were closed and dialed again.
pub const LINKS_LOST: &str = "wisteriawick_links_lost_total";
/// Handshakes and frames rejected from unauthenticated peers.
pub const UNAUTHENTICATED_PEERS: &str = "wisteriawick_strangers_total";
/// Streamed events relayed to callers.
pub const EVENTS_RELAYED: &str = "wisteriawick_events_relayed_total";
/// Number of the ticket in force.
pub const TICKET_IN_FORCE: &str = "wisteriawick_ticket_in_force";
/// Requests waiting for a runner, by service.
pub const WAITING_REQUESTS: &str = "wisteriawick_waiting_requests";

/// Requests completed by a gateway, by outcome.
pub const REQUESTS: &str = "wisteriawick_requests_total";
/// Requests that the pool refused, by priority class and reason.
pub const REFUSED: &str = "wisteriawick_refused_requests_total";
/// Attempts at runners without a response to relay, by outcome.
pub const FAILED_ATTEMPTS: &str = "wisteriawick_failed_attempts_total";
/// Responses of runners whose status promises that the request was not executed, without a
/// proof, by status.
pub const UNPROVEN_REFUSALS: &str = "wisteriawick_unproven_refusals_total";
/// Streams resumed on another runner.
pub const RESUMED_STREAMS: &str = "wisteriawick_resumed_streams_total";
/// Streams that became late, by cause: the first event or a gap between events.
pub const LATE_STREAMS: &str = "wisteriawick_late_streams_total";
/// Seconds from the head of a request to its response, or to the first event of
/// a stream.
pub const RESPONSE_SECONDS: &str = "wisteriawick_answer_seconds";
/// Requests at runners, by service.
pub const IN_FLIGHT_REQUESTS: &str = "wisteriawick_in_flight_requests";
/// Failed attempts to listen on an address, by purpose.
pub const BIND_FAILURES: &str = "wisteriawick_bind_failures_total";
/// Calls of a hosted process to the platform's store, by purpose.
pub const STORE_CALLS: &str = "wisteriawick_store_calls_total";
/// Failed calls to the platform's store, by purpose.
pub const STORE_FAILURES: &str = "wisteriawick_store_failures_total";
/// What the platform's store lacks since it was restored from an older copy: whether
/// the declaration in force is newer, and how many records of runners and evacuations are.
pub const STORE_BEHIND: &str = "wisteriawick_store_behind";
/// Requests and parts of prompts that are not sent to runners since they crash them.
pub const BLOCKED_SUSPECTS: &str = "wisteriawick_blocked_suspects";
/// Runners that have named a rate limit which is in force, by service.
pub const LIMITED_RUNNERS: &str = "wisteriawick_limited_runners";
/// Runners that want no request for a time after they refused one, by service.
pub const RESTING_RUNNERS: &str = "wisteriawick_resting_runners";
/// Share of the requests that leaves the data centre since its runners have too many, by
/// service.
pub const DEPARTURE_SHARE: &str = "wisteriawick_departure_share";
/// Requests sent to runners of other data centres, by service and reason.
pub const DEPARTURES: &str = "wisteriawick_departures_total";
/// Evacuated data centres.
pub const EVACUATED_PLACES: &str = "wisteriawick_evacuated_places";
/// Listed runners that get no requests since their data centre is evacuated, by service.
pub const EVACUATED_RUNNERS: &str = "wisteriawick_evacuated_runners";
/// Whether the known evacuations may be older than the settings allow, since the store has
/// not confirmed them for that long.
pub const EVACUATIONS_UNCONFIRMED: &str = "wisteriawick_evacuations_unconfirmed";
/// Runners that count as cold, by service.
pub const COLD_RUNNERS: &str = "wisteriawick_cold_runners";
/// Runners of unknown group that may refuse requests, as far as refusals show, by service.
pub const DOUBTED_RUNNERS: &str = "wisteriawick_doubted_runners";
/// Runners that said in a response that they are leaving, before the store listed it.
pub const LEAVING_ANNOUNCED: &str = "wisteriawick_leaving_announced_total";
/// Switches of the expert map completed by all ranks.
pub const MAP_SWITCHES: &str = "wisteriawick_map_switches_total";
/// Upper bound of the seconds for which a switch of the expert map held a pass.
pub const HELD_SECONDS: &str = "wisteriawick_held_seconds";
/// Messages on the links between agents and from entries, by direction and kind.
pub const LINK_MESSAGES: &str = "wisteriawick_link_messages_total";
/// Bytes of these messages, by direction and kind.
pub const LINK_BYTES: &str = "wisteriawick_link_bytes_total";
/// Readings of counts that were dropped since newer ones waited.
pub const COUNTS_DROPPED: &str = "wisteriawick_counts_dropped_total";
/// Load of the slowest ranks divided by the mean, before the last plan.
pub const EXPERT_SKEW: &str = "wisteriawick_expert_skew";

/// Bytes of bodies, heads and answers that requests hold beyond the small ones.
pub const MEMORY_HELD_BYTES: &str = "wisteriawick_memory_held_bytes";
/// Most of these bytes since the process started.
pub const MEMORY_PEAK_BYTES: &str = "wisteriawick_memory_peak_bytes";
/// Requests refused and connections closed for want of memory, by reason.
pub const MEMORY_REFUSALS: &str = "wisteriawick_memory_refusals_total";
/// Callers' connections that are open.
pub const OPEN_CONNECTIONS: &str = "wisteriawick_open_connections";
/// Connections closed since a listener had as many as it may, by reason.
pub const CONNECTIONS_CLOSED: &str = "wisteriawick_connections_closed_total";

/// Upper bounds of the histogram buckets for durations, in seconds. They range
/// from the time of one pass to the longest timeout of callers.
const SECONDS_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0,
];
/// Names of the priority classes; the last one is for all other priorities.
const PRIORITY_CLASSES: [&str; 5] = ["0", "1", "2", "3", "4 or more"];
/// Time between two runs of the metrics recorder's maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(5);

/// Serves the metrics of a hosted process on any path until `shutdown`.
pub async fn serve(listener: TcpListener, handle: PrometheusHandle, shutdown: CancellationToken) {
    let server =
        accept::serve_connections(listener, accept::side_slots(), shutdown, |stream, slot| {
            let handle = handle.clone();
            let respond = move |_: &str| Response::new(Full::new(Bytes::from(handle.render())));
            async move {
                let _slot = slot;
                accept::serve_http(stream, respond).await;
            }
        });
    tokio::select! {
        () = server => {}
        () = run_maintenance(&handle) => {}
    }
}

async fn run_maintenance(handle: &PrometheusHandle) {
    let mut interval = tokio::time::interval(MAINTENANCE_INTERVAL);
    loop {
        interval.tick().await;
        handle.run_upkeep();
    }
}

/// Installs the metrics recorder of a hosted process, with histogram buckets for
/// durations; returns `None` if this process has a recorder already.
pub fn init_with_buckets() -> Option<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets(&SECONDS_BUCKETS)
        .ok()?
        .install_recorder()
        .ok()
}

/// Installs the metrics recorder; returns `None` if this process has one already,
/// as the roles in one `dev` process share it.
pub fn init() -> Option<PrometheusHandle> {
    PrometheusBuilder::new().install_recorder().ok()
}

/// Returns the name of a priority's class. There are few, so that they serve as labels.
pub fn priority_class(priority: u32) -> &'static str {
    let last = PRIORITY_CLASSES.len() - 1;
    PRIORITY_CLASSES[(priority as usize).min(last)]
}
