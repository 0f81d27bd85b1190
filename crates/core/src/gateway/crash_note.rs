//! What processes tell each other of what crashes runners.
//!
//! A note states all that its sender knows of one suspect, so notes may be lost,
//! repeated and reordered: the next one makes up for it.

use std::time::Duration;

use crate::gateway::CrashSuspect;
use crate::ids::RunnerId;

/// A change in what is known of one suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashNote {
    /// Runners crashed under requests that have it.
    Crashed {
        /// What the requests have in common.
        suspect: CrashSuspect,
        /// The runners that crashed.
        runners: Vec<RunnerId>,
        /// How much longer requests that have it must not be sent to a runner; zero if
        /// they may.
        blocked_for: Duration,
        /// Whether runners had executed requests that have it before these crashes.
        was_sound: bool,
    },
    /// A runner executed a request that has it without crashing.
    Cleared {
        /// What the request has.
        suspect: CrashSuspect,
    },
}
