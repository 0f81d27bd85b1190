//! Identifiers, each with its own type so that they cannot be confused.

use std::fmt;
use std::sync::Arc;

/// Defines an identifier that wraps a shared string.
macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name.
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// Returns the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.into())
            }
        }
    };
}

/// Defines an identifier that wraps an increasing number.
macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

name_id!(
    /// A data centre.
    PlaceId
);
name_id!(
    /// A runner: one endpoint that runs requests of a service.
    RunnerId
);
name_id!(
    /// A set of interchangeable runners.
    ServiceId
);
name_id!(
    /// A workspace: a customer, whose requests share one fair part of the capacity.
    WorkspaceId
);
name_id!(
    /// A group of ranks that run in lockstep with the same expert map.
    GroupId
);
name_id!(
    /// A process of wisteriawick, identified by the name in its settings.
    ProcessId
);
number_id!(
    /// The number of a change ticket; the numbers start at one and have no gaps.
    TicketNumber
);
number_id!(
    /// The number of an expert map within its group.
    MapNumber
);
number_id!(
    /// The number of a step of a group's lockstep loop.
    StepNumber
);
number_id!(
    /// A fencing number: only the owner with the highest term is valid.
    Term
);
number_id!(
    /// Distinguishes successive processes with the same name.
    Incarnation
);

/// One attempt to run a request on one runner; never reused.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u128);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// A part of a prompt, which requests share if they have the same identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPart(pub u64);

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// A hash of a request's contents, equal when a caller sends the same request again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Hashes the fields that identify a request as the same one.
    ///
    /// The lengths are hashed, too, so that adjacent fields cannot run together.
    pub fn new(workspace: &WorkspaceId, service: &ServiceId, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in [workspace.as_str(), service.as_str(), path] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(body);
        let mut first_bytes = [0; 16];
        first_bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(u128::from_le_bytes(first_bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

#[cfg(test)]
mod tests {
    use super::Fingerprint;

    #[test]
    fn fingerprint_distinguishes_where_one_field_ends_and_the_next_begins() {
        let a = Fingerprint::new(&"ab".into(), &"c".into(), "/", b"");
        let b = Fingerprint::new(&"a".into(), &"bc".into(), "/", b"");
        assert_ne!(a, b);
    }
}
