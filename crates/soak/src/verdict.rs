//! What a run showed.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

/// Broken promises that are kept in words; more are only counted.
const KEPT: usize = 20;

/// What a run showed.
#[derive(Debug)]
pub struct Verdict {
    began: Instant,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    broken: Vec<String>,
    broken_count: usize,
    faults: Vec<String>,
    outcomes: BTreeMap<&'static str, u64>,
}

impl Verdict {
    pub(crate) fn new() -> Self {
        Self {
            began: Instant::now(),
            inner: Mutex::default(),
        }
    }

    /// Records a broken promise.
    pub(crate) fn broken(&self, what: impl Into<String>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut inner = self.lock();
        inner.broken_count += 1;
        if inner.broken.len() < KEPT {
            inner.broken.push(format!("{at:7.3} s  {}", what.into()));
        }
    }

    /// Records a fault that was played.
    pub(crate) fn fault(&self, what: &str) {
        let at = self.began.elapsed().as_secs_f64();
        self.lock().faults.push(format!("{at:7.3} s  {what}"));
    }

    /// Counts what became of a request.
    pub(crate) fn count(&self, outcome: &'static str) {
        *self.lock().outcomes.entry(outcome).or_default() += 1;
    }

    /// Takes out what was recorded.
    pub(crate) fn take(&self) -> Self {
        Self {
            began: self.began,
            inner: Mutex::new(std::mem::take(&mut *self.lock())),
        }
    }

    /// Returns whether every promise was kept.
    pub fn is_kept(&self) -> bool {
        self.lock().broken_count == 0
    }

    /// Returns broken promises, with the time since the start.
    pub fn broken_promises(&self) -> Vec<String> {
        self.lock().broken.clone()
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
