//! The settings file (TOML) and its conversion to [`Settings`].

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use wisteriawick_core::fleet::KeyHash;
use wisteriawick_core::hosting::Resources;
use wisteriawick_core::ids::PlaceId;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::ServiceId;

use crate::settings::AgentSettings;
use crate::settings::EntrySettings;
use crate::settings::LogFormat;
use crate::settings::PlatformSettings;
use crate::settings::RoleSettings;
use crate::settings::Settings;
use crate::settings::TlsSettings;

/// An invalid value in the settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}; {remedy}")]
pub(crate) struct FieldError {
    pub(crate) key: &'static str,
    problem: String,
    remedy: &'static str,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SettingsWire {
    name: String,
    place: String,
    link_address: String,
    #[serde(default = "default_shutdown_ms")]
    shutdown_ms: u64,
    platform: PlatformWire,
    tls: TlsWire,
    #[serde(default)]
    log: LogWire,
    entry: Option<EntryWire>,
    agent: Option<AgentWire>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlatformWire {
    address: String,
    #[serde(default = "default_timeout_ms")]
    timeout_ms: u64,
    #[serde(default = "default_max_calls_per_s")]
    max_calls_per_s: u32,
    #[serde(default = "default_list_every_ms")]
    list_every_ms: u64,
}

/// Shortest limit of a shutdown: it announces that it leaves, and answers all callers.
const MIN_SHUTDOWN_MS: u64 = 3_000;

/// Less than the 30 s after which supervisors commonly kill a process.
fn default_shutdown_ms() -> u64 {
    25_000
}

fn default_timeout_ms() -> u64 {
    1_000
}

fn default_max_calls_per_s() -> u32 {
    100
}

fn default_list_every_ms() -> u64 {
    2_000
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TlsWire {
    ca_file: PathBuf,
    cert_file: PathBuf,
    key_file: PathBuf,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct LogWire {
    #[serde(default)]
    format: LogFormatWire,
    #[serde(default)]
    level: LogLevelWire,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum LogFormatWire {
    #[default]
    Text,
    Json,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum LogLevelWire {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EntryWire {
    http_address: String,
    ops_address: String,
    ops_token_hashes: Vec<String>,
    /// Memory of the process, in megabytes.
    memory_mb: Option<u64>,
    /// Most descriptors that it may have open.
    max_descriptors: Option<u32>,
}

/// Least memory of an entry: one body of the largest size and the process itself.
const MIN_MEMORY_MB: u64 = 64;
/// Fewest descriptors of an entry: files, links and some callers.
const MIN_DESCRIPTORS: u32 = 256;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AgentWire {
    service: String,
    endpoint_address: String,
}

fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, FieldError> {
    text.parse().map_err(|_| FieldError {
        key,
        problem: format!("{text:?} is not an address"),
        remedy: "use an IP address and a port, such as 10.0.0.7:7001",
    })
}

impl TryFrom<SettingsWire> for Settings {
    type Error = FieldError;

    fn try_from(wire: SettingsWire) -> Result<Self, FieldError> {
        let role = parse_role(wire.entry, wire.agent)?;
        Ok(Self {
            name: ProcessId::new(wire.name),
            place: PlaceId::new(wire.place),
            link_address: parse_address("link_address", &wire.link_address)?,
            shutdown_limit: parse_shutdown_limit(wire.shutdown_ms)?,
            platform: PlatformSettings {
                address: parse_address("platform.address", &wire.platform.address)?,
                timeout: Duration::from_millis(wire.platform.timeout_ms.max(1)),
                max_calls_per_s: wire.platform.max_calls_per_s.max(1),
                list_interval: Duration::from_millis(wire.platform.list_every_ms.max(100)),
            },
            tls: TlsSettings {
                ca_file: wire.tls.ca_file,
                cert_file: wire.tls.cert_file,
                key_file: wire.tls.key_file,
            },
            log_format: match wire.log.format {
                LogFormatWire::Text => LogFormat::Text,
                LogFormatWire::Json => LogFormat::Json,
            },
            log_level: match wire.log.level {
                LogLevelWire::Error => log::LevelFilter::Error,
                LogLevelWire::Warn => log::LevelFilter::Warn,
                LogLevelWire::Info => log::LevelFilter::Info,
                LogLevelWire::Debug => log::LevelFilter::Debug,
            },
            role,
        })
    }
}

fn parse_shutdown_limit(ms: u64) -> Result<Duration, FieldError> {
    if ms < MIN_SHUTDOWN_MS {
        return Err(FieldError {
            key: "shutdown_ms",
            problem: format!("{ms} ms are too short to answer all callers"),
            remedy: "use 3000 or more, and less than the supervisor's grace period",
        });
    }
    Ok(Duration::from_millis(ms))
}

fn parse_role(
    entry: Option<EntryWire>,
    agent: Option<AgentWire>,
) -> Result<RoleSettings, FieldError> {
    match (entry, agent) {
        (Some(entry), None) => Ok(RoleSettings::Entry(EntrySettings {
            http_address: parse_address("entry.http_address", &entry.http_address)?,
            ops_address: parse_address("entry.ops_address", &entry.ops_address)?,
            ops_token_hashes: parse_token_hashes(&entry.ops_token_hashes)?,
            resources: parse_resources(&entry)?,
        })),
        (None, Some(agent)) => Ok(RoleSettings::Agent(AgentSettings {
            service: ServiceId::new(agent.service),
            endpoint_address: parse_address("agent.endpoint_address", &agent.endpoint_address)?,
        })),
        _ => Err(FieldError {
            key: "entry",
            problem: "either no role or two roles are set".into(),
            remedy: "add either [entry] or [agent]",
        }),
    }
}

fn parse_resources(entry: &EntryWire) -> Result<Resources, FieldError> {
    const BYTES_PER_MEGABYTE: u64 = 1_000_000;
    if let Some(megabytes) = entry.memory_mb
        && megabytes < MIN_MEMORY_MB
    {
        return Err(FieldError {
            key: "entry.memory_mb",
            problem: format!("{megabytes} MB are too few"),
            remedy: "use 64 or more, or leave it out for 512",
        });
    }
    if let Some(descriptors) = entry.max_descriptors
        && descriptors < MIN_DESCRIPTORS
    {
        return Err(FieldError {
            key: "entry.max_descriptors",
            problem: format!("{descriptors} descriptors are too few"),
            remedy: "use 256 or more, or leave it out for no bound",
        });
    }
    let memory = entry.memory_mb;
    Ok(Resources {
        memory_bytes: memory.map(|megabytes| megabytes.saturating_mul(BYTES_PER_MEGABYTE)),
        max_descriptors: entry.max_descriptors,
        cores: None,
    })
}

fn parse_token_hashes(texts: &[String]) -> Result<Vec<KeyHash>, FieldError> {
    texts
        .iter()
        .map(|hex| {
            KeyHash::try_from_hex(hex).ok_or_else(|| FieldError {
                key: "entry.ops_token_hashes",
                problem: format!("{hex:?} is not a BLAKE3 hash"),
                remedy: "print one with `wisteriawick ticket hash-key`",
            })
        })
        .collect()
}
