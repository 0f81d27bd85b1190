//! Splitting of event streams, order of events, and latency of streams.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::EventSplitter;
use wisteriawick_core::gateway::LateCause;
use wisteriawick_core::gateway::SequenceChecker;
use wisteriawick_core::gateway::StreamFault;
use wisteriawick_core::gateway::StreamLatency;

fn event(number: u64) -> Vec<u8> {
    format!("id: {number}\ndata: tokens {number}\n\n").into_bytes()
}

#[test]
fn events_are_complete_however_the_bytes_are_split() {
    let stream: Vec<u8> = (1..6).flat_map(event).collect();
    bolero::check!()
        .with_iterations(500)
        .with_type::<Vec<u8>>()
        .for_each(|lengths| {
            let mut splitter = EventSplitter::default();
            let mut received = Vec::new();
            let mut rest = stream.as_slice();
            for length in lengths
                .iter()
                .map(|length| usize::from(*length))
                .chain([usize::MAX])
            {
                let (chunk, remaining) = rest.split_at(length.min(rest.len()));
                rest = remaining;
                splitter.push(chunk).expect("below the size limit");
                while let Some(event) = splitter.next_event() {
                    received.push(event.to_vec());
                }
            }
            let expected: Vec<Vec<u8>> = (1..6).map(event).collect();
            assert_eq!(received, expected);
            assert!(!splitter.is_within_event());
        });
}

#[test]
fn an_incomplete_event_is_not_returned() {
    let mut splitter = EventSplitter::default();
    splitter
        .push(b"id: 1\ndata: x\n")
        .expect("below the size limit");
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.is_within_event());
}

#[test]
fn both_line_endings_are_accepted() {
    let mut splitter = EventSplitter::default();
    splitter
        .push(b"id: 1\r\ndata: x\r\n\r\nid: 2\r\n")
        .expect("below the size limit");
    let first = splitter.next_event().expect("a complete event");
    assert!(first.ends_with(b"\r\n\r\n"));
    assert!(SequenceChecker::default().accept(&first).is_ok());
}

#[test]
fn a_missing_or_duplicated_event_is_an_error() {
    let mut check = SequenceChecker::after(Some(4));
    assert!(check.accept(&event(5)).is_ok());
    assert_eq!(check.accept(&event(5)), Err(StreamFault::OutOfOrder));
    assert_eq!(check.accept(&event(7)), Err(StreamFault::OutOfOrder));
    assert_eq!(check.accept(b"data: x\n\n"), Err(StreamFault::OutOfOrder));
    assert_eq!(check.last(), Some(5));
}

#[test]
fn an_endless_event_is_an_error() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 64 * 1024];
    let is_too_large = (0..64).any(|_| splitter.push(&chunk) == Err(StreamFault::TooLarge));
    assert!(is_too_large);
}

#[test]
fn the_cause_of_a_late_stream_is_returned_once() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let new = || {
        let max_event_gap = Some(Duration::from_millis(120));
        StreamLatency::new(now, Duration::from_millis(400), max_event_gap)
    };
    let mut slow_start = new();
    assert_eq!(
        slow_start.record_event(at(401)),
        Some(LateCause::FirstEvent)
    );
    assert_eq!(
        slow_start.record_event(at(900)),
        None,
        "the stream is late already"
    );
    let mut stalled = new();
    assert_eq!(stalled.record_event(at(400)), None);
    assert_eq!(stalled.record_event(at(520)), None);
    assert_eq!(stalled.record_event(at(641)), Some(LateCause::EventGap));
    assert_eq!(stalled.longest_gap(), Duration::from_millis(121));
    assert_eq!(
        stalled.time_to_first_event(),
        Some(Duration::from_millis(400))
    );
}
