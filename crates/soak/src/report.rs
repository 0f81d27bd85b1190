//! What a run showed.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

/// Broken promises that are kept in words; more are only counted.
const MAX_STORED_VIOLATIONS: usize = 20;

/// What a run showed.
#[derive(Debug)]
pub struct SoakReport {
    started_at: Instant,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    violations: Vec<String>,
    violation_count: usize,
    faults: Vec<String>,
    outcomes: BTreeMap<&'static str, u64>,
}

impl SoakReport {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            inner: Mutex::default(),
        }
    }

    /// Records a broken promise.
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

    /// Records a fault that was played.
    pub(crate) fn record_fault(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        self.lock().faults.push(format!("{at:7.3} s  {text}"));
    }

    /// Counts what became of a request.
    pub(crate) fn count_outcome(&self, outcome: &'static str) {
        *self.lock().outcomes.entry(outcome).or_default() += 1;
    }

    /// Takes out what was recorded.
    pub(crate) fn take(&self) -> Self {
        Self {
            started_at: self.started_at,
            inner: Mutex::new(std::mem::take(&mut *self.lock())),
        }
    }

    /// Returns whether every promise was kept.
    pub fn passed(&self) -> bool {
        self.lock().violation_count == 0
    }

    /// Returns broken promises, with the time since the start.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Returns the faults that were played, with their times.
    pub fn faults(&self) -> Vec<String> {
        self.lock().faults.clone()
    }

    /// Returns how many requests had each outcome.
    pub fn outcomes(&self) -> Vec<(&'static str, u64)> {
        self.lock().outcomes.iter().map(|(k, v)| (*k, *v)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }
}
