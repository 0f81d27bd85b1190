//! Which listed runners count as there.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Roster;
use wisteriawick_core::ids::RunnerId;

use crate::support::runner;

#[test]
fn entries_that_lapse_in_an_outage_of_the_store_are_kept_for_a_while() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut roster = Roster::default();
    roster.heard(now);
    roster.list(now, vec![runner(0), runner(1)]);
    roster.lost_contact(at(3_000));
    roster.heard(at(5_000));
    roster.list(at(5_000), vec![runner(0)]);
    assert_eq!(roster.all().count(), 2, "runner 1 may register again");
    roster.remove(at(5_100), &"r0".into());
    roster.write(runner(1));
    assert_eq!(roster.expire(at(7_300)), 1);
    let left: Vec<_> = roster.all().map(|held| held.id.clone()).collect();
    assert_eq!(left, vec![RunnerId::from("r1")]);
}

#[test]
fn without_an_outage_a_removed_entry_is_gone() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.heard(now);
    roster.list(now, vec![runner(0)]);
    roster.remove(now, &"r0".into());
    assert_eq!(roster.all().count(), 0);
}
