//! The links of a leader to the other members of its group.
//!
//! A task for each runner of the service dials the agent beside it, and keeps
//! the link if that agent's runner belongs to the leader's group.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::maps::LastMap;
use wisteriawick_core::maps::RankView;
use wisteriawick_core::maps::ReportIntervals;

use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::rank::link::Link;
use crate::rank::link::LinkReader;
use crate::rank::link::LinkWriter;
use crate::rank::order::EpochOrder;
use crate::rank::wire::Hello;
use crate::rank::wire::LeaderMessage;
use crate::rank::wire::MemberMessage;
use crate::rank::wire::OrderMessage;
use crate::rank::wire::PositionWire;

/// Longest wait for a connection to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before an agent is dialed again.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// Delay before an agent of another group is dialed again, since runners may be
/// assigned to other groups.
const OTHER_GROUP_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Longest wait for the first message of a member.
const POSITION_TIMEOUT: Duration = Duration::from_secs(1);

/// An event of a link, for the leader.
#[derive(Debug)]
pub(crate) enum PeerEvent {
    /// A member is linked.
    Up {
        /// Rank of the member's runner.
        rank: usize,
        /// Address of its runner.
        runner: SocketAddr,
        /// The newest order to the member. An earlier one that is not sent yet is replaced.
        orders: watch::Sender<Option<EpochOrder>>,
    },
    /// A member sent a message.
    Message {
        /// Rank of the member that sent it.
        rank: usize,
        /// What the member sent.
        message: MemberMessage,
    },
    /// An attempt to arm a rank without a link ended.
    ArmedDirectly {
        /// The rank.
        rank: usize,
        /// The state that its runner reported last, if any.
        view: Option<RankView>,
    },
    /// The link to a member ended.
    Down {
        /// Rank of the member that is no longer linked.
        rank: usize,
    },
}

/// Keeps up the link to one agent.
pub(crate) struct PeerDialer {
    /// Address of the agent.
    pub(crate) agent: SocketAddr,
    /// Address of its runner.
    pub(crate) runner: SocketAddr,
    /// Group of the leader.
    pub(crate) group: String,
    pub(crate) events: mpsc::Sender<PeerEvent>,
    /// What all members are told.
    pub(crate) news: GroupNews,
    pub(crate) log: EventLog,
}

/// What a leader tells all members of its group.
#[derive(Clone)]
pub(crate) struct GroupNews {
    /// Addresses of the group's runners by rank; empty until all are known.
    pub(crate) runners: watch::Receiver<Vec<Option<SocketAddr>>>,
    /// How often members report.
    pub(crate) intervals: watch::Receiver<ReportIntervals>,
}

/// What the task of a link sends to its member.
struct Outgoing {
    orders: watch::Receiver<Option<EpochOrder>>,
    news: GroupNews,
    last_map: LastMap,
}

impl PeerDialer {
    /// Dials the agent again whenever the link ends, until `stop` is cancelled.
    pub(crate) async fn run(self, stop: CancellationToken) {
        loop {
            let delay = tokio::select! {
                delay = self.link_once() => delay,
                () = stop.cancelled() => return,
            };
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = stop.cancelled() => return,
            }
        }
    }

    /// Runs one link to its end; returns the delay before the next one.
    async fn link_once(&self) -> Duration {
        let Some((link, position)) = self.connect().await else {
            return RECONNECT_DELAY;
        };
        if position.group != self.group {
            return OTHER_GROUP_RETRY_DELAY;
        }
        let rank = position.rank;
        let (orders, orders_rx) = watch::channel(None);
        let up = PeerEvent::Up {
            rank,
            runner: self.runner,
            orders,
        };
        if self.events.send(up).await.is_err() {
            return RECONNECT_DELAY;
        }
        self.log
            .line(EventCategory::State, "peer_met", json!({"rank": rank}));
        let mut outgoing = Outgoing {
            orders: orders_rx,
            news: self.news.clone(),
            last_map: LastMap::default(),
        };
        outgoing.news.intervals.mark_changed();
        if !outgoing.news.runners.borrow().is_empty() {
            outgoing.news.runners.mark_changed();
        }
        let (reader, writer) = link.split();
        let end = tokio::select! {
            end = self.receive(reader, rank) => end,
            end = outgoing.send(writer) => end,
        };
        let error = end.err().map(|e| e.to_string());
        let fields = json!({"rank": rank, "error": error});
        self.log.line(EventCategory::State, "peer_lost", fields);
        // This fails only if the leader has ended.
        let _ = self.events.send(PeerEvent::Down { rank }).await;
        RECONNECT_DELAY
    }

    /// Opens a link; returns it with the member's position in its group.
    async fn connect(&self) -> Option<(Link, PositionWire)> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.agent))
            .await
            .ok()?
            .ok()?;
        let mut link = Link::to_member(stream).ok()?;
        link.send(&Hello::Leader).await.ok()?;
        let first = tokio::time::timeout(POSITION_TIMEOUT, link.recv())
            .await
            .ok()?
            .ok()?;
        match first {
            MemberMessage::Position(position) => Some((link, position)),
            _ => None,
        }
    }

    /// Passes on what the member sends until the link ends, the leader ends or the member's
    /// position changes.
    async fn receive(&self, mut reader: LinkReader, rank: usize) -> std::io::Result<()> {
        loop {
            let message = reader.recv::<MemberMessage>().await?;
            if let MemberMessage::Position(position) = &message
                && (position.rank != rank || position.group != self.group)
            {
                return Err(std::io::Error::other("the member has another position now"));
            }
            let event = PeerEvent::Message { rank, message };
            self.events
                .send(event)
                .await
                .map_err(std::io::Error::other)?;
        }
    }
}

impl Outgoing {
    /// Sends orders and news until the link or the leader ends. Orders go first.
    async fn send(&mut self, mut writer: LinkWriter) -> std::io::Result<()> {
        loop {
            let message = tokio::select! {
                biased;
                changed = self.orders.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let order = self.orders.borrow_and_update().clone();
                    let Some(order) = order else {
                        continue;
                    };
                    let order = OrderMessage::new(&order, &mut self.last_map);
                    let problem = "the map has too many sets or ranks to be sent";
                    LeaderMessage::Order(order.ok_or_else(|| std::io::Error::other(problem))?)
                }
                changed = self.news.intervals.changed() => {
                    changed.map_err(std::io::Error::other)?;
                    LeaderMessage::Intervals((*self.news.intervals.borrow_and_update()).into())
                }
                changed = self.news.runners.changed() => {
                    changed.map_err(std::io::Error::other)?;
                    LeaderMessage::Runners(self.news.runners.borrow_and_update().clone())
                }
            };
            writer.send(&message).await?;
        }
    }
}
