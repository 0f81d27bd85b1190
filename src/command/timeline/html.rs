//! The timeline as a self-contained HTML page with one lane per process.

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::command::timeline::MergedTimeline;
use crate::timeline::EventWire;

// Sizes of the drawing, in pixels.
const LANE_HEIGHT: usize = 26;
const LABEL_WIDTH: usize = 150;
const DRAWING_WIDTH: usize = 1_000;
const RIGHT_MARGIN: usize = 60;
const AXIS_HEIGHT: usize = 30;
/// Intervals between the ticks of the time axis.
const TICK_INTERVALS: usize = 10;

/// Returns a page with a drawing of the events and a table of them. A process that did
/// not respond has a lane without events.
pub fn render_html(merged: &MergedTimeline) -> String {
    let mut lanes: BTreeSet<&str> = merged.events.iter().map(|e| e.process.as_str()).collect();
    lanes.extend(merged.missing.iter().map(String::as_str));
    let lanes: Vec<&str> = lanes.into_iter().collect();
    let start = merged.events.first().map_or(0, |e| e.at.millis);
    let end = merged.events.last().map_or(start, |e| e.at.millis);
    let span = (end - start).max(1);
    let mut page = String::from(PAGE_HEAD);
    let height = AXIS_HEIGHT + lanes.len() * LANE_HEIGHT;
    let width = LABEL_WIDTH + DRAWING_WIDTH + RIGHT_MARGIN;
    let _ = write!(page, "<svg width=\"{width}\" height=\"{height}\">");
    draw_axis(&mut page, start, span, height);
    for (index, lane) in lanes.iter().enumerate() {
        let missing = merged.missing.iter().any(|name| name == lane);
        draw_lane(&mut page, index, lane, missing);
    }
    for event in &merged.events {
        let lane = lanes
            .iter()
            .position(|lane| *lane == event.process)
            .unwrap_or(0);
        draw_event(&mut page, event, lane, start, span);
    }
    page.push_str("</svg>\n<table><tr><th>ms</th><th>process</th><th>event</th><th></th></tr>\n");
    for event in &merged.events {
        let _ = writeln!(
            page,
            "<tr><td>+{}</td><td>{}</td><td style=\"color:{}\">{}</td><td>{}</td></tr>",
            event.at.millis - start,
            escape(&event.process),
            color(&event.kind),
            escape(&event.kind),
            escape(&event.detail)
        );
    }
    page.push_str("</table>\n</body></html>\n");
    page
}

/// Start of the page up to the drawing, with the legend of the colors; see [`color`].
const PAGE_HEAD: &str = "<!doctype html>\n<html><head><meta charset=\"utf-8\">\
<title>wisteriawick timeline</title>\n\
<style>body{font:13px sans-serif;margin:16px}text{font:12px sans-serif}\
td,th{padding:1px 10px;text-align:left;font-variant-numeric:tabular-nums}\
table{margin-top:14px;border-collapse:collapse}tr:nth-child(even){background:#f4f4f6}</style>\
</head><body>\n<h2>Timeline</h2>\n\
<p><span style=\"color:#c0392b\">&#9679;</span> fault \
<span style=\"color:#d68910\">&#9679;</span> request rejected or moved \
<span style=\"color:#1f618d\">&#9679;</span> ticket \
<span style=\"color:#7d3c98\">&#9679;</span> expert map \
<span style=\"color:#229954\">&#9679;</span> recovery and other events</p>\n";

fn draw_axis(page: &mut String, start: u64, span: u64, height: usize) {
    for tick in 0..=TICK_INTERVALS {
        let x = LABEL_WIDTH + DRAWING_WIDTH * tick / TICK_INTERVALS;
        let ms = span * tick as u64 / TICK_INTERVALS as u64;
        let _ = write!(
            page,
            "<line x1=\"{x}\" y1=\"18\" x2=\"{x}\" y2=\"{height}\" stroke=\"#ddd\"/>\
             <text x=\"{x}\" y=\"12\" text-anchor=\"middle\">+{ms} ms</text>"
        );
    }
    let _ = write!(page, "<title>from {start} ms</title>");
}

fn draw_lane(page: &mut String, index: usize, lane: &str, missing: bool) {
    let y = AXIS_HEIGHT + index * LANE_HEIGHT + LANE_HEIGHT / 2;
    let (note, stroke) = if missing {
        (" (no answer)", "#e88")
    } else {
        ("", "#bbb")
    };
    let _ = write!(
        page,
        "<text x=\"0\" y=\"{}\">{}{note}</text>\
         <line x1=\"{LABEL_WIDTH}\" y1=\"{y}\" x2=\"{}\" y2=\"{y}\" stroke=\"{stroke}\"/>",
        y + 4,
        escape(lane),
        LABEL_WIDTH + DRAWING_WIDTH
    );
}

fn draw_event(page: &mut String, event: &EventWire, lane: usize, start: u64, span: u64) {
    let offset = (event.at.millis - start) as f64 / span as f64;
    let x = LABEL_WIDTH as f64 + offset * DRAWING_WIDTH as f64;
    let y = AXIS_HEIGHT + lane * LANE_HEIGHT + LANE_HEIGHT / 2;
    let _ = write!(
        page,
        "<circle cx=\"{x:.1}\" cy=\"{y}\" r=\"5\" fill=\"{}\" fill-opacity=\"0.8\">\
         <title>+{} ms {} {}</title></circle>",
        color(&event.kind),
        event.at.millis - start,
        escape(&event.kind),
        escape(&event.detail)
    );
}

/// Returns the color of an event by its kind. Kinds with hyphens are those of a fleet's
/// timeline, kinds with underscores those in the logs of hosted processes.
fn color(kind: &str) -> &'static str {
    match kind {
        "link-down" | "runner-suspect" | "endpoint-died" | "platform-down" | "map-disarmed"
        | "runner_lost" | "store_lost" | "leader_lost" | "peer_lost" | "failed" | "timed_out"
        | "broken_off" | "hold_found" | "resolving_hold" | "map_given_up" => "#c0392b",
        "shed" | "request-blocked" | "shard-lost" | "runner-leaving" | "shutting-down"
        | "refused" | "denied" | "attempt_ended" | "runner_removed" | "stopping" => "#d68910",
        "ticket-in-force" | "declaration" => "#1f618d",
        kind if kind.starts_with("map-") || kind == "group-led" => "#7d3c98",
        kind if kind.starts_with("map_") || kind == "leads" => "#7d3c98",
        _ => "#229954",
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

#[cfg(test)]
mod tests {
    use super::render_html;
    use crate::command::timeline::MergedTimeline;
    use crate::timeline::EventWire;
    use crate::timeline::StampWire;

    #[test]
    fn page_lists_silent_processes_and_escapes_event_fields() {
        let event = EventWire {
            at: StampWire {
                millis: 5,
                counter: 0,
            },
            process: "entry-1".into(),
            kind: "shed".into(),
            detail: "workspace=<script>".into(),
            workspace: None,
        };
        let page = render_html(&MergedTimeline {
            events: vec![event],
            missing: vec!["agent-9".into()],
        });
        assert!(page.contains("entry-1"));
        assert!(page.contains("agent-9 (no answer)"));
        assert!(!page.contains("<script>"));
    }
}
