//! `dev`: runs a whole fleet in one process on loopback addresses, to try out the
//! software without a cluster.
//!
//! Entries and agents run as tasks. Stand-ins replace the platform and the endpoints.
//! Integration tests and benchmarks start their fleets with [`DevFleet`] too.

mod certs;
mod spec;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use wisteriawick_core::fleet::KeyHash;
use wisteriawick_core::hosting::Resources;
use wisteriawick_core::ids::PlaceId;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::ServiceId;
use wisteriawick_core::time::SystemClock;
use wisteriawick_standins::engine::Engine;
use wisteriawick_standins::engine::EngineConfig;
use wisteriawick_standins::engine::LockstepConfig;
use wisteriawick_standins::engine::LockstepGroup;
use wisteriawick_standins::plain::BookingLog;
use wisteriawick_standins::plain::PlainService;
use wisteriawick_standins::platform::Instance;
use wisteriawick_standins::platform::Platform;

pub use spec::FleetSpec;
pub use spec::GroupSpec;
pub use spec::ServiceSpec;

use crate::agent::Agent;
use crate::command::dev::certs::CertificateAuthority;
use crate::command::print_line;
use crate::command::run::wait_for_stop_signal;
use crate::command::ticket;
use crate::entry::Entry;
use crate::error::Error;
use crate::error::Result;
use crate::logging;
use crate::settings::AgentSettings;
use crate::settings::EntrySettings;
use crate::settings::LogFormat;
use crate::settings::PlatformSettings;
use crate::settings::RoleSettings;
use crate::settings::Settings;
use crate::settings::TlsSettings;
use crate::telemetry;

/// The operators' token of a `dev` fleet.
pub const DEV_OPERATOR_TOKEN: &str = "dev-operator";
/// Rate at which the stand-in for the weight store sends expert weights to one runner.
const WEIGHT_BYTES_PER_S: u64 = 2_000_000_000;
/// Time between two updates of the experts' popularity; every fourth one changes it.
const POPULARITY_UPDATE_INTERVAL: Duration = Duration::from_secs(5);
/// Longest duration of the shutdown of a process.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(25);
/// Longest wait until the tickets are in force and all links are open.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// The stand-in for the endpoint beside an agent.
#[derive(Clone, Debug)]
pub enum DevEndpoint {
    /// A model engine.
    Engine(Engine),
    /// A plain HTTP service.
    Plain(PlainService),
}

/// An agent and its endpoint.
#[derive(Clone, Debug)]
pub struct DevRunner {
    /// Name of the service that the endpoint belongs to.
    pub service: String,
    /// The agent beside the endpoint.
    pub agent: Agent,
    /// The endpoint, a stand-in.
    pub endpoint: DevEndpoint,
}

/// A lockstep group of engines.
#[derive(Clone, Debug)]
pub struct DevGroup {
    /// Names of the runners in rank order.
    pub runners: Vec<String>,
    /// State that the stand-in engines of the group share.
    pub lockstep: LockstepGroup,
}

/// A running fleet with its stand-ins.
#[derive(Debug)]
pub struct DevFleet {
    /// The specification that the fleet was started from.
    pub spec: FleetSpec,
    /// Stand-in for the platform: its object store and its list of instances.
    pub platform: Platform,
    /// Entries in the order in which they were started.
    pub entries: Vec<Entry>,
    /// Agents with their endpoints, by name.
    pub runners: BTreeMap<String, DevRunner>,
    /// Lockstep groups of engines.
    pub groups: Vec<DevGroup>,
    /// Bookings that the plain services executed.
    pub bookings: BookingLog,
    /// Directory of the fleet's tickets, keys, certificates and operators' token.
    pub dir: PathBuf,
    /// Instances that the platform lists from the next `publish_instances` on.
    instances: Vec<Instance>,
    authority: CertificateAuthority,
    cx: CancellationToken,
}

impl DevFleet {
    /// Starts all processes of a fleet and writes its files to `dir`. Tickets are not
    /// applied yet; see [`DevFleet::apply_tickets`].
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be written or a port cannot be opened.
    pub async fn start(spec: FleetSpec, dir: &Path, cx: CancellationToken) -> Result<Self> {
        std::fs::create_dir_all(dir).map_err(Error::file(dir))?;
        let authority = CertificateAuthority::new(dir)?;
        let platform = Platform::start(0, cx.child_token())
            .await
            .map_err(|e| listen_error(&e))?;
        let mut fleet = Self {
            spec,
            platform,
            entries: Vec::new(),
            runners: BTreeMap::new(),
            groups: Vec::new(),
            bookings: BookingLog::default(),
            dir: dir.to_path_buf(),
            instances: Vec::new(),
            authority,
            cx,
        };
        fleet.write_files()?;
        fleet.start_runners().await?;
        fleet.start_entries().await?;
        fleet.publish_instances();
        Ok(fleet)
    }

