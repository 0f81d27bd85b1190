//! Merges the logs of hosted processes into one timeline.
//!
//! The wall clocks of machines differ a little and may step by seconds. Each line has
//! the wall-clock time and the monotonic time since its process started. The median of
//! their differences over all lines of an incarnation estimates the time of its start; a
//! clock step changes this estimate only if it affects more than half of the lines. The
//! time of a line is this start plus the line's monotonic time.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use crate::command::timeline::MergedTimeline;
use crate::timeline::EventWire;
use crate::timeline::StampWire;

/// Event of the first line of each incarnation of a process.
const START_EVENT: &str = "started";

/// A line of the event log.
#[derive(Debug, Deserialize)]
struct LineWire {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    ms: u64,
    /// Monotonic time since the process started, in milliseconds.
    up_ms: f64,
    process: String,
    event: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// Merges logs. Ignores lines that are not from the event log, and text before the JSON
/// object of a line, such as the prefix of a log collector.
pub fn merge_logs<'a>(texts: impl Iterator<Item = &'a str>) -> MergedTimeline {
    let mut incarnations: BTreeMap<(String, usize), Vec<LineWire>> = BTreeMap::new();
    let mut starts: BTreeMap<String, usize> = BTreeMap::new();
    for line in texts.flat_map(str::lines).filter_map(parse) {
        let incarnation = starts.entry(line.process.clone()).or_default();
        *incarnation += usize::from(line.event == START_EVENT);
        incarnations
            .entry((line.process.clone(), *incarnation))
            .or_default()
            .push(line);
    }
    let mut events: Vec<EventWire> = incarnations
        .into_values()
        .flat_map(estimate_times)
        .collect();
    events.sort_by(|a, b| (a.at, &a.process).cmp(&(b.at, &b.process)));
    MergedTimeline {
        events,
        missing: Vec::new(),
    }
}

fn parse(line: &str) -> Option<LineWire> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Estimates the time of each line of one incarnation. The counter of the stamps keeps
/// the order of lines within a millisecond.
fn estimate_times(lines: Vec<LineWire>) -> Vec<EventWire> {
    let mut start_times: Vec<f64> = lines
        .iter()
        .map(|line| line.ms as f64 - line.up_ms)
        .collect();
    start_times.sort_by(f64::total_cmp);
    let start = start_times
        .get(start_times.len() / 2)
        .copied()
        .unwrap_or_default();
    lines
        .into_iter()
        .enumerate()
        .map(|(index, line)| EventWire {
            at: StampWire {
                millis: (start + line.up_ms).max(0.0) as u64,
                counter: index as u32,
            },
            process: line.process,
            kind: line.event,
            detail: join_fields(&line.fields),
            workspace: None,
        })
        .collect()
}

/// Returns the fields as `name=value` pairs.
fn join_fields(fields: &Map<String, Value>) -> String {
    let pair = |(name, value): (&String, &Value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    };
    fields.iter().map(pair).collect::<Vec<_>>().join(" ")
}
