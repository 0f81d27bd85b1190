//! `check`: reads a settings file and says what it holds.

use std::path::Path;

use crate::command::print_line;
use crate::error::Result;
use crate::settings::RoleSettings;
use crate::settings::Settings;
use crate::tls::TlsIdentity;

/// Checks a settings file and the key and certificates that it names.
///
/// # Errors
///
/// Names the file, the line, the key and the remedy.
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
