//! Settings of one process: its name, place, addresses and files.
//!
//! Everything that operators would turn while the system runs is in tickets,
//! not here.

mod wire;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use wisteriawick_core::fleet::KeyHash;
use wisteriawick_core::ids::PlaceId;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::ServiceId;

use crate::error::Error;
use crate::error::Result;
use crate::settings::wire::SettingsWire;

/// What the process does, with the settings of that role.
#[derive(Clone, Debug, PartialEq)]
pub enum RoleSettings {
    /// It takes requests from callers.
    Entry(EntrySettings),
    /// It stands beside an endpoint.
    Agent(AgentSettings),
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Where callers connect.
    pub http_address: SocketAddr,
    /// Where operators connect.
    pub ops_address: SocketAddr,
    /// Hashes of the operators' tokens.
    pub ops_token_hashes: Vec<KeyHash>,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// The service that the endpoint belongs to.
    pub service: ServiceId,
    /// The endpoint, on the same machine.
    pub endpoint_address: SocketAddr,
}

/// Settings of the platform client.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Address of the object service.
    pub address: SocketAddr,
    /// Longest wait for an answer.
    pub timeout: Duration,
    /// Bound on this process's calls a second.
    pub max_calls_per_s: u32,
    /// Time between two looks at the instance list.
    pub list_interval: Duration,
}

/// Files with keys and certificates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// Certificates of the authority that signs all processes.
    pub ca_file: PathBuf,
    /// This process's certificate chain.
    pub cert_file: PathBuf,
    /// This process's private key.
    pub key_file: PathBuf,
}

/// How log lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The process's name; unique in the fleet and in its certificate.
    pub name: ProcessId,
    /// The data centre it runs in.
    pub place: PlaceId,
    /// Where other processes connect.
    pub link_address: SocketAddr,
    /// The platform client.
    pub platform: PlatformSettings,
    /// Keys and certificates.
    pub tls: TlsSettings,
    /// How log lines look.
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// The role.
    pub role: RoleSettings,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Names the file, the line, the key and the remedy.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(Error::file(path))?;
        Self::parse(path, &text)
    }

    /// Reads settings from the text of a file.
    ///
    /// # Errors
    ///
    /// Names the file, the line, the key and the remedy.
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

    fn message(text: &str) -> String {
        Settings::parse(Path::new("entry.toml"), text)
            .expect_err("the text is wrong")
            .to_string()
    }

    #[test]
    fn a_whole_file_is_taken() {
        let settings = Settings::parse(Path::new("entry.toml"), ENTRY).expect("valid");
        assert!(matches!(settings.role, RoleSettings::Entry(_)));
    }

    #[test]
    fn an_unknown_key_is_named_with_file_and_line() {
        let message = message(&ENTRY.replace("ca_file", "ca_flie"));
        assert!(message.contains("entry.toml"), "{message}");
        assert!(message.contains("ca_flie"), "{message}");
        assert!(message.contains("line 10"), "{message}");
    }

    #[test]
    fn a_bad_value_names_key_and_remedy() {
        let message = message(&ENTRY.replace("127.0.0.1:8080", "nowhere"));
        assert!(message.contains("line 15"), "{message}");
        assert!(message.contains("entry.http_address"), "{message}");
        assert!(
            message.contains("state an IP number and a port"),
            "{message}"
        );
    }

    #[test]
    fn two_roles_are_refused() {
        let text =
            format!("{ENTRY}\n[agent]\nservice = \"s\"\nendpoint_address = \"127.0.0.1:1\"\n");
        assert!(message(&text).contains("state either [entry] or [agent]"));
    }
}
