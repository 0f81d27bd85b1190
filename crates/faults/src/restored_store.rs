//! A simulation of entries whose store returns from an older copy.
//!
//! What an entry keeps of the store's answers is the production code of
//! [`LatestDeclaration`] and [`RunnerRegistry`]; the store, the operator, the runners and
//! the calls of entries are fakes. The store is away at any moment and returns from a copy
//! of any age, once or twice, while declarations are acknowledged and runners leave.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriawick_core::hosting::Era;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::hosting::ListedState;

mod entry;
mod fake_store;

use entry::Answer;
use entry::Content;
use entry::Entry;
use entry::Position;
use fake_store::FakeStore;

const ENTRIES: usize = 3;
const RUNNERS: usize = 5;
/// Length of a step.
const STEP: Duration = Duration::from_millis(50);
/// Steps of a run, thirty seconds.
const STEPS: u64 = 600;
/// Steps between two declarations of the operator, until the last one.
const DECLARATION_INTERVAL: u64 = 30;
const LAST_DECLARATION: u64 = 300;
/// Steps between two heartbeats of a runner.
const HEARTBEAT_INTERVAL: u64 = 20;
/// Steps without heartbeats after which the store drops a runner's record.
const EXPIRY_STEPS: u64 = 3 * HEARTBEAT_INTERVAL;
/// Steps from a runner's announcement that it leaves until it is gone.
const LEAVING_STEPS: u64 = 30;
/// Steps until a runner that is gone starts again.
const RESTART_STEPS: u64 = 120;
/// Steps between two calls of an entry.
const CALL_INTERVAL: u64 = 4;
/// Steps after which an entry gives up a call.
const CALL_TIMEOUT: u64 = 20;
/// Steps from a restore until the operator has written the newest declaration again.
const REWRITE_STEPS: u64 = 15;
/// Steps without faults at the end, after which entries must know all that holds.
const SETTLE_STEPS: u64 = 100;

/// The faults that are injected into a run, and its seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RestoreFaults {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Step at which the copy is taken.
    pub copied_at: u64,
    /// Steps from the copy until the store is away.
    pub copy_age: u64,
    /// Steps for which it is away.
    pub outage: u64,
    /// Number of restores from the copy, one soon after the other.
    pub restores: u32,
    /// Most steps for which an answer is on its way.
    pub answer_delay: u64,
    /// Share of the answers that arrive only after the entry has given up the call.
    pub late_answers: f64,
}

/// A deliberate defect, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoreMutation {
    /// Entries take all answers for answers of one era.
    IgnoresEra,
    /// Entries take the declaration that the store lists, whatever they served before.
    TakesAnyDeclaration,
    /// Entries apply answers to calls that they gave up.
    BelievesLateAnswers,
}

/// The number of violations of each promise that a run found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestoreReport {
    /// An entry served an older declaration than before.
    pub declarations_back: u32,
    /// A runner whose leaving all entries had known was used again by one.
    pub leaving_runners_used: u32,
    /// An entry that had runners for new requests had none.
    pub entries_without_runner: u32,
    /// At the end, an entry served another declaration than the operator's newest.
    pub declarations_missing: u32,
    /// At the end, an entry did not use a runner that takes requests, or used one that
    /// takes none.
    pub wrong_runners: u32,
}

impl RestoreReport {
    /// Returns whether every promise was kept.
    pub fn passed(&self) -> bool {
        *self == Self::default()
    }
}

/// Runs the simulation once.
pub fn run_restored_store(
    faults: RestoreFaults,
    mutation: Option<RestoreMutation>,
) -> RestoreReport {
    let mut simulation = Simulation::new(faults, mutation);
    for step in 0..STEPS {
        simulation.run_step(step);
    }
    simulation.check_end();
    simulation.report
}

struct Simulation {
    faults: RestoreFaults,
    mutation: Option<RestoreMutation>,
    rng: SmallRng,
    start: Instant,
    store: FakeStore,
    copy: Option<FakeStore>,
    /// Version of the operator's newest declaration.
    declared: u64,
    runners: Vec<FakeRunner>,
    entries: Vec<Entry>,
    report: RestoreReport,
}

/// A runner process, which may start several times.
struct FakeRunner {
    listed: ListedRunner,
    is_alive: bool,
    /// Step at which it announces that it leaves.
    leaves_at: u64,
    /// Whether all entries have known that this start leaves.
    leaving_known: bool,
}

