//! Merges the logs of hosted processes into one time line.
//!
//! Clocks of machines differ a little and may step by seconds. Each line has
//! the time of day and the time since its process started; the median of their
//! difference over one life of a process gives the time of its start, which a
//! step moves only if it lasts for more than half of that life.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use crate::command::timeline::MergedTimeline;
use crate::timeline::EventWire;
use crate::timeline::StampWire;

/// Event of the first line of each life of a process.
const FIRST_EVENT: &str = "started";

#[derive(Debug, Deserialize)]
struct LineWire {
    ms: u64,
    up_ms: f64,
    process: String,
    event: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// Merges logs; lines that are none of wisteriawick's are passed over, and so
/// is what a collector wrote in front of a line.
pub fn merge_logs<'a>(texts: impl Iterator<Item = &'a str>) -> MergedTimeline {
    let mut lives: BTreeMap<(String, usize), Vec<LineWire>> = BTreeMap::new();
    let mut count: BTreeMap<String, usize> = BTreeMap::new();
    for line in texts.flat_map(str::lines).filter_map(parse) {
        let life = count.entry(line.process.clone()).or_default();
        *life += usize::from(line.event == FIRST_EVENT);
        lives
            .entry((line.process.clone(), *life))
            .or_default()
            .push(line);
    }
    let mut events: Vec<EventWire> = lives.into_values().flat_map(place).collect();
    events.sort_by(|a, b| (a.at, &a.process).cmp(&(b.at, &b.process)));
    MergedTimeline {
        events,
        missing: Vec::new(),
    }
}

fn parse(line: &str) -> Option<LineWire> {
    let begin = line.find('{')?;
    serde_json::from_str(&line[begin..]).ok()
}

/// Gives each line of one life its place in time.
fn place(lines: Vec<LineWire>) -> Vec<EventWire> {
    let mut starts: Vec<f64> = lines
        .iter()
        .map(|line| line.ms as f64 - line.up_ms)
        .collect();
    starts.sort_by(f64::total_cmp);
    let start = starts.get(starts.len() / 2).copied().unwrap_or_default();
    lines
        .into_iter()
        .enumerate()
        .map(|(at, line)| EventWire {
            at: StampWire {
                millis: (start + line.up_ms).max(0.0) as u64,
                counter: at as u32,
            },
            process: line.process,
            kind: line.event,
            detail: pairs(&line.fields),
            workspace: None,
        })
        .collect()
}

fn pairs(fields: &Map<String, Value>) -> String {
    let pair = |(name, value): (&String, &Value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    };
    fields.iter().map(pair).collect::<Vec<_>>().join(" ")
}
