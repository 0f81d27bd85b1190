//! What may be the reason that a request crashes runners.

use std::fmt;

use crate::ids::Fingerprint;
use crate::ids::PromptPart;

/// Something that requests have in common and that may crash the runners executing them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CrashSuspect {
    /// The content of a whole request, which is the same each time it is sent.
    Request(Fingerprint),
    /// A part of a prompt, which requests of different content share.
    Part(PromptPart),
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => write!(f, "request {request}"),
            Self::Part(part) => write!(f, "part {part}"),
        }
    }
}
