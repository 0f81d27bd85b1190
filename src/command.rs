//! The subcommands of the command line, one module each.
//!
//! [`cli`](crate::cli) parses the arguments and calls them.

pub mod check;
#[cfg(feature = "dev")]
pub mod dev;
pub mod hosted;
mod operator;
mod output;
pub mod run;
mod signals;
pub mod status;
pub mod ticket;
pub mod timeline;

pub use operator::OperatorClient;
pub(crate) use output::print_line;
