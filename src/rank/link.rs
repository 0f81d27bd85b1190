//! Links to agents: from a leader to each member, and from entries to leaders.
//!
//! The links are not authenticated. They carry no secrets, and a runner accepts
//! orders from anyone who can reach it, so an unauthenticated peer can do
//! nothing over a link that it could not do at the runner itself. No request
//! depends on the links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gateway::CrashNote;
use wisteriawick_core::gateway::EntryId;

use crate::accept;
use crate::crash_board::CrashBoard;
use crate::crash_board::CrashNotes;
use crate::gateway::PEER_USER_TIMEOUT;
use crate::gateway::enable_dead_peer_detection;
use crate::rank::limit_board::LimitBoard;
use crate::rank::limit_board::LimitLink;
use crate::rank::member::MemberHandle;
use crate::rank::member::OwnRank;
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

/// Largest message between a leader and a member, in bytes. The map of a group of 64
/// ranks takes less than 200 kB.
const MAX_MESSAGE_BYTES: usize = 512 * 1024;
/// Largest message from a leader to an entry, in bytes.
const MAX_GROUP_MESSAGE_BYTES: usize = 64 * 1024;
/// Largest message from an entry to a leader, in bytes.
const MAX_ENTRY_MESSAGE_BYTES: usize = 64 * 1024;
/// Most notes about requests that crash runners in one message. A note takes at most
/// about 300 bytes.
const MAX_NOTES_PER_MESSAGE: usize = 64;
/// Largest first message of a link, in bytes.
const MAX_HELLO_BYTES: usize = 64;
/// Size of the length prefix of a message.
const LENGTH_BYTES: usize = 4;
/// Space that is kept free in the buffer of a link for the next read, in bytes.
const MIN_READ_BYTES: usize = 4 * 1024;
/// Longest time from the first byte of a message to its end.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for the first message of an accepted link.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Shortest time between two reports of a group's load to an entry: about two
/// passes. Over shorter times an entry knows its own part of the load better.
const MIN_LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(80);

/// What an agent knows of its group beyond its own rank.
#[derive(Clone, Debug)]
pub(crate) struct GroupHandle {
    /// The group's load, while this agent leads.
    pub(crate) load: watch::Receiver<Option<GroupLoadWire>>,
    /// Addresses of the group's runners by rank, as the leader sent them.
    pub(crate) runners: watch::Sender<Vec<Option<SocketAddr>>>,
    /// Entries that are linked to this agent while it leads.
    pub(crate) entries: Arc<AtomicU16>,
    /// What the linked entries know of requests that crash runners.
    pub(crate) crashes: CrashBoard,
    /// What the linked entries know of the rate limits of runners.
    pub(crate) limits: LimitBoard,
}

/// A connection that carries messages, each preceded by its length as a big-endian
/// 32-bit number.
pub(crate) struct Link {
    stream: TcpStream,
    buf: BytesMut,
    max_message: usize,
    /// When the message that has begun to arrive must be complete.
    message_due: Option<Instant>,
}

impl Link {
    /// Returns a link that accepts messages of up to `max_message` bytes.
    fn with_limit(stream: TcpStream, max_message: usize) -> std::io::Result<Self> {
        enable_dead_peer_detection(&stream, PEER_USER_TIMEOUT)?;
        Ok(Self {
            stream,
            buf: BytesMut::new(),
            max_message,
            message_due: None,
        })
    }

    /// Returns a link from a leader to a member.
    pub(crate) fn to_member(stream: TcpStream) -> std::io::Result<Self> {
        Self::with_limit(stream, MAX_MESSAGE_BYTES)
    }

    /// Returns a link from an entry to the leader of a group.
    pub(crate) fn to_leader(stream: TcpStream) -> std::io::Result<Self> {
        Self::with_limit(stream, MAX_GROUP_MESSAGE_BYTES)
    }

    pub(crate) async fn send<T: Serialize>(&mut self, message: &T) -> std::io::Result<()> {
        let bytes = postcard::to_allocvec(message).map_err(std::io::Error::other)?;
        let length = u32::try_from(bytes.len()).map_err(std::io::Error::other)?;
        let mut frame = BytesMut::with_capacity(LENGTH_BYTES + bytes.len());
        frame.extend_from_slice(&length.to_be_bytes());
        frame.extend_from_slice(&bytes);
        self.stream.write_all(&frame).await
    }

