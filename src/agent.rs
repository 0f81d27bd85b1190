//! The process beside an endpoint: the only one that gives it work.

mod attempt;
mod endpoint;
mod gate_task;
pub mod maps;
mod service;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wisteriawick_core::time::SharedClock;

pub use endpoint::Endpoint;
pub(crate) use service::head_json;
pub(crate) use service::put_head;

use crate::agent::gate_task::GateHandle;
use crate::agent::maps::HttpEngineClient;
use crate::agent::maps::MapHandle;
use crate::agent::service::Service;
use crate::error::Error;
use crate::error::Result;
use crate::link::spawn_listener;
use crate::node::LoadTracker;
use crate::node::Node;
use crate::platform::PlatformClient;
use crate::settings::AgentSettings;
use crate::settings::RoleSettings;
use crate::settings::Settings;

/// Time for entries to hear that the agent is leaving.
const NOTICE: Duration = Duration::from_secs(1);

/// A running agent.
#[derive(Clone, Debug)]
pub struct Agent {
    /// What it shares with its tasks.
    pub node: Arc<Node>,
    /// Where entries dial.
    pub link_address: SocketAddr,
    gate: GateHandle,
    /// The group's map, if the runner belongs to a group.
    pub maps: MapHandle,
    /// Answers under way; a shutdown waits for them.
    answers: TaskTracker,
    cx: CancellationToken,
}

impl Agent {
    /// Starts an agent.
    ///
    /// # Errors
    ///
    /// Fails when the settings are another role's, a file cannot be read or
    /// the address is taken.
    pub fn start(settings: &Settings, clock: SharedClock, cx: CancellationToken) -> Result<Self> {
        let RoleSettings::Agent(role) = &settings.role else {
            return Err(Error::Other(
                "the settings are an entry's; state [agent]".into(),
            ));
        };
        let board = LoadTracker::default();
        let node = Node::new(settings, clock, Some(board.clone()))?;
        let gate = GateHandle::spawn(Arc::clone(&node), board, role.service.clone(), cx.clone());
        let answers = TaskTracker::new();
        let platform = PlatformClient::new(&settings.platform, Arc::clone(&node.clock));
        let maps = MapHandle::spawn(
            Arc::clone(&node),
            platform,
            HttpEngineClient::new(Endpoint::new(role.endpoint_address)),
            cx.clone(),
        );
        spawn_tasks(&node, settings, role, &gate, &cx);
        let service = Service {
            node: Arc::clone(&node),
            gate: gate.clone(),
            endpoint: Endpoint::new(role.endpoint_address),
            maps: maps.clone(),
        };
        let tracked = answers.clone();
        let link_address = spawn_listener(
            Arc::clone(&node),
            settings.link_address,
            cx.clone(),
            move |stream| tracked.track_future(service.clone().answer(stream)),
        )?;
        Ok(Self {
            node,
            link_address,
            gate,
            maps,
            answers,
            cx,
        })
    }

    /// Shuts down: refuses new work, finishes what runs, then stops.
    ///
    /// It stays for a moment even when nothing runs: what entries sent before
    /// they heard is refused with evidence instead of lost with the link.
    pub async fn shut_down(&self) {
        self.node.leave();
        tokio::join!(self.gate.drain(), tokio::time::sleep(NOTICE));
        self.answers.close();
        self.answers.wait().await;
        self.cx.cancel();
    }
}

fn spawn_tasks(
    node: &Arc<Node>,
    settings: &Settings,
    role: &AgentSettings,
    gate: &GateHandle,
    cx: &CancellationToken,
) {
    let tls = settings.tls.clone();
    let reloading = Arc::clone(node);
    let reload_cx = cx.clone();
    tokio::spawn(async move { reloading.reload_tls(&tls, reload_cx).await });
    let probed = Endpoint::new(role.endpoint_address);
    tokio::spawn(endpoint::probe(probed, gate.clone(), cx.clone()));
    tokio::spawn(service::follow_limits(
        Arc::clone(node),
        role.service.clone(),
        gate.clone(),
        cx.clone(),
    ));
}
