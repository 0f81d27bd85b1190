//! Soak test of agents: a group of stand-in engines whose agents are stopped, killed and
//! frozen while the group changes its maps.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio_util::sync::CancellationToken;
use wisteriawick_platform::SETTINGS_VARIABLE;
use wisteriawick_platform_standin::EngineDefect;
use wisteriawick_platform_standin::EngineGroup;
use wisteriawick_platform_standin::Store;
use wisteriawick_platform_standin::rank_addresses;
use wisteriawick_standins::address::own_address;

use crate::SoakReport;

/// Ranks of the group. The last agent gets no faults, so that a hold can be resolved.
const RANKS: u8 = 4;
/// Longest time for which a pass may be held. The agent of the last rank acts after 1.2 s
/// and may need a second attempt.
const MAX_HOLD: Duration = Duration::from_secs(3);
/// Time within which the group must change its map before the faults and after them.
const SWITCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which an agent must exit after `SIGTERM`: 2 s and 1 s of tolerance.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of one run of the soak test of agents.
#[derive(Clone, Copy, Debug)]
pub struct GroupSoak {
    /// Seed of the sequence of faults.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// A defect of the engines that the run must find.
    pub defect: Option<EngineDefect>,
}

/// An agent process.
pub(crate) struct Agent {
    command: Command,
    child: Child,
}

impl Agent {
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // Fails only if the process has just exited, which is no error here.
            let _ = kill_process(pid, signal);
        }
    }

    pub(crate) fn restart(&mut self) -> std::io::Result<()> {
        self.child = self.command.spawn()?;
        Ok(())
    }

    /// Waits until the process exits. Returns `false` if it has not in time.
    pub(crate) async fn wait_exit(&mut self) -> std::io::Result<bool> {
        let deadline = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < deadline {
            if self.child.try_wait()?.is_some() {
                return Ok(true);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(false)
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        // Fails if the process has exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl GroupSoak {
    /// Returns the settings of a run that injects faults for eight seconds.
    pub fn small(seed: u64) -> Self {
        Self {
            seed,
            duration: Duration::from_secs(8),
            defect: None,
        }
    }

    /// Runs the soak test with the program at `binary` and returns its report. Settings
    /// files and logs are written to `dir` and remain there.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written, a port cannot be bound or a process cannot be
    /// started.
    pub async fn run(&self, binary: &Path, dir: &Path) -> std::io::Result<SoakReport> {
        std::fs::create_dir_all(dir)?;
        let cx = CancellationToken::new();
        let _end = cx.clone().drop_guard();
        let engines = rank_addresses(RANKS, own_address().port());
        let group = EngineGroup::start(&engines, self.defect, cx.clone()).await?;
        let store = Store::start(cx).await?;
        store.write_configuration(group.configuration(2_000));
        for (name, spec) in group.servers() {
            store.write("servers", &name, spec);
        }
        let link_port = own_address().port();
        let mut agents = Vec::new();
        for (rank, engine) in engines.iter().enumerate() {
            let name = format!("agent-{rank}");
            let links = SocketAddr::new(engine.ip(), link_port);
            let settings = agent_settings(&name, links, *engine, store.address());
            agents.push(start_agent(binary, dir, &name, &settings)?);
        }
        let report = Arc::new(SoakReport::new());
        self.wait_switch(&group, &report, "before the faults").await;
        let last = agents.pop();
        let mut running = tokio::task::JoinSet::new();
        for (rank, agent) in agents.into_iter().enumerate() {
            let rng = SmallRng::seed_from_u64(self.seed << 8 | rank as u64);
            let report = Arc::clone(&report);
            running.spawn(inject(rank, agent, rng, self.duration, report));
        }
        let mut agents = Vec::from_iter(last);
        while let Some(agent) = running.join_next().await {
            agents.push(agent.map_err(std::io::Error::other)??);
        }
        self.wait_switch(&group, &report, "after the faults").await;
        for _ in 0..group.switches() {
            report.count_outcome("map switches");
        }
        if group.split_passes() > 0 {
            let passes = group.split_passes();
            report.record_violation(format!("{passes} passes began with different maps"));
        }
        let longest = group.longest_hold();
        report.record_longest_hold(longest);
        if longest > MAX_HOLD {
            report.record_violation(format!("a pass was held for {longest:?}"));
        }
        Ok(report.take())
    }

    /// Waits until the group changes its map, and records a violation if it does not in time.
    async fn wait_switch(&self, group: &EngineGroup, report: &SoakReport, when: &str) {
        let before = group.switches();
        let deadline = Instant::now() + SWITCH_TIMEOUT;
        while group.switches() == before {
            if Instant::now() > deadline {
                report.record_violation(format!("the map did not change {when}"));
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Stops, kills and freezes an agent at random, and leaves it running.
async fn inject(
    rank: usize,
    mut agent: Agent,
    mut rng: SmallRng,
    duration: Duration,
    report: Arc<SoakReport>,
) -> std::io::Result<Agent> {
    let deadline = Instant::now() + duration;
    while Instant::now() < deadline {
        let gap = Duration::from_millis(rng.random_range(100..2_000));
        tokio::time::sleep(gap).await;
        let outage = Duration::from_millis(rng.random_range(50..2_500));
        let signal = [Signal::TERM, Signal::KILL, Signal::STOP][rng.random_range(0..3)];
        let outage_ms = outage.as_millis();
        report.record_fault(&format!("agent-{rank} {signal:?} for {outage_ms} ms"));
        agent.signal(signal);
        if signal == Signal::STOP {
            tokio::time::sleep(outage).await;
            agent.signal(Signal::CONT);
            continue;
        }
        if !agent.wait_exit().await? {
            report.record_violation(format!("agent-{rank} did not exit in time"));
            agent.child.kill()?;
            agent.child.wait()?;
        }
        tokio::time::sleep(outage).await;
        agent.restart()?;
    }
    Ok(agent)
}

/// Starts the agent with these settings.
pub(crate) fn start_agent(
    binary: &Path,
    dir: &Path,
    name: &str,
    settings: &str,
) -> std::io::Result<Agent> {
    let path = dir.join(format!("{name}.toml"));
    std::fs::write(&path, settings)?;
    let log = File::options()
        .create(true)
        .append(true)
        .open(dir.join(format!("{name}.log")))?;
    let errors = log.try_clone()?;
    let mut command = Command::new(binary);
    command
        .arg("agent")
        .env(SETTINGS_VARIABLE, &path)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors);
    let child = command.spawn()?;
    Ok(Agent { command, child })
}

/// Returns the settings file of the agent beside an engine, which accepts links at an
/// address, as the platform writes it.
pub(crate) fn agent_settings(
    name: &str,
    links: SocketAddr,
    engine: SocketAddr,
    store: SocketAddr,
) -> String {
    let (ip, link_port) = (links.ip(), links.port());
    format!(
        "node_name = \"{name}\"\nip = \"{ip}\"\nzone = \"here\"\n\
         internal_ports = [{link_port}, {link_port}]\napp = \"{engine}\"\nservice = \"s\"\n\
         [bounds]\nretry_budget_ratio = 0.2\nretry_budget_extra = 8\nretry_window_s = 10\n\
         grace_s = 4\n[platform]\naddress = \"{store}\"\n"
    )
}