    /// Receives the next message. No byte is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the link has ended, if the message is too large or cannot be decoded, or
    /// if it has begun and does not end in time.
    pub(crate) async fn recv<T: DeserializeOwned>(&mut self) -> std::io::Result<T> {
        loop {
            if let Some(message) = self.split_message()? {
                self.message_due = None;
                return postcard::from_bytes(&message).map_err(std::io::Error::other);
            }
            if self.message_due.is_none() && !self.buf.is_empty() {
                self.message_due = Some(Instant::now() + MESSAGE_TIMEOUT);
            }
            self.buf.reserve(MIN_READ_BYTES);
            let read = self.stream.read_buf(&mut self.buf);
            let len = match self.message_due {
                Some(due) => tokio::time::timeout_at(due, read).await??,
                None => read.await?,
            };
            if len == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Removes the next message from the buffer if it is complete.
    fn split_message(&mut self) -> std::io::Result<Option<BytesMut>> {
        let Some(prefix) = self.buf.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > self.max_message {
            let problem = format!("a message of {length} bytes exceeds the maximum size");
            return Err(std::io::Error::other(problem));
        }
        if self.buf.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        Ok(Some(self.buf.split_to(length)))
    }
}

/// Accepts links of leaders and entries until `stop` is cancelled.
pub(crate) async fn serve(
    listener: TcpListener,
    member: MemberHandle,
    group: GroupHandle,
    stop: CancellationToken,
) {
    accept::serve_connections(listener, stop, |stream| {
        let member = member.clone();
        let group = group.clone();
        async move {
            if let Ok(link) = Link::with_limit(stream, MAX_HELLO_BYTES) {
                // After a failure, the process that dialed dials again.
                let _ = handle(link, member, group).await;
            }
        }
    })
    .await;
}

/// Serves a link according to its first message.
async fn handle(mut link: Link, member: MemberHandle, group: GroupHandle) -> std::io::Result<()> {
    let hello = tokio::time::timeout(HELLO_TIMEOUT, link.recv::<Hello>()).await??;
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
    link.max_message = MAX_ENTRY_MESSAGE_BYTES;
    let _guard = EntryGuard::new(&group.entries);
    let mut reported_entries = 0;
    let mut notes = EntryNotes::default();
    loop {
        let entries = group.entries.load(Ordering::Relaxed);
        if entries != reported_entries {
            link.send(&GroupMessage::Entries(entries)).await?;
            reported_entries = entries;
        }
        let load = group.load.borrow_and_update().clone();
        if let Some(load) = load {
            link.send(&GroupMessage::Load(load)).await?;
        }
        let next_report = Instant::now() + MIN_LOAD_REPORT_INTERVAL;
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
}

/// Exchanges notes with an entry about requests that crash runners and about rate limits,
/// until the group's load has changed and the next report of it is due.
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
            },
            news = next_notes(&mut notes.crashes) => {
                send_notes(link, &news, GroupMessage::Crashes).await?;
            }
            changed = next_limits(&mut notes.limits) => {
                link.send(&GroupMessage::Limits(changed)).await?;
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
pub(crate) async fn send_notes<T: Serialize>(
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

/// The state that was last reported to the leader at the other end of a link.
#[derive(Default)]
struct Reported {
    position: Option<PositionWire>,
    view: Option<ViewWire>,
    load: Option<LoadWire>,
    experts: Option<ExpertsWire>,
}

/// Reports this rank's state to a leader, and passes on the leader's orders.
async fn serve_leader(
    mut link: Link,
    mut member: MemberHandle,
    group: GroupHandle,
) -> std::io::Result<()> {
    link.max_message = MAX_MESSAGE_BYTES;
    let mut counts = member.counts();
    let mut reported = Reported::default();
    report_changes(&mut link, &mut reported, &member).await?;
    loop {
        tokio::select! {
            changed = member.own.changed() => {
                changed.map_err(std::io::Error::other)?;
                report_changes(&mut link, &mut reported, &member).await?;
            }
            reading = counts.recv() => match reading {
                Ok(reading) => link.send(&MemberMessage::Counts(reading)).await?,
                // Missed readings only make a plan less exact.
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return Ok(()),
            },
            message = link.recv::<LeaderMessage>() => match message? {
                LeaderMessage::Order(order) => {
                    member.orders.send(order).await.map_err(std::io::Error::other)?;
                }
                LeaderMessage::Runners(runners) => {
                    group.runners.send_replace(runners);
                }
            },
        }
    }
}

/// Reports the parts of this rank's state that changed since they were last
/// reported.
async fn report_changes(
    link: &mut Link,
    reported: &mut Reported,
    member: &MemberHandle,
) -> std::io::Result<()> {
    let own = member.own.borrow().clone();
    let Some(OwnRank {
        state,
        experts,
        load,
    }) = own
    else {
        return Ok(());
    };
    let position = PositionWire::from(&state);
    if reported.position.as_ref() != Some(&position) {
        link.send(&MemberMessage::Position(position.clone()))
            .await?;
        reported.position = Some(position);
    }
    if let Some(experts) = experts
        && reported.experts.as_ref() != Some(&experts)
    {
        link.send(&MemberMessage::Experts(experts.clone())).await?;
        reported.experts = Some(experts);
    }
    let load = LoadWire::from(&load);
    if reported.load != Some(load) {
        link.send(&MemberMessage::Load(load)).await?;
        reported.load = Some(load);
    }
    let view = ViewWire::from(&state.view);
    if reported.view.as_ref() != Some(&view) {
        link.send(&MemberMessage::View(view.clone())).await?;
        reported.view = Some(view);
    }
    Ok(())
}
