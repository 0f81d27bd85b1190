//! Checks the invariants after a run of a scenario of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use wisteriawick_core::call::Failure;
use wisteriawick_core::call::Outcome;
use wisteriawick_core::router::RequestId;

use crate::fault::Fault;
use crate::fault::FaultKind;
use crate::matrix::Invariant;
use crate::matrix::RunReport;
use crate::matrix::Scenario;
use crate::matrix::Violation;
use crate::request_path::PROBE_TIMEOUT;
use crate::request_path::REQUEST_TIMEOUT;
use crate::request_path::STREAM_EVENTS;
use crate::request_path::agents::booking_response;
use crate::request_path::entries::reported_outcome;
use crate::request_path::simulation::Caller;
use crate::request_path::simulation::Ending;
use crate::request_path::simulation::Simulation;

/// Time after which a leaving endpoint must not get new requests.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after its deadline within which a request must end. It covers a pause of
/// the entry, which can report nothing meanwhile.
const RESPONSE_SLACK: Duration = Duration::from_secs(6);

struct Checker<'a> {
    sim: &'a Simulation,
    report: RunReport,
}

/// Checks the invariants that apply to the scenario and returns the report.
pub(crate) fn report(sim: &Simulation, scenario: Scenario, faults: &[Fault]) -> RunReport {
    let mut checker = Checker {
        sim,
        report: RunReport {
            steps: sim.injector.steps.clone(),
            ..RunReport::default()
        },
    };
    checker.complete_responses(faults);
    checker.not_run();
    checker.at_most_once();
    if scenario == Scenario::RunnerLeaves {
        checker.no_new_work_when_leaving();
    }
    let no_process_stopped = faults
        .iter()
        .all(|fault| !matches!(fault.kind, FaultKind::Killed | FaultKind::Paused));
    if scenario == Scenario::EntryShutsDown && no_process_stopped {
        checker.graceful_shutdown(faults);
    }
    checker.recovery();
    checker.report
}

