//! A simulation of entries that find out together what crashes runners.
//!
//! Entries and the leader through which they are linked run the production code of
//! [`CrashTracker`]; runners, links and requests are fakes. Notes are late, links break,
//! processes restart with empty memory, and the proof of a crash may take seconds. The
//! simulation counts the runners that crash and the sound requests that are refused.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriawick_core::gateway::CrashNote;
use wisteriawick_core::gateway::CrashSuspect;
use wisteriawick_core::gateway::CrashTracker;
use wisteriawick_core::gateway::RunnerStart;
use wisteriawick_core::ids::Fingerprint;
use wisteriawick_core::ids::PromptPart;

const ENTRIES: usize = 4;
/// Length of a step.
const STEP: Duration = Duration::from_millis(5);
/// Steps of a run unless its faults state more, forty seconds.
const STEPS: u64 = 8_000;
/// Steps between two requests of all entries together.
const REQUEST_INTERVAL: u64 = 4;
/// One request in this many has the deadly content, and one the deadly part.
const DEADLY_INTERVAL: u32 = 10;
/// Steps from the sending of a request to the crash of its runner.
const CRASH_STEPS: u64 = 12;
/// Steps from the sending of a sound request to its end.
const RESPONSE_STEPS: u64 = 80;
/// Steps until a runner that crashed is back.
const RESTART_STEPS: u64 = 600;
/// Steps until a process that restarted or lost its link is linked again.
const RELINK_STEPS: u64 = 100;
/// Steps after the decisive crash from which further sends count: three seconds.
const KNOWN_STEPS: u64 = 600;
/// Steps until the store reports a runner that crashed.
const LISTED_STEPS: u64 = 640;
/// First shared parts of requests.
const SUBJECTS: u64 = 30;
/// A part that all requests have.
const COMMON_PART: u64 = 2;
const DEADLY_CONTENT: u128 = 1;
const DEADLY_PART: u64 = 1;

/// How runners are listed after they have crashed and started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    /// Under a new identifier.
    NewId,
    /// Under the same identifier, with the time of the start.
    SameId,
    /// Under the same identifier, and the list does not show the restart.
    Unlisted,
}

/// The faults that are injected into a run, and its seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrashFaults {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Steps of the run, of five milliseconds.
    pub steps: u64,
    /// Number of runners.
    pub runners: usize,
    /// How runners are listed after a crash.
    pub restart: Restart,
    /// Most steps for which a note is on its way.
    pub note_delay: u64,
    /// Most steps for which a request waits before it is sent.
    pub queue_time: u64,
    /// Mean steps between restarts of an entry; zero for none.
    pub entry_restart_interval: u64,
    /// Mean steps between restarts of the leader; zero for none.
    pub leader_restart_interval: u64,
    /// Mean steps between breaks of a link; zero for none.
    pub link_break_interval: u64,
    /// Share of crashes that no probe proves, only the store's list seconds later.
    pub unproven: f64,
    /// Mean steps between losses of a runner without a reason; zero for none.
    pub runner_loss_interval: u64,
}

impl CrashFaults {
    /// Returns a run without faults.
    pub fn none(seed: u64) -> Self {
        Self {
            seed,
            steps: STEPS,
            runners: 16,
            restart: Restart::NewId,
            note_delay: 1,
            queue_time: 20,
            entry_restart_interval: 0,
            leader_restart_interval: 0,
            link_break_interval: 0,
            unproven: 0.0,
            runner_loss_interval: 0,
        }
    }
}

/// A deliberate defect, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMutation {
    /// Entries pass nothing on.
    TellsNobody,
    /// A request is checked when it arrives and not when it is sent.
    ChecksOnlyAtArrival,
    /// Parts of prompts are no suspects.
    IgnoresParts,
    /// Responses clear nothing, and no part is known to be sound.
    ClearsNothing,
}

