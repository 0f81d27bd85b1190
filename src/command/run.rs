//! `entry` and `agent` with `--config`: runs one process of a fleet that wisteriawick
//! configures itself, until a signal stops it.
//!
//! Without `--config`, [`hosted`](crate::command::hosted) is used instead.

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

/// Runs an entry until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// Fails when the settings are invalid or the entry cannot start.
pub async fn entry(file: &Path) -> Result<()> {
    let settings = read_settings(file)?;
    let metrics = telemetry::init();
    let cx = CancellationToken::new();
    let entry = Entry::start(&settings, Arc::new(SystemClock), metrics, cx).await?;
    wait_for_stop_signal().await?;
    entry.shut_down().await;
    Ok(())
}

/// Runs an agent until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// Fails when the settings are invalid or the agent cannot start.
pub async fn agent(file: &Path) -> Result<()> {
    let settings = read_settings(file)?;
    let cx = CancellationToken::new();
    let agent = Agent::start(&settings, Arc::new(SystemClock), cx)?;
    wait_for_stop_signal().await?;
    agent.shut_down().await;
    Ok(())
}

/// Reads the settings and initializes logging from them.
fn read_settings(file: &Path) -> Result<Settings> {
    let settings = Settings::read(file)?;
    logging::init(
        settings.name.as_str(),
        settings.log_format,
        settings.log_level,
    )?;
    Ok(settings)
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signal handlers cannot be installed.
pub async fn wait_for_stop_signal() -> Result<()> {
    let signal_error =
        |e: std::io::Error| Error::Other(format!("cannot install the signal handlers: {e}"));
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
