//! Names of metrics, and their export as Prometheus text.

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Calls to the platform, by operation and result.
pub const PLATFORM_CALLS: &str = "wisteriawick_platform_calls_total";
/// Answers to callers, by service and outcome.
pub const ANSWERS: &str = "wisteriawick_answers_total";
/// Attempts, by service and result.
pub const ATTEMPTS: &str = "wisteriawick_attempts_total";
/// Frames that belong to no current attempt.
pub const STRAY_FRAMES: &str = "wisteriawick_stray_frames_total";
/// Links that were closed and redialled.
pub const LINKS_LOST: &str = "wisteriawick_links_lost_total";
/// Handshakes and frames refused from strangers.
pub const STRANGERS: &str = "wisteriawick_strangers_total";
/// Streamed events relayed to callers.
pub const EVENTS_RELAYED: &str = "wisteriawick_events_relayed_total";
/// The number of the ticket in force.
pub const TICKET_IN_FORCE: &str = "wisteriawick_ticket_in_force";
/// Requests that wait for a runner, by service.
pub const WAITING: &str = "wisteriawick_waiting_requests";

/// Starts the export; `None` when this process exports already, as the roles
/// in one `dev` process do.
pub fn init() -> Option<PrometheusHandle> {
    PrometheusBuilder::new().install_recorder().ok()
}
