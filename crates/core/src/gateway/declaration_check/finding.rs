//! What a check found.

use std::fmt;

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The declaration does what it says, but probably not what is meant.
    Warning,
    /// A part of the declaration can't work.
    Error,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Warning => "warning",
            Self::Error => "error",
        })
    }
}

/// A part of a declaration that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How much it matters.
    pub severity: Severity,
    /// The part, such as `route quotes`.
    pub place: String,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub remedy: &'static str,
}

impl Finding {
    pub(super) fn error(
        place: impl Into<String>,
        problem: impl Into<String>,
        remedy: &'static str,
    ) -> Self {
        Self {
            severity: Severity::Error,
            place: place.into(),
            problem: problem.into(),
            remedy,
        }
    }

    pub(super) fn warning(
        place: impl Into<String>,
        problem: impl Into<String>,
        remedy: &'static str,
    ) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(place, problem, remedy)
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            severity,
            place,
            problem,
            remedy,
        } = self;
        write!(f, "{severity}: {place}: {problem}; {remedy}")
    }
}
