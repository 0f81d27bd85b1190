//! Receives load reports of runner groups from the agents that lead them.
//!
//! The entry connects to the agent beside each runner of a service with groups
//! and keeps the link if that agent leads its group. Requests do not depend on
//! these links: without reports an entry relies on its own request counts.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::collections::HashMap;
use wisteriawick_core::gateway::GroupReport;
use wisteriawick_core::gateway::LoadReport;
use wisteriawick_core::gateway::ServiceShare;
use wisteriawick_core::ids::ServiceId;

use crate::eventlog::EventCategory;
use crate::gateway::state::GatewayState;
use crate::rank::evacuation_notes::evacuation_notes;
use crate::rank::evacuation_notes::send_evacuations;
use crate::rank::limit_board::limit_notes;
use crate::rank::link::Link;
use crate::rank::link_server::from_wire;
use crate::rank::link_server::send_notes;
use crate::rank::wire::EntryLimitsWire;
use crate::rank::wire::EntryMessage;
use crate::rank::wire::GroupLimitsWire;
use crate::rank::wire::GroupLoadWire;
use crate::rank::wire::GroupMessage;
use crate::rank::wire::Hello;
use crate::rank::wire::link_port;

/// Interval at which the list of runners is checked for changes.
const RUNNER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time to connect to an agent and receive its first message.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before reconnecting to an agent that does not lead its group.
const FOLLOWER_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Delay before reconnecting to an agent that did not respond or whose link broke.
const REDIAL_DELAY: Duration = Duration::from_millis(400);
/// Delay before it is checked again whether a linked leader still lists a runner among its
/// members. Their agents are not asked for their positions meanwhile.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which an entry reports its demand while a runner has a rate limit.
const LIMIT_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps links to the leaders of all groups.
pub(crate) async fn watch_loads(state: Arc<GatewayState>, shutdown: CancellationToken) {
    let mut links: HashMap<SocketAddr, CancellationToken> = HashMap::default();
    let mut ticks = tokio::time::interval(RUNNER_CHECK_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            // An entry that has just begun learns through its links what crashes runners.
            () = state.runners_changed.notified() => {}
            () = shutdown.cancelled() => return,
        }
        let runners = state.grouped_runners();
        links.retain(|address, stop| {
            let keep = runners.iter().any(|(known, _)| known == address);
            if !keep {
                stop.cancel();
                state.positions.remove(*address);
            }
            keep
        });
        for (address, service) in runners {
            if links.contains_key(&address) {
                continue;
            }
            let stop = shutdown.child_token();
            links.insert(address, stop.clone());
            tokio::spawn(follow_agent(Arc::clone(&state), address, service, stop));
        }
    }
}

async fn follow_agent(
    state: Arc<GatewayState>,
    runner: SocketAddr,
    service: ServiceId,
    stop: CancellationToken,
) {
    loop {
        let follow = async {
            match state.led_groups.is_member(runner) {
                true => MEMBER_CHECK_INTERVAL,
                false => follow_leader(&state, runner, &service).await,
            }
        };
        let delay = tokio::select! {
            delay = follow => delay,
            () = stop.cancelled() => return,
        };
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = stop.cancelled() => return,
        }
    }
}

/// Receives reports on one link until it closes; returns the delay before the
/// next attempt to connect.
async fn follow_leader(state: &GatewayState, runner: SocketAddr, service: &ServiceId) -> Duration {
    let port = link_port(state.settings.link_ports);
    let agent = SocketAddr::new(runner.ip(), port);
    let opened = tokio::time::timeout(OPEN_TIMEOUT, open_link(agent)).await;
    let Ok(Ok((mut link, first))) = opened else {
        return REDIAL_DELAY;
    };
    let GroupMessage::Position(position) = first else {
        return REDIAL_DELAY;
    };
    let leads = position.rank == 0;
    let group = position.group.clone();
    state.positions.set(runner, position.into());
    if !leads {
        return FOLLOWER_RETRY_DELAY;
    }
    let fields = json!({"group": group, "agent": agent.to_string()});
    state.log.line(EventCategory::State, "leader_met", fields);
    let error = match exchange_reports(state, &mut link, &group, service).await {
        Ok(never) => match never {},
        Err(e) => e.to_string(),
    };
    let fields = json!({"group": group, "agent": agent.to_string(), "error": error});
    state.log.line(EventCategory::State, "leader_lost", fields);
    REDIAL_DELAY
}

