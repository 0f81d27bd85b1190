//! What processes tell each other of what crashes runners.

use std::time::Duration;

use crate::gateway::CrashSuspect;
use crate::gateway::RunnerStart;

/// All that a process knows of one suspect.
///
/// Notes may be lost, repeated and reordered. What a process knows only grows by them: of
/// two generations the later one holds, and within one the runners add up. So notes that
/// are passed on come to an end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashNote {
    /// What the requests have in common under which runners crashed.
    pub suspect: CrashSuspect,
    /// How often the suspect has been cleared.
    pub generation: u32,
    /// The starts of runners that have crashed since; none if the suspect is cleared.
    pub runners: Vec<RunnerStart>,
    /// Number of crashes beyond one for each of these.
    pub further: u32,
    /// Number of moments at which they crashed.
    pub moments: u32,
    /// How much longer requests that have the suspect must not be sent to a runner; zero
    /// if they may.
    pub blocked_for: Duration,
    /// Whether runners have executed requests that have the suspect, so that more crashes
    /// are needed to block it.
    pub is_trusted: bool,
    /// The trial that holds back other requests which have the suspect, if there is one.
    pub trial: Option<TrialNote>,
}

/// A request that is sent to find out which of several suspects crashes runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialNote {
    /// Tells it from other requests; of two at the same time, the lower one is confirmed.
    pub id: u64,
    /// How much longer it holds back others.
    pub remaining: Duration,
}
