//! `dev`: all roles and the stand-ins as tasks of one process on loopback.

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
use crate::command::dev::certs::Authority;
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

/// The operators' token in `dev`.
pub const DEV_OPERATOR_TOKEN: &str = "dev-operator";
/// Bytes a second that the weight store gives to one runner.
const WEIGHT_RATE: u64 = 2_000_000_000;
/// Time between two changes of which experts are popular.
const DRIFT_EVERY: Duration = Duration::from_secs(5);
/// Longest wait until everything is in force.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// The endpoint beside an agent.
#[derive(Clone, Debug)]
pub enum DevEndpoint {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Plain(PlainService),
}

/// An agent with its endpoint.
#[derive(Clone, Debug)]
pub struct DevRunner {
    /// The service that it belongs to.
    pub service: String,
    /// The agent.
    pub agent: Agent,
    /// The endpoint.
    pub endpoint: DevEndpoint,
}

/// A lock-step group of engines.
#[derive(Clone, Debug)]
pub struct DevGroup {
    /// Its runners, in order.
    pub runners: Vec<String>,
    /// What its engines do in common.
    pub lockstep: LockstepGroup,
}

/// Everything that runs.
#[derive(Debug)]
pub struct DevFleet {
    /// The sizes that were brought up.
    pub spec: FleetSpec,
    /// The platform stand-in.
    pub platform: Platform,
    /// Entries.
    pub entries: Vec<Entry>,
    /// Agents by name.
    pub runners: BTreeMap<String, DevRunner>,
    /// Lock-step groups of engines.
    pub groups: Vec<DevGroup>,
    /// Bookings that the plain services made.
    pub bookings: BookingLog,
    /// Where tickets, keys and the operators' token are kept while it runs.
    pub dir: PathBuf,
    instances: Vec<Instance>,
    authority: Authority,
    cx: CancellationToken,
}

