//! Identifiers, each a type of its own so that one cannot stand for another.

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

/// Defines an identifier that wraps a number which only grows.
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
    /// An endpoint that runs requests: one member of a service.
    RunnerId
);
name_id!(
    /// A set of interchangeable runners.
    ServiceId
);
name_id!(
    /// A customer whose requests are accounted together.
    WorkspaceId
);
name_id!(
    /// A group of ranks that run in lock-step on one expert map.
    GroupId
);
name_id!(
    /// A process of wisteriawick, by the name in its settings.
    ProcessId
);
number_id!(
    /// The number of a change ticket; tickets start at one and leave no gap.
    TicketNumber
);
number_id!(
    /// The number of an expert map of one group.
    MapNumber
);
number_id!(
    /// A step of a group's lock-step loop.
    StepNumber
);
number_id!(
    /// A fencing number: the holder with the highest term is the only valid one.
    Term
);
number_id!(
    /// Distinguishes one life of a process from the next under the same name.
    Incarnation
);

/// One try at running a request on one runner; never reused.
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

/// A hash of what a request asks for, equal when it is sent again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Hashes the parts of a request that make it the same request.
    pub fn new(workspace: &WorkspaceId, service: &ServiceId, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [workspace.as_str(), service.as_str(), path] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        let mut head = [0; 16];
        head.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(u128::from_le_bytes(head))
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
    fn fingerprint_separates_adjacent_parts() {
        let a = Fingerprint::new(&"ab".into(), &"c".into(), "/", b"");
        let b = Fingerprint::new(&"a".into(), &"bc".into(), "/", b"");
        assert_ne!(a, b);
    }
}