/// Receives reports and exchanges notes about requests that crash runners, until the
/// link fails.
async fn exchange_reports(
    state: &GatewayState,
    link: &mut Link,
    group: &str,
    service: &ServiceId,
) -> std::io::Result<Infallible> {
    // Announces that this entry understands notes.
    link.send(&EntryMessage::Crashes(Vec::new())).await?;
    // An empty report, to be told the limits that others know.
    link.send(&EntryMessage::Limits(EntryLimitsWire {
        entry: state.entry_id.0,
        ..EntryLimitsWire::default()
    }))
    .await?;
    let mut notes = state.crashes.subscribe();
    let mut limits = LimitReports::new(state);
    let mut evacuations = state.evacuation_updates();
    let mut members = state.led_groups.join();
    loop {
        let message = tokio::select! {
            message = link.recv::<GroupMessage>() => message?,
            news = notes.next() => {
                send_notes(link, &news, EntryMessage::Crashes).await?;
                continue;
            }
            report = limits.next(state, group) => {
                link.send(&EntryMessage::Limits(report)).await?;
                continue;
            }
            known = evacuations.next() => {
                send_evacuations(link, &known, EntryMessage::Evacuations).await?;
                continue;
            }
        };
        match message {
            GroupMessage::Load(load) => {
                let loads = reports(group, members.runners(), &load);
                state.update_loads(service, &loads);
            }
            GroupMessage::Members(runners) => {
                state.positions.set_group(group, &runners);
                members.set(runners);
            }
            GroupMessage::Entries(count) => state.update_entry_count(count),
            GroupMessage::Crashes(notes) => state.learn_crashes(&from_wire(&notes)),
            GroupMessage::Limits(limits) => learn_limits(state, group, limits),
            GroupMessage::Evacuations(notes) => {
                state.learn_evacuations(&evacuation_notes(&notes));
            }
            GroupMessage::Position(_) => {}
        }
    }
}

/// Takes in what a leader tells of rate limits.
fn learn_limits(state: &GatewayState, group: &str, limits: GroupLimitsWire) {
    let shares = limits.shares.into_iter().map(ServiceShare::from).collect();
    let notes = limit_notes(limits.notes, &state.log);
    state.learn_limits(group, shares, &notes);
}

/// When to report demand and rate limits to a leader, and what.
struct LimitReports {
    changes: watch::Receiver<u64>,
    /// When the next report is due without a change.
    due: Instant,
    /// Whether the last report said anything.
    was_empty: bool,
}

impl LimitReports {
    fn new(state: &GatewayState) -> Self {
        Self {
            changes: state.limits_changed.subscribe(),
            due: Instant::now(),
            was_empty: true,
        }
    }

    /// Waits until a report is due. While no runner has a limit there are none.
    async fn next(&mut self, state: &GatewayState, group: &str) -> EntryLimitsWire {
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(self.due) => {}
                // The state that sends is borrowed here, so the channel stays open.
                _ = self.changes.changed() => {}
            }
            self.due = Instant::now() + LIMIT_REPORT_INTERVAL;
            let report = state.limit_report(group);
            let is_empty = report.demands.is_empty() && report.notes.is_empty();
            if !is_empty || !self.was_empty {
                self.was_empty = is_empty;
                return EntryLimitsWire {
                    entry: state.entry_id.0,
                    demands: report.demands.iter().map(Into::into).collect(),
                    notes: report.notes.iter().map(Into::into).collect(),
                };
            }
        }
    }
}

async fn open_link(agent: SocketAddr) -> std::io::Result<(Link, GroupMessage)> {
    let mut link = Link::to_leader(TcpStream::connect(agent).await?)?;
    link.send(&Hello::Entry).await?;
    let first = link.recv().await?;
    Ok((link, first))
}

/// Returns the loads of a group's runners, given by rank.
fn reports(
    group: &str,
    runners: &[Option<SocketAddr>],
    load: &GroupLoadWire,
) -> Vec<(SocketAddr, LoadReport)> {
    /// Thousandths of one.
    const MILLI: f64 = 1000.0;
    let group = GroupReport {
        name: group.into(),
        is_open: load.is_open,
        pass_time: Duration::from_micros(load.pass_us.into()),
    };
    let known = runners.iter().zip(&load.ranks);
    known
        .filter_map(|(runner, rank)| {
            let report = LoadReport {
                running: rank.running.into(),
                waiting: rank.waiting.into(),
                slowdown: f64::from(rank.slowdown_milli) / MILLI,
                group: Some(group.clone()),
            };
            Some(((*runner)?, report))
        })
        .collect()
}
