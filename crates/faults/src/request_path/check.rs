//! The promises that a run of the path puts to the test.

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
use crate::request_path::DEADLINE;
use crate::request_path::GOES_ON_WITHIN;
use crate::request_path::STREAM_EVENTS;
use crate::request_path::agents::booking_answer;
use crate::request_path::entries::told;
use crate::request_path::simulation::Caller;
use crate::request_path::simulation::Ending;
use crate::request_path::simulation::Simulation;

/// Time after which a leaving endpoint must get nothing new.
const LEAVING_WITHIN: Duration = Duration::from_secs(2);
/// Slack of an answer at its deadline: a pause of the entry itself.
const ANSWER_SLACK: Duration = Duration::from_secs(6);

struct Checker<'a> {
    sim: &'a Simulation,
    report: RunReport,
}

/// Checks a run.
pub(crate) fn report(sim: &Simulation, scenario: Scenario, faults: &[Fault]) -> RunReport {
    let mut checker = Checker {
        sim,
        report: RunReport {
            steps: sim.injector.steps.clone(),
            ..RunReport::default()
        },
    };
    checker.whole_answers(faults);
    checker.not_run();
    checker.at_most_once();
    if scenario == Scenario::RunnerLeaves {
        checker.leaving();
    }
    let unharmed = faults
        .iter()
        .all(|fault| !matches!(fault.kind, FaultKind::Killed | FaultKind::Paused));
    if scenario == Scenario::EntryShutsDown && unharmed {
        checker.shutdown(faults);
    }
    checker.goes_on();
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

    /// What a caller got is its own answer, whole, or is said not to be whole;
    /// and it is said in time.
    fn whole_answers(&mut self, faults: &[Fault]) {
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
                Some((_, Ending::Answered(answer))) => {
                    let key = caller.ask.key.unwrap_or_default();
                    if *answer != booking_answer(key) {
                        observed.push(format!("{request:?} got {answer:?}"));
                    }
                }
                Some(_) => {}
                None => observed.push(format!("{request:?} got no answer at all")),
            }
            if let (Some((at, _)), Some(sent)) = (&caller.ending, caller.sent_at)
                && *at > sent + DEADLINE + ANSWER_SLACK
            {
                observed.push(format!("{request:?} was answered late"));
            }
            if one_fault_spares(faults, caller) && !got_whole(caller) {
                observed.push(format!("{request:?} ended as {:?}", caller.ending));
            }
        }
        self.check(Invariant::CompleteResponse, observed);
    }

    fn not_run(&mut self) {
        let mut observed = Vec::new();
        for (index, caller) in self.sim.callers.iter().enumerate() {
            let request = RequestId(index as u64);
            let told_not_run = caller
                .ending
                .as_ref()
                .is_some_and(|(_, ending)| told(ending) == Some(Outcome::NotRun));
            let ran = self.sim.runs.iter().any(|run| run.request == request);
            if told_not_run && ran {
                observed.push(format!("{request:?} ran"));
            }
        }
        self.check(Invariant::NotRun, observed);
    }

    fn at_most_once(&mut self) {
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        for run in &self.sim.runs {
            if let Some(key) = self.sim.callers[run.request.0 as usize].ask.key {
                *runs.entry(key).or_default() += 1;
            }
        }
        let twice = runs.into_iter().filter(|(_, count)| *count > 1);
        let observed = twice.map(|(key, count)| format!("key {key} ran {count} times"));
        let observed = observed.collect();
        self.check(Invariant::AtMostOnce, observed);
    }

    fn leaving(&mut self) {
        let mut observed = Vec::new();
        for (agent, left_at) in &self.sim.left_at {
            for run in &self.sim.runs {
                if run.agent == *agent && run.at > *left_at + LEAVING_WITHIN {
                    observed.push(format!("agent {agent} was given {:?}", run.request));
                }
            }
        }
        self.check(Invariant::NoNewWorkWhenLeaving, observed);
    }

    /// What was in progress at the entry ends as it would have ended.
    fn shutdown(&mut self, faults: &[Fault]) {
        let mut observed = Vec::new();
        for (entry, at) in &self.sim.shut_down_at {
            for (index, caller) in self.sim.callers.iter().enumerate() {
                let in_progress =
                    caller.entry == *entry && caller.sent_at.is_some_and(|sent| sent <= *at);
                let lost = matches!(caller.ending, Some((_, Ending::Lost)) | None);
                let cut = lost || (faults.is_empty() && !got_whole(caller));
                if in_progress && cut {
                    observed.push(format!("request {index} ended as {:?}", caller.ending));
                }
            }
        }
        self.check(Invariant::GracefulShutdown, observed);
    }

    /// Once faults have ended, every probe is answered in whole and in time.
    fn goes_on(&mut self) {
        let mut observed = Vec::new();
        for (index, caller) in self.sim.callers.iter().enumerate() {
            if !caller.probe {
                continue;
            }
            let in_time = match (&caller.ending, caller.sent_at) {
                (Some((at, _)), Some(sent)) => *at <= sent + GOES_ON_WITHIN,
                _ => false,
            };
            if !in_time || !got_whole(caller) {
                observed.push(format!("probe {index} ended as {:?}", caller.ending));
            }
        }
        self.check(Invariant::Recovery, observed);
    }
}

fn got_whole(caller: &Caller) -> bool {
    matches!(
        caller.ending,
        Some((_, Ending::Answered(_) | Ending::Streamed))
    )
}

/// Returns whether a caller must get its whole answer in spite of one fault:
/// an idempotent call always, unless its entry was killed or paused.
fn one_fault_spares(faults: &[Fault], caller: &Caller) -> bool {
    let spared = faults.len() <= 1
        && faults
            .iter()
            .all(|fault| !matches!(fault.kind, FaultKind::Killed | FaultKind::Paused));
    let entry_lost = matches!(caller.ending, Some((_, Ending::Lost)));
    let no_entry = matches!(
        caller.ending,
        Some((_, Ending::Failed(Failure::NoRunner { .. }, _)))
    );
    spared && caller.ask.key.is_none() && !entry_lost && !no_entry
}
