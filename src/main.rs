//! Entry point of the `wisteriawick` binary.

use std::process::ExitCode;

use wisteriawick::cli;

fn main() -> ExitCode {
    cli::run()
}
