//! The agent beside each runner of a hosted service.
//!
//! An agent polls the state of its own runner, which is cheap because both share
//! a machine, and normally no other process sends that runner orders. The agent
//! of rank 0 leads its group: it gathers the counts of chosen experts, plans
//! expert maps, switches the group to them, and reports the group's load to the
//! entries. No request passes through an agent.

mod counts;
pub(crate) mod evacuation_notes;
pub(crate) mod group_load;
mod hold_resolver;
mod leader;
pub(crate) mod limit_board;
pub(crate) mod link;
pub(crate) mod link_server;
mod member;
mod order;
mod passes;
mod peers;
pub(crate) mod wire;

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::json;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gateway::MemoryPlan;
use wisteriawick_core::hosting::HostSettings;
use wisteriawick_core::maps::ReportBudget;
use wisteriawick_core::time::SharedClock;

use crate::binding::ListenAddress;
use crate::crash_board::CrashBoard;
use crate::error::Error;
use crate::error::Result;
use crate::evacuation_board::EvacuationBoard;
use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::rank::hold_resolver::HoldResolver;
use crate::rank::leader::LeaderTask;
use crate::rank::limit_board::LimitBoard;
use crate::rank::link_server::GroupHandle;
use crate::rank::member::MemberTask;

/// Runs until `stop` is cancelled. An agent that leads then releases the pass that its
/// group is held at, if any, which takes a bounded time; its other tasks go on meanwhile.
///
/// # Errors
///
/// Fails if the settings name no runner or the address cannot be bound.
pub async fn run(
    settings: HostSettings,
    clock: SharedClock,
    log: EventLog,
    stop: CancellationToken,
) -> Result<()> {
    let runner = settings.runner.ok_or_else(|| {
        Error::Other("settings: no address of the runner beside this agent; fill it in".into())
    })?;
    let links = ListenAddress {
        purpose: "links",
        address: SocketAddr::new(settings.ip, settings.link_ports.0),
    };
    let Some(listener) = links.bind_when_free(&log, &stop).await? else {
        return Ok(());
    };
    log.line(
        EventCategory::State,
        "started",
        json!({"place": settings.place.as_str(), "runner": runner.to_string()}),
    );
    let ended = CancellationToken::new();
    let _end_tasks = ended.clone().drop_guard();
    let (member, handle) = MemberTask::new(runner, Arc::clone(&clock), log.clone());
    tokio::spawn(member.run(ended.clone()));
    let (load_tx, load) = watch::channel(None);
    let (runners_tx, runners) = watch::channel(Vec::new());
    let group = GroupHandle {
        load,
        budget: ReportBudget::new(settings.link_rate),
        runners: runners_tx,
        entries: Arc::default(),
        crashes: CrashBoard::new(Arc::clone(&clock)),
        limits: LimitBoard::new(Arc::clone(&clock), log.clone()),
        evacuations: EvacuationBoard::default(),
    };
    let plan = MemoryPlan::new(&settings.resources);
    tokio::spawn(link_server::serve(
        listener,
        plan.max_connections,
        handle.clone(),
        group,
        ended.clone(),
    ));
    let resolver = HoldResolver::new(Arc::clone(&clock), log.clone(), handle.clone(), runners);
    tokio::spawn(resolver.run(ended));
    let leader = LeaderTask::new(settings, clock, log.clone(), handle, load_tx);
    leader.run(stop).await;
    log.line(EventCategory::State, "stopped", json!({}));
    log.flush().await;
    Ok(())
}
