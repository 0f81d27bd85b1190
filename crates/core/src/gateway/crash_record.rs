//! What is known of one suspect under which runners crashed.

use std::time::Duration;
use std::time::Instant;

use crate::gateway::CrashNote;
use crate::gateway::CrashSuspect;
use crate::gateway::RunnerStart;
use crate::gateway::TrialNote;

/// Number of crashed runners at which a suspect is blocked.
pub(crate) const CRASHES_BEFORE_BLOCK: usize = 2;
/// The same for a trusted suspect, one that runners had executed before. Most runners that
/// crash are executing such parts.
const CRASHES_BEFORE_BLOCK_IF_TRUSTED: usize = 4;
/// Number of moments at which these must have crashed. Many runners may be lost at one
/// moment, with all that they were executing.
const MOMENTS_BEFORE_BLOCK_IF_TRUSTED: u32 = 3;
/// Least time between two moments.
const MOMENT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a suspect is blocked at first; each further crash multiplies the time.
const FIRST_BLOCK_TIME: Duration = Duration::from_secs(30);
/// The same for a trusted suspect.
const FIRST_BLOCK_TIME_IF_TRUSTED: Duration = Duration::from_secs(5);
const BLOCK_TIME_FACTOR: u32 = 4;
/// How long a suspect that nearly all requests have is blocked at first, and by what each
/// further crash multiplies the time. Nothing else shows whether it is sound.
const FIRST_BLOCK_TIME_IF_COMMON: Duration = Duration::from_secs(1);
const BLOCK_TIME_FACTOR_IF_COMMON: u32 = 2;
pub(crate) const MAX_BLOCK_TIME: Duration = Duration::from_secs(24 * 3600);
/// How long a suspect whose block is over is held back after one attempt, so that its
/// result is known before the next.
pub(crate) const TRIAL_TIME: Duration = Duration::from_secs(5);
/// How long a suspect is remembered after its last crash or the end of its block.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of crashed runners kept for one suspect.
const MAX_RUNNERS: usize = 12;
/// Longest time after a crash in which connections to the runner break because of it. A
/// silent peer is detected within three seconds.
const BREAK_TIME: Duration = Duration::from_secs(4);

/// The crashes that count against a suspect, and its block.
#[derive(Clone, Debug)]
pub(crate) struct CrashRecord {
    /// How often the suspect has been cleared.
    pub(crate) generation: u32,
    /// Starts of runners that crashed since then under requests that have it.
    pub(crate) runners: Vec<RunnerStart>,
    /// Crashes beyond one for each of these: of a runner whose restart is not known yet, or
    /// of one that is not kept. As far as any process has seen.
    pub(crate) further: u32,
    /// When a crash was last counted.
    last_crash: Instant,
    pub(crate) blocked_until: Instant,
    /// Whether runners have executed requests that have it.
    pub(crate) is_trusted: bool,
    /// Number of moments at which the runners crashed, as far as any process has seen.
    pub(crate) moments: u32,
    /// When the last of these began here.
    moment_began: Instant,
    last_change: Instant,
    /// The request that is sent to find out whether this suspect or another one is the
    /// reason of the crashes that they share.
    pub(crate) announced: Option<AnnouncedTrial>,
}

/// A trial that all entries know of before it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AnnouncedTrial {
    /// As [`TrialNote::id`].
    pub(crate) id: u64,
    /// When it no longer holds back others.
    pub(crate) until: Instant,
}

/// How well a suspect explains crashes; the greater explains those that two share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Strength {
    is_fresh: bool,
    crashes: usize,
}

impl Strength {
    /// Returns whether the suspect is taken for the reason of its crashes.
    pub(crate) fn is_culprit(self) -> bool {
        self.is_fresh && self.crashes >= CRASHES_BEFORE_BLOCK
    }
}

