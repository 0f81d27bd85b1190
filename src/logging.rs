//! Sets up the `log` crate's logger: `fern`, with lines as text or JSON.

use std::time::SystemTime;

use wisteriawick_core::time::unix_millis;

use crate::error::Error;
use crate::error::Result;
use crate::settings::LogFormat;

/// Installs a logger that writes to standard error; `process` appears in every
/// line.
///
/// # Errors
///
/// Fails if the process has a logger already.
pub fn init(process: &str, format: LogFormat, level: log::LevelFilter) -> Result<()> {
    let process = process.to_string();
    fern::Dispatch::new()
        .level(level)
        // Informational lines of these libraries are not about our state.
        .level_for("quinn", log::LevelFilter::Warn)
        .level_for("quinn_proto", log::LevelFilter::Error)
        .level_for("rustls", log::LevelFilter::Warn)
        .level_for("salvo_core", log::LevelFilter::Warn)
        .format(move |out, message, record| {
            let millis = unix_millis(SystemTime::now());
            match format {
                LogFormat::Text => out.finish(format_args!(
                    "{millis} {process} {} {message}",
                    record.level()
                )),
                LogFormat::Json => {
                    let line = serde_json::json!({
                        "millis": millis,
                        "process": process,
                        "level": record.level().as_str(),
                        "message": message.to_string(),
                    });
                    out.finish(format_args!("{line}"));
                }
            }
        })
        .chain(std::io::stderr())
        .apply()
        .map_err(|e| Error::Other(format!("logging: {e}; initialize it only once")))
}
