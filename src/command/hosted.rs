//! `entry` and `agent` without `--config`: the process is hosted by the users' platform,
//! which writes the settings file and names it in an environment variable.
//!
//! With `--config`, [`run`](crate::command::run) is used instead.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::json;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::hosting::HostSettings;
use wisteriawick_core::time::SharedClock;
use wisteriawick_core::time::SystemClock;
use wisteriawick_platform::SETTINGS_VARIABLE;
use wisteriawick_platform::read_settings;

use crate::binding::ListenAddress;
use crate::command::signals::StopSignals;
use crate::command::signals::register;
use crate::error::Error;
use crate::error::Result;
use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::gateway;
use crate::gateway::Listeners;
use crate::rank;
use crate::telemetry;

/// Time between two readings of settings that cannot be used yet.
const SETTINGS_INTERVAL: Duration = Duration::from_millis(50);
/// How long a start waits for a settings file.
const MISSING_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a change after which an invalid settings file counts as complete.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The signals that a hosted process handles.
struct Signals {
    stop: StopSignals,
    hangup: Signal,
}

impl Signals {
    fn register() -> Result<Self> {
        Ok(Self {
            stop: StopSignals::register()?,
            hangup: register(SignalKind::hangup())?,
        })
    }
}

/// What the role of a hosted process needs to run.
struct HostedContext {
    settings: HostSettings,
    clock: SharedClock,
    log: EventLog,
    /// Cancelled when a signal tells the process to stop.
    stop: CancellationToken,
}

/// Runs a hosted entry until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the settings are missing or invalid, or the entry cannot start.
pub async fn entry(metrics_port: Option<u16>) -> Result<()> {
    let Some(context) = prepare(metrics_port).await? else {
        return Ok(());
    };
    let Some(listeners) =
        Listeners::bind_when_free(&context.settings, &context.log, &context.stop).await?
    else {
        context.log.flush().await;
        return Ok(());
    };
    gateway::run(
        context.settings,
        listeners,
        context.clock,
        context.log,
        context.stop,
    )
    .await
}

/// Runs a hosted agent until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the settings are missing or invalid, or the agent cannot start.
pub async fn agent(metrics_port: Option<u16>) -> Result<()> {
    let Some(context) = prepare(metrics_port).await? else {
        return Ok(());
    };
    rank::run(context.settings, context.clock, context.log, context.stop).await
}

/// Reads the settings and starts what both roles need: the event log, the signal
/// handlers and, if a port is given, the export of metrics. Returns `None` if a signal to
/// stop comes before the settings.
async fn prepare(metrics_port: Option<u16>) -> Result<Option<HostedContext>> {
    // A signal that arrives before its handler is registered ends the process.
    let mut signals = Signals::register()?;
    let path = settings_path()?;
    let settings = tokio::select! {
        settings = read_written_settings(&path) => settings?,
        () = signals.stop.recv() => return Ok(None),
    };
    let clock: SharedClock = Arc::new(SystemClock);
    let log = EventLog::start(settings.name.as_str(), Arc::clone(&clock));
    let stop = CancellationToken::new();
    tokio::spawn(cancel_on_signal(signals.stop, stop.clone(), log.clone()));
    if let Some(port) = metrics_port
        && let Some(handle) = telemetry::init_with_buckets()
    {
        let address = ListenAddress {
            purpose: "metrics",
            address: SocketAddr::new(settings.ip, port),
        };
        tokio::spawn(serve_metrics(address, handle, log.clone()));
    }
    tokio::spawn(check_settings_on_hangup(
        signals.hangup,
        path,
        settings.clone(),
        log.clone(),
    ));
    Ok(Some(HostedContext {
        settings,
        clock,
        log,
        stop,
    }))
}

/// Serves the metrics as soon as their address can be bound. The process does its work
/// without them meanwhile.
async fn serve_metrics(address: ListenAddress, handle: PrometheusHandle, log: EventLog) {
    if let Ok(listener) = address.bind_eventually(&log).await {
        telemetry::serve(listener, handle, CancellationToken::new()).await;
    }
}

fn settings_path() -> Result<PathBuf> {
    std::env::var_os(SETTINGS_VARIABLE)
        .map(PathBuf::from)
        .ok_or_else(|| {
            let message = format!("no settings file; use --config FILE or set {SETTINGS_VARIABLE}");
            Error::Other(message)
        })
}

/// Reads the settings file, which may still be missing or half written.
///
/// # Errors
///
/// Fails when there is no file for [`MISSING_TIMEOUT`], or when an invalid one has not changed
/// for [`SETTLE_TIME`].
async fn read_written_settings(path: &Path) -> Result<HostSettings> {
    let mut state = file_state(path);
    let mut since = Instant::now();
    let mut is_reported = false;
    loop {
        let e = match read_settings(path) {
            Ok(settings) => return Ok(settings),
            Err(e) => e,
        };
        let now = file_state(path);
        if now != state {
            (state, since) = (now, Instant::now());
        }
        let limit = match state {
            Some(_) => SETTLE_TIME,
            None => MISSING_TIMEOUT,
        };
        if since.elapsed() >= limit {
            return Err(Error::Other(e.to_string()));
        }
        if !is_reported {
            eprintln!("{e}; waiting for it");
            is_reported = true;
        }
        tokio::time::sleep(SETTINGS_INTERVAL).await;
    }
}

/// Returns what tells two versions of a file apart; `None` if there is none.
fn file_state(path: &Path) -> Option<(u64, SystemTime)> {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.len(), metadata.modified().ok()?))
}

async fn cancel_on_signal(mut signals: StopSignals, stop: CancellationToken, log: EventLog) {
    signals.recv().await;
    log.line(EventCategory::State, "stop_asked", json!({}));
    stop.cancel();
}

/// Reads the settings file again on each SIGHUP and logs whether it is valid and
/// whether it differs from the settings in use. A running process doesn't change its
/// settings: a difference takes effect at the next start.
async fn check_settings_on_hangup(
    mut hangups: Signal,
    path: PathBuf,
    current: HostSettings,
    log: EventLog,
) {
    while hangups.recv().await.is_some() {
        match read_settings(&path) {
            Ok(read) if read == current => {
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
