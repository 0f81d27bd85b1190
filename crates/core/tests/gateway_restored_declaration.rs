//! Which declaration is in force after the store was restored from an older copy.

use std::time::Duration;

use wisteriawick_core::gateway::CallerLimits;
use wisteriawick_core::gateway::Declaration;
use wisteriawick_core::gateway::LatestDeclaration;
use wisteriawick_core::gateway::StoreBehind;
use wisteriawick_core::hosting::Era;

const BEFORE: Era = Era(1);
const RESTORED: Era = Era(2);
const RESTORED_AGAIN: Era = Era(3);
const LIMITS: CallerLimits = CallerLimits {
    max_head_bytes: 16_384,
    max_body_bytes: 1 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

fn declaration(version: u64) -> Declaration {
    Declaration::new(version, Vec::new(), Vec::new(), None, LIMITS)
}

fn in_force(version: u64) -> LatestDeclaration {
    let mut latest = LatestDeclaration::default();
    assert!(latest.update(BEFORE, declaration(version)));
    latest
}

fn version(latest: &LatestDeclaration) -> Option<u64> {
    latest.get().map(|declaration| declaration.version())
}

#[test]
fn an_older_version_of_a_restored_store_is_reported_once_and_not_put_in_force() {
    let mut latest = in_force(7);
    assert!(!latest.update(RESTORED, declaration(4)));
    let behind = StoreBehind {
        in_force: 7,
        in_force_era: BEFORE,
        listed: Some(4),
        listed_era: RESTORED,
    };
    assert_eq!(latest.compare_listed(RESTORED, Some(4)), Some(behind));
    assert_eq!(latest.compare_listed(RESTORED, Some(4)), None);
    assert!(latest.is_store_behind());
    assert_eq!(version(&latest), Some(7));
    let again = latest.compare_listed(RESTORED_AGAIN, None);
    assert_eq!(again.map(|behind| behind.listed), Some(None));
}

#[test]
fn a_restored_store_without_a_declaration_is_reported() {
    let mut latest = in_force(7);
    let behind = latest.compare_listed(RESTORED, None).expect("behind");
    assert_eq!((behind.in_force, behind.listed), (7, None));
    assert_eq!(version(&latest), Some(7));
}

#[test]
fn what_the_operator_writes_in_the_new_era_is_taken_up() {
    for written in [7, 8] {
        let mut latest = in_force(7);
        latest.compare_listed(RESTORED, Some(4));
        assert!(!latest.update(RESTORED, declaration(5)), "still older");
        assert!(latest.is_store_behind());
        assert!(latest.update(RESTORED, declaration(written)));
        assert!(!latest.is_store_behind());
        assert!(!latest.update(RESTORED, declaration(written)), "no change");
    }
}

#[test]
fn an_old_version_in_the_same_era_is_a_stale_read_and_not_a_restored_store() {
    // Shows that the report depends on the era.
    let mut latest = in_force(7);
    assert_eq!(latest.compare_listed(BEFORE, Some(4)), None);
    assert!(!latest.update(BEFORE, declaration(7)));
    assert!(!latest.is_store_behind());
}

#[test]
fn the_version_in_force_of_an_older_era_changes_nothing() {
    let mut latest = LatestDeclaration::default();
    assert!(latest.update(RESTORED, declaration(7)));
    assert!(!latest.update(BEFORE, declaration(7)));
    assert!(!latest.update(BEFORE, declaration(6)));
}
