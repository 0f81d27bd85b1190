//! Finds what crashes runners, and blocks the requests that have it.
//!
//! Callers resend a request under a new identifier and to any entry, so it is
//! identified by a digest of path, caller and body. A part of a prompt may crash
//! runners too, whatever else the requests with it hold. Both are
//! [`CrashSuspect`]s of each crash, and what one entry sees is passed on to the others
//! as [`CrashNote`]s.
//!
//! An attempt whose connection broke is evidence only if its runner crashed: it
//! refuses connections, has restarted or is no longer listed. Until that is known,
//! two such attempts block their request for seconds. A suspect is blocked once two
//! runners have crashed under it, or one has twice, for a time that grows with each
//! further crash. A runner may start again under the same identifier, so its crashes
//! are told apart by its starts. Sound requests run beside those that crash a runner,
//! so the crash counts against a suspect only if no stronger one explains it. One that
//! runners had executed before needs more crashes, one that nearly all requests have is
//! tried again sooner, and a part that is always in the same requests as other suspects
//! blocks only those that have them all. If the same request crashed all runners, its
//! content explains as much as its parts; then one other request with the parts is
//! tried, and all processes hold back the rest until its result is known. A response
//! that is no server error clears all that its request has.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::collections::HashMap;
use crate::gateway::CrashNote;
use crate::gateway::CrashSuspect;
use crate::gateway::CrashTrial;
use crate::gateway::RunnerStart;
use crate::gateway::common_parts::CommonParts;
use crate::gateway::crash_record::AnnouncedTrial;
use crate::gateway::crash_record::CRASHES_BEFORE_BLOCK;
use crate::gateway::crash_record::CrashRecord;
use crate::gateway::crash_record::MAX_BLOCK_TIME;
use crate::gateway::crash_record::TRIAL_TIME;
use crate::gateway::crash_trial::trial_id;
use crate::gateway::sound_parts::SoundParts;

/// How long a broken attempt counts while it is not known whether its runner crashed.
const SUSPICION_TIME: Duration = Duration::from_secs(4);
/// How long a broken attempt waits for a proof that its runner crashed. The store
/// reports a lost runner within about four seconds.
const PROOF_TIMEOUT: Duration = Duration::from_secs(6);
/// How long attempts that break count against a runner that has crashed.
const CRASH_AFTERMATH: Duration = Duration::from_secs(2);
/// Time after which a request that waits for another one's trial should come again. Its
/// result is known within a second or two.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of suspects tracked.
const MAX_TRACKED_SUSPECTS: usize = 4096;
/// Maximum number of broken attempts that wait for a proof.
const MAX_BROKEN_ATTEMPTS: usize = 1024;
/// Difference between the ends of two blocks below which they count as the same.
const MIN_EXTENSION: Duration = Duration::from_millis(500);

/// The suspects of crashes.
#[derive(Debug, Default)]
pub struct CrashTracker {
    records: HashMap<CrashSuspect, CrashRecord>,
    /// Attempts that broke, oldest first, as long as it is not known whether their
    /// runners crashed.
    broken: VecDeque<BrokenAttempt>,
    /// Runners that crashed a moment ago.
    crashed: VecDeque<CrashedRunner>,
    sound: SoundParts,
    common: CommonParts,
    /// What other processes have not been told yet.
    notes: Vec<CrashNote>,
}

/// Whether a request has all that explains the same crashes as one of its suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rivals {
    /// It has.
    All,
    /// It has all parts, but another content than the request that crashed the runners.
    AllParts,
    /// It lacks a part.
    SomeParts,
}

/// An attempt whose connection broke while the runner had the request.
#[derive(Clone, Debug)]
struct BrokenAttempt {
    at: Instant,
    suspects: Vec<CrashSuspect>,
    runner: RunnerStart,
}

#[derive(Clone, Debug)]
struct CrashedRunner {
    at: Instant,
    runner: RunnerStart,
}

impl CrashTracker {
    /// Records that the connection broke while a runner executed a request that has
    /// these suspects. Returns whether the runner is known to have crashed.
    pub fn record_broken_attempt(
        &mut self,
        now: Instant,
        suspects: &[CrashSuspect],
        runner: RunnerStart,
    ) -> bool {
        self.drop_outdated(now);
        let mut crashed = self.crashed.iter().map(|crashed| &crashed.runner);
        if crashed.any(|crashed| crashed.may_be(&runner)) {
            for suspect in suspects {
                self.count_crash(now, now, *suspect, &runner);
            }
            return true;
        }
        if self.broken.len() >= MAX_BROKEN_ATTEMPTS {
            self.broken.pop_front();
        }
        self.broken.push_back(BrokenAttempt {
            at: now,
            suspects: suspects.to_vec(),
            runner,
        });
        false
    }

