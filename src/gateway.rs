//! An entry that sends requests directly to runners, on a hosting platform.
//!
//! It accepts callers' requests, watches the declaration and the list of runners
//! in the platform's store, and sends each request to a runner of its route's
//! service. A runner's response states whether the request was executed, so no
//! agent is needed on the request path. Fleets with agents on the path use
//! [`entry`](crate::entry) instead.

mod attempt;
mod body_part;
mod break_off;
mod buffered_body;
mod caller_connection;
mod caller_stream;
mod crash_probe;
mod departures;
mod evacuations;
mod exchange;
mod leader_shares;
mod led_groups;
mod listen;
mod load_reports;
pub(crate) mod memory;
mod rank_positions;
mod rate_limits;
pub(crate) mod received;
mod relay;
pub(crate) mod request_body;
mod response;
pub(crate) mod response_body;
mod rests;
mod runner_slot;
mod slot_request;
mod state;
mod stop;
mod store_watch;
mod upstream;
mod watch_backoff;

use std::sync::Arc;

use tokio_util::sync::CancellationToken;
use wisteriawick_core::hosting::HostSettings;
use wisteriawick_core::time::SharedClock;

use crate::error::Result;
use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::gateway::state::GatewayState;

pub use listen::Listeners;
pub(crate) use upstream::PEER_USER_TIMEOUT;
pub(crate) use upstream::enable_dead_peer_detection;

/// Serves callers on the listeners until `stop` is cancelled and then all requests
/// have finished or the grace period is over.
///
/// # Errors
///
/// Fails when the runtime does not take the listeners.
pub async fn run(
    settings: HostSettings,
    listeners: Listeners,
    clock: SharedClock,
    log: EventLog,
    stop: CancellationToken,
) -> Result<()> {
    let (callers, readiness) = listeners.into_tokio()?;
    let state = Arc::new(GatewayState::new(settings, clock, log.clone()));
    let shutdown = CancellationToken::new();
    log.line(
        EventCategory::State,
        "started",
        serde_json::json!({"place": state.settings.place.as_str()}),
    );
    tokio::spawn(listen::serve_readiness(
        readiness,
        Arc::clone(&state),
        shutdown.clone(),
    ));
    tokio::spawn(store_watch::watch_declaration(
        Arc::clone(&state),
        shutdown.clone(),
    ));
    tokio::spawn(store_watch::watch_runners(
        Arc::clone(&state),
        shutdown.clone(),
    ));
    if let Some(bound) = state.settings.bounds.evacuation {
        tokio::spawn(evacuations::watch_evacuations(
            Arc::clone(&state),
            bound,
            shutdown.clone(),
        ));
    }
    tokio::spawn(load_reports::watch_loads(
        Arc::clone(&state),
        shutdown.clone(),
    ));
    tokio::spawn(state::run_maintenance(Arc::clone(&state), shutdown.clone()));
    listen::serve_callers(callers, Arc::clone(&state), stop).await;
    shutdown.cancel();
    log.line(EventCategory::State, "stopped", serde_json::json!({}));
    log.flush().await;
    Ok(())
}
