//! `timeline`: the merged time line of events over all processes.

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

/// Pause between two looks when following.
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

/// The events of all processes that answered, in order.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MergedTimeline {
    /// The events.
    pub events: Vec<EventWire>,
    /// Processes that did not answer.
    pub missing: Vec<String>,
}

/// Which events are printed, and how.
#[derive(Clone, Debug, Default)]
pub struct TimelineOptions {
    /// Milliseconds since the Unix epoch of the first event.
    pub since_ms: u64,
    /// Print new events as they come.
    pub follow: bool,
    /// One JSON object a line.
    pub json: bool,
    /// Only events of this kind.
    pub kind: Option<String>,
    /// Only events that concern this workspace.
    pub workspace: Option<String>,
    /// Only events of this request; logs name it.
    pub request: Option<String>,
}

impl TimelineOptions {
    fn accepts(&self, event: &EventWire) -> bool {
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

/// Prints the merged time line.
///
/// # Errors
///
/// Fails when the entry does not answer.
pub async fn run(access: &OperatorClient, options: &TimelineOptions) -> Result<()> {
    let mut printed: Option<(StampWire, String)> = None;
    let mut since_ms = options.since_ms;
    loop {
        let merged = fetch(access, since_ms).await?;
        for event in merged.events.iter().filter(|event| options.accepts(event)) {
            let place = (event.at, event.process.clone());
            if printed.as_ref().is_some_and(|last| place <= *last) {
                continue;
            }
            print_event(event, options.json);
            since_ms = event.at.millis;
            printed = Some(place);
        }
        if !options.follow {
            for name in &merged.missing {
                eprintln!("{name} did not answer; its events are missing");
            }
            return Ok(());
        }
        tokio::time::sleep(FOLLOW_PAUSE).await;
    }
}

/// Writes the merged time line as a self-contained page.
///
/// # Errors
///
/// Fails when the entry does not answer or the file cannot be written.
pub async fn write_html(access: &OperatorClient, since_ms: u64, file: &Path) -> Result<()> {
    let merged = fetch(access, since_ms).await?;
    std::fs::write(file, render_html(&merged)).map_err(Error::file(file))
}

/// Prints the events in logs of hosted processes, or writes them as a page.
///
/// # Errors
///
/// Fails when a file cannot be read or the page cannot be written.
pub fn show_logs(files: &[PathBuf], options: &TimelineOptions, html: Option<&Path>) -> Result<()> {
    let texts = files
        .iter()
        .map(|file| std::fs::read_to_string(file).map_err(Error::file(file)))
        .collect::<Result<Vec<String>>>()?;
    let mut merged = merge_logs(texts.iter().map(String::as_str));
    merged.events.retain(|event| options.accepts(event));
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

async fn fetch(access: &OperatorClient, since_ms: u64) -> Result<MergedTimeline> {
    access.get(&format!("/timeline?since={since_ms}")).await
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