/// What a run counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashReport {
    /// Runners that crashed under the deadly content.
    pub content_crashes: u32,
    /// Runners that crashed under the deadly part.
    pub part_crashes: u32,
    /// Sends of the deadly content later than three seconds after its third crash.
    pub late_content_sends: u32,
    /// Sends of the deadly part later than three seconds after its fifth crash.
    pub late_part_sends: u32,
    /// Sound requests that were sent.
    pub sound: u32,
    /// Sound requests that were refused.
    pub refused: u32,
}

/// Runs the simulation once.
pub fn run_crash_notes(faults: CrashFaults, mutation: Option<CrashMutation>) -> CrashReport {
    let mut simulation = Simulation::new(faults, mutation);
    for step in 0..faults.steps {
        simulation.run_step(step);
    }
    simulation.report
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Sound,
    DeadlyContent,
    DeadlyPart,
}

#[derive(Clone, Debug)]
struct Request {
    kind: Kind,
    entry: usize,
    suspects: Vec<CrashSuspect>,
    send_at: u64,
    sent_to: Option<usize>,
}

struct Runner {
    incarnation: u64,
    back_at: u64,
}

/// A note on its way; `to` is an entry, or the leader if it is `None`.
struct Message {
    due: u64,
    to: Option<usize>,
    note: CrashNote,
}

/// A crash that an entry has yet to learn of.
struct Proof {
    due: u64,
    entry: usize,
    runner: RunnerStart,
}

struct Simulation {
    faults: CrashFaults,
    mutation: Option<CrashMutation>,
    rng: SmallRng,
    start: Instant,
    entries: Vec<CrashTracker>,
    leader: CrashTracker,
    /// When each entry's link works again.
    linked_at: [u64; ENTRIES],
    runners: Vec<Runner>,
    requests: Vec<Request>,
    messages: Vec<Message>,
    proofs: Vec<Proof>,
    content: u128,
    /// Steps from which sends of the deadly content and of the deadly part are late.
    late_from: [u64; 2],
    report: CrashReport,
}

impl Simulation {
    fn new(faults: CrashFaults, mutation: Option<CrashMutation>) -> Self {
        Self {
            faults,
            mutation,
            rng: SmallRng::seed_from_u64(faults.seed),
            start: Instant::now(),
            entries: (0..ENTRIES).map(|_| CrashTracker::default()).collect(),
            leader: CrashTracker::default(),
            linked_at: [0; ENTRIES],
            runners: (0..faults.runners)
                .map(|_| Runner {
                    incarnation: 0,
                    back_at: 0,
                })
                .collect(),
            requests: Vec::new(),
            messages: Vec::new(),
            proofs: Vec::new(),
            content: DEADLY_CONTENT,
            late_from: [u64::MAX; 2],
            report: CrashReport::default(),
        }
    }

    fn run_step(&mut self, step: u64) {
        self.inject(step);
        self.deliver(step);
        self.prove(step);
        if step.is_multiple_of(REQUEST_INTERVAL) {
            self.arrive(step);
        }
        self.send_due(step);
        self.finish_due(step);
        self.pass_on(step);
    }

    fn time(&self, step: u64) -> Instant {
        self.start + STEP * step as u32
    }

    fn happens(&mut self, interval: u64) -> bool {
        interval > 0 && self.rng.random_range(0..interval) == 0
    }

    fn inject(&mut self, step: u64) {
        if self.happens(self.faults.entry_restart_interval) {
            let entry = self.rng.random_range(0..ENTRIES);
            self.entries[entry] = CrashTracker::default();
            self.requests.retain(|request| request.entry != entry);
            self.proofs.retain(|proof| proof.entry != entry);
            self.linked_at[entry] = step + RELINK_STEPS;
        }
        if self.happens(self.faults.leader_restart_interval) {
            self.leader = CrashTracker::default();
            self.linked_at = [step + RELINK_STEPS; ENTRIES];
        }
        if self.happens(self.faults.link_break_interval) {
            let entry = self.rng.random_range(0..ENTRIES);
            self.linked_at[entry] = step + RELINK_STEPS;
        }
        if self.happens(self.faults.runner_loss_interval) {
            let runner = self.rng.random_range(0..self.faults.runners);
            self.lose_runner(step, runner);
        }
        for entry in 0..ENTRIES {
            if self.linked_at[entry] == step && step > 0 {
                self.resync(step, entry);
            }
        }
    }