    /// Records that a runner crashed: it is no longer listed, has restarted or refuses
    /// connections. Returns the suspects against which this counts.
    pub fn runner_lost(&mut self, now: Instant, runner: &RunnerStart) -> Vec<CrashSuspect> {
        self.drop_outdated(now);
        self.crashed.push_back(CrashedRunner {
            at: now,
            runner: runner.clone(),
        });
        let mut broken = Vec::new();
        self.broken.retain(|attempt| {
            let is_proven = attempt.runner.may_be(runner);
            if is_proven {
                let suspects = attempt.suspects.iter();
                broken.extend(suspects.map(|suspect| (*suspect, attempt.at)));
            }
            !is_proven
        });
        // The last attempt of each suspect.
        broken.sort_unstable_by_key(|(suspect, at)| (*suspect, Reverse(*at)));
        broken.dedup_by_key(|(suspect, _)| *suspect);
        for (suspect, broken_at) in &broken {
            self.count_crash(now, *broken_at, *suspect, runner);
        }
        broken.into_iter().map(|(suspect, _)| suspect).collect()
    }

    /// Returns how many crashes count against a suspect.
    pub fn crashes(&self, suspect: CrashSuspect) -> usize {
        let record = self.records.get(&suspect);
        record.map_or(0, CrashRecord::crashes)
    }

    fn count_crash(
        &mut self,
        now: Instant,
        broken_at: Instant,
        suspect: CrashSuspect,
        runner: &RunnerStart,
    ) {
        let is_trusted = self.is_trusted(suspect);
        let record = self.record(now, suspect);
        record.is_trusted |= is_trusted;
        if !record.add_crash(now, broken_at, runner) {
            return;
        }
        record.count_moment(now);
        let until = now + record.block_time();
        record.blocked_until = record.blocked_until.max(until);
        let note = record.to_note(now, suspect);
        self.notes.push(note);
    }

    /// Returns whether runners have recently executed requests that have a suspect.
    fn is_trusted(&self, suspect: CrashSuspect) -> bool {
        match suspect {
            CrashSuspect::Request(_) => false,
            CrashSuspect::Part(part) => self.sound.contains(part),
        }
    }

    /// Records that a request with these suspects has arrived.
    pub fn record_arrival(&mut self, suspects: &[CrashSuspect]) {
        self.common.insert(suspects);
    }

    /// Returns the record of a suspect, after making room for it.
    fn record(&mut self, now: Instant, suspect: CrashSuspect) -> &mut CrashRecord {
        if !self.records.contains_key(&suspect) && self.records.len() >= MAX_TRACKED_SUSPECTS {
            self.make_room(now);
        }
        self.records
            .entry(suspect)
            .or_insert_with(|| CrashRecord::new(now))
    }

