//! `entry` and `agent`: run a process until it is told to stop.

use std::path::Path;
use std::sync::Arc;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::time::SystemClock;

use crate::agent::Agent;
use crate::entry::Entry;
use crate::error::Error;
use crate::error::Result;
use crate::logging;
use crate::settings::Settings;
use crate::telemetry;

/// Runs an entry.
///
/// # Errors
///
/// Fails when it cannot start.
pub async fn entry(file: &Path) -> Result<()> {
    let settings = read_settings(file)?;
    let metrics = telemetry::init();
    let cx = CancellationToken::new();
    let entry = Entry::start(&settings, Arc::new(SystemClock), metrics, cx).await?;
    wait_for_stop_signal().await?;
    entry.shut_down().await;
    Ok(())
}

/// Runs an agent.
///
/// # Errors
///
/// Fails when it cannot start.
pub async fn agent(file: &Path) -> Result<()> {
    let settings = read_settings(file)?;
    let cx = CancellationToken::new();
    let agent = Agent::start(&settings, Arc::new(SystemClock), cx)?;
    wait_for_stop_signal().await?;
    agent.shut_down().await;
    Ok(())
}

/// Reads the settings and starts to log as they say.
fn read_settings(file: &Path) -> Result<Settings> {
    let settings = Settings::read(file)?;
    logging::init(
        settings.name.as_str(),
        settings.log_format,
        settings.log_level,
    )?;
    Ok(settings)
}

/// Waits until the process is told to stop.
///
/// # Errors
///
/// Fails when signals cannot be received.
pub async fn wait_for_stop_signal() -> Result<()> {
    let signal_error = |e: std::io::Error| Error::Other(format!("signals: {e}"));
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
