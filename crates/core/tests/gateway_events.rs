//! Streams of events are passed on whole and in order.

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
fn events_come_whole_however_the_bytes_are_cut() {
    let stream: Vec<u8> = (1..6).flat_map(event).collect();
    bolero::check!()
        .with_iterations(500)
        .with_type::<Vec<u8>>()
        .for_each(|cuts| {
            let mut splitter = EventSplitter::default();
            let mut got = Vec::new();
            let mut rest = stream.as_slice();
            for cut in cuts.iter().map(|cut| usize::from(*cut)).chain([usize::MAX]) {
                let (now, later) = rest.split_at(cut.min(rest.len()));
                rest = later;
                splitter.push(now).expect("small");
                while let Some(event) = splitter.next_event() {
                    got.push(event.to_vec());
                }
            }
            let expected: Vec<Vec<u8>> = (1..6).map(event).collect();
            assert_eq!(got, expected);
            assert!(!splitter.is_within_event());
        });
}

#[test]
fn a_piece_of_an_event_is_not_an_event() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: x\n").expect("small");
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.is_within_event());
}

#[test]
fn both_line_ends_are_taken() {
    let mut splitter = EventSplitter::default();
    splitter
        .push(b"id: 1\r\ndata: x\r\n\r\nid: 2\r\n")
        .expect("small");
    let first = splitter.next_event().expect("whole");
    assert!(first.ends_with(b"\r\n\r\n"));
    assert!(SequenceChecker::default().accept(&first).is_ok());
}

#[test]
fn a_missing_or_doubled_event_is_noticed() {
    let mut check = SequenceChecker::after(Some(4));
    assert!(check.accept(&event(5)).is_ok());
    assert_eq!(check.accept(&event(5)), Err(StreamFault::OutOfOrder));
    assert_eq!(check.accept(&event(7)), Err(StreamFault::OutOfOrder));
    assert_eq!(check.accept(b"data: x\n\n"), Err(StreamFault::OutOfOrder));
    assert_eq!(check.last(), Some(5));
}

#[test]
fn an_endless_event_is_refused() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; 64 * 1024];
    let refused = (0..64).any(|_| splitter.push(&piece) == Err(StreamFault::TooLarge));
    assert!(refused);
}

#[test]
fn what_made_a_stream_late_is_told_once() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let new = || {
        let pause = Some(Duration::from_millis(120));
        StreamLatency::new(now, Duration::from_millis(400), pause)
    };
    let mut slow_start = new();
    assert_eq!(
        slow_start.record_event(at(401)),
        Some(LateCause::FirstEvent)
    );
    assert_eq!(slow_start.record_event(at(900)), None, "it is late already");
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
