//! What the three worlds have in common: counted steps with the faults put at
//! them, a store that is down or slow, and links that are silent for a time.

use std::time::Duration;
use std::time::Instant;

use crate::fault::Fault;
use crate::fault::FaultKind;
use crate::fault::LAST_FAULT_AT;
use crate::fault::SLOW_STORE_LATENCY;
use crate::fault::STORE_FAULT_DURATION;
use crate::fault::Step;
use crate::fault::StepClass;

/// Time of an answer when the store is well.
const STORE_LATENCY: Duration = Duration::from_millis(5);
/// A client's patience with the store.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a silenced link stays silent before another is dialled.
const LINK_SILENCE_DURATION: Duration = Duration::from_secs(1);

/// The steps of a run and the faults put at them.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    pub(crate) steps: Vec<Step>,
    faults: Vec<Fault>,
}

impl FaultInjector {
    pub(crate) fn new(faults: &[Fault]) -> Self {
        Self {
            steps: Vec::new(),
            faults: faults.to_vec(),
        }
    }

    /// Counts a step; returns the faults that strike at it.
    pub(crate) fn begin_step(&mut self, class: StepClass, at: Duration) -> Vec<FaultKind> {
        let index = self.steps.len();
        self.steps.push(Step { class, at });
        if at > LAST_FAULT_AT {
            return Vec::new();
        }
        let due = self.faults.iter();
        due.filter(|fault| fault.at_step == index && fault.kind.applies_to(class))
            .map(|fault| fault.kind)
            .collect()
    }
}

/// When the store is down or slow.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    down_until: Option<Instant>,
    slow_until: Option<Instant>,
}

impl StoreHealth {
    pub(crate) fn go_down(&mut self, now: Instant) {
        self.down_until = Some(now + STORE_FAULT_DURATION);
    }

    pub(crate) fn go_slow(&mut self, now: Instant) {
        self.slow_until = Some(now + STORE_FAULT_DURATION);
    }

    /// Returns how long an answer takes; `None` when there is none.
    pub(crate) fn response_delay(&self, now: Instant) -> Option<Duration> {
        let lasts = |until: Option<Instant>| until.is_some_and(|until| now < until);
        if lasts(self.down_until) {
            return None;
        }
        let slow = lasts(self.slow_until);
        Some(if slow {
            SLOW_STORE_LATENCY
        } else {
            STORE_LATENCY
        })
    }
}

/// Which ways between processes are silent.
#[derive(Debug, Default)]
pub(crate) struct LinkSilence {
    directions: Vec<(usize, usize, Instant)>,
}

impl LinkSilence {
    /// Silences one way, or both.
    pub(crate) fn start(&mut self, now: Instant, from: usize, to: usize, both: bool) {
        let until = now + LINK_SILENCE_DURATION;
        self.directions.push((from, to, until));
        if both {
            self.directions.push((to, from, until));
        }
    }

    pub(crate) fn is_silent(&self, now: Instant, from: usize, to: usize) -> bool {
        let mut directions = self.directions.iter();
        directions.any(|(a, b, until)| *a == from && *b == to && now < *until)
    }
}
