//! Tests of the router's state machine.

use std::time::Duration;
use std::time::Instant;

use super::Input;
use super::Output;
use super::Router;
use crate::fleet::Distance;
use crate::fleet::Service;
use crate::fleet::ServiceKind;
use crate::ids::AttemptId;
use crate::ids::Fingerprint;
use crate::ids::RunnerId;
use crate::router::AttemptResult;
use crate::router::EndpointDeath;
use crate::router::Policy;
use crate::router::Rejection;
use crate::router::Request;
use crate::router::RequestId;
use crate::router::RetryRule;
use crate::router::RunnerState;

struct Fixture {
    router: Router,
    now: Instant,
}

impl Fixture {
    fn new(runners: &[&str], max_in_flight: u32, max_queue: u32) -> Self {
        let mut limits = Service::new(ServiceKind::Plain);
        limits.max_in_flight = max_in_flight;
        limits.max_queue = max_queue;
        let now = Instant::now();
        let mut fixture = Self {
            router: Router::new(now, limits, Policy::Scan, 7),
            now,
        };
        for runner in runners {
            fixture.handle(Input::RunnerAdded((*runner).into(), Distance::SamePlace));
        }
        fixture
    }

    fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.router.handle(self.now, input, &mut out);
        out
    }

    fn arrive(&mut self, id: u64, retry: RetryRule) -> Vec<Output> {
        let request = Request {
            id: RequestId(id),
            workspace: "w".into(),
            cost_tokens: 1,
            priority: 0,
            deadline: self.now + Duration::from_secs(10),
            retry,
            prefix: Vec::new(),
            fingerprint: Fingerprint(u128::from(id)),
            excluded: Vec::new(),
        };
        self.handle(Input::Arrive(request, 1))
    }
}

fn dispatched(out: &[Output]) -> (AttemptId, RunnerId, bool) {
    out.iter()
        .find_map(|output| match output {
            Output::Dispatch {
                attempt,
                runner,
                suspect,
                ..
            } => Some((*attempt, runner.clone(), *suspect)),
            _ => None,
        })
        .expect("the request is dispatched")
}

#[test]
fn attempt_that_may_have_run_is_retried_only_for_idempotent_calls() {
    for (retry, retried) in [
        (RetryRule::Never, false),
        (RetryRule::IfNotRun, false),
        (RetryRule::Idempotent, true),
    ] {
        let mut fixture = Fixture::new(&["a", "b"], 1, 8);
        let (attempt, first, _) = dispatched(&fixture.arrive(1, retry));
        let out = fixture.handle(Input::Ended {
            attempt,
            result: AttemptResult::Unknown,
        });
        if retried {
            assert_ne!(dispatched(&out).1, first);
        } else {
            assert_eq!(out, [Output::Reject(RequestId(1), Rejection::Unknown)]);
        }
    }
}

#[test]
fn request_refused_as_busy_moves_to_another_runner_even_without_retries() {
    let mut fixture = Fixture::new(&["a", "b"], 1, 8);
    let (attempt, first, _) = dispatched(&fixture.arrive(1, RetryRule::Never));
    let out = fixture.handle(Input::Ended {
        attempt,
        result: AttemptResult::Busy,
    });
    assert_ne!(dispatched(&out).1, first);
}

#[test]
fn runner_whose_endpoint_is_down_gets_no_further_requests() {
    let mut fixture = Fixture::new(&["a", "b"], 4, 8);
    let (attempt, first, _) = dispatched(&fixture.arrive(1, RetryRule::Never));
    let out = fixture.handle(Input::Ended {
        attempt,
        result: AttemptResult::Down,
    });
    let (_, second, _) = dispatched(&out);
    assert_ne!(second, first);
    for id in 2..5 {
        assert_eq!(dispatched(&fixture.arrive(id, RetryRule::Never)).1, second);
    }
}

