//! Accepts links at an agent: from the leader of its group, and from entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use tokio::net::TcpListener;
use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gateway::ConnectionPhase;
use wisteriawick_core::gateway::CrashNote;
use wisteriawick_core::gateway::EntryId;
use wisteriawick_core::maps::LastMap;
use wisteriawick_core::maps::ReportBudget;
use wisteriawick_core::maps::ReportIntervals;

use crate::accept;
use crate::connection_slots::ConnectionSlot;
use crate::connection_slots::ConnectionSlots;
use crate::connection_slots::GiveWay;
use crate::crash_board::CrashBoard;
use crate::crash_board::CrashNotes;
use crate::evacuation_board::EvacuationBoard;
use crate::evacuation_board::EvacuationUpdates;
use crate::rank::evacuation_notes::evacuation_notes;
use crate::rank::evacuation_notes::send_evacuations;
use crate::rank::group_load::GroupLoad;
use crate::rank::limit_board::LimitBoard;
use crate::rank::limit_board::LimitLink;
use crate::rank::link::Link;
use crate::rank::link::LinkMessage;
use crate::rank::link::LinkReader;
use crate::rank::link::LinkWriter;
use crate::rank::link::MAX_MESSAGE_BYTES;
use crate::rank::member::MemberHandle;
use crate::rank::member::OwnRank;
use crate::rank::wire::CountsWire;
use crate::rank::wire::CrashNoteWire;
use crate::rank::wire::EntryMessage;
use crate::rank::wire::ExpertsWire;
use crate::rank::wire::GroupLimitsWire;
use crate::rank::wire::GroupLoadWire;
use crate::rank::wire::GroupMessage;
use crate::rank::wire::Hello;
use crate::rank::wire::LeaderMessage;
use crate::rank::wire::LoadWire;
use crate::rank::wire::MemberMessage;
use crate::rank::wire::PositionWire;
use crate::rank::wire::ViewWire;
use crate::telemetry;

/// Largest message from an entry to a leader, in bytes.
const MAX_ENTRY_MESSAGE_BYTES: usize = 64 * 1024;
/// Most notes about requests that crash runners in one message. A note takes at most
/// about 300 bytes.
const MAX_NOTES_PER_MESSAGE: usize = 64;
/// Largest first message of a link, in bytes.
const MAX_HELLO_BYTES: usize = 64;
/// Longest wait for the first message of an accepted link.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between two reports of a rank's state that say only which pass it is at. All ranks
/// make the same passes, so the leader knows that from its own rank.
const PASS_REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// What an agent knows of its group beyond its own rank.
#[derive(Clone, Debug)]
pub(crate) struct GroupHandle {
    /// The group's load, while this agent leads.
    pub(crate) load: watch::Receiver<Option<GroupLoad>>,
    /// How much of this machine's link reports may take.
    pub(crate) budget: ReportBudget,
    /// Addresses of the group's runners by rank, as the leader sent them.
    pub(crate) runners: watch::Sender<Vec<Option<SocketAddr>>>,
    /// Entries that are linked to this agent while it leads.
    pub(crate) entries: Arc<AtomicU16>,
    /// What the linked entries know of requests that crash runners.
    pub(crate) crashes: CrashBoard,
    /// What the linked entries know of the rate limits of runners.
    pub(crate) limits: LimitBoard,
    /// What the linked entries know of evacuations.
    pub(crate) evacuations: EvacuationBoard,
}

/// Accepts links of leaders and entries until `stop` is cancelled.
pub(crate) async fn serve(
    listener: TcpListener,
    max_links: usize,
    member: MemberHandle,
    group: GroupHandle,
    stop: CancellationToken,
) {
    let slots = ConnectionSlots::new(max_links, GiveWay::Anyone);
    accept::serve_connections(listener, slots, stop, |stream, slot| {
        let member = member.clone();
        let group = group.clone();
        async move {
            if let Ok(link) = Link::with_limit(stream, MAX_HELLO_BYTES) {
                // After a failure, the process that dialed dials again.
                let _ = handle(link, &slot, member, group).await;
            }
        }
    })
    .await;
}

/// Serves a link according to its first message.
async fn handle(
    mut link: Link,
    slot: &ConnectionSlot,
    member: MemberHandle,
    group: GroupHandle,
) -> std::io::Result<()> {
    let hello = tokio::time::timeout(HELLO_TIMEOUT, link.recv::<Hello>()).await??;
    slot.set_phase(ConnectionPhase::Busy);
    match hello {
        Hello::Leader => serve_leader(link, member, group).await,
        Hello::Entry => serve_entry(link, member, group).await,
    }
}

