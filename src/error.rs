//! The error type of this crate.

use std::path::Path;
use std::path::PathBuf;

use wisteriawick_core::ticket::HeadError;
use wisteriawick_core::ticket::TicketError;

use crate::platform::PlatformError;

/// A result with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Why an operation failed; the message says what the operator can do.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read or written.
    #[error("{}: {source}; check the path and its permissions", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A settings file is invalid.
    #[error("{}: {message}", path.display())]
    Settings {
        /// Path of the file.
        path: PathBuf,
        /// Line, key, problem and remedy.
        message: String,
    },
    /// A key or certificate file is invalid.
    #[error("{}: {message}; replace the file", path.display())]
    Tls {
        /// Path of the file.
        path: PathBuf,
        /// Description of the problem.
        message: String,
    },
    /// A listening socket cannot be opened.
    #[error("cannot listen on {address}: {message}; choose a free address in the settings")]
    Listen {
        /// Address to listen on.
        address: String,
        /// Error of the operating system.
        message: String,
    },
    /// A link to another process failed.
    #[error("link to {peer}: {message}; it is dialed again")]
    Link {
        /// Process at the other end.
        peer: String,
        /// Description of the failure.
        message: String,
    },
    /// A call to the platform's object service failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A ticket is invalid.
    #[error(transparent)]
    Ticket(#[from] TicketError),
    /// A ticket was not accepted.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// A request to an entry's operator interface failed.
    #[error("{url}: {message}; check the address and the token")]
    Operator {
        /// Requested URL.
        url: String,
        /// Description of the failure.
        message: String,
    },
    /// Any other failure.
    #[error("{0}")]
    Other(String),
}

impl Error {
    /// Returns a function that adds the path of a file to an I/O error.
    pub(crate) fn file(path: &Path) -> impl FnOnce(std::io::Error) -> Self {
        let path = path.to_path_buf();
        move |source| Self::File { path, source }
    }
}
