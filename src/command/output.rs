//! Lines on standard output.

use std::fmt::Arguments;
use std::io::Write;
use std::io::stdout;

/// Prints a line; ends the process quietly when nobody reads any more.
pub(crate) fn print_line(line: Arguments<'_>) {
    if writeln!(stdout(), "{line}").is_err() {
        std::process::exit(0);
    }
}