impl Simulation {
    fn new(faults: RestoreFaults, mutation: Option<RestoreMutation>) -> Self {
        let mut rng = SmallRng::seed_from_u64(faults.seed);
        let runner = |n: usize| FakeRunner {
            listed: ListedRunner {
                id: format!("i-{n}").as_str().into(),
                service: "s".into(),
                address: ([127, 0, 0, 1], 10_000 + n as u16).into(),
                place: "here".into(),
                slots: 4,
                state: ListedState::Ready,
                cold_remaining: Duration::ZERO,
                sequence: Some(0),
                started_unix_ms: Some(1_000),
            },
            is_alive: true,
            leaves_at: 0,
            leaving_known: false,
        };
        let mut runners: Vec<FakeRunner> = (0..RUNNERS).map(runner).collect();
        // The first two stay, so that there is always a runner.
        for runner in &mut runners {
            runner.leaves_at = rng.random_range(40..LAST_DECLARATION);
        }
        runners[0].leaves_at = u64::MAX;
        runners[1].leaves_at = u64::MAX;
        Self {
            faults,
            mutation,
            rng,
            start: Instant::now(),
            store: FakeStore::default(),
            copy: None,
            declared: 0,
            runners,
            entries: (0..ENTRIES).map(|_| Entry::new()).collect(),
            report: RestoreReport::default(),
        }
    }

    fn run_step(&mut self, step: u64) {
        self.drill(step);
        if !self.store.is_away {
            self.declare(step);
            self.write_runners(step);
            self.store.expire(step, EXPIRY_STEPS);
        }
        self.move_runners(step);
        for entry in 0..ENTRIES {
            self.receive(step, entry);
            self.call(step, entry);
            self.check(entry);
        }
        self.note_known_leaving();
    }

    /// Takes the copy, takes the store away and restores it.
    fn drill(&mut self, step: u64) {
        let RestoreFaults {
            copied_at,
            copy_age,
            outage,
            restores,
            ..
        } = self.faults;
        if step == copied_at {
            self.copy = Some(self.store.clone());
        }
        let away_at = copied_at + copy_age;
        let period = outage + REWRITE_STEPS / 2;
        for restore in 0..u64::from(restores) {
            if step == away_at + restore * period {
                self.store.is_away = true;
            }
            if step == away_at + restore * period + outage
                && let Some(copy) = &self.copy
            {
                self.store.restore(copy, step);
            }
        }
    }

    fn declare(&mut self, step: u64) {
        if step <= LAST_DECLARATION && step.is_multiple_of(DECLARATION_INTERVAL) {
            self.declared += 1;
            self.store.write_declaration(self.declared);
        }
        let is_lost = self.store.declaration < Some(self.declared);
        if is_lost && step >= self.store.restored_at + REWRITE_STEPS {
            self.store.write_declaration(self.declared);
        }
    }

    /// Runners write their records if they changed or the store has lost them, and send
    /// heartbeats.
    fn write_runners(&mut self, step: u64) {
        for (n, runner) in self.runners.iter_mut().enumerate() {
            let beats = (step + n as u64).is_multiple_of(HEARTBEAT_INTERVAL);
            if !runner.is_alive {
                continue;
            }
            let may_write = step >= self.store.restored_at + HEARTBEAT_INTERVAL;
            if beats || may_write && !self.store.holds(&runner.listed) {
                runner.listed.sequence = runner.listed.sequence.map(|sequence| sequence + 1);
                self.store.write_runner(step, &runner.listed);
            }
        }
    }

    fn move_runners(&mut self, step: u64) {
        for runner in &mut self.runners {
            if step == runner.leaves_at {
                runner.listed.state = ListedState::Leaving;
            }
            if step == runner.leaves_at.saturating_add(LEAVING_STEPS) {
                runner.is_alive = false;
                if !self.store.is_away {
                    self.store.remove_runner(&runner.listed.id);
                }
            }
            if step == runner.leaves_at.saturating_add(RESTART_STEPS) {
                runner.is_alive = true;
                runner.leaving_known = false;
                runner.listed.state = ListedState::Ready;
                runner.listed.started_unix_ms = Some(1_000 + step);
            }
        }
    }

    fn receive(&mut self, step: u64, index: usize) {
        let entry = &mut self.entries[index];
        let late = entry.late_answer.take_if(|answer| answer.arrives <= step);
        let answer = entry.answer.take_if(|answer| answer.arrives <= step);
        if let Some(answer) = late {
            self.apply_late(step, index, answer);
        }
        if let Some(answer) = answer {
            self.apply(step, index, answer);
        }
    }

