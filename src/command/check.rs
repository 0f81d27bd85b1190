//! `check`: validates settings, tickets and declarations without starting a process.

mod declaration;

use std::path::Path;
use std::path::PathBuf;

use crate::command::print_line;
use crate::command::ticket;
use crate::error::Error;
use crate::error::Result;
use crate::settings::RoleSettings;
use crate::settings::Settings;
use crate::tls::TlsIdentity;

/// Largest file that is checked, in bytes. The platform keeps less in one object.
const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// What to check against, and how to print it.
#[derive(Clone, Debug, Default)]
pub(crate) struct CheckOptions {
    /// The declaration in force.
    pub(crate) against: Option<PathBuf>,
    /// The settings file of a hosted entry.
    pub(crate) settings: Option<PathBuf>,
    /// Whether to print JSON.
    pub(crate) json: bool,
}

/// Checks files: declarations of hosted fleets (JSON), settings of a process (TOML), and
/// directories of tickets. Returns whether none of them has an error.
///
/// # Errors
///
/// Fails when a file cannot be read or is none of these; the error names the file.
pub(crate) fn run(files: &[PathBuf], options: &CheckOptions) -> Result<bool> {
    let mut is_sound = true;
    for file in files {
        if file.is_dir() {
            ticket::check(file)?;
            continue;
        }
        let text = read_bounded(file)?;
        if text.trim_start().starts_with('{') {
            is_sound &= declaration::check(file, &text, options)?;
        } else {
            check_settings(file)?;
        }
    }
    Ok(is_sound)
}

fn read_bounded(file: &Path) -> Result<String> {
    let bytes = std::fs::metadata(file).map_err(Error::file(file))?.len();
    if bytes > MAX_FILE_BYTES {
        let file = file.display();
        let problem = format!("{file}: {bytes} bytes; check files of 16 MiB at most");
        return Err(Error::Other(problem));
    }
    std::fs::read_to_string(file).map_err(Error::file(file))
}

/// Validates a settings file and the key and certificate files that it names, and
/// prints the role and name of the process.
///
/// # Errors
///
/// Fails when a file cannot be read or is invalid. An error in the settings names
/// the file, the line, the key and the correction.
fn check_settings(file: &Path) -> Result<()> {
    let settings = Settings::read(file)?;
    TlsIdentity::read(&settings.tls)?;
    let role = match settings.role {
        RoleSettings::Entry(_) => "an entry",
        RoleSettings::Agent(_) => "an agent",
    };
    print_line(format_args!(
        "{}: {role} named {}",
        file.display(),
        settings.name
    ));
    Ok(())
}
