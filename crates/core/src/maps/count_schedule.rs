//! When a rank's counts of expert choices are read and reported.
//!
//! Engines count since their start, so a report is the difference of two readings. In a
//! small group each reading is reported. In a large one the ranks report in turn, and a
//! report covers only about the last pass, not all the time since the turn before: the
//! leader needs to know what is popular now.

use std::time::Duration;
use std::time::Instant;

/// Time that a report covers: about a pass.
const SPAN: Duration = Duration::from_millis(100);

/// What is to be done with a rank's counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountStep {
    /// Nothing yet.
    Wait,
    /// Read them, so that the next report covers the time from now on.
    Read,
    /// Read them, and report what has changed since the last reading.
    Report,
}

/// The turns of one rank.
#[derive(Clone, Copy, Debug)]
pub struct CountSchedule {
    interval: Duration,
    turn_at: Instant,
    has_base: bool,
}

impl CountSchedule {
    /// Returns a schedule that reports every reading.
    pub fn new(now: Instant) -> Self {
        Self {
            interval: SPAN,
            turn_at: now,
            has_base: false,
        }
    }

    /// Sets the time between two turns of a rank. The turns of the ranks of a group are
    /// spread evenly over that time.
    pub fn set_interval(&mut self, now: Instant, interval: Duration, rank: usize, size: usize) {
        if interval == self.interval {
            return;
        }
        let phase = rank as f64 / size.max(1) as f64;
        self.interval = interval;
        self.turn_at = now + interval.mul_f64(phase.min(1.0));
        self.has_base = false;
    }

    /// Returns what is to be done now.
    pub fn poll(&mut self, now: Instant) -> CountStep {
        let is_sparse = self.interval >= 2 * SPAN;
        if now >= self.turn_at {
            // Turns that were missed, as by a suspended process, are left out.
            self.turn_at = (self.turn_at + self.interval).max(now);
            let is_covered = self.has_base || !is_sparse;
            self.has_base = false;
            return match is_covered {
                true => CountStep::Report,
                false => CountStep::Wait,
            };
        }
        if is_sparse && !self.has_base && now + SPAN + SPAN / 2 >= self.turn_at {
            self.has_base = true;
            return CountStep::Read;
        }
        CountStep::Wait
    }
}
