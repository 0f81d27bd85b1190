//! What an entry takes for a runner's rate limit, and which share of it each entry uses.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::DemandTable;
use wisteriawick_core::gateway::EntryId;
use wisteriawick_core::gateway::EntryShare;
use wisteriawick_core::gateway::LimitNotice;
use wisteriawick_core::gateway::LimitState;
use wisteriawick_core::gateway::RateLimit;
use wisteriawick_core::gateway::ServiceDemand;
use wisteriawick_core::gateway::TokenBucket;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limit(per_second: f64) -> RateLimit {
    RateLimit::new(per_second).expect("a valid limit")
}

fn limited(per_second: f64) -> LimitNotice {
    LimitNotice::Limited(limit(per_second))
}

#[test]
fn numbers_that_are_no_rates_are_no_limits() {
    for number in [-1.0, -0.001, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(RateLimit::new(number), None, "{number}");
    }
}

#[test]
fn a_response_that_was_on_its_way_ends_no_limit() {
    let t = Instant::now();
    let mut state = LimitState::default();
    // Sent first, named the limit, and arrived first.
    assert!(state.observe(t + ms(100), t, limited(2.0)));
    // Sent before that, may have been made before it.
    assert!(!state.observe(t + ms(400), t + ms(50), LimitNotice::Unlimited));
    assert_eq!(state.limit(), Some(limit(2.0)));
    // Sent after the limit was heard.
    assert!(state.observe(t + ms(500), t + ms(150), LimitNotice::Unlimited));
    assert_eq!(state.limit(), None);
}

#[test]
fn of_two_responses_whose_order_is_open_the_stricter_limit_holds() {
    let t = Instant::now();
    let mut state = LimitState::default();
    state.observe(t + ms(100), t, limited(2.0));
    state.observe(t + ms(110), t + ms(10), limited(8.0));
    assert_eq!(state.limit(), Some(limit(2.0)));
    state.observe(t + ms(120), t + ms(20), limited(1.0));
    assert_eq!(state.limit(), Some(limit(1.0)));
    state.observe(t + ms(300), t + ms(130), limited(8.0));
    assert_eq!(
        state.limit(),
        Some(limit(8.0)),
        "later, so it replaces the others"
    );
}

#[test]
fn a_late_response_with_a_limit_brings_it_back_until_a_later_one_names_none() {
    let t = Instant::now();
    let mut state = LimitState::default();
    state.observe(t + ms(100), t, limited(2.0));
    state.observe(t + ms(200), t + ms(150), LimitNotice::Unlimited);
    state.observe(t + ms(250), t + ms(90), limited(2.0));
    assert_eq!(state.limit(), Some(limit(2.0)));
    state.observe(t + ms(400), t + ms(300), LimitNotice::Unlimited);
    assert_eq!(state.limit(), None);
}

#[test]
fn an_unreadable_limit_changes_nothing() {
    let t = Instant::now();
    let mut state = LimitState::default();
    state.observe(t + ms(100), t, limited(2.0));
    assert!(!state.observe(t + ms(300), t + ms(200), LimitNotice::Unreadable));
    assert_eq!(state.limit(), Some(limit(2.0)));
}

#[test]
fn a_note_of_another_entry_ends_a_limit_only_if_it_is_certainly_newer() {
    let t = Instant::now();
    let mut state = LimitState::default();
    assert!(state.learn(t + ms(1_000), Some(limit(2.0)), ms(100)));
    assert!(
        !state.learn(t + ms(1_100), None, ms(0)),
        "it may have been delayed"
    );
    assert!(state.learn(t + ms(2_000), None, ms(100)));
    assert!(!state.learn(t + ms(2_100), None, ms(0)), "nothing to end");
}

/// Returns the most requests that entries with these shares send in four seconds.
fn most_in_four_seconds(shares: &[EntryShare], limit: RateLimit) -> u32 {
    let start = Instant::now();
    let mut buckets = vec![TokenBucket::new(start); shares.len()];
    let runner = "r".into();
    let mut sent = Vec::new();
    // All entries want to send at any time; they begin with full buckets.
    for step in 1_000..3_000 {
        let now = start + ms(20) * step;
        for (bucket, share) in buckets.iter_mut().zip(shares) {
            while bucket.take(now, share.rate(&runner, limit)) {
                sent.push(step);
            }
        }
    }
    let in_window = |from: &u32| {
        sent.iter()
            .filter(|at| (*from..from + 200).contains(*at))
            .count()
    };
    sent.iter().map(in_window).max().unwrap_or(0) as u32
}

fn shares(demands: &[f64]) -> Vec<EntryShare> {
    let now = Instant::now();
    let mut table = DemandTable::default();
    for (n, per_second) in demands.iter().enumerate() {
        let entry = EntryId(n as u64);
        table.join(entry);
        let demand = ServiceDemand {
            service: "s".into(),
            per_second: *per_second,
        };
        table.report(entry, vec![demand]);
    }
    let share = |n| table.shares(now, EntryId(n))[0].share;
    (0..demands.len() as u64).map(share).collect()
}

#[test]
fn entries_keep_a_limit_however_many_they_are_and_however_small_it_is() {
    for entries in [1, 2, 4, 8, 20, 100] {
        for per_second in [0.0, 0.1, 0.5, 1.0, 1.8, 3.0, 10.0, 60.0] {
            for skew in [1.0, 1.5] {
                let demands: Vec<f64> = (0..entries).map(|n| f64::powi(skew, n % 20)).collect();
                let most = most_in_four_seconds(&shares(&demands), limit(per_second));
                let allowed = (1.5 * 4.0 * per_second) as u32 + 5;
                let case = format!("{entries} entries, {per_second} a second, skew {skew}");
                assert!(most <= allowed, "{case}: {most} of {allowed}");
                let least = (4.0 * per_second * 0.7) as u32;
                assert!(most >= least, "{case}: only {most} of {least}");
            }
        }
    }
}

#[test]
fn shares_follow_the_demand_and_an_entry_that_left_counts_for_a_moment() {
    let told = shares(&[30.0, 10.0]);
    assert!(told[0].fraction > 0.7 && told[1].fraction < 0.3);
    let sum: f64 = told.iter().map(|share| share.fraction).sum();
    assert!(
        (sum - 1.0).abs() < 1e-9,
        "together they use the whole limit"
    );

    let now = Instant::now();
    let mut table = DemandTable::default();
    for entry in [EntryId(1), EntryId(2)] {
        table.join(entry);
        let demand = ServiceDemand {
            service: "s".into(),
            per_second: 5.0,
        };
        table.report(entry, vec![demand]);
    }
    table.leave(now, EntryId(2));
    assert_eq!(
        table.shares(now + ms(1_000), EntryId(1))[0].share.fraction,
        0.5
    );
    assert_eq!(
        table.shares(now + ms(2_500), EntryId(1))[0].share.fraction,
        1.0
    );
}
