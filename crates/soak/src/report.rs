//! The report of a run: violated invariants, injected faults and request outcomes.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

/// Number of violations stored with their text; further ones are only counted.
const MAX_STORED_VIOLATIONS: usize = 20;

/// The report of one run of the soak test.
#[derive(Debug)]
pub struct SoakReport {
    started_at: Instant,
    inner: Mutex<Inner>,
}

/// The recorded data of a report.
#[derive(Debug, Default)]
struct Inner {
    violations: Vec<String>,
    /// Number of all violations, also those not stored.
    violation_count: usize,
    faults: Vec<String>,
    outcomes: BTreeMap<&'static str, u64>,
    peak_memory_kib: u64,
    longest_hold: Duration,
}

impl SoakReport {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            inner: Mutex::default(),
        }
    }

    /// Records a violated invariant.
    pub(crate) fn record_violation(&self, text: impl Into<String>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut inner = self.lock();
        inner.violation_count += 1;
        if inner.violations.len() < MAX_STORED_VIOLATIONS {
            inner
                .violations
                .push(format!("{at:7.3} s  {}", text.into()));
        }
    }

    /// Records an injected fault.
    pub(crate) fn record_fault(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        self.lock().faults.push(format!("{at:7.3} s  {text}"));
    }

    /// Counts a request with this outcome.
    pub(crate) fn count_outcome(&self, outcome: &'static str) {
        *self.lock().outcomes.entry(outcome).or_default() += 1;
    }

    /// Records the peak of resident memory of a process.
    pub(crate) fn record_peak_memory(&self, kib: u64) {
        let mut inner = self.lock();
        inner.peak_memory_kib = inner.peak_memory_kib.max(kib);
    }

    /// Records the longest time for which a pass of the group was held.
    pub(crate) fn record_longest_hold(&self, time: Duration) {
        self.lock().longest_hold = time;
    }

    /// Moves the recorded data to a new report and leaves this one empty.
    pub(crate) fn take(&self) -> Self {
        Self {
            started_at: self.started_at,
            inner: Mutex::new(std::mem::take(&mut *self.lock())),
        }
    }

    /// Returns whether no invariant was violated.
    pub fn passed(&self) -> bool {
        self.lock().violation_count == 0
    }

    /// Returns the stored violations, oldest first, each with its time since the start.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Returns the injected faults, each with its time since the start.
    pub fn faults(&self) -> Vec<String> {
        self.lock().faults.clone()
    }

    /// Returns the number of requests for each outcome.
    pub fn outcomes(&self) -> Vec<(&'static str, u64)> {
        self.lock().outcomes.iter().map(|(k, v)| (*k, *v)).collect()
    }

    /// Returns the highest peak of resident memory of a process, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        self.lock().peak_memory_kib
    }

    /// Returns the longest time for which a pass of the group was held.
    pub fn longest_hold(&self) -> Duration {
        self.lock().longest_hold
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }
}
