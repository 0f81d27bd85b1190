//! Unit tests of the stop, as the tasks that serve requests see it.

use std::time::Duration;
use std::time::Instant;

use super::Due;
use super::Stop;

/// A choice at random would fail in one of these.
const ROUNDS: usize = 64;

/// A process that wakes up late finds both a result and its deadline passed. Callers were
/// then told at random that there was no answer in time.
#[tokio::test]
async fn a_result_that_is_there_at_the_deadline_is_not_dropped() {
    let stop = Stop::default();
    let passed = Instant::now() - Duration::from_secs(1);
    for _ in 0..ROUNDS {
        assert_eq!(stop.unless_due(passed, async { 1 }).await, Ok(1));
    }
    let never = std::future::pending::<()>();
    assert_eq!(stop.unless_due(passed, never).await, Err(Due::Deadline));
}

#[tokio::test]
async fn a_result_that_is_there_at_the_end_of_a_stop_is_not_dropped() {
    let stop = Stop::default();
    stop.require_responses();
    let deadline = Instant::now() + Duration::from_secs(60);
    for _ in 0..ROUNDS {
        assert_eq!(stop.unless_due(deadline, async { 1 }).await, Ok(1));
    }
    let never = std::future::pending::<()>();
    assert_eq!(stop.unless_due(deadline, never).await, Err(Due::Stop));
}
