//! `check`: validates settings, tickets and declarations without starting a process.

mod declaration;

use std::fs::File;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use crate::command::print_line;
use crate::command::ticket;
use crate::error::Error;
use crate::error::Result;
use crate::settings::RoleSettings;
use crate::settings::Settings;
use crate::tls::TlsIdentity;

/// Largest file that is checked, in bytes.
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
    let mut failure = None;
    for file in files {
        match check_one(file, options) {
            Ok(file_is_sound) => is_sound &= file_is_sound,
            Err(e) => {
                if let Some(earlier) = failure.replace(e) {
                    eprintln!("{earlier}");
                }
            }
        }
    }
    failure.map_or(Ok(is_sound), Err)
}

fn check_one(file: &Path, options: &CheckOptions) -> Result<bool> {
    if file.is_dir() {
        ticket::check(file)?;
        return Ok(true);
    }
    let text = read_bounded(file)?;
    if text.trim_start().starts_with(['{', '[']) {
        return declaration::check(file, &text, options);
    }
    check_settings(file)?;
    Ok(true)
}

/// Returns the text of a file, without a byte order mark.
fn read_bounded(file: &Path) -> Result<String> {
    let mut text = String::new();
    let opened = File::open(file).map_err(Error::file(file))?;
    let mut reader = opened.take(MAX_FILE_BYTES + 1);
    reader
        .read_to_string(&mut text)
        .map_err(Error::file(file))?;
    if text.len() as u64 > MAX_FILE_BYTES {
        let problem = format!("{}: check files of 16 MiB at most", file.display());
        return Err(Error::Other(problem));
    }
    Ok(text.trim_start_matches('\u{feff}').to_string())
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
