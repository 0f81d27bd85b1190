//! The client of the platform's object service.
//!
//! Published protocol in docs/PLATFORM.md: objects with versions, conditional
//! updates and watches over HTTP and JSON. Every call is counted and bounded
//! by a rate limit. A write without an answer is an error kind of its own: it
//! may have taken effect.

mod client;
mod rate;
mod wire;

pub use client::Object;
pub use client::PlatformClient;
pub use wire::InstanceWire;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// Nothing changed, or nothing was read.
    #[error("the platform does not answer ({0}); it is asked again")]
    Unavailable(String),
    /// The write may have taken effect, or may still.
    #[error("the platform gave no answer to a write ({0}); read the object back")]
    UnknownOutcome(String),
    /// The object has another version.
    #[error("the object changed meanwhile (version {version}); read it and decide again")]
    Conflict {
        /// The version that it has.
        version: u64,
    },
    /// The call is wrong.
    #[error("the platform refused the call ({0}); see docs/PLATFORM.md")]
    Refused(String),
    /// The answer cannot be read.
    #[error("the platform's answer cannot be read ({0}); see docs/PLATFORM.md")]
    Malformed(String),
}
