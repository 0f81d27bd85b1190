//! The entry: the process that accepts callers' HTTP requests behind the platform's
//! load balancer.
//!
//! For each request it chooses a runner, sends the request over a link to the agent
//! beside it, and relays the response. Entries also run the ledger of keyed calls,
//! of which each entry owns some shards, and serve an HTTP port for operators.

mod call_task;
mod caller;
mod directory;
mod http_api;
mod http_server;
mod inbound;
mod ledger_client;
mod ledger_task;
mod ops_api;
mod router_task;
mod slotted_stream;
mod watcher;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wisteriawick_core::gateway::MemoryPlan;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::membership::MemberState;
use wisteriawick_core::time::SharedClock;

pub(crate) use watcher::HEAD_OBJECT;

use crate::accept;
use crate::connection_slots::ConnectionSlots;
use crate::connection_slots::GiveWay;
use crate::entry::directory::Directory;
use crate::entry::directory::LinkTable;
use crate::entry::http_server::HttpServer;
use crate::entry::ledger_client::LedgerClient;
use crate::entry::ledger_task::LedgerHandle;
use crate::entry::router_task::RouterHandle;
use crate::error::Error;
use crate::error::Result;
use crate::gateway::memory::RequestMemory;
use crate::link::spawn_listener;
use crate::node::Node;
use crate::platform::PlatformClient;
use crate::settings::EntrySettings;
use crate::settings::RoleSettings;
use crate::settings::Settings;

/// Time between reporting not ready and closing the listener, so that the platform's
/// balancer stops sending requests before connections are refused.
const NOT_READY_DELAY: Duration = Duration::from_millis(500);

/// Time between two exports of what calls hold.
const MEMORY_REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time at the end of a shutdown in which the callers of unfinished calls get a response.
const LAST_RESPONSES_DURATION: Duration = Duration::from_secs(1);
/// Time at the end of a shutdown for the operators' port and the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(500);
/// Longest time in which a shutdown writes responses to operators.
const OPS_STOP_TIMEOUT: Duration = Duration::from_millis(100);

/// What the tasks of an entry share.
#[derive(Debug)]
pub(crate) struct EntryContext {
    pub(crate) node: Arc<Node>,
    pub(crate) router: RouterHandle,
    pub(crate) ledger: LedgerClient,
    pub(crate) links: watch::Receiver<LinkTable>,
    pub(crate) settings: EntrySettings,
    /// Renders the metrics, if this process exports them.
    pub(crate) metrics: Option<PrometheusHandle>,
    /// Memory that calls hold.
    pub(crate) memory: Arc<RequestMemory>,
    /// Tasks of calls in progress; a shutdown waits for them.
    pub(crate) calls: TaskTracker,
    /// Cancelled when calls can't be finished any more, because the shutdown ends.
    pub(crate) ending: CancellationToken,
}

/// Exports what calls hold of the memory, and logs refusals.
async fn report_memory(context: Arc<EntryContext>, cx: CancellationToken) {
    let mut ticks = tokio::time::interval(MEMORY_REPORT_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = cx.cancelled() => return,
        }
        context
            .memory
            .report(|refusals| log::warn!("memory is short: {refusals}; raise entry.memory_mb"));
    }
}

/// A running entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The process state that its tasks share.
    pub node: Arc<Node>,
    /// Address for links from other processes.
    pub link_address: SocketAddr,
    /// Address of the HTTP port for callers.
    pub http_address: SocketAddr,
    /// Address of the HTTP port for operators.
    pub ops_address: SocketAddr,
    context: Arc<EntryContext>,
    http: HttpServer,
    ops: HttpServer,
    shutdown_limit: Duration,
    cx: CancellationToken,
}

