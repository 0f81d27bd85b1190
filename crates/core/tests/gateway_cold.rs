//! Entries keep the bound for cold runners together, in any second.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::ColdLimit;
use wisteriawick_core::gateway::ColdQuota;
use wisteriawick_core::gateway::ColdSource;
use wisteriawick_core::gateway::ColdStart;
use wisteriawick_core::gateway::ColdStatus;
use wisteriawick_core::gateway::EntryQuota;
use wisteriawick_core::gateway::EntryShare;
use wisteriawick_core::gateway::Refill;
use wisteriawick_core::gateway::TokenBucket;
use wisteriawick_core::hosting::ColdAllowance;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limit(per_second: f64, factor: f64, extra: f64) -> ColdLimit {
    let start = ColdStart {
        time: ms(6_000),
        per_second,
    };
    ColdLimit::new(start, ColdAllowance { factor, extra })
}

fn share(fraction: f64, entries: u32, position: u32) -> EntryShare {
    EntryShare {
        fraction,
        entries,
        position: Some(position),
    }
}

/// Returns the quotas of entries with these fractions of the demand after five seconds.
fn settled(start: Instant, fractions: &[f64]) -> Vec<EntryQuota> {
    let entries = fractions.len() as u32;
    let quota = |(n, fraction): (usize, &f64)| {
        let mut quota = EntryQuota::new(start, n as u32 * 7, 8);
        for step in 0..=50 {
            let told = share(*fraction, entries, n as u32);
            quota.update(start + ms(100) * step, entries, Some(told));
        }
        quota
    };
    fractions.iter().enumerate().map(quota).collect()
}

#[test]
fn the_limit_stays_below_the_bound() {
    for (per_second, factor, extra) in [(26.0, 1.5, 5.0), (4.0, 1.5, 5.0), (10.0, 1.0, 0.0)] {
        let limit = limit(per_second, factor, extra);
        let bound = per_second * factor + extra;
        assert!(f64::from(limit.standing) <= bound - 1.0, "{limit:?}");
        assert!(limit.cold <= limit.standing, "{limit:?}");
        assert!(f64::from(limit.cold) <= per_second * factor, "{limit:?}");
    }
    assert_eq!(limit(0.1, 1.0, 0.0).standing, 1, "it can't be used at all");
}

#[test]
fn a_quota_is_kept_in_any_second() {
    for requests in 0..60 {
        let start = Instant::now();
        let refill = Refill::within_a_second(requests);
        let mut bucket = TokenBucket::new(start);
        let mut sent = Vec::new();
        // The bucket is full after ten idle seconds; from then on all tokens are taken,
        // and requests are sent up to 100 ms later.
        for step in 1_000..1_600_u32 {
            while bucket.take_of(start + ms(10) * step, refill) {
                sent.push(step + step * 7 % 11);
            }
        }
        sent.sort_unstable();
        let in_second = |from: u32| {
            let second = from..from + 100;
            sent.iter().filter(|at| second.contains(at)).count()
        };
        let most = sent.iter().map(|from| in_second(*from)).max();
        assert!(
            most.unwrap_or(0) <= requests as usize,
            "{most:?} of {requests}"
        );
        assert!(sent.len() >= 4 * requests as usize, "it is used");
    }
}

#[test]
fn quotas_of_all_entries_stay_within_the_bound() {
    let start = Instant::now();
    let now = start + ms(5_000);
    let demands: [&[f64]; 5] = [
        &[1.0],
        &[0.5, 0.3, 0.2],
        &[0.4, 0.2, 0.1, 0.1, 0.1, 0.1],
        &[1.0 / 14.0; 14],
        &[1.0 / 60.0; 60],
    ];
    for fractions in demands {
        let quotas = settled(start, fractions);
        for bound in [1, 2, 6, 10, 41, 300] {
            for spread in 0..100 {
                let parts = quotas.iter().map(|quota| quota.of(now, bound).at(spread));
                let total: u32 = parts.sum();
                let entries = fractions.len();
                assert!(total <= bound, "{total} of {bound} by {entries}");
                assert!(total > 0, "{bound} by {entries} is not used");
            }
        }
    }
}

#[test]
fn an_entry_without_contact_borrows_nothing() {
    let start = Instant::now();
    let mut quotas = settled(start, &[0.7, 0.3]);
    let now = start + ms(5_000);
    assert_eq!(quotas[0].of(now, 40), ColdQuota::EachRunner(24));
    // Frozen: what it was told may have changed.
    let woken = now + ms(600);
    assert_eq!(quotas[0].of(woken, 40), ColdQuota::EachRunner(10));
    quotas[0].update(woken, 2, Some(share(0.7, 2, 0)));
    assert_eq!(quotas[0].of(woken, 40), ColdQuota::EachRunner(10));
    // Cut off: no leader tells a share.
    quotas[1].update(now, 2, None);
    assert_eq!(quotas[1].of(now, 40), ColdQuota::EachRunner(10));
}

#[test]
fn nothing_is_lent_while_a_leader_misses_entries() {
    let start = Instant::now();
    let mut quota = settled(start, &[0.7, 0.3]).remove(0);
    let now = start + ms(5_000);
    quota.update(now, 3, Some(share(0.7, 2, 0)));
    assert_eq!(quota.of(now, 42), ColdQuota::EachRunner(7));
}

#[test]
fn a_share_falls_at_once_and_rises_when_the_others_have_lowered_theirs() {
    let start = Instant::now();
    let mut quota = settled(start, &[0.2, 0.8]).remove(0);
    let requests = |quota: &EntryQuota, now| quota.of(now, 40);
    let mut now = start + ms(5_000);
    assert_eq!(requests(&quota, now), ColdQuota::EachRunner(14));
    for _ in 0..29 {
        now += ms(100);
        quota.update(now, 2, Some(share(0.9, 2, 0)));
        assert_eq!(requests(&quota, now), ColdQuota::EachRunner(14));
    }
    for _ in 0..2 {
        now += ms(100);
        quota.update(now, 2, Some(share(0.9, 2, 0)));
    }
    assert_eq!(requests(&quota, now), ColdQuota::EachRunner(28));
    quota.update(now, 2, Some(share(0.1, 2, 0)));
    assert_eq!(requests(&quota, now), ColdQuota::EachRunner(12));
}

#[test]
fn a_runner_is_cold_until_a_later_record_says_otherwise() {
    let t = Instant::now();
    let mut status = ColdStatus::default();
    assert!(!status.is_cold(t));
    status.assume(t, ms(6_000), ColdSource::Started);
    assert_eq!(status.take_change(t), Some(true));
    status.listed(t + ms(500), Duration::ZERO);
    assert!(status.is_cold(t + ms(600)), "the record may be older");
    status.listed(t + ms(2_500), ms(1_000));
    assert!(status.is_cold(t + ms(3_400)));
    assert_eq!(status.source(), Some(ColdSource::Listed));
    assert!(!status.is_cold(t + ms(3_500)));
    assert_eq!(status.take_change(t + ms(3_500)), Some(false));
    assert_eq!(status.take_change(t + ms(3_600)), None);
}
