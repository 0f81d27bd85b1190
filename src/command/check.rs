//! `check`: validates the settings of a process without starting it.

use std::path::Path;

use crate::command::print_line;
use crate::error::Result;
use crate::settings::RoleSettings;
use crate::settings::Settings;
use crate::tls::TlsIdentity;

/// Validates a settings file and the key and certificate files that it names, and
/// prints the role and name of the process.
///
/// # Errors
///
/// Fails when a file cannot be read or is invalid. An error in the settings names
/// the file, the line, the key and the correction.
pub fn run(file: &Path) -> Result<()> {
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