    /// Submits the tickets in the fleet's directory and waits until they are in force
    /// in all processes.
    ///
    /// # Errors
    ///
    /// Fails when a ticket is refused or a process is not ready in time.
    pub async fn apply_tickets(&self) -> Result<()> {
        let client = ticket::platform_client(self.platform.addr());
        let tickets = ticket::read_dir(&self.ticket_dir())?;
        let last = tickets.last().map_or(0, |t| t.number.0);
        ticket::submit(&client, tickets, "dev").await?;
        tokio::time::timeout(READY_TIMEOUT, self.wait_until_in_force(last))
            .await
            .map_err(|_| Error::Other("the fleet did not become ready; see the log".into()))
    }

    /// Waits until a ticket is in force in every process and every entry has a link to
    /// the agent of every runner.
    pub async fn wait_until_in_force(&self, ticket: u64) {
        let nodes = self
            .entries
            .iter()
            .map(|entry| &entry.node)
            .chain(self.runners.values().map(|runner| &runner.agent.node));
        for node in nodes {
            let mut changes = node.config.subscribe();
            // Never an error: the node holds the sender.
            let _ = changes.wait_for(|config| config.number().0 >= ticket).await;
        }
        for entry in &self.entries {
            entry.wait_for_linked_agents(self.runners.len()).await;
        }
    }

    /// Returns the directory of the fleet's tickets.
    pub fn ticket_dir(&self) -> PathBuf {
        self.dir.join("tickets")
    }

    /// Returns the number of layers and of experts per layer in the groups of the first
    /// service that has groups.
    fn layers_and_experts(&self) -> (usize, usize) {
        let mut groups = self.spec.services.iter().filter_map(|s| s.group.as_ref());
        groups.next().map_or((0, 1), |g| (g.layers, g.experts))
    }

    /// Returns the API key of a workspace in a `dev` fleet.
    pub fn api_key(workspace: &str) -> String {
        format!("key-{workspace}")
    }

    /// Starts another entry. The platform lists it after the next
    /// [`DevFleet::publish_instances`].
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be written or a port cannot be opened.
    pub async fn add_entry(&mut self, name: &str, place: &str) -> Result<()> {
        let role = RoleSettings::Entry(EntrySettings {
            http_address: loopback(self.entry_port(0)),
            ops_address: loopback(self.entry_port(1)),
            ops_token_hashes: vec![KeyHash::new(DEV_OPERATOR_TOKEN)],
            resources: Resources::default(),
        });
        let settings = self.settings(name, place, role)?;
        let metrics = telemetry::init();
        let clock = Arc::new(SystemClock);
        let entry = Entry::start(&settings, clock, metrics, self.cx.child_token()).await?;
        self.instances.push(Instance {
            name: name.into(),
            role: "entry".into(),
            service: String::new(),
            place: place.into(),
            address: entry.link_address.to_string(),
            state: "live".into(),
        });
        self.entries.push(entry);
        Ok(())
    }

    /// Issues a certificate for a process that the caller starts outside this fleet.
    ///
    /// # Errors
    ///
    /// Fails when the key or certificate file cannot be written.
    pub fn issue_certificate(&self, name: &str) -> Result<TlsSettings> {
        self.authority.issue_certificate(&ProcessId::new(name))
    }

    /// Adds a process that the caller started to the platform's list of instances.
    pub fn add_instance(&mut self, instance: Instance) {
        self.instances.push(instance);
        self.publish_instances();
    }

    /// Replaces the address of a process in the platform's list of instances. Tests route
    /// links through a relay that injects faults in this way.
    pub fn set_instance_address(&mut self, name: &str, address: SocketAddr) {
        for instance in &mut self.instances {
            if instance.name == name {
                instance.address = address.to_string();
            }
        }
        self.publish_instances();
    }

    /// Updates the platform's list of instances to those of this fleet.
    pub fn publish_instances(&self) {
        self.platform.set_instances(self.instances.clone());
    }

    /// Returns a port for the next entry: at offset 0 for callers, at 1 for operators.
    fn entry_port(&self, offset: u16) -> u16 {
        match self.spec.first_port {
            0 => 0,
            first => first + 2 * self.entries.len() as u16 + offset,
        }
    }

