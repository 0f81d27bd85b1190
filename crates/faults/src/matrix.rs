//! Runs scenarios with faults and counts the violations of each invariant, by
//! kind of fault.

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

/// A property that must hold in every run, whatever faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// All ranks of a group use the same expert map in every step.
    OneMapPerStep,
    /// Every caller gets the complete response to its own request, or an error.
    CompleteResponse,
    /// A request that was reported as not run did not run.
    NotRun,
    /// A call with an idempotency key runs at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new requests after a few seconds.
    NoNewWorkWhenLeaving,
    /// A graceful shutdown cuts off no request in progress.
    GracefulShutdown,
    /// An accepted ticket comes into force in every process and never reverts.
    TicketsInForce,
    /// Once the faults have ended, requests, map switches and tickets succeed
    /// within a stated time.
    Recovery,
}

impl Invariant {
    /// Every invariant, in the order of the printed matrix.
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

    /// Returns the name of the column in the printed matrix.
    pub fn name(self) -> &'static str {
        match self {
            Self::OneMapPerStep => "one map in every step",
            Self::CompleteResponse => "complete responses",
            Self::NotRun => "not run means not run",
            Self::AtMostOnce => "at most once",
            Self::NoNewWorkWhenLeaving => "no new work when leaving",
            Self::GracefulShutdown => "graceful shutdown",
            Self::TicketsInForce => "tickets in force, never reverted",
            Self::Recovery => "recovery after faults",
        }
    }
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant that did not hold.
    pub invariant: Invariant,
    /// What was observed, for people to read.
    pub observed: String,
}

/// The result of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunReport {
    /// The steps that took place.
    pub(crate) steps: Vec<Step>,
    /// The invariants that the run checked.
    pub(crate) checked: Vec<Invariant>,
    pub(crate) violations: Vec<Violation>,
}

/// A short run of one protocol, into which faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scenario {
    /// A booking: a buffered call with an idempotency key.
    Booking,
    /// A booking that its caller sends again through another entry.
    RetriedBooking,
    /// Two chats: streamed calls, which resume on another runner after a fault.
    Chat,
    /// A runner leaves while calls are in progress and new ones arrive.
    RunnerLeaves,
    /// An entry shuts down while calls are in progress.
    EntryShutsDown,
    /// Bookings while the owner of the ledger shard dies and another entry takes
    /// the shard over.
    ShardTakeover,
    /// A switch of the expert map that the runners vote on.
    MapSwitch,
    /// Tickets are accepted and propagate to all processes.
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

/// Runs a scenario with faults; returns the violations.
pub fn run_case(
    scenario: Scenario,
    faults: &[Fault],
    mutation: Option<Mutation>,
) -> Vec<Violation> {
    scenario.run(faults, mutation).violations
}

/// A cell of the matrix.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    cases: u64,
    failures: u64,
}

/// The number of runs and failures for each invariant and kind of fault.
#[derive(Clone, Debug, Default)]
pub struct Matrix {
    cells: BTreeMap<(Invariant, Option<FaultKind>), Cell>,
    /// Every violation, with the scenario and the faults of its run.
    pub failures: Vec<(Scenario, Vec<Fault>, Violation)>,
    /// Number of runs in total.
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

    /// Returns how many cases checked an invariant. A run with two faults counts
    /// once for each of them.
    pub fn cases(&self, invariant: Invariant) -> u64 {
        let cells = self
            .cells
            .iter()
            .filter(|((checked, _), _)| *checked == invariant);
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

/// Lists every fault at every step of a run without faults.
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

/// Runs the scenarios without faults and with each fault at each step.
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

/// Runs each scenario `cases` times with two random faults at random steps.
pub fn run_random_pairs(scenarios: &[Scenario], seed: u64, cases: usize) -> Matrix {
    let mut matrix = Matrix::default();
    let mut rng = SmallRng::seed_from_u64(seed);
    for scenario in scenarios {
        let singles = single_faults(*scenario);
        for _ in 0..cases {
            let first = singles[rng.random_range(0..singles.len())];
            let mut second = singles[rng.random_range(0..singles.len())];
            // The first fault may add steps, so the second may be injected at
            // steps beyond those of the run without faults.
            second.at_step += rng.random_range(0..8);
            let faults = [first, second];
            matrix.add(*scenario, &faults, &scenario.run(&faults, None));
        }
    }
    matrix
}

/// Runs a scenario with every pair of faults at every pair of steps.
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