impl Checker<'_> {
    fn check(&mut self, invariant: Invariant, violations: Vec<String>) {
        self.report.checked.push(invariant);
        let observed = violations.into_iter();
        self.report
            .violations
            .extend(observed.map(|observed| Violation {
                invariant,
                observed,
            }));
    }

    /// Checks that each caller got the complete response to its own request or an
    /// error, in time, and that calls that one fault must not fail succeeded.
    fn complete_responses(&mut self, faults: &[Fault]) {
        let mut observed = Vec::new();
        for (index, caller) in self.sim.callers.iter().enumerate() {
            let request = RequestId(index as u64);
            let in_order = caller
                .events
                .iter()
                .enumerate()
                .all(|(at, event)| *event == (at as u64, request));
            if !in_order {
                observed.push(format!("{request:?} got {:?}", caller.events));
            }
            match &caller.ending {
                Some((_, Ending::Streamed)) if caller.events.len() as u64 != STREAM_EVENTS => {
                    observed.push(format!("{request:?} ended after {}", caller.events.len()));
                }
                Some((_, Ending::Responded(response))) => {
                    let key = caller.request.key.unwrap_or_default();
                    if *response != booking_response(key) {
                        observed.push(format!("{request:?} got {response:?}"));
                    }
                }
                Some(_) => {}
                None => observed.push(format!("{request:?} got no response at all")),
            }
            if let (Some((at, _)), Some(sent)) = (&caller.ending, caller.sent_at)
                && *at > sent + REQUEST_TIMEOUT + RESPONSE_SLACK
            {
                observed.push(format!("{request:?} ended late"));
            }
            if must_succeed(faults, caller) && !got_complete_response(caller) {
                observed.push(format!("{request:?} ended as {:?}", caller.ending));
            }
        }
        self.check(Invariant::CompleteResponse, observed);
    }

    /// Checks that no request that was reported as not run reached an endpoint.
    fn not_run(&mut self) {
        let mut observed = Vec::new();
        for (index, caller) in self.sim.callers.iter().enumerate() {
            let request = RequestId(index as u64);
            let reported_not_run = caller
                .ending
                .as_ref()
                .is_some_and(|(_, ending)| reported_outcome(ending) == Some(Outcome::NotRun));
            let ran = self.sim.runs.iter().any(|run| run.request == request);
            if reported_not_run && ran {
                observed.push(format!("{request:?} ran"));
            }
        }
        self.check(Invariant::NotRun, observed);
    }

    /// Checks that no two runs had the same idempotency key.
    fn at_most_once(&mut self) {
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        for run in &self.sim.runs {
            if let Some(key) = self.sim.callers[run.request.0 as usize].request.key {
                *runs.entry(key).or_default() += 1;
            }
        }
        let repeated = runs.into_iter().filter(|(_, count)| *count > 1);
        let observed = repeated.map(|(key, count)| format!("key {key} ran {count} times"));
        let observed = observed.collect();
        self.check(Invariant::AtMostOnce, observed);
    }

    /// Checks that agents that were leaving for a while got no new requests.
    fn no_new_work_when_leaving(&mut self) {
        let mut observed = Vec::new();
        for (agent, left_at) in &self.sim.left_at {
            for run in &self.sim.runs {
                if run.agent == *agent && run.started_at > *left_at + LEAVE_TIMEOUT {
                    observed.push(format!("agent {agent} was given {:?}", run.request));
                }
            }
        }
        self.check(Invariant::NoNewWorkWhenLeaving, observed);
    }

    /// Checks that the requests in progress at an entry that shut down were not
    /// cut off; without faults, they must also succeed.
    fn graceful_shutdown(&mut self, faults: &[Fault]) {
        let mut observed = Vec::new();
        for (entry, at) in &self.sim.shut_down_at {
            for (index, caller) in self.sim.callers.iter().enumerate() {
                let in_progress =
                    caller.entry == *entry && caller.sent_at.is_some_and(|sent| sent <= *at);
                let lost = matches!(caller.ending, Some((_, Ending::Lost)) | None);
                let cut_off = lost || (faults.is_empty() && !got_complete_response(caller));
                if in_progress && cut_off {
                    observed.push(format!("request {index} ended as {:?}", caller.ending));
                }
            }
        }
        self.check(Invariant::GracefulShutdown, observed);
    }

    /// Checks that every probe, sent after all faults have ended, got its complete
    /// response in time.
    fn recovery(&mut self) {
        let mut observed = Vec::new();
        for (index, caller) in self.sim.callers.iter().enumerate() {
            if !caller.probe {
                continue;
            }
            let in_time = match (&caller.ending, caller.sent_at) {
                (Some((at, _)), Some(sent)) => *at <= sent + PROBE_TIMEOUT,
                _ => false,
            };
            if !in_time || !got_complete_response(caller) {
                observed.push(format!("probe {index} ended as {:?}", caller.ending));
            }
        }
        self.check(Invariant::Recovery, observed);
    }
}

fn got_complete_response(caller: &Caller) -> bool {
    matches!(
        caller.ending,
        Some((_, Ending::Responded(_) | Ending::Streamed))
    )
}

/// Returns whether a caller must get its complete response despite the faults.
///
/// With at most one fault, that holds for every idempotent call, unless a process
/// was killed or paused, the caller lost its entry, or there was no runner.
fn must_succeed(faults: &[Fault], caller: &Caller) -> bool {
    let not_affected = faults.len() <= 1
        && faults
            .iter()
            .all(|fault| !matches!(fault.kind, FaultKind::Killed | FaultKind::Paused));
    let entry_lost = matches!(caller.ending, Some((_, Ending::Lost)));
    let no_runner = matches!(
        caller.ending,
        Some((_, Ending::Failed(Failure::NoRunner { .. }, _)))
    );
    not_affected && caller.request.key.is_none() && !entry_lost && !no_runner
}