    /// Writes the first ticket and the operators' token.
    fn write_files(&self) -> Result<()> {
        let tickets = self.ticket_dir();
        std::fs::create_dir_all(&tickets).map_err(Error::file(&tickets))?;
        let file = tickets.join("0001-fleet.toml");
        std::fs::write(&file, self.spec.to_ticket()).map_err(Error::file(&file))?;
        let token = self.dir.join("operator.token");
        std::fs::write(&token, DEV_OPERATOR_TOKEN).map_err(Error::file(&token))
    }

    async fn start_runners(&mut self) -> Result<()> {
        for service in self.spec.services.clone() {
            self.start_groups(&service);
            for index in 0..service.runners {
                let places = &self.spec.places;
                let place = places[index % places.len()].clone();
                let name = service.runner_name(index);
                self.start_runner(&name, &service, &place).await?;
            }
        }
        Ok(())
    }

    async fn start_runner(&mut self, name: &str, spec: &ServiceSpec, place: &str) -> Result<()> {
        let endpoint = self.start_endpoint(name, spec).await?;
        let endpoint_address = match &endpoint {
            DevEndpoint::Engine(engine) => engine.addr(),
            DevEndpoint::Plain(plain) => plain.addr(),
        };
        let role = RoleSettings::Agent(AgentSettings {
            service: ServiceId::new(spec.name.as_str()),
            endpoint_address,
        });
        let settings = self.settings(name, place, role)?;
        let agent = Agent::start(&settings, Arc::new(SystemClock), self.cx.child_token())?;
        self.instances.push(Instance {
            name: name.into(),
            role: "agent".into(),
            service: spec.name.clone(),
            place: place.into(),
            address: agent.link_address.to_string(),
            state: "live".into(),
        });
        let runner = DevRunner {
            service: spec.name.clone(),
            agent,
            endpoint,
        };
        self.runners.insert(name.into(), runner);
        Ok(())
    }

    /// Starts the lockstep groups of a service's engines.
    fn start_groups(&mut self, spec: &ServiceSpec) {
        let Some(group) = &spec.group else {
            return;
        };
        for (index, runners) in spec.group_runners().into_iter().enumerate() {
            let config = LockstepConfig {
                runners: group.runners,
                ranks_per_runner: group.ranks_per_runner,
                experts: group.experts,
                layers: group.layers,
                slots_per_rank: group.slots,
                step_time: Duration::from_millis(group.step_ms),
                expert_bytes: group.expert_bytes,
                weight_bytes_per_s: WEIGHT_BYTES_PER_S,
                // Some engines refuse orders with an outdated fencing number, others
                // don't: both kinds are present in a fleet with two groups.
                checks_fencing: index % 2 == 0,
            };
            let lockstep = LockstepGroup::start(config, self.cx.child_token());
            self.groups.push(DevGroup { runners, lockstep });
        }
    }

    /// Returns the lockstep group of a runner and the runner's index in it.
    fn group_and_index(&self, name: &str) -> Option<(LockstepGroup, usize)> {
        self.groups.iter().find_map(|group| {
            let index = group.runners.iter().position(|runner| runner == name)?;
            Some((group.lockstep.clone(), index))
        })
    }

    async fn start_endpoint(&self, name: &str, spec: &ServiceSpec) -> Result<DevEndpoint> {
        let cx = self.cx.child_token();
        let started = if spec.is_model() {
            let group = self.group_and_index(name);
            Engine::start(0, EngineConfig::default(), group, cx)
                .await
                .map(DevEndpoint::Engine)
        } else {
            PlainService::start(name.into(), 0, self.bookings.clone(), cx)
                .await
                .map(DevEndpoint::Plain)
        };
        started.map_err(|e| listen_error(&e))
    }

    async fn start_entries(&mut self) -> Result<()> {
        for index in 0..self.spec.entries {
            let places = &self.spec.places;
            let place = places[index % places.len()].clone();
            self.add_entry(&format!("entry-{}", index + 1), &place)
                .await?;
        }
        Ok(())
    }