    /// Removes outdated records, or else the one with the fewest crashes.
    fn make_room(&mut self, now: Instant) {
        self.records.retain(|_, record| !record.is_outdated(now));
        while self.records.len() >= MAX_TRACKED_SUSPECTS {
            let weakest = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.crashes(), record.blocked_until))
                .map(|(suspect, _)| *suspect);
            let Some(weakest) = weakest else { return };
            self.records.remove(&weakest);
        }
    }

    fn drop_outdated(&mut self, now: Instant) {
        self.broken
            .retain(|attempt| now < attempt.at + PROOF_TIMEOUT);
        self.crashed
            .retain(|crashed| now < crashed.at + CRASH_AFTERMATH);
    }

    /// Clears all that a request has which a runner executed without crashing.
    pub fn clear(&mut self, now: Instant, suspects: &[CrashSuspect]) {
        for suspect in suspects {
            if let CrashSuspect::Part(part) = suspect {
                self.sound.insert(now, *part);
            }
            self.clear_one(now, *suspect);
        }
    }

    fn clear_one(&mut self, now: Instant, suspect: CrashSuspect) {
        if let CrashSuspect::Request(_) = suspect {
            self.broken
                .retain(|attempt| !attempt.suspects.contains(&suspect));
        }
        let Some(record) = self.records.get_mut(&suspect) else {
            return;
        };
        if record.runners.is_empty() {
            return;
        }
        record.clear(now, record.generation + 1);
        record.is_trusted |= matches!(suspect, CrashSuspect::Part(_));
        let note = record.to_note(now, suspect);
        self.notes.push(note);
    }

    /// Returns which of the suspects of a request blocks it, and for how long; `None` if
    /// it may be sent to a runner.
    pub fn blocked_by(
        &self,
        now: Instant,
        suspects: &[CrashSuspect],
    ) -> Option<(CrashSuspect, Duration)> {
        let blocked_until = suspects.iter().filter_map(|suspect| {
            let may_try = self.is_only_suspect(*suspect, suspects);
            let until = self.blocked_until(now, *suspect, may_try)?;
            let until = match self.rivals(*suspect, suspects) {
                Rivals::All => Some(until),
                Rivals::AllParts => self.held_by_trial(now, *suspect, suspects),
                // It may be sent, which tells the reasons apart.
                Rivals::SomeParts => None,
            };
            Some((*suspect, until?))
        });
        blocked_until
            .max_by_key(|(_, until)| *until)
            .map(|(suspect, until)| (suspect, until - now))
    }

    /// Returns whether no crash counts against anything else that a request has.
    fn is_only_suspect(&self, suspect: CrashSuspect, suspects: &[CrashSuspect]) -> bool {
        let mut others = suspects.iter().filter(|other| **other != suspect);
        others.all(|other| {
            let record = self.records.get(other);
            record.is_none_or(|record| record.runners.is_empty())
        })
    }

    /// Returns until when a request that has the suspect must not be sent to a runner;
    /// `None` if it may be. `may_try` says whether the request would tell if a suspect
    /// that nearly all requests have is sound.
    fn blocked_until(&self, now: Instant, suspect: CrashSuspect, may_try: bool) -> Option<Instant> {
        let proven = self
            .records
            .get(&suspect)
            .filter(|record| now < record.blocked_until)
            .filter(|record| record.is_enough(self.unexplained_crashes(record)))
            .map(|record| match may_try && self.common.contains(suspect) {
                true => record.blocked_until.min(record.next_trial_if_common()),
                false => record.blocked_until,
            })
            .filter(|until| now < *until);
        proven.max(self.suspected_until(now, suspect))
    }

    /// Returns how much of what explains the same crashes as this suspect a request has.
    fn rivals(&self, suspect: CrashSuspect, suspects: &[CrashSuspect]) -> Rivals {
        let (CrashSuspect::Part(_), Some(record)) = (suspect, self.records.get(&suspect)) else {
            return Rivals::All;
        };
        let mut has = Rivals::All;
        for (rival, other) in &self.records {
            if suspects.contains(rival) || !other.has_same_crashes(record) {
                continue;
            }
            match rival {
                CrashSuspect::Part(_) => return Rivals::SomeParts,
                CrashSuspect::Request(_) => has = Rivals::AllParts,
            }
        }
        has
    }

    /// Returns until when a request should not come again since the trial of another one
    /// is under way.
    fn held_by_trial(
        &self,
        now: Instant,
        suspect: CrashSuspect,
        suspects: &[CrashSuspect],
    ) -> Option<Instant> {
        let record = self.records.get(&suspect)?;
        let until = record.held_until(now, trial_id(suspects))?;
        Some(until.min(now + MAX_TRIAL_WAIT))
    }

    /// Returns how many of a suspect's crashes no stronger suspect explains.
    fn unexplained_crashes(&self, record: &CrashRecord) -> usize {
        let strength = record.strength();
        let stronger: Vec<_> = self
            .records
            .iter()
            .filter(|(_, other)| other.strength() > strength && other.strength().is_culprit())
            // What nearly all requests have explains nothing.
            .filter(|(suspect, _)| !self.common.contains(**suspect))
            .map(|(_, other)| other)
            .collect();
        let unexplained = record
            .runners
            .iter()
            .filter(|runner| !stronger.iter().any(|other| other.runners.contains(runner)));
        // Nothing tells which crash of a runner a further one is, so nothing explains it.
        unexplained.count() + record.further as usize
    }

    /// Returns until when recent broken attempts of a request block it.
    fn suspected_until(&self, now: Instant, suspect: CrashSuspect) -> Option<Instant> {
        let CrashSuspect::Request(_) = suspect else {
            return None;
        };
        let mut suspicious = self.broken.iter().rev().filter(|attempt| {
            attempt.suspects.contains(&suspect) && now < attempt.at + SUSPICION_TIME
        });
        let needed = suspicious.nth(CRASHES_BEFORE_BLOCK - 1);
        needed.map(|attempt| attempt.at + SUSPICION_TIME)
    }

    /// Records that a request is about to be sent to a runner. `trial` is what this
    /// returned for the request before, so that a retry is not held back by the request's
    /// own trial.
    ///
    /// # Errors
    ///
    /// Returns what blocks the request and for how long, if it must not be sent.
    pub fn begin(
        &mut self,
        now: Instant,
        suspects: &[CrashSuspect],
        trial: Option<CrashTrial>,
    ) -> Result<Option<CrashTrial>, (CrashSuspect, Duration)> {
        let crashes = self.crash_count(suspects);
        if trial.is_some_and(|trial| trial.crashes == crashes) {
            return Ok(trial);
        }
        if let Some(blocked) = self.blocked_by(now, suspects) {
            return Err(blocked);
        }
        let id = trial_id(suspects);
        let mut begun = None;
        for suspect in suspects {
            let is_tried = self
                .records
                .get(suspect)
                .is_some_and(CrashRecord::needs_trial);
            let is_announced = is_tried && self.rivals(*suspect, suspects) == Rivals::AllParts;
            let Some(record) = self.records.get_mut(suspect).filter(|_| is_tried) else {
                continue;
            };
            record.begin_trial(now);
            let trial = begun.get_or_insert(CrashTrial {
                crashes,
                is_announced: false,
            });
            if is_announced {
                trial.is_announced = true;
                let until = now + TRIAL_TIME;
                record.announce(now, AnnouncedTrial { id, until });
            }
            let note = record.to_note(now, *suspect);
            self.notes.push(note);
        }
        Ok(begun)
    }

    /// Confirms an announced trial once the announcements of others have had the time to
    /// arrive.
    ///
    /// # Errors
    ///
    /// Returns what blocks the request and for how long, if another one is tried first or
    /// a runner crashed meanwhile.
    pub fn confirm(
        &self,
        now: Instant,
        suspects: &[CrashSuspect],
        trial: CrashTrial,
    ) -> Result<(), (CrashSuspect, Duration)> {
        if !trial.is_announced {
            return Ok(());
        }
        let has_crashed = self.crash_count(suspects) != trial.crashes;
        if has_crashed && let Some(blocked) = self.blocked_by(now, suspects) {
            return Err(blocked);
        }
        let held = suspects.iter().find_map(|suspect| {
            let until = self.held_by_trial(now, *suspect, suspects)?;
            Some((*suspect, until - now))
        });
        held.map_or(Ok(()), Err)
    }

    fn crash_count(&self, suspects: &[CrashSuspect]) -> usize {
        suspects.iter().map(|suspect| self.crashes(*suspect)).sum()
    }

    /// Takes over what another process knows; returns whether that was new. Notes that
    /// tell nothing new change nothing and are not passed on.
    pub fn merge(&mut self, now: Instant, note: &CrashNote) -> bool {
        let suspect = note.suspect;
        let until = now + note.blocked_for.min(MAX_BLOCK_TIME);
        let is_trusted = note.is_trusted || self.is_trusted(suspect);
        let record = self.record(now, suspect);
        if note.generation < record.generation {
            return false;
        }
        let mut is_news = is_trusted != note.is_trusted || is_trusted && !record.is_trusted;
        if note.generation > record.generation {
            record.clear(now, note.generation);
            is_news = true;
        }
        record.is_trusted |= is_trusted;
        let known = record.crashes();
        is_news |= record.merge_crashes(now, note);
        let crashes = record.crashes();
        let trial = note.trial.map(|trial| AnnouncedTrial {
            id: trial.id,
            until: now + trial.remaining.min(TRIAL_TIME),
        });
        is_news |= trial.is_some_and(|trial| record.announce(now, trial));
        is_news |= note.moments > record.moments;
        record.moments = record.moments.max(note.moments);
        is_news |= until > record.blocked_until + MIN_EXTENSION;
        if !is_news {
            return false;
        }
        record.blocked_until = record.blocked_until.max(until);
        if crashes > known.max(note.runners.len() + note.further as usize) {
            // Neither process had seen all of these crashes.
            let own = now + record.block_time();
            record.blocked_until = record.blocked_until.max(own);
        }
        let note = record.to_note(now, suspect);
        self.notes.push(note);
        true
    }

    /// Returns all that another process which begins must know.
    pub fn to_notes(&self, now: Instant) -> Vec<CrashNote> {
        let current = self
            .records
            .iter()
            .filter(|(_, record)| !record.is_outdated(now));
        current
            .map(|(suspect, record)| record.to_note(now, *suspect))
            .collect()
    }

    /// Takes the notes about changes since the last call.
    pub fn take_notes(&mut self) -> Vec<CrashNote> {
        std::mem::take(&mut self.notes)
    }

    /// Returns the number of suspects that are blocked.
    pub fn blocked_count(&self, now: Instant) -> usize {
        let blocked = self
            .records
            .values()
            .filter(|record| now < record.blocked_until)
            .filter(|record| record.is_enough(self.unexplained_crashes(record)));
        blocked.count()
    }
}