    /// Sends all that both ends of a new link know.
    fn resync(&mut self, step: u64, entry: usize) {
        let now = self.time(step);
        for note in self.entries[entry].to_notes(now) {
            self.post(step, None, note);
        }
        for note in self.leader.to_notes(now) {
            self.post(step, Some(entry), note);
        }
    }

    fn post(&mut self, step: u64, to: Option<usize>, note: CrashNote) {
        if self.mutation == Some(CrashMutation::TellsNobody) {
            return;
        }
        let delay = self.rng.random_range(1..=self.faults.note_delay);
        let due = step + delay;
        self.messages.push(Message { due, to, note });
    }

    fn deliver(&mut self, step: u64) {
        let now = self.time(step);
        let linked_at = self.linked_at;
        let (due, waiting): (Vec<Message>, Vec<Message>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.due <= step);
        self.messages = waiting;
        for message in due {
            match message.to {
                None => {
                    self.leader.merge(now, &message.note);
                }
                Some(entry) if linked_at[entry] <= step => {
                    self.entries[entry].merge(now, &message.note);
                }
                Some(_) => {}
            }
        }
    }

    fn prove(&mut self, step: u64) {
        let now = self.time(step);
        for proof in &self.proofs {
            if proof.due == step {
                self.entries[proof.entry].runner_lost(now, &proof.runner);
            }
        }
        self.proofs.retain(|proof| proof.due > step);
    }

    fn arrive(&mut self, step: u64) {
        let kind = match self.rng.random_range(0..DEADLY_INTERVAL) {
            0 => Kind::DeadlyContent,
            1 => Kind::DeadlyPart,
            _ => Kind::Sound,
        };
        self.content += 1;
        let content = match kind {
            Kind::DeadlyContent => DEADLY_CONTENT,
            _ => self.content,
        };
        let subject = 100 + self.rng.random_range(0..SUBJECTS);
        let parts = match kind {
            Kind::DeadlyPart => vec![COMMON_PART, subject, DEADLY_PART],
            _ => vec![COMMON_PART, subject],
        };
        let parts = match self.mutation {
            Some(CrashMutation::IgnoresParts) => Vec::new(),
            _ => parts,
        };
        let content = CrashSuspect::Request(Fingerprint(content));
        let parts = parts
            .into_iter()
            .map(|part| CrashSuspect::Part(PromptPart(part)));
        let request = Request {
            kind,
            entry: self.rng.random_range(0..ENTRIES),
            suspects: std::iter::once(content).chain(parts).collect(),
            send_at: step + self.rng.random_range(0..=self.faults.queue_time),
            sent_to: None,
        };
        if kind == Kind::Sound {
            self.report.sound += 1;
        }
        let now = self.time(step);
        let tracker = &mut self.entries[request.entry];
        tracker.record_arrival(&request.suspects);
        match tracker.blocked_by(now, &request.suspects) {
            Some(_) => self.refuse(&request),
            None => self.requests.push(request),
        }
    }

    fn refuse(&mut self, request: &Request) {
        if request.kind == Kind::Sound {
            self.report.refused += 1;
        }
    }

