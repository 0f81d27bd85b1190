//! An agent beside a rank of a lock-step group.

use serde_json::json;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::hosting::HostSettings;
use wisteriawick_core::time::SharedClock;

use crate::error::Result;
use crate::eventlog::EventLog;
use crate::eventlog::Weight;

/// Runs until `stop` is cancelled.
///
/// # Errors
///
/// Fails when an address is missing or taken.
pub async fn run(
    settings: HostSettings,
    _clock: SharedClock,
    log: EventLog,
    stop: CancellationToken,
) -> Result<()> {
    log.line(
        Weight::State,
        "started",
        json!({"place": settings.place.as_str()}),
    );
    stop.cancelled().await;
    log.line(Weight::State, "stopped", json!({}));
    Ok(())
}