/// Sends an entry this agent's position in its group and, while the agent leads,
/// the group's load and the number of linked entries. Returns when the agent's position
/// has changed, so that the entry dials again and learns the new one.
async fn serve_entry(
    mut link: Link,
    member: MemberHandle,
    mut group: GroupHandle,
) -> std::io::Result<()> {
    let own = member.own.borrow().clone();
    let Some(own) = own else {
        return Ok(());
    };
    let position = PositionWire::from(&own.state);
    let leads = position.rank == 0;
    link.send(&GroupMessage::Position(position.clone())).await?;
    if !leads {
        return Ok(());
    }
    link.set_limit(MAX_ENTRY_MESSAGE_BYTES);
    let _guard = EntryGuard::new(&group.entries);
    let mut reported_entries = 0;
    let mut reported_runners = Vec::new();
    let mut notes = EntryNotes::default();
    loop {
        let entries = group.entries.load(Ordering::Relaxed);
        if entries != reported_entries {
            link.send(&GroupMessage::Entries(entries)).await?;
            reported_entries = entries;
        }
        let load = group.load.borrow_and_update().clone();
        if let Some(load) = &load {
            if reported_runners[..] != load.runners[..] {
                reported_runners = load.runners.to_vec();
                let message = GroupMessage::Members(reported_runners.clone());
                link.send(&message).await?;
            }
            let wire = GroupLoadWire::from(load);
            link.send(&GroupMessage::Load(wire)).await?;
        }
        let ranks = load.map_or(0, |load| load.ranks.len());
        let interval = group.budget.entry_interval(entries.into(), ranks);
        let next_report = Instant::now() + interval;
        exchange_notes(&mut link, &mut notes, &mut group, next_report).await?;
        if !has_position(&member, &position) {
            return Ok(());
        }
    }
}

/// What is exchanged with an entry besides the group's load. Entries of an older release
/// send no such messages and understand none.
#[derive(Default)]
struct EntryNotes {
    crashes: Option<CrashNotes>,
    limits: Option<LimitLink>,
    evacuations: EvacuationUpdates,
}

/// Exchanges notes with an entry about requests that crash runners, about rate limits and
/// about evacuations, until the group's load has changed and the next report of it is due.
async fn exchange_notes(
    link: &mut Link,
    notes: &mut EntryNotes,
    group: &mut GroupHandle,
    next_report: Instant,
) -> std::io::Result<()> {
    loop {
        let load_changed = async {
            tokio::time::sleep_until(next_report).await;
            group.load.changed().await
        };
        tokio::select! {
            changed = load_changed => return changed.map_err(std::io::Error::other),
            message = link.recv::<EntryMessage>() => match message? {
                EntryMessage::Crashes(received) => {
                    group.crashes.merge(&from_wire(&received));
                    notes.crashes.get_or_insert_with(|| group.crashes.subscribe());
                }
                EntryMessage::Limits(report) => {
                    let limits = notes.limits.get_or_insert_with(|| group.limits.link(EntryId(report.entry)));
                    limits.report(report);
                    link.send(&GroupMessage::Limits(limits.to_message())).await?;
                }
                EntryMessage::Evacuations(received) => {
                    let received = evacuation_notes(&received);
                    group.evacuations.update(|known| known.merge(&received));
                    if notes.evacuations.is_none() {
                        notes.evacuations = group.evacuations.subscribe();
                    }
                }
            },
            news = next_notes(&mut notes.crashes) => {
                send_notes(link, &news, GroupMessage::Crashes).await?;
            }
            changed = next_limits(&mut notes.limits) => {
                link.send(&GroupMessage::Limits(changed)).await?;
            }
            known = notes.evacuations.next() => {
                send_evacuations(link, &known, GroupMessage::Evacuations).await?;
            }
        }
    }
}

/// Waits for a change of the rate limits, if the entry takes part in the exchange.
async fn next_limits(limits: &mut Option<LimitLink>) -> GroupLimitsWire {
    match limits {
        Some(limits) => {
            limits.changed().await;
            limits.to_message()
        }
        None => std::future::pending().await,
    }
}

/// Waits for the next notes of a subscription, if there is one.
async fn next_notes(notes: &mut Option<CrashNotes>) -> Vec<CrashNote> {
    match notes {
        Some(notes) => notes.next().await,
        None => std::future::pending().await,
    }
}

/// Sends notes about requests that crash runners, in as many messages as they need.
pub(crate) async fn send_notes<T: LinkMessage>(
    link: &mut Link,
    notes: &[CrashNote],
    message: impl Fn(Vec<CrashNoteWire>) -> T,
) -> std::io::Result<()> {
    for chunk in notes.chunks(MAX_NOTES_PER_MESSAGE) {
        let wire = chunk.iter().map(CrashNoteWire::from).collect();
        link.send(&message(wire)).await?;
    }
    Ok(())
}

/// Decodes notes about requests that crash runners.
pub(crate) fn from_wire(notes: &[CrashNoteWire]) -> Vec<CrashNote> {
    notes.iter().map(CrashNote::from).collect()
}

/// Returns whether this agent's rank still has a position.
fn has_position(member: &MemberHandle, position: &PositionWire) -> bool {
    let own = member.own.borrow();
    own.as_ref()
        .is_some_and(|own| PositionWire::from(&own.state) == *position)
}

/// Counts a linked entry until it is dropped.
struct EntryGuard(Arc<AtomicU16>);

