//! Merging the logs of several processes into one timeline. Each
//! line is dated by the start time of its process plus its `up_ms`, the time since that
//! start, so that steps of the wall clock do not reorder lines.

use wisteriawick::command::timeline::merge_logs;

/// Returns a log line with a prefix as a log collector adds it. `rest` is more JSON fields.
fn line(process: &str, ms: u64, up_ms: f64, event: &str, rest: &str) -> String {
    let head = format!(r#"{{"ms":{ms},"up_ms":{up_ms},"process":"{process}","event":"{event}""#);
    format!("collector 12.3 {head}{rest}}}\n")
}

#[test]
fn lines_of_all_processes_are_merged_in_order_and_other_lines_are_skipped() {
    let a = [
        line("entry-a", 1_000, 0.0, "started", ""),
        line("entry-a", 1_300, 300.0, "refused", r#","request":"r1""#),
    ]
    .concat();
    let b = format!(
        "panic: not an event\n{}",
        line("entry-b", 1_100, 0.0, "started", "")
    );
    let merged = merge_logs([a.as_str(), b.as_str()].into_iter());
    let kinds: Vec<_> = merged
        .events
        .iter()
        .map(|event| (event.process.as_str(), event.kind.as_str()))
        .collect();
    assert_eq!(
        kinds,
        [
            ("entry-a", "started"),
            ("entry-b", "started"),
            ("entry-a", "refused")
        ]
    );
    assert_eq!(merged.events[2].detail, "request=r1");
}

/// The wall clock is set back by two seconds for a while.
#[test]
fn a_step_of_the_wall_clock_does_not_reorder_lines() {
    let stepped = |up: u64| match up {
        300..500 => 10_000 + up - 2_000,
        _ => 10_000 + up,
    };
    let text: String = (0..10)
        .map(|n| n * 100)
        .map(|up| {
            let event = if up == 0 { "started" } else { "routed" };
            line("entry-a", stepped(up), up as f64, event, "")
        })
        .collect();
    let merged = merge_logs([text.as_str()].into_iter());
    let times: Vec<u64> = merged.events.iter().map(|event| event.at.millis).collect();
    let expected: Vec<u64> = (0..10).map(|n| 10_000 + n * 100).collect();
    assert_eq!(times, expected);
}

#[test]
fn each_incarnation_of_a_process_has_its_own_start_time() {
    let text = [
        line("entry-a", 1_000, 0.0, "started", ""),
        line("entry-a", 1_900, 900.0, "stopped", ""),
        line("entry-a", 5_000, 0.0, "started", ""),
        line("entry-a", 5_100, 100.0, "declaration", ""),
    ]
    .concat();
    let merged = merge_logs([text.as_str()].into_iter());
    let times: Vec<u64> = merged.events.iter().map(|event| event.at.millis).collect();
    assert_eq!(times, [1_000, 1_900, 5_000, 5_100]);
}
