//! The binary of wisteriawick.

use std::process::ExitCode;

use wisteriawick::cli;

fn main() -> ExitCode {
    cli::run()
}
