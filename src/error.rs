//! The one error type of this crate.

use std::path::Path;
use std::path::PathBuf;

use wisteriawick_core::ticket::HeadError;
use wisteriawick_core::ticket::TicketError;

use crate::platform::PlatformError;

/// A result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why something could not be done; each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("{}: {source}; check the path and its permissions", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// A settings file cannot be taken.
    #[error("{}: {message}", path.display())]
    Settings {
        /// The file.
        path: PathBuf,
        /// Line, key, problem and remedy.
        message: String,
    },
    /// A key or certificate cannot be taken.
    #[error("{}: {message}; replace the file", path.display())]
    Tls {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        message: String,
    },
    /// A port cannot be had.
    #[error("cannot listen on {address}: {message}; choose a free address in the settings")]
    Listen {
        /// The address.
        address: String,
        /// What the system says.
        message: String,
    },
    /// A link failed.
    #[error("link to {peer}: {message}; it is redialled")]
    Link {
        /// The process at the other end.
        peer: String,
        /// What happened.
        message: String,
    },
    /// The platform's object service failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A ticket is wrong.
    #[error(transparent)]
    Ticket(#[from] TicketError),
    /// A ticket is not accepted.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// An entry does not answer an operator.
    #[error("{url}: {message}; check the address and the token")]
    Operator {
        /// What was asked.
        url: String,
        /// What happened.
        message: String,
    },
    /// Something else.
    #[error("{0}")]
    Other(String),
}

impl Error {
    /// Returns a function that adds the path to an input or output error.
    pub(crate) fn file(path: &Path) -> impl FnOnce(std::io::Error) -> Self {
        let path = path.to_path_buf();
        move |source| Self::File { path, source }
    }
}
