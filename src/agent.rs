//! The agent: the process that runs beside one endpoint and sends it its requests.
//!
//! Entries send attempts at requests to the agent over links. The agent admits or
//! refuses each attempt, calls the endpoint over HTTP and returns the response.
//! Since all requests of the endpoint pass through its agent, the agent knows for
//! certain whether an attempt ran. If the endpoint belongs to a group with expert
//! maps, its agent also takes part in changing the group's map.

mod attempt;
mod endpoint;
mod gate_task;
pub mod maps;
mod response_room;
mod stream_handler;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wisteriawick_core::ids::ServiceId;
use wisteriawick_core::time::SharedClock;

pub use endpoint::Endpoint;
pub(crate) use stream_handler::head_json;
pub(crate) use stream_handler::put_head;

use crate::agent::gate_task::GateHandle;
use crate::agent::maps::HttpEngineClient;
use crate::agent::maps::MapHandle;
use crate::agent::stream_handler::StreamHandler;
use crate::error::Error;
use crate::error::Result;
use crate::link::spawn_listener;
use crate::node::LoadTracker;
use crate::node::Node;
use crate::platform::PlatformClient;
use crate::settings::AgentSettings;
use crate::settings::RoleSettings;
use crate::settings::Settings;

/// Least time for which a shutdown keeps the links open, so that entries learn
/// that the agent is leaving.
const LEAVING_NOTICE_DURATION: Duration = Duration::from_secs(1);

/// Time at the end of a shutdown in which the entries get the replies of the attempts that
/// it stopped.
const REPLY_DURATION: Duration = Duration::from_millis(800);

/// Time at the end of a shutdown for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// A running agent.
#[derive(Clone, Debug)]
pub struct Agent {
    /// The state that the agent shares with its tasks.
    pub node: Arc<Node>,
    /// Address on which the agent accepts links.
    pub link_address: SocketAddr,
    gate: GateHandle,
    /// Handle to the task of the group's expert map; it has no status if the runner
    /// belongs to no group.
    pub maps: MapHandle,
    /// Streams of entries that are being handled; a shutdown waits for them.
    open_streams: TaskTracker,
    service: ServiceId,
    shutdown_limit: Duration,
    cx: CancellationToken,
}

impl Agent {
    /// Starts an agent.
    ///
    /// # Errors
    ///
    /// Fails if the settings are those of another role, a key or certificate file
    /// cannot be read, or the address is in use.
    pub fn start(settings: &Settings, clock: SharedClock, cx: CancellationToken) -> Result<Self> {
        let RoleSettings::Agent(role) = &settings.role else {
            return Err(Error::Other(
                "the settings are those of an entry; use [agent] instead of [entry]".into(),
            ));
        };
        let load = LoadTracker::default();
        let node = Node::new(settings, clock, Some(load.clone()))?;
        let gate = GateHandle::spawn(Arc::clone(&node), load, role.service.clone(), cx.clone());
        let open_streams = TaskTracker::new();
        let platform = PlatformClient::new(&settings.platform, Arc::clone(&node.clock));
        let maps = MapHandle::spawn(
            Arc::clone(&node),
            platform,
            HttpEngineClient::new(Endpoint::new(role.endpoint_address)),
            cx.clone(),
        );
        spawn_tasks(&node, settings, role, &gate, &cx);
        let handler = StreamHandler {
            node: Arc::clone(&node),
            gate: gate.clone(),
            endpoint: Endpoint::new(role.endpoint_address),
            maps: maps.clone(),
        };
        let link_address = spawn_listener(
            Arc::clone(&node),
            settings.link_address,
            open_streams.clone(),
            cx.clone(),
            move |stream| handler.clone().handle(stream),
        )?;
        Ok(Self {
            node,
            link_address,
            gate,
            maps,
            open_streams,
            service: role.service.clone(),
            shutdown_limit: settings.shutdown_limit,
            cx,
        })
    }

    /// Shuts down: refuses new attempts, finishes the running ones, then stops.
    ///
    /// The links stay open for at least a moment, even if no attempt runs. Attempts
    /// that entries sent before they learned of the shutdown are then refused, which
    /// proves that they did not run, instead of being lost with the link.
    ///
    /// Attempts that run when the time for the drain or the shutdown is over are stopped,
    /// and their entries learn that they may have run.
    pub async fn shut_down(&self) {
        let start = Instant::now();
        let end = start + self.shutdown_limit - EXIT_RESERVE;
        let drained_by = (start + self.drain_timeout()).min(end - REPLY_DURATION);
        self.node.leave();
        if timeout_at(drained_by, self.gate.drain()).await.is_err() {
            log::warn!(
                "attempts still run at the end of the shutdown and are stopped; \
                 raise shutdown_ms or the service's drain_ms if they need longer"
            );
            self.gate.stop_attempts().await;
        }
        sleep_until(start + LEAVING_NOTICE_DURATION).await;
        self.open_streams.close();
        if timeout_at(end, self.open_streams.wait()).await.is_err() {
            log::warn!("an entry did not receive a reply before the end of the shutdown");
        }
        self.cx.cancel();
    }

    /// Returns how long a leaving runner of the service may finish its attempts.
    fn drain_timeout(&self) -> Duration {
        let fleet = self.node.config.fleet();
        let service = fleet.services.get(&self.service);
        service.map_or(self.shutdown_limit, |service| service.drain_timeout)
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
    let tls_node = Arc::clone(node);
    let tls_cx = cx.clone();
    tokio::spawn(async move { tls_node.reload_tls(&tls, tls_cx).await });
    let probed_endpoint = Endpoint::new(role.endpoint_address);
    tokio::spawn(endpoint::probe(probed_endpoint, gate.clone(), cx.clone()));
    tokio::spawn(stream_handler::follow_limits(
        Arc::clone(node),
        role.service.clone(),
        gate.clone(),
        cx.clone(),
    ));
}
