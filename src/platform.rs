//! Client of the platform's object service.
//!
//! The service stores versioned objects with conditional updates and watches, over
//! HTTP and JSON; docs/PLATFORM.md describes the protocol. All calls are counted and
//! limited in rate. A write without a response is a separate kind of error, because
//! it may have taken effect.

mod client;
mod rate;
mod wire;

pub use client::Object;
pub use client::PlatformClient;
pub use wire::InstanceWire;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The platform did not respond to a read, or responded to a call with a server
    /// error. Nothing was read or changed.
    #[error("the platform is unavailable ({0}); the call is retried")]
    Unavailable(String),
    /// The write may have taken effect, or may still.
    #[error("the platform did not respond to a write ({0}); read the object back")]
    UnknownOutcome(String),
    /// The object has another version than the write expected; nothing changed.
    #[error("the object was changed concurrently (version {version}); read it and decide again")]
    Conflict {
        /// The current version of the object.
        version: u64,
    },
    /// The platform refused the call as invalid; nothing changed.
    #[error("the platform refused the call ({0}); see docs/PLATFORM.md")]
    Refused(String),
    /// The response cannot be decoded.
    #[error("the platform's response cannot be decoded ({0}); see docs/PLATFORM.md")]
    Malformed(String),
}
