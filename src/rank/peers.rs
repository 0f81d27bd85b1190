//! The links of a leader to the other members of its group.
//!
//! A task for each runner of the service dials the agent beside it, and keeps
//! the link if that agent's runner belongs to the leader's group.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::maps::RankView;

use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::rank::link::Link;
use crate::rank::wire::Hello;
use crate::rank::wire::LeaderMessage;
use crate::rank::wire::MemberMessage;
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
/// Most messages that wait for a link.
const ORDER_QUEUE_CAPACITY: usize = 16;

/// An event of a link, for the leader.
#[derive(Debug)]
pub(crate) enum PeerEvent {
    /// A member is linked.
    Up {
        /// Rank of the member's runner.
        rank: usize,
        /// Address of its runner.
        runner: SocketAddr,
        /// Queue of messages to the member.
        orders: mpsc::Sender<LeaderMessage>,
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
    pub(crate) log: EventLog,
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
        let (orders, rx) = mpsc::channel(ORDER_QUEUE_CAPACITY);
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
        let end = self.run_link(link, rank, rx).await;
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
        let mut link = Link::new(stream).ok()?;
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

    /// Passes messages in both directions until the link ends, the leader ends or
    /// the member's position changes.
    async fn run_link(
        &self,
        mut link: Link,
        rank: usize,
        mut orders: mpsc::Receiver<LeaderMessage>,
    ) -> std::io::Result<()> {
        loop {
            tokio::select! {
                message = link.recv::<MemberMessage>() => {
                    let message = message?;
                    if let MemberMessage::Position(position) = &message
                        && (position.rank != rank || position.group != self.group)
                    {
                        return Err(std::io::Error::other("the member has another position now"));
                    }
                    let event = PeerEvent::Message { rank, message };
                    self.events.send(event).await.map_err(std::io::Error::other)?;
                }
                order = orders.recv() => match order {
                    Some(order) => link.send(&order).await?,
                    None => return Ok(()),
                },
            }
        }
    }
}
