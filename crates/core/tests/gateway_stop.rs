//! What a stopping entry takes, by the time since the signal to stop.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::ResponseTimes;
use wisteriawick_core::gateway::StopSchedule;

const GRACE: Duration = Duration::from_secs(8);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn request_is_taken_if_it_is_expected_to_end_within_the_grace_period() {
    let begun = Instant::now();
    let stop = StopSchedule::new(begun, GRACE);
    let takes =
        |at: Duration, expected: Duration| stop.takes(begun + at, begun + at + ms(8_000), expected);
    assert!(takes(ms(0), ms(0)));
    assert!(takes(ms(1_000), ms(4_000)));
    assert!(!takes(ms(1_000), ms(7_500)));
    assert!(takes(ms(2_400), ms(4_000)));
}

#[test]
fn after_the_load_balancer_has_noticed_only_requests_with_an_early_deadline_are_taken() {
    let begun = Instant::now();
    let stop = StopSchedule::new(begun, GRACE);
    let takes = |at: Duration, timeout: Duration| {
        stop.takes(begun + at, begun + at + timeout, Duration::ZERO)
    };
    assert!(!takes(ms(3_198), ms(8_000)), "a stream of the record");
    assert!(takes(ms(3_198), ms(1_500)));
    assert!(!takes(ms(6_500), ms(1_500)));
}

#[test]
fn times_of_the_schedule_are_in_order_for_short_and_long_grace_periods() {
    let begun = Instant::now();
    for grace in [0, 100, 1_000, 4_000, 8_000, 60_000] {
        let stop = StopSchedule::new(begun, ms(grace));
        let end = begun + ms(grace);
        assert!(stop.balancer_has_noticed_at() <= stop.close_listener_at());
        assert!(stop.respond_by() <= stop.finish_by());
        assert!(stop.finish_by() <= end, "{grace} ms");
        assert!(stop.latest_start(ms(100_000)) >= begun, "{grace} ms");
        assert!(stop.retry_after(begun) > Duration::ZERO);
    }
}

#[test]
fn expected_time_covers_most_of_the_requests_that_ended_last() {
    let mut times = ResponseTimes::default();
    assert_eq!(times.expected(None), Duration::ZERO);
    for n in 0..1_000 {
        times.record(ms(9_000 - n), ms(0), None);
    }
    for n in 0..128 {
        times.record(ms(1_000 + n * 10), ms(0), None);
    }
    let covered = (0..128).filter(|n| ms(1_000 + n * 10) <= times.expected(None));
    assert!(covered.count() >= 122);
    assert!(
        times.expected(None) < ms(4_000),
        "old requests count no more"
    );
}

#[test]
fn long_stream_is_expected_to_take_longer_than_a_short_one() {
    let mut times = ResponseTimes::default();
    for _ in 0..100 {
        times.record(ms(200), ms(1_000), Some(100));
    }
    let short = times.expected(Some(50));
    let long = times.expected(Some(400));
    assert!(short >= ms(700) && short < ms(1_000), "{short:?}");
    assert!(long >= ms(4_200) && long < ms(6_000), "{long:?}");
}

#[test]
fn requests_without_a_number_of_tokens_do_not_change_the_time_a_token() {
    let mut times = ResponseTimes::default();
    times.record(ms(100), ms(1_000), Some(100));
    let before = times.expected(Some(400));
    for _ in 0..10 {
        times.record(ms(100), ms(1_000), None);
    }
    assert_eq!(times.expected(Some(400)), before);
    assert!(times.expected(None) >= ms(1_100));
}
