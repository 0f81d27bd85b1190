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

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::watch;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

use crate::accept;
use crate::gateway::PEER_USER_TIMEOUT;
use crate::gateway::enable_dead_peer_detection;
use crate::rank::member::MemberHandle;
use crate::rank::member::OwnRank;
use crate::rank::wire::ExpertsWire;
use crate::rank::wire::GroupLoadWire;
use crate::rank::wire::GroupMessage;
use crate::rank::wire::Hello;
use crate::rank::wire::LeaderMessage;
use crate::rank::wire::LoadWire;
use crate::rank::wire::MemberMessage;
use crate::rank::wire::PositionWire;
use crate::rank::wire::ViewWire;

/// Largest message. The map of a group of 64 ranks takes less than 200 kB.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

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
}

/// A connection that carries length-delimited messages.
pub(crate) struct Link {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
}

impl Link {
    pub(crate) fn new(stream: TcpStream) -> std::io::Result<Self> {
        enable_dead_peer_detection(&stream, PEER_USER_TIMEOUT)?;
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_MESSAGE_BYTES)
            .new_codec();
        Ok(Self {
            framed: Framed::new(stream, codec),
        })
    }

    pub(crate) async fn send<T: Serialize>(&mut self, message: &T) -> std::io::Result<()> {
        let bytes = postcard::to_allocvec(message).map_err(std::io::Error::other)?;
        self.framed.send(Bytes::from(bytes)).await
    }

    /// Receives the next message.
    ///
    /// # Errors
    ///
    /// Fails if the link has ended or the message cannot be decoded.
    pub(crate) async fn recv<T: DeserializeOwned>(&mut self) -> std::io::Result<T> {
        let frame = self
            .framed
            .next()
            .await
            .ok_or(std::io::ErrorKind::UnexpectedEof)??;
        postcard::from_bytes(&frame).map_err(std::io::Error::other)
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
            if let Ok(link) = Link::new(stream) {
                // After a failure, the process that dialed dials again.
                let _ = handle(link, member, group).await;
            }
        }
    })
    .await;
}

/// Serves a link according to its first message.
async fn handle(mut link: Link, member: MemberHandle, group: GroupHandle) -> std::io::Result<()> {
    match link.recv::<Hello>().await? {
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
    let _guard = EntryGuard::new(&group.entries);
    let mut reported_entries = 0;
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
        tokio::time::sleep(MIN_LOAD_REPORT_INTERVAL).await;
        group.load.changed().await.map_err(std::io::Error::other)?;
        if !has_position(&member, &position) {
            return Ok(());
        }
    }
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
