//! Output of the commands on standard output.

use std::fmt::Arguments;
use std::io::Write;
use std::io::stdout;

/// Prints a line. Exits with code 0 if standard output is closed, as it is after
/// `wisteriawick timeline | head`.
pub(crate) fn print_line(line: Arguments<'_>) {
    if writeln!(stdout(), "{line}").is_err() {
        std::process::exit(0);
    }
}