impl Entry {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Fails when the settings are not for an entry, a file cannot be read or an address
    /// is in use.
    pub async fn start(
        settings: &Settings,
        clock: SharedClock,
        metrics: Option<PrometheusHandle>,
        cx: CancellationToken,
    ) -> Result<Self> {
        let RoleSettings::Entry(role) = &settings.role else {
            return Err(Error::Other(
                "the settings are for an agent; an entry needs the section [entry]".into(),
            ));
        };
        let node = Node::new(settings, clock, None)?;
        let platform = PlatformClient::new(&settings.platform, Arc::clone(&node.clock));
        let router = RouterHandle::spawn(Arc::clone(&node), cx.clone());
        let links = Directory::spawn(
            Arc::clone(&node),
            platform.clone(),
            settings.platform.list_interval,
            router.clone(),
            cx.clone(),
        );
        let local = LedgerHandle::spawn(Arc::clone(&node), platform.clone(), cx.clone());
        let (listener_node, shards) = (Arc::clone(&node), local.clone());
        let link_address = spawn_listener(
            Arc::clone(&node),
            settings.link_address,
            TaskTracker::new(),
            cx.clone(),
            move |stream| {
                let (node, shards) = (Arc::clone(&listener_node), shards.clone());
                async move { inbound::respond(&node, &shards, stream).await }
            },
        )?;
        let ledger = LedgerClient::new(Arc::clone(&node), local, links.clone());
        let plan = MemoryPlan::new(&role.resources);
        let callers = ConnectionSlots::new(plan.max_connections, GiveWay::Waiting);
        let context = Arc::new(EntryContext {
            node: Arc::clone(&node),
            router,
            ledger,
            links,
            settings: role.clone(),
            metrics,
            memory: RequestMemory::new(plan, Arc::clone(&callers)),
            calls: TaskTracker::new(),
            ending: CancellationToken::new(),
        });
        tokio::spawn(report_memory(Arc::clone(&context), cx.clone()));
        tokio::spawn(watcher::run(Arc::clone(&node), platform, cx.clone()));
        let tls = settings.tls.clone();
        let reload_node = Arc::clone(&node);
        let reload_cx = cx.clone();
        tokio::spawn(async move { reload_node.reload_tls(&tls, reload_cx).await });

        let http_routes = http_api::routes(Arc::clone(&context));
        let http = HttpServer::start(
            role.http_address,
            http_routes,
            callers,
            plan.receive_buffer_bytes,
        )
        .await?;
        let ops_routes = ops_api::routes(Arc::clone(&context));
        let ops =
            HttpServer::start(role.ops_address, ops_routes, accept::side_slots(), None).await?;
        Ok(Self {
            node,
            link_address,
            http_address: http.address,
            ops_address: ops.address,
            context,
            http,
            ops,
            shutdown_limit: settings.shutdown_limit,
            cx,
        })
    }

    /// Waits until links to at least this many agents are open.
    pub async fn wait_for_linked_agents(&self, agents: usize) {
        let mut links = self.context.links.clone();
        // Fails only when the directory task ended, which runs as long as the entry.
        let _ = links
            .wait_for(|table| table.linked_agents() >= agents)
            .await;
    }

    /// Waits until this entry knows that a process is leaving.
    pub async fn wait_for_leaving(&self, process: &ProcessId) {
        let mut links = self.context.links.clone();
        let leaving = |table: &LinkTable| table.state(process) == Some(MemberState::Leaving);
        // Fails only when the directory task ended, which runs as long as the entry.
        let _ = links.wait_for(leaving).await;
    }

    /// Shuts down gracefully: reports not ready, stops accepting requests, finishes the
    /// requests in progress and then stops all tasks.
    ///
    /// Shortly before the shutdown limit, the callers of unfinished requests get a failure
    /// that says whether the request may have run.
    pub async fn shut_down(&self) {
        let end = Instant::now() + self.shutdown_limit - EXIT_RESERVE;
        let last_responses_at = end - LAST_RESPONSES_DURATION;
        self.node.leave();
        tokio::time::sleep(NOT_READY_DELAY).await;
        if timeout_at(last_responses_at, self.finish_requests())
            .await
            .is_err()
        {
            log::warn!(
                "requests are still in progress at the end of the shutdown and fail; \
                 raise shutdown_ms if they need longer"
            );
            self.context.ending.cancel();
            if timeout_at(end, self.finish_requests()).await.is_err() {
                log::warn!("a caller did not read its response, or a call was not recorded");
            }
        }
        // An operator whose request is cut off sends it to another entry.
        let _ = timeout(OPS_STOP_TIMEOUT, self.ops.stop()).await;
        self.cx.cancel();
    }

    /// Stops accepting requests and waits until all responses are written and recorded.
    async fn finish_requests(&self) {
        self.http.stop().await;
        self.context.calls.close();
        self.context.calls.wait().await;
    }
}