    /// Receives an answer to a call that was given up. An entry has closed the connection
    /// of such a call, so only one with the defect hands the content on.
    fn apply_late(&mut self, step: u64, index: usize, answer: Answer) {
        if self.mutation != Some(RestoreMutation::BelievesLateAnswers) {
            return;
        }
        let position = self.entries[index].position;
        self.apply(step, index, answer);
        self.entries[index].position = position;
    }

    fn apply(&mut self, step: u64, index: usize, answer: Answer) {
        let now = self.time(step);
        let ignores_era = self.mutation == Some(RestoreMutation::IgnoresEra);
        let era = match ignores_era {
            true => Era(0),
            false => answer.era,
        };
        let entry = &mut self.entries[index];
        let is_of_position = entry.position.is_some_and(|position| position.era == era);
        match answer.content {
            Content::Listing(store) => {
                entry.registry.store_responded(now);
                let runners = store.runners().cloned().collect();
                entry.registry.replace_all(now, era, runners);
                if let Some(version) = store.declaration {
                    entry.take_declaration(era, version, self.mutation);
                }
                let revision = store.revision();
                entry.position = Some(Position { era, revision });
            }
            // Its revision means nothing in the new era, so all is listed anew.
            Content::Changes(..) if !is_of_position => entry.position = None,
            Content::Changes(changes, revision) => {
                entry.registry.store_responded(now);
                for change in changes {
                    entry.apply_change(now, era, change, self.mutation);
                }
                entry.position = Some(Position { era, revision });
            }
            Content::Gone => entry.position = None,
        }
    }

    /// Begins a call, and gives up one that takes too long.
    fn call(&mut self, step: u64, index: usize) {
        let now = self.time(step);
        let delay = self.rng.random_range(0..=self.faults.answer_delay);
        let has_faults = step < STEPS - SETTLE_STEPS;
        let is_late = self.rng.random_bool(self.faults.late_answers) && has_faults;
        let entry = &mut self.entries[index];
        entry.registry.expire(now);
        if step < entry.call_at || entry.answer.is_some() {
            return;
        }
        if entry.registry.take_relist(now) {
            entry.position = None;
        }
        if self.store.is_away {
            entry.registry.store_unreachable(now);
            entry.call_at = step + CALL_INTERVAL;
            return;
        }
        let content = match entry.position {
            None => Content::Listing(Box::new(self.store.clone())),
            Some(position) => match self.store.changes_since(position.revision) {
                Some(changes) => Content::Changes(changes, self.store.revision()),
                None => Content::Gone,
            },
        };
        let answer = Answer {
            arrives: step + delay,
            era: self.store.era,
            content,
        };
        if is_late {
            entry.late_answer = Some(Answer {
                arrives: step + CALL_TIMEOUT + delay,
                ..answer
            });
            entry.call_at = step + CALL_TIMEOUT;
        } else {
            entry.answer = Some(answer);
            entry.call_at = step + CALL_INTERVAL;
        }
    }

    fn check(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let version = entry.version();
        self.report.declarations_back += u32::from(version < entry.served);
        entry.served = entry.served.max(version);
        let ready = entry.ready_runners();
        self.report.entries_without_runner += u32::from(entry.had_runner && ready.is_empty());
        entry.had_runner |= !ready.is_empty();
        for runner in self.runners.iter().filter(|runner| runner.leaving_known) {
            let start = runner.listed.started_unix_ms;
            let is_used = ready.get(&runner.listed.id) == Some(&start);
            self.report.leaving_runners_used += u32::from(is_used);
        }
    }

    /// Notes the runners whose announcement that they leave all entries have read.
    fn note_known_leaving(&mut self) {
        for runner in &mut self.runners {
            let start = runner.listed.started_unix_ms;
            let has_read = |entry: &Entry| {
                entry.registry.all().any(|known| {
                    known.id == runner.listed.id
                        && known.started_unix_ms == start
                        && known.state == ListedState::Leaving
                })
            };
            runner.leaving_known |= self.entries.iter().all(has_read);
        }
    }

    fn check_end(&mut self) {
        let settles_at = STEPS - SETTLE_STEPS;
        assert!(self.store.restored_at < settles_at, "the drill ends before");
        for entry in &self.entries {
            let is_newest = entry.version() == self.declared;
            self.report.declarations_missing += u32::from(!is_newest);
            let ready = entry.ready_runners();
            for runner in &self.runners {
                let takes = runner.is_alive && runner.listed.state == ListedState::Ready;
                let is_used = ready.contains_key(&runner.listed.id);
                self.report.wrong_runners += u32::from(takes != is_used);
            }
        }
    }

    fn time(&self, step: u64) -> Instant {
        self.start + STEP * step as u32
    }
}
