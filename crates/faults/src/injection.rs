//! State of the injected faults that the simulations of requests, expert maps and
//! tickets share: the numbered steps with the faults at them, a store that is
//! down or slow, and links that lose messages for a time.

use std::time::Duration;
use std::time::Instant;

use crate::fault::Fault;
use crate::fault::FaultKind;
use crate::fault::LAST_FAULT_AT;
use crate::fault::SLOW_STORE_LATENCY;
use crate::fault::STORE_FAULT_DURATION;
use crate::fault::Step;
use crate::fault::StepClass;

/// Response time of the store without faults.
const STORE_LATENCY: Duration = Duration::from_millis(5);
/// Time after which a client of the store stops waiting for a response.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a link loses messages; then the processes have replaced it.
const LINK_SILENCE_DURATION: Duration = Duration::from_secs(1);

/// Numbers the steps of a run and selects the faults to inject at each.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    /// The steps so far.
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

    /// Records a step; returns the faults to inject at it.
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

/// Until when the store is down or slow.
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

    /// Returns how long a response takes; `None` while the store is down.
    pub(crate) fn response_delay(&self, now: Instant) -> Option<Duration> {
        let is_active = |until: Option<Instant>| until.is_some_and(|until| now < until);
        if is_active(self.down_until) {
            return None;
        }
        let slow = is_active(self.slow_until);
        Some(if slow {
            SLOW_STORE_LATENCY
        } else {
            STORE_LATENCY
        })
    }
}

/// Which directions between processes lose all messages, and until when.
#[derive(Debug, Default)]
pub(crate) struct LinkSilence {
    /// Sender, receiver and end of the silence.
    directions: Vec<(usize, usize, Instant)>,
}

impl LinkSilence {
    /// Loses messages from one process to another, and also back if `both`.
    pub(crate) fn start(&mut self, now: Instant, from: usize, to: usize, both: bool) {
        let until = now + LINK_SILENCE_DURATION;
        self.directions.push((from, to, until));
        if both {
            self.directions.push((to, from, until));
        }
    }

    /// Returns whether messages from one process to another are lost now.
    pub(crate) fn is_silent(&self, now: Instant, from: usize, to: usize) -> bool {
        let mut directions = self.directions.iter();
        directions.any(|(a, b, until)| *a == from && *b == to && now < *until)
    }
}