impl CrashRecord {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            generation: 0,
            runners: Vec::new(),
            further: 0,
            last_crash: now,
            blocked_until: now,
            is_trusted: false,
            moments: 0,
            moment_began: now,
            last_change: now,
            announced: None,
        }
    }

    /// Returns how many crashes count against the suspect.
    pub(crate) fn crashes(&self) -> usize {
        self.runners.len() + self.further as usize
    }

    pub(crate) fn strength(&self) -> Strength {
        Strength {
            is_fresh: !self.is_trusted,
            crashes: self.crashes(),
        }
    }

    /// Returns whether the same crashes count against another suspect, and as much.
    pub(crate) fn has_same_crashes(&self, other: &Self) -> bool {
        self.strength() == other.strength()
            && self
                .runners
                .iter()
                .all(|runner| other.runners.contains(runner))
    }

    /// Returns whether this many crashes, of those recorded, suffice for a block.
    pub(crate) fn is_enough(&self, crashes: usize) -> bool {
        match self.is_trusted {
            true => {
                crashes >= CRASHES_BEFORE_BLOCK_IF_TRUSTED
                    && self.moments >= MOMENTS_BEFORE_BLOCK_IF_TRUSTED
            }
            false => crashes >= CRASHES_BEFORE_BLOCK,
        }
    }

    /// Returns whether requests that have the suspect may be sent only to find out if
    /// they still crash runners.
    pub(crate) fn needs_trial(&self) -> bool {
        self.is_enough(self.crashes())
    }

    pub(crate) fn is_outdated(&self, now: Instant) -> bool {
        now > self.blocked_until.max(self.last_change) + RETENTION
    }

    /// Counts a crash under an attempt that broke at `broken_at`; returns whether it is
    /// new.
    ///
    /// The list of runners may lag behind a restart. An attempt that reached a runner long
    /// after its crash shows that it had started again.
    pub(crate) fn add_crash(
        &mut self,
        now: Instant,
        broken_at: Instant,
        runner: &RunnerStart,
    ) -> bool {
        let is_known = self.runners.contains(runner);
        if is_known && broken_at <= self.last_crash + BREAK_TIME {
            return false;
        }
        if is_known || self.runners.len() >= MAX_RUNNERS {
            self.further = self.further.saturating_add(1);
        } else {
            self.runners.push(runner.clone());
        }
        self.crash_counted(now);
        true
    }

    /// Takes over the crashes that another process has counted; returns whether that adds
    /// any.
    pub(crate) fn merge_crashes(&mut self, now: Instant, note: &CrashNote) -> bool {
        let known = self.crashes();
        for runner in &note.runners {
            if self.runners.len() < MAX_RUNNERS && !self.runners.contains(runner) {
                self.runners.push(runner.clone());
            }
        }
        self.further = self.further.max(note.further);
        let is_new = self.crashes() > known;
        if is_new {
            self.crash_counted(now);
        }
        is_new
    }

    fn crash_counted(&mut self, now: Instant) {
        self.last_crash = now;
        self.last_change = now;
        self.announced = None;
    }

    /// Counts the moment of a crash that this process has seen, unless it is the last one.
    pub(crate) fn count_moment(&mut self, now: Instant) {
        if self.moments == 0 || now >= self.moment_began + MOMENT_INTERVAL {
            self.moments += 1;
            self.moment_began = now;
        }
    }

    /// Forgets the crashes of all generations before this one.
    pub(crate) fn clear(&mut self, now: Instant, generation: u32) {
        self.generation = generation;
        self.runners.clear();
        self.further = 0;
        self.moments = 0;
        self.blocked_until = now;
        self.last_change = now;
        self.announced = None;
    }

    /// Returns how long the recorded crashes block the suspect.
    pub(crate) fn block_time(&self) -> Duration {
        let (threshold, first) = match self.is_trusted {
            true => (CRASHES_BEFORE_BLOCK_IF_TRUSTED, FIRST_BLOCK_TIME_IF_TRUSTED),
            false => (CRASHES_BEFORE_BLOCK, FIRST_BLOCK_TIME),
        };
        let Some(further) = self.crashes().checked_sub(threshold) else {
            return Duration::ZERO;
        };
        let factor = BLOCK_TIME_FACTOR.saturating_pow(further as u32);
        first.saturating_mul(factor).min(MAX_BLOCK_TIME)
    }

    /// Holds the suspect back while one request that has it is tried.
    pub(crate) fn begin_trial(&mut self, now: Instant) {
        self.blocked_until = self.blocked_until.max(now + TRIAL_TIME);
        self.last_change = now;
    }

    /// Announces a trial, unless one with a lower number is under way; returns whether that
    /// is new.
    pub(crate) fn announce(&mut self, now: Instant, trial: AnnouncedTrial) -> bool {
        let is_first = self
            .announced
            .is_none_or(|known| now >= known.until || trial.id < known.id);
        let is_new = now < trial.until && is_first;
        if is_new {
            self.announced = Some(trial);
        }
        is_new
    }

    /// Returns the end of a trial of another request that is under way.
    pub(crate) fn held_until(&self, now: Instant, own_id: u64) -> Option<Instant> {
        self.announced
            .filter(|trial| now < trial.until && trial.id != own_id)
            .map(|trial| trial.until)
    }

    /// Returns when one request may be tried if nearly all requests have the suspect.
    pub(crate) fn next_trial_if_common(&self) -> Instant {
        let further = self.crashes().saturating_sub(CRASHES_BEFORE_BLOCK);
        let factor = BLOCK_TIME_FACTOR_IF_COMMON.saturating_pow(further as u32);
        self.last_change + FIRST_BLOCK_TIME_IF_COMMON * factor
    }

    pub(crate) fn to_note(&self, now: Instant, suspect: CrashSuspect) -> CrashNote {
        CrashNote {
            suspect,
            generation: self.generation,
            moments: self.moments,
            runners: self.runners.clone(),
            further: self.further,
            blocked_for: self.blocked_until.saturating_duration_since(now),
            is_trusted: self.is_trusted,
            trial: self.announced.map(|trial| TrialNote {
                id: trial.id,
                remaining: trial.until.saturating_duration_since(now),
            }),
        }
    }
}
