//! `entry` and `agent` on a platform that hosts them and writes their settings.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use serde_json::json;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::hosting::HostSettings;
use wisteriawick_core::time::SharedClock;
use wisteriawick_core::time::SystemClock;
use wisteriawick_platform::SETTINGS_VARIABLE;
use wisteriawick_platform::read_settings;

use crate::command::run::wait_for_stop_signal;
use crate::error::Error;
use crate::error::Result;
use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::gateway;
use crate::rank;
use crate::telemetry;

/// What a hosted process starts with.
struct Start {
    settings: HostSettings,
    clock: SharedClock,
    log: EventLog,
    stop: CancellationToken,
}

/// Runs an entry.
///
/// # Errors
///
/// Fails when it cannot start.
pub async fn entry(metrics_port: Option<u16>) -> Result<()> {
    let start = start(metrics_port).await?;
    gateway::run(start.settings, start.clock, start.log, start.stop).await
}

/// Runs an agent.
///
/// # Errors
///
/// Fails when it cannot start.
pub async fn agent(metrics_port: Option<u16>) -> Result<()> {
    let start = start(metrics_port).await?;
    rank::run(start.settings, start.clock, start.log, start.stop).await
}

async fn start(metrics_port: Option<u16>) -> Result<Start> {
    let path = settings_path()?;
    let settings = read_settings(&path).map_err(|e| Error::Other(e.to_string()))?;
    let clock: SharedClock = Arc::new(SystemClock);
    let log = EventLog::start(settings.name.as_str(), Arc::clone(&clock));
    let stop = CancellationToken::new();
    tokio::spawn(stop_on_signal(stop.clone(), log.clone()));
    if let Some(port) = metrics_port
        && let Some(handle) = telemetry::init_with_buckets()
    {
        let listener = gateway::bind(SocketAddr::new(settings.ip, port)).await?;
        tokio::spawn(telemetry::serve(listener, handle, CancellationToken::new()));
    }
    tokio::spawn(check_on_reload(path, settings.clone(), log.clone()));
    Ok(Start {
        settings,
        clock,
        log,
        stop,
    })
}

fn settings_path() -> Result<PathBuf> {
    std::env::var_os(SETTINGS_VARIABLE)
        .map(PathBuf::from)
        .ok_or_else(|| {
            let problem = format!("no settings; state --config FILE or set {SETTINGS_VARIABLE}");
            Error::Other(problem)
        })
}

async fn stop_on_signal(stop: CancellationToken, log: EventLog) {
    if let Err(e) = wait_for_stop_signal().await {
        log.line(
            EventCategory::Failure,
            "no_signals",
            json!({"error": e.to_string()}),
        );
        return;
    }
    log.line(EventCategory::State, "stop_asked", json!({}));
    stop.cancel();
}

/// Reads the settings again on a hang-up and says what that means. What a
/// process is bound to stays until its next start; a change of that is logged.
async fn check_on_reload(path: PathBuf, running: HostSettings, log: EventLog) {
    let Ok(mut hang_ups) = signal(SignalKind::hangup()) else {
        log.line(EventCategory::Failure, "no_signals", json!({}));
        return;
    };
    while hang_ups.recv().await.is_some() {
        match read_settings(&path) {
            Ok(read) if read == running => {
                log.line(EventCategory::State, "reloaded", json!({"changed": false}));
            }
            Ok(_) => log.line(
                EventCategory::State,
                "reloaded",
                json!({"changed": true, "in_force": "at the next start"}),
            ),
            Err(e) => {
                log.line(
                    EventCategory::Failure,
                    "reload_failed",
                    json!({"error": e.to_string()}),
                );
            }
        }
    }
}