#[test]
fn tick_clears_ended_backoffs_so_the_next_deadline_is_later() {
    let mut fixture = Fixture::new(&["a"], 1, 8);
    let (attempt, ..) = dispatched(&fixture.arrive(1, RetryRule::Never));
    let result = AttemptResult::Busy;
    fixture.handle(Input::Ended { attempt, result });
    let report = crate::router::RunnerReport {
        in_flight: 1,
        from_this_entry: 0,
        max_in_flight: 1,
    };
    fixture
        .router
        .chooser
        .record_report(fixture.now, &"a".into(), report);
    fixture
        .router
        .chooser
        .record_busy(fixture.now, &"a".into(), false);
    let due = fixture.router.next_deadline().expect("a request waits");
    fixture.now = due;
    fixture.handle(Input::Tick);
    assert!(fixture.router.next_deadline().is_none_or(|next| next > due));
}

#[test]
fn requests_wait_for_a_runner_to_come_up_and_are_rejected_after_the_timeout() {
    let mut fixture = Fixture::new(&["a"], 1, 8);
    let state = |state| Input::RunnerState("a".into(), state);
    fixture.handle(state(RunnerState::Suspect));
    assert!(fixture.arrive(1, RetryRule::Never).is_empty());
    let due = fixture.router.next_deadline().expect("a request waits");
    let out = fixture.handle(state(RunnerState::Up));
    dispatched(&out);
    fixture.handle(state(RunnerState::Suspect));
    fixture.arrive(2, RetryRule::Never);
    fixture.now = due;
    let out = fixture.handle(Input::Tick);
    assert_eq!(
        out,
        [Output::Reject(
            RequestId(2),
            Rejection::NoRunner {
                retry_after: super::MIN_RETRY_AFTER
            }
        )]
    );
    let out = fixture.arrive(3, RetryRule::Never);
    assert!(matches!(
        out[..],
        [Output::Reject(_, Rejection::NoRunner { .. })]
    ));
}

#[test]
fn newest_request_is_rejected_when_the_queue_is_full() {
    let mut fixture = Fixture::new(&["a"], 1, 1);
    fixture.arrive(1, RetryRule::Never);
    assert!(fixture.arrive(2, RetryRule::Never).is_empty());
    let out = fixture.arrive(3, RetryRule::Never);
    assert!(matches!(
        out[..],
        [Output::Reject(RequestId(3), Rejection::Overloaded { .. })]
    ));
}

#[test]
fn waiting_request_is_rejected_at_its_deadline() {
    let mut fixture = Fixture::new(&["a"], 1, 8);
    fixture.arrive(1, RetryRule::Never);
    fixture.arrive(2, RetryRule::Never);
    let due = fixture.router.next_deadline().expect("a request waits");
    fixture.now = due;
    let out = fixture.handle(Input::Tick);
    assert!(matches!(
        out[..],
        [Output::Reject(RequestId(2), Rejection::Deadline { .. })]
    ));
}

#[test]
fn request_that_kills_two_runners_is_blocked_and_others_still_run() {
    let mut fixture = Fixture::new(&["a", "b", "c"], 4, 8);
    let (attempt, first, suspect) = dispatched(&fixture.arrive(1, RetryRule::Idempotent));
    assert!(!suspect);
    let death = |runner: &RunnerId, suspect| {
        Input::EndpointDied(EndpointDeath {
            fingerprint: Fingerprint(1),
            runner: runner.clone(),
            suspect,
        })
    };
    // The same death may be reported twice: by the attempt and by a heartbeat.
    fixture.handle(death(&first, false));
    let out = fixture.handle(Input::Ended {
        attempt,
        result: AttemptResult::Died,
    });
    let (attempt, second, suspect) = dispatched(&out);
    assert!(suspect);
    assert_ne!(second, first);
    let out = fixture.handle(Input::Ended {
        attempt,
        result: AttemptResult::Died,
    });
    assert!(matches!(
        out[..],
        [
            Output::Blocked(Fingerprint(1)),
            Output::Reject(RequestId(1), Rejection::Blocked { .. })
        ]
    ));
    assert!(fixture.handle(death(&second, true)).is_empty());
    let out = fixture.arrive(1, RetryRule::Idempotent);
    assert!(matches!(
        out[..],
        [Output::Reject(_, Rejection::Blocked { .. })]
    ));
    dispatched(&fixture.arrive(2, RetryRule::Idempotent));
}
