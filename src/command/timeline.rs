//! `timeline`: prints the events of all processes in one order of time.
//!
//! The events come from an entry, which collects them from the running processes, or
//! from the logs of hosted processes.

mod html;
mod logs;

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

pub use html::render_html;
pub use logs::merge_logs;

use crate::command::OperatorClient;
use crate::command::print_line;
use crate::error::Error;
use crate::error::Result;
use crate::timeline::EventWire;
use crate::timeline::StampWire;

/// Time between two queries with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// The events of all processes that responded, in order of time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MergedTimeline {
    /// Events, ordered by time and process.
    pub events: Vec<EventWire>,
    /// Processes that did not respond.
    pub missing: Vec<String>,
}

/// Selects the events to print, and their format.
#[derive(Clone, Debug, Default)]
pub struct TimelineOptions {
    /// Earliest time of an event, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Prints new events as they arrive.
    pub follow: bool,
    /// Prints one JSON object per line.
    pub json: bool,
    /// Selects events of this kind.
    pub kind: Option<String>,
    /// Selects events that concern this workspace.
    pub workspace: Option<String>,
    /// Selects events whose fields contain this request identifier, which the logs of
    /// hosted processes state.
    pub request: Option<String>,
}

impl TimelineOptions {
    fn matches(&self, event: &EventWire) -> bool {
        let kind = self.kind.as_ref().is_none_or(|kind| *kind == event.kind);
        let workspace = self
            .workspace
            .as_ref()
            .is_none_or(|workspace| event.workspace.as_ref() == Some(workspace));
        let request = self
            .request
            .as_ref()
            .is_none_or(|request| event.detail.contains(request.as_str()));
        kind && workspace && request && event.at.millis >= self.since_ms
    }
}

/// Prints the events that an entry collects from all processes.
///
/// # Errors
///
/// Fails when the entry does not respond.
pub async fn run(client: &OperatorClient, options: &TimelineOptions) -> Result<()> {
    let mut last_printed: Option<(StampWire, String)> = None;
    let mut since_ms = options.since_ms;
    loop {
        let merged = fetch(client, since_ms).await?;
        for event in merged.events.iter().filter(|event| options.matches(event)) {
            let position = (event.at, event.process.clone());
            // Each query returns the events of the last printed millisecond again.
            if last_printed.as_ref().is_some_and(|last| position <= *last) {
                continue;
            }
            print_event(event, options.json);
            since_ms = event.at.millis;
            last_printed = Some(position);
        }
        if !options.follow {
            for name in &merged.missing {
                eprintln!("{name} did not respond; its events are missing");
            }
            return Ok(());
        }
        tokio::time::sleep(FOLLOW_INTERVAL).await;
    }
}

/// Writes the events that an entry collects to a self-contained HTML page.
///
/// # Errors
///
/// Fails when the entry does not respond or the file cannot be written.
pub async fn write_html(client: &OperatorClient, since_ms: u64, file: &Path) -> Result<()> {
    let merged = fetch(client, since_ms).await?;
    std::fs::write(file, render_html(&merged)).map_err(Error::file(file))
}

/// Prints the events in logs of hosted processes, or writes them to an HTML page.
///
/// # Errors
///
/// Fails when a log cannot be read or the page cannot be written.
pub fn show_logs(files: &[PathBuf], options: &TimelineOptions, html: Option<&Path>) -> Result<()> {
    let texts = files
        .iter()
        .map(|file| std::fs::read_to_string(file).map_err(Error::file(file)))
        .collect::<Result<Vec<String>>>()?;
    let mut merged = merge_logs(texts.iter().map(String::as_str));
    merged.events.retain(|event| options.matches(event));
    match html {
        Some(file) => std::fs::write(file, render_html(&merged)).map_err(Error::file(file)),
        None => {
            for event in &merged.events {
                print_event(event, options.json);
            }
            Ok(())
        }
    }
}

async fn fetch(client: &OperatorClient, since_ms: u64) -> Result<MergedTimeline> {
    client.get(&format!("/timeline?since={since_ms}")).await
}

fn print_event(event: &EventWire, json: bool) {
    if json {
        print_line(format_args!(
            "{}",
            serde_json::to_string(event).unwrap_or_default()
        ));
    } else {
        print_line(format_args!(
            "{}.{:<3} {:<16} {:<16} {}",
            event.at.millis, event.at.counter, event.process, event.kind, event.detail
        ));
    }
}