    fn send_due(&mut self, step: u64) {
        let now = self.time(step);
        let mut requests = std::mem::take(&mut self.requests);
        requests.retain_mut(|request| {
            if request.send_at != step || request.sent_to.is_some() {
                return true;
            }
            let checks = self.mutation != Some(CrashMutation::ChecksOnlyAtArrival);
            let tracker = &mut self.entries[request.entry];
            if checks && tracker.begin(now, &request.suspects, None).is_err() {
                self.refuse(request);
                return false;
            }
            let alive: Vec<usize> = (0..self.faults.runners)
                .filter(|runner| self.runners[*runner].back_at <= step)
                .collect();
            if alive.is_empty() {
                return false;
            }
            // An entry that has just begun or was cut off may not know yet.
            let is_linked = step >= self.linked_at[request.entry] + KNOWN_STEPS - RELINK_STEPS;
            if is_linked && request.kind == Kind::DeadlyContent && step > self.late_from[0] {
                self.report.late_content_sends += 1;
            }
            if is_linked && request.kind == Kind::DeadlyPart && step > self.late_from[1] {
                self.report.late_part_sends += 1;
            }
            request.sent_to = Some(alive[self.rng.random_range(0..alive.len())]);
            true
        });
        self.requests = requests;
    }

    fn finish_due(&mut self, step: u64) {
        let deadly = self.requests.iter().position(|request| {
            request.kind != Kind::Sound
                && request.sent_to.is_some()
                && step >= request.send_at + CRASH_STEPS
        });
        if let Some(request) = deadly.map(|index| self.requests[index].clone())
            && let Some(runner) = request.sent_to
        {
            let late_from = step + KNOWN_STEPS;
            if request.kind == Kind::DeadlyContent {
                self.report.content_crashes += 1;
                if self.report.content_crashes == 3 {
                    self.late_from[0] = late_from;
                }
            } else {
                self.report.part_crashes += 1;
                if self.report.part_crashes == 5 {
                    self.late_from[1] = late_from;
                }
            }
            self.lose_runner(step, runner);
        }
        let now = self.time(step);
        let clears = self.mutation != Some(CrashMutation::ClearsNothing);
        let entries = &mut self.entries;
        self.requests.retain(|request| {
            let is_done = request.kind == Kind::Sound
                && request.sent_to.is_some()
                && step >= request.send_at + RESPONSE_STEPS;
            if is_done && clears {
                entries[request.entry].clear(now, &request.suspects);
            }
            !is_done
        });
    }

    /// Returns the current start of a runner as the list has it.
    fn start_of(&self, runner: usize) -> RunnerStart {
        let incarnation = self.runners[runner].incarnation;
        match self.faults.restart {
            Restart::NewId => format!("r{runner}-{incarnation}").as_str().into(),
            Restart::SameId => RunnerStart {
                unix_ms: Some(incarnation),
                ..format!("r{runner}").as_str().into()
            },
            Restart::Unlisted => RunnerStart {
                unix_ms: Some(0),
                ..format!("r{runner}").as_str().into()
            },
        }
    }

    /// Ends a runner with all that it executes.
    fn lose_runner(&mut self, step: u64, runner: usize) {
        let now = self.time(step);
        let start = self.start_of(runner);
        self.runners[runner].incarnation += 1;
        self.runners[runner].back_at = step + RESTART_STEPS;
        let is_unproven = self.rng.random_bool(self.faults.unproven);
        let due = match is_unproven {
            true => step + LISTED_STEPS,
            false => step + 1,
        };
        let entries = &mut self.entries;
        self.requests.retain(|request| {
            let is_broken = request.sent_to == Some(runner);
            if is_broken {
                let entry = &mut entries[request.entry];
                entry.record_broken_attempt(now, &request.suspects, start.clone());
            }
            !is_broken
        });
        for entry in 0..ENTRIES {
            let runner = start.clone();
            self.proofs.push(Proof { due, entry, runner });
        }
    }

    fn pass_on(&mut self, step: u64) {
        for entry in 0..ENTRIES {
            for note in self.entries[entry].take_notes() {
                if self.linked_at[entry] <= step {
                    self.post(step, None, note);
                }
            }
        }
        for note in self.leader.take_notes() {
            for entry in 0..ENTRIES {
                self.post(step, Some(entry), note.clone());
            }
        }
    }
}
