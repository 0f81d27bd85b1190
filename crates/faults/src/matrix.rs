//! Runs scenarios with faults and counts what held.

use std::collections::BTreeMap;
use std::fmt;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fault::Fault;
use crate::fault::FaultKind;
use crate::fault::LAST_FAULT_AT;
use crate::fault::Mutation;
use crate::fault::Step;
use crate::maps;
use crate::request_path;
use crate::tickets;

/// A promise of the brief, and that work goes on once faults end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// All ranks of a group use one map in every step.
    OneMapPerStep,
    /// Every caller gets the whole answer to its own request.
    CompleteResponse,
    /// What was told as not run did not run.
    NotRun,
    /// A keyed call runs at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new work after a few seconds.
    NoNewWorkWhenLeaving,
    /// A graceful shutdown cuts off nothing.
    GracefulShutdown,
    /// An accepted ticket is in force everywhere and never reverts.
    TicketsInForce,
    /// Once faults end, work goes on within a stated bound.
    Recovery,
}

impl Invariant {
    /// Every promise.
    pub const ALL: [Self; 8] = [
        Self::OneMapPerStep,
        Self::CompleteResponse,
        Self::NotRun,
        Self::AtMostOnce,
        Self::NoNewWorkWhenLeaving,
        Self::GracefulShutdown,
        Self::TicketsInForce,
        Self::Recovery,
    ];

    /// Returns the name in the printed matrix.
    pub fn name(self) -> &'static str {
        match self {
            Self::OneMapPerStep => "one map in every step",
            Self::CompleteResponse => "whole answers",
            Self::NotRun => "not run means not run",
            Self::AtMostOnce => "at most once",
            Self::NoNewWorkWhenLeaving => "no new work when leaving",
            Self::GracefulShutdown => "shutdown cuts nothing off",
            Self::TicketsInForce => "tickets everywhere, never back",
            Self::Recovery => "work goes on afterwards",
        }
    }
}

/// A promise that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub invariant: Invariant,
    /// What was seen.
    pub observed: String,
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunReport {
    pub(crate) steps: Vec<Step>,
    /// The promises that the run put to the test.
    pub(crate) checked: Vec<Invariant>,
    pub(crate) violations: Vec<Violation>,
}

/// A protocol put to the test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scenario {
    /// A keyed booking.
    Booking,
    /// A keyed booking sent again through another entry.
    RetriedBooking,
    /// A streamed chat that resumes.
    Chat,
    /// A runner leaves.
    RunnerLeaves,
    /// An entry shuts down.
    EntryShutsDown,
    /// Bookings while a shard changes hands.
    ShardTakeover,
    /// A map switch.
    MapSwitch,
    /// A ticket is accepted and spreads.
    Ticket,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 8] = [
        Self::Booking,
        Self::RetriedBooking,
        Self::Chat,
        Self::RunnerLeaves,
        Self::EntryShutsDown,
        Self::ShardTakeover,
        Self::MapSwitch,
        Self::Ticket,
    ];

    fn run(self, faults: &[Fault], mutation: Option<Mutation>) -> RunReport {
        match self {
            Self::MapSwitch => maps::run(faults, mutation),
            Self::Ticket => tickets::run(faults, mutation),
            scenario => request_path::run(scenario, faults, mutation),
        }
    }
}

/// Runs one case; returns the promises that did not hold.
pub fn run_case(
    scenario: Scenario,
    faults: &[Fault],
    mutation: Option<Mutation>,
) -> Vec<Violation> {
    scenario.run(faults, mutation).violations
}

#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    cases: u64,
    failures: u64,
}

/// Cases and failures, by promise and fault.
#[derive(Clone, Debug, Default)]
pub struct Matrix {
    cells: BTreeMap<(Invariant, Option<FaultKind>), Cell>,
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
        for invariant in &report.checked {
            let failed = report.violations.iter().any(|v| v.invariant == *invariant);
            for kind in &kinds {
                let cell = self.cells.entry((*invariant, *kind)).or_default();
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
    pub fn cases(&self, invariant: Invariant) -> u64 {
        let cells = self
            .cells
            .iter()
            .filter(|((held, _), _)| *held == invariant);
        cells.map(|(_, cell)| cell.cases).sum()
    }
}

impl fmt::Display for Matrix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "| fault |")?;
        for invariant in Invariant::ALL {
            write!(f, " {} |", invariant.name())?;
        }
        writeln!(f)?;
        writeln!(f, "|---|{}", "---|".repeat(Invariant::ALL.len()))?;
        let kinds = std::iter::once(None).chain(FaultKind::ALL.map(Some));
        for kind in kinds {
            write!(f, "| {} |", kind.map_or("none", FaultKind::name))?;
            for invariant in Invariant::ALL {
                match self.cells.get(&(invariant, kind)) {
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
            if step.at <= LAST_FAULT_AT && kind.applies_to(step.class) {
                faults.push(Fault { kind, at_step });
            }
        }
    }
    faults
}

/// Puts each fault at each step of the scenarios.
pub fn run_single_faults(scenarios: &[Scenario], mutation: Option<Mutation>) -> Matrix {
    let mut matrix = Matrix::default();
    for scenario in scenarios {
        matrix.add(*scenario, &[], &scenario.run(&[], mutation));
        for fault in single_faults(*scenario) {
            let faults = [fault];
            matrix.add(*scenario, &faults, &scenario.run(&faults, mutation));
        }
    }
    matrix
}

/// Puts pairs of faults at pairs of steps, drawn from a seed.
pub fn run_random_pairs(scenarios: &[Scenario], seed: u64, cases: usize) -> Matrix {
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