impl EntryGuard {
    fn new(count: &Arc<AtomicU16>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for EntryGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What was last reported to the leader at the other end of a link.
#[derive(Default)]
struct Reported {
    position: Option<PositionWire>,
    view: Option<ViewWire>,
    view_at: Option<Instant>,
    load: Option<LoadWire>,
    load_at: Option<Instant>,
    experts: Option<ExpertsWire>,
}

/// Reports this rank's state to a leader, and passes on the leader's orders. Neither waits
/// for the other.
async fn serve_leader(
    mut link: Link,
    member: MemberHandle,
    group: GroupHandle,
) -> std::io::Result<()> {
    link.set_limit(MAX_MESSAGE_BYTES);
    let (reader, writer) = link.split();
    let counts = member.counts();
    let (intervals_tx, intervals) = watch::channel(group.budget.member_intervals(1, 0));
    tokio::select! {
        ended = receive_orders(reader, &member, &group, intervals_tx) => ended,
        ended = send_reports(writer, member.clone(), counts, intervals) => ended,
    }
}

/// Passes on a leader's orders, and what else it sends, until the link ends.
async fn receive_orders(
    mut reader: LinkReader,
    member: &MemberHandle,
    group: &GroupHandle,
    intervals: watch::Sender<ReportIntervals>,
) -> std::io::Result<()> {
    let mut last_map = LastMap::default();
    loop {
        match reader.recv::<LeaderMessage>().await? {
            LeaderMessage::Order(order) => {
                let problem = "an order with a map that does not fit the maps before it";
                let order = order.into_order(&mut last_map);
                let order = order.ok_or_else(|| std::io::Error::other(problem))?;
                // If the queue is full, earlier orders are under way; the leader sends
                // this one again.
                let _ = member.orders.try_send(order);
            }
            LeaderMessage::Runners(runners) => {
                group.runners.send_replace(runners);
            }
            LeaderMessage::Intervals(wire) => {
                let new = ReportIntervals::from(wire);
                intervals.send_replace(new);
                member.set_count_interval(new.counts);
            }
        }
    }
}

/// Reports this rank's state and counts until the link ends.
async fn send_reports(
    mut writer: LinkWriter,
    mut member: MemberHandle,
    mut counts: broadcast::Receiver<CountsWire>,
    intervals: watch::Receiver<ReportIntervals>,
) -> std::io::Result<()> {
    let mut reported = Reported::default();
    loop {
        let states = intervals.borrow().states;
        let due = report_changes(&mut writer, &mut reported, &member, states).await?;
        tokio::select! {
            changed = member.own.changed() => changed.map_err(std::io::Error::other)?,
            () = sleep_until(due) => {}
            reading = counts.recv() => match reading {
                Ok(reading) => writer.send(&MemberMessage::Counts(reading)).await?,
                // Missed readings only make a plan less exact.
                Err(RecvError::Lagged(missed)) => {
                    counter!(telemetry::COUNTS_DROPPED).increment(missed);
                }
                Err(RecvError::Closed) => return Ok(()),
            },
        }
    }
}

/// Waits until a time; for ever without one.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Reports the parts of this rank's state that changed since they were last reported.
/// Returns when a change that is not reported yet may be.
async fn report_changes(
    writer: &mut LinkWriter,
    reported: &mut Reported,
    member: &MemberHandle,
    load_interval: Duration,
) -> std::io::Result<Option<Instant>> {
    let own = member.own.borrow().clone();
    let Some(OwnRank {
        state,
        experts,
        load,
    }) = own
    else {
        return Ok(None);
    };
    let now = Instant::now();
    let position = PositionWire::from(&state);
    if reported.position.as_ref() != Some(&position) {
        writer
            .send(&MemberMessage::Position(position.clone()))
            .await?;
        reported.position = Some(position);
    }
    if let Some(experts) = experts
        && reported.experts.as_ref() != Some(&experts)
    {
        writer
            .send(&MemberMessage::Experts(experts.clone()))
            .await?;
        reported.experts = Some(experts);
    }
    let view = ViewWire::from(&state.view);
    let same_but_pass = |known: &ViewWire| known.is_same_but_pass(&view);
    let view_due = match &reported.view {
        Some(known) if same_but_pass(known) => reported.view_at.map(|at| at + PASS_REPORT_INTERVAL),
        _ => None,
    };
    if reported.view.as_ref() != Some(&view) && view_due.is_none_or(|due| now >= due) {
        writer.send(&MemberMessage::View(view.clone())).await?;
        reported.view = Some(view);
        reported.view_at = Some(now);
    }
    let load = LoadWire::from(&load);
    if reported.load == Some(load) {
        return Ok(None);
    }
    let load_due = reported.load_at.map(|at| at + load_interval);
    if load_due.is_some_and(|due| now < due) {
        return Ok(load_due);
    }
    writer.send(&MemberMessage::Load(load)).await?;
    reported.load = Some(load);
    reported.load_at = Some(now);
    Ok(None)
}
