//! Runs scenarios with faults and counts what held.

use std::collections::BTreeMap;
use std::fmt;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fault::Fault;
use crate::fault::FaultKind;
use crate::fault::LAST_FAULT;
use crate::fault::Sabotage;
use crate::fault::Step;
use crate::maps;
use crate::path;
use crate::tickets;

/// A promise of the brief, and that work goes on once faults end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// All ranks of a group use one map in every step.
    OneMap,
    /// Every caller gets the whole answer to its own request.
    WholeAnswer,
    /// What was told as not run did not run.
    NotRun,
    /// A keyed call runs at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new work after a few seconds.
    Leaving,
    /// A graceful shutdown cuts off nothing.
    Shutdown,
    /// An accepted ticket is in force everywhere and never reverts.
    Tickets,
    /// Once faults end, work goes on within a stated bound.
    GoesOn,
}

impl Promise {
    /// Every promise.
    pub const ALL: [Self; 8] = [
        Self::OneMap,
        Self::WholeAnswer,
        Self::NotRun,
        Self::AtMostOnce,
        Self::Leaving,
        Self::Shutdown,
        Self::Tickets,
        Self::GoesOn,
    ];

    /// Returns the name in the printed matrix.
    pub fn name(self) -> &'static str {
        match self {
            Self::OneMap => "one map in every step",
            Self::WholeAnswer => "whole answers",
            Self::NotRun => "not run means not run",
            Self::AtMostOnce => "at most once",
            Self::Leaving => "no new work when leaving",
            Self::Shutdown => "shutdown cuts nothing off",
            Self::Tickets => "tickets everywhere, never back",
            Self::GoesOn => "work goes on afterwards",
        }
    }
}

/// A promise that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunReport {
    pub(crate) steps: Vec<Step>,
    /// The promises that the run put to the test.
    pub(crate) checked: Vec<Promise>,
    pub(crate) violations: Vec<Violation>,
}

/// A protocol put to the test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scenario {
    /// A keyed booking.
    Booking,
    /// A keyed booking sent again through another entry.
    ResentBooking,
    /// A streamed chat that resumes.
    Chat,
    /// A runner leaves.
    RunnerLeaves,
    /// An entry shuts down.
    EntryShutsDown,
    /// Bookings while a shard changes hands.
    TakeOver,
    /// A map switch.
    MapSwitch,
    /// A ticket is accepted and spreads.
    Ticket,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 8] = [
        Self::Booking,
        Self::ResentBooking,
        Self::Chat,
        Self::RunnerLeaves,
        Self::EntryShutsDown,
        Self::TakeOver,
        Self::MapSwitch,
        Self::Ticket,
    ];

    fn run(self, faults: &[Fault], sabotage: Option<Sabotage>) -> RunReport {
        match self {
            Self::MapSwitch => maps::run(faults, sabotage),
            Self::Ticket => tickets::run(faults, sabotage),
            path => path::run(path, faults, sabotage),
        }
    }
}

/// Runs one case; returns the promises that did not hold.
pub fn run_case(
    scenario: Scenario,
    faults: &[Fault],
    sabotage: Option<Sabotage>,
) -> Vec<Violation> {
    scenario.run(faults, sabotage).violations
}

#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    cases: u64,
    failures: u64,
}

/// Cases and failures, by promise and fault.
#[derive(Clone, Debug, Default)]
pub struct Matrix {
    cells: BTreeMap<(Promise, Option<FaultKind>), Cell>,
    /// Every failure: the scenario, the faults and what was seen.
    pub failures: Vec<(Scenario, Vec<Fault>, Violation)>,
    /// Runs in all.
    pub runs: u64,
}

impl Matrix {
    fn add(&mut self, scenario: Scenario, faults: &[Fault], report: &RunReport) {
        self.runs += 1;
        let kinds: Vec<Option<FaultKind>> = match faults {
            [] => vec![None],
            faults => faults.iter().map(|fault| Some(fault.kind)).collect(),
        };
        for promise in &report.checked {
            let failed = report.violations.iter().any(|v| v.promise == *promise);
            for kind in &kinds {
                let cell = self.cells.entry((*promise, *kind)).or_default();
                cell.cases += 1;
                cell.failures += u64::from(failed);
            }
        }
        for violation in &report.violations {
            self.failures
                .push((scenario, faults.to_vec(), violation.clone()));
        }
    }

    /// Returns how many cases put a promise to the test.
    pub fn cases(&self, promise: Promise) -> u64 {
        let cells = self.cells.iter().filter(|((held, _), _)| *held == promise);
        cells.map(|(_, cell)| cell.cases).sum()
    }
}

impl fmt::Display for Matrix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "| fault |")?;
        for promise in Promise::ALL {
            write!(f, " {} |", promise.name())?;
        }
        writeln!(f)?;
        writeln!(f, "|---|{}", "---|".repeat(Promise::ALL.len()))?;
        let kinds = std::iter::once(None).chain(FaultKind::ALL.map(Some));
        for kind in kinds {
            write!(f, "| {} |", kind.map_or("none", FaultKind::name))?;
            for promise in Promise::ALL {
                match self.cells.get(&(promise, kind)) {
                    Some(cell) => write!(f, " {} / {} |", cell.cases, cell.failures)?,
                    None => write!(f, " - |")?,
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Lists every fault at every step of a clean run.
fn single_faults(scenario: Scenario) -> Vec<Fault> {
    let steps = scenario.run(&[], None).steps;
    let mut faults = Vec::new();
    for (at_step, step) in steps.iter().enumerate() {
        for kind in FaultKind::ALL {
            if step.at <= LAST_FAULT && kind.fits(step.class) {
                faults.push(Fault { kind, at_step });
            }
        }
    }
    faults
}

/// Puts each fault at each step of the scenarios.
pub fn run_singles(scenarios: &[Scenario], sabotage: Option<Sabotage>) -> Matrix {
    let mut matrix = Matrix::default();
    for scenario in scenarios {
        matrix.add(*scenario, &[], &scenario.run(&[], sabotage));
        for fault in single_faults(*scenario) {
            let faults = [fault];
            matrix.add(*scenario, &faults, &scenario.run(&faults, sabotage));
        }
    }
    matrix
}

/// Puts pairs of faults at pairs of steps, drawn from a seed.
pub fn run_pairs(scenarios: &[Scenario], seed: u64, cases: usize) -> Matrix {
    let mut matrix = Matrix::default();
    let mut rng = SmallRng::seed_from_u64(seed);
    for scenario in scenarios {
        let singles = single_faults(*scenario);
        for _ in 0..cases {
            let first = singles[rng.random_range(0..singles.len())];
            let mut second = singles[rng.random_range(0..singles.len())];
            // The first fault changes which steps follow it.
            second.at_step += rng.random_range(0..8);
            let faults = [first, second];
            matrix.add(*scenario, &faults, &scenario.run(&faults, None));
        }
    }
    matrix
}

/// Puts every pair of faults at every pair of steps of a scenario.
pub fn run_all_pairs(scenario: Scenario) -> Matrix {
    let mut matrix = Matrix::default();
    let singles = single_faults(scenario);
    for (index, first) in singles.iter().enumerate() {
        for second in &singles[index..] {
            let faults = [*first, *second];
            matrix.add(scenario, &faults, &scenario.run(&faults, None));
        }
    }
    matrix
}