impl DevFleet {
    /// Brings a fleet up; `dir` takes its files.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be written or a port cannot be had.
    pub async fn start(spec: FleetSpec, dir: &Path, cx: CancellationToken) -> Result<Self> {
        std::fs::create_dir_all(dir).map_err(Error::file(dir))?;
        let authority = Authority::new(dir)?;
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

    /// Has the fleet's tickets accepted and waits until all processes are ready.
    ///
    /// # Errors
    ///
    /// Fails when a ticket is refused or a process does not become ready.
    pub async fn apply_tickets(&self) -> Result<()> {
        let client = ticket::platform_client(self.platform.addr());
        let tickets = ticket::read_dir(&self.ticket_dir())?;
        let last = tickets.last().map_or(0, |t| t.number.0);
        ticket::submit(&client, tickets, "dev").await?;
        tokio::time::timeout(READY_WITHIN, self.wait_until_in_force(last))
            .await
            .map_err(|_| Error::Other("the fleet did not become ready; see the log".into()))
    }

    /// Waits until a ticket is in force in every process and every entry has
    /// a link to every runner.
    pub async fn wait_until_in_force(&self, ticket: u64) {
        let nodes = self
            .entries
            .iter()
            .map(|entry| &entry.node)
            .chain(self.runners.values().map(|runner| &runner.agent.node));
        for node in nodes {
            let mut changes = node.config.subscribe();
            // The sender lives as long as the node.
            let _ = changes.wait_for(|book| book.number().0 >= ticket).await;
        }
        for entry in &self.entries {
            entry.wait_for_linked_agents(self.runners.len()).await;
        }
    }

    /// Returns the directory of the fleet's tickets.
    pub fn ticket_dir(&self) -> PathBuf {
        self.dir.join("tickets")
    }

    /// Returns the layers and experts of the first groups.
    fn experts(&self) -> (usize, usize) {
        let mut groups = self.spec.services.iter().filter_map(|s| s.group.as_ref());
        groups.next().map_or((0, 1), |g| (g.layers, g.experts))
    }

    /// Returns the API key of a workspace.
    pub fn api_key(workspace: &str) -> String {
        format!("key-{workspace}")
    }

    /// Starts one more entry.
    ///
    /// # Errors
    ///
    /// Fails when its files cannot be written or a port cannot be had.
    pub async fn add_entry(&mut self, name: &str, place: &str) -> Result<()> {
        let role = RoleSettings::Entry(EntrySettings {
            http_address: loopback(self.entry_port(0)),
            ops_address: loopback(self.entry_port(1)),
            ops_token_hashes: vec![KeyHash::new(DEV_OPERATOR_TOKEN)],
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

    /// Issues a certificate for a process that is started elsewhere.
    ///
    /// # Errors
    ///
    /// Fails when its files cannot be written.
    pub fn issue_certificate(&self, name: &str) -> Result<TlsSettings> {
        self.authority.issue_certificate(&ProcessId::new(name))
    }

    /// Lists a process that was started elsewhere.
    pub fn add_instance(&mut self, instance: Instance) {
        self.instances.push(instance);
        self.publish_instances();
    }

    /// Replaces the address under which the platform lists a process.
    pub fn set_instance_address(&mut self, name: &str, address: SocketAddr) {
        for instance in &mut self.instances {
            if instance.name == name {
                instance.address = address.to_string();
            }
        }
        self.publish_instances();
    }

    /// Shows the present instances in the platform's list.
    pub fn publish_instances(&self) {
        self.platform.set_instances(self.instances.clone());
    }

    fn entry_port(&self, offset: u16) -> u16 {
        match self.spec.first_port {
            0 => 0,
            first => first + 2 * self.entries.len() as u16 + offset,
        }
    }

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

    /// Starts the lock-step groups of a service's engines.
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
                weight_bytes_per_s: WEIGHT_RATE,
                // Of the two kinds of engine, one in two refuses old terms.
                checks_fencing: index % 2 == 0,
            };
            let lockstep = LockstepGroup::start(config, self.cx.child_token());
            self.groups.push(DevGroup { runners, lockstep });
        }
    }

    fn membership_of(&self, name: &str) -> Option<(LockstepGroup, usize)> {
        self.groups.iter().find_map(|group| {
            let index = group.runners.iter().position(|runner| runner == name)?;
            Some((group.lockstep.clone(), index))
        })
    }

    async fn start_endpoint(&self, name: &str, spec: &ServiceSpec) -> Result<DevEndpoint> {
        let cx = self.cx.child_token();
        let started = if spec.is_model() {
            let group = self.membership_of(name);
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

    fn settings(&self, name: &str, place: &str, role: RoleSettings) -> Result<Settings> {
        let process = ProcessId::new(name);
        let tls: TlsSettings = self.authority.issue_certificate(&process)?;
        Ok(Settings {
            name: process,
            place: PlaceId::new(place),
            link_address: loopback(0),
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

/// Runs `dev` until it is told to stop.
///
/// # Errors
///
/// Fails when the sizes cannot be read or the fleet cannot be brought up.
pub async fn run(config: &Path) -> Result<()> {
    logging::init("dev", LogFormat::Text, log::LevelFilter::Warn)?;
    let spec = FleetSpec::read(config)?;
    let dir = std::env::temp_dir().join(format!("wisteriawick-dev-{}", std::process::id()));
    let cx = CancellationToken::new();
    let fleet = DevFleet::start(spec, &dir, cx.clone()).await?;
    fleet.apply_tickets().await?;
    print_usage(&fleet);
    for (index, group) in fleet.groups.iter().enumerate() {
        let experts = fleet.experts();
        tokio::spawn(drift(group.lockstep.clone(), index, experts, cx.clone()));
    }
    wait_for_stop_signal().await?;
    for entry in &fleet.entries {
        entry.shut_down().await;
    }
    cx.cancel();
    std::fs::remove_dir_all(&dir).map_err(Error::file(&dir))
}

/// Lets the popularity of experts wander, as it does with the hour.
async fn drift(
    group: LockstepGroup,
    index: usize,
    (layers, experts): (usize, usize),
    cx: CancellationToken,
) {
    let mut round = 0usize;
    loop {
        let popularity = (0..layers)
            .map(|layer| {
                let hot = (round / 4 + layer * 7 + index * 11) % experts;
                let share = |expert| if expert == hot { 8.0 } else { 1.0 };
                (0..experts).map(share).collect()
            })
            .collect();
        group.set_popularity(popularity);
        round += 1;
        tokio::select! {
            () = tokio::time::sleep(DRIFT_EVERY) => {}
            () = cx.cancelled() => return,
        }
    }
}

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
