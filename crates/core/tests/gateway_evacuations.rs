//! Which data centres a process considers evacuated, as listings, watches and other
//! processes tell it.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::EvacuationNote;
use wisteriawick_core::gateway::Evacuations;
use wisteriawick_core::gateway::evacuation_watch_hold;
use wisteriawick_core::hosting::Era;
use wisteriawick_core::hosting::Position;
use wisteriawick_core::hosting::Revision;
use wisteriawick_core::ids::PlaceId;

const BEFORE: Era = Era(1);
const RESTORED: Era = Era(2);

fn at(era: Era, revision: u64) -> Position {
    Position {
        era,
        revision: Revision(revision),
    }
}

fn note(place: &str, as_of: Position, is_evacuated: bool) -> EvacuationNote {
    EvacuationNote {
        place: place.into(),
        as_of,
        is_evacuated,
    }
}

fn places(evacuations: &Evacuations) -> Vec<String> {
    let places = evacuations.places();
    places.iter().map(ToString::to_string).collect()
}

/// Returns a state that was listed at a revision of the first era.
fn listed(revision: u64, evacuated: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    let evacuated: Vec<PlaceId> = evacuated.iter().map(|place| (*place).into()).collect();
    evacuations.replace_all(Instant::now(), at(BEFORE, revision), &evacuated);
    evacuations
}

#[test]
fn a_request_can_be_taken_back_and_asked_again_also_within_one_watch() {
    let now = Instant::now();
    let mut state = listed(10, &[]);
    let (a, b) = (PlaceId::from("a"), PlaceId::from("b"));
    let asked = state.update(now, at(BEFORE, 11), &[(a.clone(), true)]);
    assert_eq!(asked, [note("a", at(BEFORE, 11), true)]);
    let changes = [
        (b.clone(), true),
        (a.clone(), false),
        (b, false),
        (a.clone(), true),
    ];
    let unchanged = state.update(now, at(BEFORE, 15), &changes);
    assert!(unchanged.is_empty(), "{unchanged:?}");
    assert_eq!(places(&state), ["a"]);
    state.update(now, at(BEFORE, 16), &[(a, false)]);
    assert!(places(&state).is_empty());
}

/// The store forgets its history, and the operator takes a request back meanwhile.
#[test]
fn what_a_later_listing_lacks_was_taken_back() {
    let mut state = listed(10, &["a", "b"]);
    let changes = state.replace_all(Instant::now(), at(BEFORE, 20), &["b".into(), "c".into()]);
    assert_eq!(places(&state), ["b", "c"]);
    assert_eq!(changes.len(), 2, "{changes:?}");
}

#[test]
fn the_later_position_is_right_whoever_tells_it() {
    let mut cut_off = listed(10, &["a"]);
    let told = listed(30, &["b"]).to_notes();
    cut_off.merge(&told);
    assert_eq!(places(&cut_off), ["a", "b"], "nobody knew of a");
    cut_off.merge(&[note("a", at(BEFORE, 25), false)]);
    assert_eq!(places(&cut_off), ["b"]);
    let stale = [
        note("a", at(BEFORE, 12), true),
        note("b", at(BEFORE, 20), false),
    ];
    assert!(cut_off.merge(&stale).is_empty());
    assert_eq!(places(&cut_off), ["b"]);
}

/// A leader that missed that a request was taken back tells it to an entry that started
/// after that.
#[test]
fn what_the_store_lacked_is_not_taken_from_an_older_message() {
    let mut state = listed(40, &[]);
    assert!(state.merge(&[note("a", at(BEFORE, 20), true)]).is_empty());
    assert_eq!(state.merge(&[note("a", at(BEFORE, 41), true)]).len(), 1);
}

#[test]
fn all_processes_agree_whatever_order_notes_arrive_in() {
    let notes = [
        note("a", at(BEFORE, 10), true),
        note("a", at(BEFORE, 12), false),
        note("a", at(RESTORED, 5), true),
        note("b", at(BEFORE, 11), true),
    ];
    let mut orders = vec![notes.to_vec(), notes.iter().rev().cloned().collect()];
    orders.push([&notes[2..], &notes[..2], &notes[..]].concat());
    for order in orders {
        let mut state = Evacuations::default();
        for note in order {
            state.merge(&[note]);
        }
        assert_eq!(places(&state), ["a", "b"]);
    }
}

#[test]
fn a_restored_store_that_lacks_an_evacuation_does_not_take_it_back() {
    let now = Instant::now();
    let mut state = listed(10, &["a"]);
    assert!(state.take_missing_report().is_empty());
    for revision in [5, 9] {
        state.replace_all(now, at(RESTORED, revision), &[]);
        assert_eq!(places(&state), ["a"]);
    }
    assert_eq!(state.take_missing_report(), ["a".into()]);
    assert!(state.take_missing_report().is_empty(), "once an era");
    let mut started_later = Evacuations::default();
    started_later.replace_all(now, at(RESTORED, 9), &[]);
    started_later.merge(&state.to_notes());
    assert_eq!(places(&started_later), ["a"], "told by the others");

    state.update(now, at(RESTORED, 11), &[("a".into(), true)]);
    assert!(state.missing_in_store().is_empty(), "written again");
    state.update(now, at(RESTORED, 12), &[("a".into(), false)]);
    assert!(places(&state).is_empty(), "and removed");
}

#[test]
fn a_restored_store_that_holds_an_evacuation_puts_it_in_force() {
    let now = Instant::now();
    let mut state = listed(10, &["a"]);
    state.update(now, at(BEFORE, 12), &[("a".into(), false)]);
    state.replace_all(now, at(RESTORED, 10), &["a".into()]);
    assert_eq!(places(&state), ["a"]);
}

#[test]
fn it_is_known_for_how_long_the_store_has_confirmed_nothing() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let mut state = Evacuations::default();
    state.merge(&[note("a", at(BEFORE, 3), true)]);
    assert!(!state.is_known(), "others may not know everything");
    state.replace_all(start, at(BEFORE, 3), &["a".into()]);
    assert!(state.is_known());
    assert_eq!(state.unconfirmed_for(start + 3 * second), 3 * second);
    state.update(start + 2 * second, at(BEFORE, 3), &[]);
    assert_eq!(state.unconfirmed_for(start + 3 * second), second);
}

#[test]
fn what_was_taken_back_is_forgotten_beyond_a_number_and_evacuations_are_not() {
    let now = Instant::now();
    let mut state = listed(1, &["kept"]);
    for n in 0..1_000 {
        let place = PlaceId::from(format!("p{n}").as_str());
        state.update(
            now,
            at(BEFORE, 2 + n),
            &[(place.clone(), true), (place, false)],
        );
    }
    assert!(state.to_notes().len() < 100);
    assert_eq!(places(&state), ["kept"]);
}

/// A connection dies right after a watch began on it, and the next call on it or another
/// one has to wait for the time that the platform's client allows.
#[test]
fn a_dead_connection_is_noticed_and_replaced_within_the_bound() {
    const SLACK: Duration = Duration::from_millis(700);
    const RETRY: Duration = Duration::from_millis(75);
    const NEXT_CALL: Duration = Duration::from_millis(1_700);
    for seconds in [5, 8, 20] {
        let bound = Duration::from_secs(seconds);
        let noticed = evacuation_watch_hold(bound) + SLACK;
        assert!(noticed + RETRY + NEXT_CALL < bound, "{bound:?}");
    }
}
