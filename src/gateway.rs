//! An entry that calls runners itself, on a platform that hosts it.
//!
//! It takes callers' requests, watches the declaration and the list of runners
//! in the platform's store, and sends each request to a runner of its route's
//! service. It is not the [`entry`](crate::entry) of a fleet with agents on the
//! path: here runners give their own evidence of what they did not run.

mod answer;
mod attempt;
mod exchange;
mod hub;
mod listen;
mod loads;
mod relay;
mod slot;
mod upstream;
mod watch;

use std::sync::Arc;

use tokio_util::sync::CancellationToken;
use wisteriawick_core::hosting::HostSettings;
use wisteriawick_core::time::SharedClock;

use crate::error::Error;
use crate::error::Result;
use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::gateway::hub::Hub;

pub(crate) use listen::bind;
pub(crate) use upstream::notice_silence;

/// Runs until `stop` is cancelled and all requests are finished or the time
/// for that is over.
///
/// # Errors
///
/// Fails when an address is missing or taken.
pub async fn run(
    settings: HostSettings,
    clock: SharedClock,
    log: EventLog,
    stop: CancellationToken,
) -> Result<()> {
    let missing = |name: &str| Error::Other(format!("settings: no {name} address; fill it in"));
    let callers = settings.callers.ok_or_else(|| missing("callers'"))?;
    let readiness = settings.readiness.ok_or_else(|| missing("readiness"))?;
    let hub = Arc::new(Hub::new(settings, clock, log.clone()));
    let end = CancellationToken::new();
    let readiness = listen::bind(readiness).await?;
    let callers = listen::bind(callers).await?;
    log.line(
        EventCategory::State,
        "started",
        serde_json::json!({"place": hub.settings.place.as_str()}),
    );
    tokio::spawn(listen::serve_readiness(
        readiness,
        Arc::clone(&hub),
        end.clone(),
    ));
    tokio::spawn(watch::watch_declaration(Arc::clone(&hub), end.clone()));
    tokio::spawn(watch::watch_runners(Arc::clone(&hub), end.clone()));
    tokio::spawn(loads::watch_loads(Arc::clone(&hub), end.clone()));
    tokio::spawn(hub::keep_house(Arc::clone(&hub), end.clone()));
    listen::serve_callers(callers, Arc::clone(&hub), stop).await;
    end.cancel();
    log.line(EventCategory::State, "stopped", serde_json::json!({}));
    Ok(())
}
