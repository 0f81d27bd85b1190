//! What is known of one suspect under which runners crashed.

use std::time::Duration;
use std::time::Instant;

use crate::gateway::CrashNote;
use crate::gateway::CrashSuspect;
use crate::ids::RunnerId;

/// Number of crashed runners at which a suspect is blocked.
pub(crate) const CRASHES_BEFORE_BLOCK: usize = 2;
/// The same for a suspect that runners had executed before. Most of the runners that
/// crash were executing parts which many requests share.
const CRASHES_BEFORE_BLOCK_IF_SOUND: usize = 4;
/// Least time from the first to the last of the crashes that block such a suspect. Many
/// runners may be lost at one moment, with all that they were executing.
const MIN_SPAN_IF_SOUND: Duration = Duration::from_secs(2);
/// How long a suspect is blocked at first; each further crash multiplies the time.
const FIRST_BLOCK_TIME: Duration = Duration::from_secs(30);
/// The same for a suspect that runners had executed before.
const FIRST_BLOCK_TIME_IF_SOUND: Duration = Duration::from_secs(5);
const BLOCK_TIME_FACTOR: u32 = 4;
pub(crate) const MAX_BLOCK_TIME: Duration = Duration::from_secs(24 * 3600);
/// How long a suspect is remembered after its last crash or the end of its block.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of crashed runners kept for one suspect.
const MAX_RUNNERS: usize = 12;

/// The crashes that count against a suspect, and its block.
#[derive(Clone, Debug)]
pub(crate) struct CrashRecord {
    /// Distinct runners that crashed under requests that have it.
    pub(crate) runners: Vec<RunnerId>,
    pub(crate) blocked_until: Instant,
    /// Whether runners had executed requests that have it before these crashes.
    pub(crate) was_sound: bool,
    first_crash: Instant,
    last_crash: Instant,
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
            runners: Vec::new(),
            blocked_until: now,
            was_sound: false,
            first_crash: now,
            last_crash: now,
        }
    }

    pub(crate) fn strength(&self) -> Strength {
        Strength {
            is_fresh: !self.was_sound,
            crashes: self.runners.len(),
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
        match self.was_sound {
            true => {
                crashes >= CRASHES_BEFORE_BLOCK_IF_SOUND
                    && self.last_crash - self.first_crash >= MIN_SPAN_IF_SOUND
            }
            false => crashes >= CRASHES_BEFORE_BLOCK,
        }
    }

    /// Returns whether requests that have the suspect may be sent only to find out if
    /// they still crash runners.
    pub(crate) fn needs_trial(&self) -> bool {
        self.is_enough(self.runners.len())
    }

    pub(crate) fn is_outdated(&self, now: Instant) -> bool {
        now > self.blocked_until.max(self.last_crash) + RETENTION
    }

    /// Adds a runner that has crashed; returns whether it is new.
    pub(crate) fn add_runner(&mut self, now: Instant, runner: &RunnerId) -> bool {
        let is_new = self.runners.len() < MAX_RUNNERS && !self.runners.contains(runner);
        if is_new {
            self.runners.push(runner.clone());
            self.last_crash = now;
        }
        is_new
    }

    /// Returns how long the recorded crashes block the suspect.
    pub(crate) fn block_time(&self) -> Duration {
        let (threshold, first) = match self.was_sound {
            true => (CRASHES_BEFORE_BLOCK_IF_SOUND, FIRST_BLOCK_TIME_IF_SOUND),
            false => (CRASHES_BEFORE_BLOCK, FIRST_BLOCK_TIME),
        };
        let Some(further) = self.runners.len().checked_sub(threshold) else {
            return Duration::ZERO;
        };
        let factor = BLOCK_TIME_FACTOR.saturating_pow(further as u32);
        first.saturating_mul(factor).min(MAX_BLOCK_TIME)
    }

    pub(crate) fn to_note(&self, now: Instant, suspect: CrashSuspect) -> CrashNote {
        CrashNote::Crashed {
            suspect,
            runners: self.runners.clone(),
            blocked_for: self.blocked_until.saturating_duration_since(now),
            was_sound: self.was_sound,
        }
    }
}