    /// Returns the settings of a process, for which it issues a certificate.
    fn settings(&self, name: &str, place: &str, role: RoleSettings) -> Result<Settings> {
        let process = ProcessId::new(name);
        let tls: TlsSettings = self.authority.issue_certificate(&process)?;
        Ok(Settings {
            name: process,
            place: PlaceId::new(place),
            link_address: loopback(0),
            shutdown_limit: SHUTDOWN_LIMIT,
            platform: PlatformSettings {
                address: self.platform.addr(),
                timeout: Duration::from_millis(1_000),
                max_calls_per_s: 100,
                list_interval: Duration::from_millis(500),
            },
            tls,
            log_format: LogFormat::Text,
            log_level: log::LevelFilter::Info,
            role,
        })
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn listen_error(e: &std::io::Error) -> Error {
    Error::Listen {
        address: "127.0.0.1".into(),
        message: e.to_string(),
    }
}

/// Runs a `dev` fleet until SIGTERM or SIGINT and prints commands to try on it.
///
/// # Errors
///
/// Fails when the specification cannot be read or the fleet cannot be started.
pub async fn run(config: &Path) -> Result<()> {
    logging::init("dev", LogFormat::Text, log::LevelFilter::Warn)?;
    let spec = FleetSpec::read(config)?;
    let dir = std::env::temp_dir().join(format!("wisteriawick-dev-{}", std::process::id()));
    let cx = CancellationToken::new();
    let fleet = DevFleet::start(spec, &dir, cx.clone()).await?;
    fleet.apply_tickets().await?;
    print_usage(&fleet);
    for (index, group) in fleet.groups.iter().enumerate() {
        let dimensions = fleet.layers_and_experts();
        tokio::spawn(vary_popularity(
            group.lockstep.clone(),
            index,
            dimensions,
            cx.clone(),
        ));
    }
    wait_for_stop_signal().await?;
    for entry in &fleet.entries {
        entry.shut_down().await;
    }
    cx.cancel();
    std::fs::remove_dir_all(&dir).map_err(Error::file(&dir))
}

/// Changes over time which experts of a group are popular, as real load does over a
/// day. In each layer one expert is eight times as popular as the others; the next one
/// replaces it with every fourth update.
async fn vary_popularity(
    group: LockstepGroup,
    index: usize,
    (layers, experts): (usize, usize),
    cx: CancellationToken,
) {
    let mut round = 0usize;
    loop {
        let popularity = (0..layers)
            .map(|layer| {
                let popular = (round / 4 + layer * 7 + index * 11) % experts;
                let weight = |expert| if expert == popular { 8.0 } else { 1.0 };
                (0..experts).map(weight).collect()
            })
            .collect();
        group.set_popularity(popularity);
        round += 1;
        tokio::select! {
            () = tokio::time::sleep(POPULARITY_UPDATE_INTERVAL) => {}
            () = cx.cancelled() => return,
        }
    }
}

/// Prints the addresses of the fleet and commands to try on it.
fn print_usage(fleet: &DevFleet) {
    let entry = &fleet.entries[0];
    let (http, ops) = (entry.http_address, entry.ops_address);
    print_line(format_args!("platform   http://{}", fleet.platform.addr()));
    for entry in &fleet.entries {
        print_line(format_args!(
            "{:<10} callers http://{}  operators http://{}",
            entry.node.name, entry.http_address, entry.ops_address
        ));
    }
    print_line(format_args!("runners    {}", fleet.runners.len()));
    print_line(format_args!("files      {}", fleet.dir.display()));
    let workspace = &fleet.spec.workspaces[0].name;
    let key = DevFleet::api_key(workspace);
    print_line(format_args!("\nTry:\n"));
    for service in &fleet.spec.services {
        let name = &service.name;
        if service.is_model() {
            print_line(format_args!(
                "curl -N http://{http}/v1/chat/completions -H 'Authorization: Bearer {key}' \\\n  \
                 -d '{{\"model\":\"{name}\",\"stream\":true,\"max_tokens\":8,\
                 \"messages\":[{{\"role\":\"user\",\"content\":\"Summarise the survey\"}}]}}'\n"
            ));
        } else {
            print_line(format_args!(
                "curl -i http://{http}/{name}/bookings -H 'Authorization: Bearer {key}' \\\n  \
                 -H 'Idempotency-Key: van-17' -d '{{\"id\":\"van-17\"}}'\n"
            ));
            print_line(format_args!(
                "curl -i http://{http}/{name}/jobs/42 -H 'Authorization: Bearer {key}'\n"
            ));
            print_line(format_args!(
                "curl -i http://{http}/v1/calls/{name}/van-17 -H 'Authorization: Bearer {key}'\n"
            ));
        }
    }
    let token = fleet.dir.join("operator.token");
    print_line(format_args!(
        "wisteriawick status --entry http://{ops} --token-file {}",
        token.display()
    ));
    print_line(format_args!(
        "wisteriawick timeline --entry http://{ops} --token-file {}",
        token.display()
    ));
}
