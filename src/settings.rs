//! Settings of one process: its role, name, place, addresses and files.
//!
//! A process reads them at startup. Everything that operators change while the
//! system runs is in tickets instead; see [`wisteriawick_core::ticket`].

mod wire;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use wisteriawick_core::fleet::KeyHash;
use wisteriawick_core::hosting::Resources;
use wisteriawick_core::ids::PlaceId;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::ServiceId;

use crate::error::Error;
use crate::error::Result;
use crate::settings::wire::SettingsWire;

/// The role of the process, with its settings.
#[derive(Clone, Debug, PartialEq)]
pub enum RoleSettings {
    /// An entry, which accepts requests from callers.
    Entry(EntrySettings),
    /// An agent, which runs beside one endpoint and forwards requests to it.
    Agent(AgentSettings),
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Listen address for callers.
    pub http_address: SocketAddr,
    /// Listen address for operators.
    pub ops_address: SocketAddr,
    /// Hashes of the tokens that authenticate operators.
    pub ops_token_hashes: Vec<KeyHash>,
    /// What the machine gives to the process.
    pub resources: Resources,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// The service that the endpoint belongs to.
    pub service: ServiceId,
    /// Address of the endpoint, on the same machine.
    pub endpoint_address: SocketAddr,
}

/// Settings of the platform client.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Address of the platform's object service.
    pub address: SocketAddr,
    /// Longest wait for a response.
    pub timeout: Duration,
    /// Most calls per second of this process.
    pub max_calls_per_s: u32,
    /// Time between two reads of the instance list.
    pub list_interval: Duration,
}

/// Files with the keys and certificates for mutual TLS between processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// Certificates of the authority that signs the certificates of all processes.
    pub ca_file: PathBuf,
    /// This process's certificate chain.
    pub cert_file: PathBuf,
    /// This process's private key.
    pub key_file: PathBuf,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the process; unique in the fleet and stated in its certificate.
    pub name: ProcessId,
    /// The data centre that the process runs in.
    pub place: PlaceId,
    /// Listen address for other processes.
    pub link_address: SocketAddr,
    /// Longest duration of a graceful shutdown.
    pub shutdown_limit: Duration,
    /// Settings of the platform client.
    pub platform: PlatformSettings,
    /// Files with keys and certificates.
    pub tls: TlsSettings,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// The role of the process, with its settings.
    pub role: RoleSettings,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is invalid. The error names the file,
    /// the line, the key and the correction.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(Error::file(path))?;
        Self::parse(path, &text)
    }

    /// Parses settings from the text of a file.
    ///
    /// # Errors
    ///
    /// Fails when the text is invalid. The error names the file, the line, the key
    /// and the correction.
    pub fn parse(path: &Path, text: &str) -> Result<Self> {
        let error = |message: String| Error::Settings {
            path: path.to_path_buf(),
            message,
        };
        let wire: SettingsWire = toml::from_str(text).map_err(|e| {
            error(format!(
                "{}; correct the line shown",
                e.to_string().trim_end()
            ))
        })?;
        Self::try_from(wire).map_err(|problem| {
            let line = line_of(text, problem.key);
            error(format!("line {line}: {problem}"))
        })
    }
}

/// Returns the number of the first line that starts with the last part of `key`; 1
/// when there is none.
fn line_of(text: &str, key: &str) -> usize {
    let name = key.rsplit('.').next().unwrap_or(key);
    text.lines()
        .position(|line| line.trim_start().starts_with(name))
        .map_or(1, |index| index + 1)
}

#[cfg(test)]
mod tests {
    use std::path::Path;

    use super::RoleSettings;
    use super::Settings;

    const ENTRY: &str = r#"
name = "entry-1"
place = "caerdydd"
link_address = "127.0.0.1:7001"

[platform]
address = "127.0.0.1:9000"

[tls]
ca_file = "ca.pem"
cert_file = "entry-1.pem"
key_file = "entry-1.key"

[entry]
http_address = "127.0.0.1:8080"
ops_address = "127.0.0.1:8081"
ops_token_hashes = []
"#;

    fn error_message(text: &str) -> String {
        Settings::parse(Path::new("entry.toml"), text)
            .expect_err("the settings are invalid")
            .to_string()
    }

    #[test]
    fn a_complete_file_is_accepted() {
        let settings = Settings::parse(Path::new("entry.toml"), ENTRY).expect("valid");
        assert!(matches!(settings.role, RoleSettings::Entry(_)));
    }

    #[test]
    fn an_unknown_key_is_reported_with_file_and_line() {
        let message = error_message(&ENTRY.replace("ca_file", "ca_flie"));
        assert!(message.contains("entry.toml"), "{message}");
        assert!(message.contains("ca_flie"), "{message}");
        assert!(message.contains("line 10"), "{message}");
    }

    #[test]
    fn an_invalid_value_is_reported_with_line_key_and_correction() {
        let message = error_message(&ENTRY.replace("127.0.0.1:8080", "nowhere"));
        assert!(message.contains("line 15"), "{message}");
        assert!(message.contains("entry.http_address"), "{message}");
        assert!(
            message.contains("use an IP address and a port"),
            "{message}"
        );
    }

    #[test]
    fn a_file_with_two_roles_is_refused() {
        let text =
            format!("{ENTRY}\n[agent]\nservice = \"s\"\nendpoint_address = \"127.0.0.1:1\"\n");
        assert!(error_message(&text).contains("add either [entry] or [agent]"));
    }
}
