//! The dialling end of a link: connects, keeps beats going, redials.

use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::event::EventKind;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::ProcessId;

use crate::error::Error;
use crate::error::Result;
use crate::link::FrameReader;
use crate::link::FrameWriter;
use crate::link::Heartbeat;
use crate::link::Hello;
use crate::link::Reply;
use crate::link::StreamRequest;
use crate::link::activity::Activity;
use crate::link::wire::to_micros;
use crate::node::Node;
use crate::telemetry::LINKS_LOST;
use crate::tls::certificate_name;

/// Time between two heartbeats while a stream is open on the link.
const BEAT_IN_USE: Duration = Duration::from_millis(250);
/// Time between two heartbeats on a link that nobody uses.
const BEAT_IDLE: Duration = Duration::from_millis(2_000);
/// Time that a heartbeat may go unanswered before the link is closed and
/// redialled.
const BEAT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time for a handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bounds of the pause between two tries to connect.
const REDIAL_MIN: Duration = Duration::from_millis(50);
const REDIAL_MAX: Duration = Duration::from_millis(1_000);

/// An open link to another process.
#[derive(Clone, Debug)]
pub struct Link {
    connection: quinn::Connection,
    /// The life of the process at the other end.
    pub incarnation: Incarnation,
    opened: Instant,
    activity: Activity,
    /// Keeps the socket of this link open as long as the link is used.
    _endpoint: Arc<quinn::Endpoint>,
}

impl Link {
    /// Returns the time since the link opened, in microseconds.
    pub fn age_us(&self, now: Instant) -> u64 {
        to_micros(now.saturating_duration_since(self.opened))
    }

    /// Opens a stream; nothing is sent yet.
    ///
    /// # Errors
    ///
    /// Fails when the link is closed.
    pub async fn open_stream(&self) -> Result<(FrameWriter, FrameReader)> {
        let (tx, rx) = self.connection.open_bi().await.map_err(|e| Error::Link {
            peer: self.connection.remote_address().to_string(),
            message: e.to_string(),
        })?;
        let reader = FrameReader::new(rx).with_use(self.activity.begin());
        Ok((FrameWriter::new(tx), reader))
    }

    /// Asks one question on a stream of its own.
    ///
    /// # Errors
    ///
    /// Fails when the link closes before the reply.
    pub async fn request(&self, open: &StreamRequest) -> Result<Reply> {
        let (mut tx, mut rx) = self.open_stream().await?;
        let error = |message: String| Error::Link {
            peer: self.connection.remote_address().to_string(),
            message,
        };
        tx.write(open).await.map_err(|e| error(e.to_string()))?;
        tx.finish();
        rx.read()
            .await
            .map_err(|e| error(e.to_string()))?
            .ok_or_else(|| error("no reply".into()))
    }
}

/// What a dialler tells its owner.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// The link is open.
    Up(ProcessId, Link),
    /// The link closed; it is being redialled.
    Down(ProcessId),
    /// A heartbeat came.
    Heartbeat(ProcessId, Heartbeat),
}

/// Keeps a link to a process until the token is cancelled.
pub fn spawn_dialer(
    node: Arc<Node>,
    peer: ProcessId,
    address: SocketAddr,
    events: mpsc::Sender<LinkEvent>,
    cx: CancellationToken,
) {
    tokio::spawn(async move {
        let dialer = Dialer {
            node,
            peer,
            address,
            events,
        };
        tokio::select! {
            () = dialer.run() => {}
            () = cx.cancelled() => {}
        }
    });
}

struct Dialer {
    node: Arc<Node>,
    peer: ProcessId,
    address: SocketAddr,
    events: mpsc::Sender<LinkEvent>,
}

impl Dialer {
    async fn run(&self) {
        let mut pause = REDIAL_MIN;
        loop {
            if let Ok((link, control)) = self.connect().await {
                pause = REDIAL_MIN;
                self.node
                    .timeline
                    .record(EventKind::LinkUp(self.peer.clone()));
                let up = LinkEvent::Up(self.peer.clone(), link.clone());
                if self.events.send(up).await.is_err() {
                    return;
                }
                self.keep(control, &link.activity).await;
                link.connection.close(0u32.into(), b"no heartbeat");
                counter!(LINKS_LOST).increment(1);
                self.node
                    .timeline
                    .record(EventKind::LinkDown(self.peer.clone()));
                let down = LinkEvent::Down(self.peer.clone());
                if self.events.send(down).await.is_err() {
                    return;
                }
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(REDIAL_MAX);
        }
    }

    async fn connect(&self) -> Result<(Link, (FrameWriter, FrameReader))> {
        let error = |message: String| Error::Link {
            peer: self.peer.to_string(),
            message,
        };
        // A port of its own: the path may have lost track of the former one.
        let any = match self.address {
            SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        };
        let endpoint = quinn::Endpoint::client(any).map_err(|e| error(e.to_string()))?;
        let tls = self.node.tls.borrow().client();
        let connecting = endpoint
            .connect_with(tls, self.address, &certificate_name(&self.peer))
            .map_err(|e| error(e.to_string()))?;
        let connection = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| error("no handshake in time".into()))?
            .map_err(|e| error(e.to_string()))?;
        let opened = self.node.clock.now();
        let hello = timeout(CONNECT_TIMEOUT, self.hello(&connection))
            .await
            .map_err(|_| error("no greeting in time".into()))??;
        let (incarnation, control) = hello;
        let link = Link {
            connection,
            incarnation,
            opened,
            activity: Activity::default(),
            _endpoint: Arc::new(endpoint),
        };
        Ok((link, control))
    }

    async fn hello(
        &self,
        connection: &quinn::Connection,
    ) -> Result<(Incarnation, (FrameWriter, FrameReader))> {
        let error = |message: String| Error::Link {
            peer: self.peer.to_string(),
            message,
        };
        let (tx, rx) = connection
            .open_bi()
            .await
            .map_err(|e| error(e.to_string()))?;
        let mut control = (FrameWriter::new(tx), FrameReader::new(rx));
        let hello = StreamRequest::Hello(self.node.hello());
        control
            .0
            .write(&hello)
            .await
            .map_err(|e| error(e.to_string()))?;
        match control.1.read::<Reply>().await {
            Ok(Some(Reply::Hello(Hello { incarnation, .. }))) => {
                Ok((Incarnation(incarnation), control))
            }
            Ok(_) => Err(error("no greeting".into())),
            Err(e) => Err(error(e.to_string())),
        }
    }

    /// Exchanges heartbeats until one goes unanswered.
    async fn keep(&self, (mut tx, mut rx): (FrameWriter, FrameReader), activity: &Activity) {
        let mut number = 0;
        let mut unanswered: Option<tokio::time::Instant> = None;
        let next = tokio::time::sleep(Duration::ZERO);
        tokio::pin!(next);
        loop {
            tokio::select! {
                () = &mut next => {
                    if unanswered.is_some_and(|since| since.elapsed() > BEAT_TIMEOUT) {
                        return;
                    }
                    number += 1;
                    unanswered.get_or_insert_with(tokio::time::Instant::now);
                    let beat = self.node.heartbeat(number, 0);
                    let sent = timeout(BEAT_TIMEOUT, tx.write(&Reply::Heartbeat(beat))).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        return;
                    }
                    // An answer that comes slows an idle link down.
                    next.as_mut().reset(tokio::time::Instant::now() + BEAT_IN_USE);
                }
                () = activity.began() => {
                    let soon = tokio::time::Instant::now() + BEAT_IN_USE;
                    if next.deadline() > soon {
                        // The path may have been lost while nobody used it.
                        next.as_mut().reset(tokio::time::Instant::now());
                    }
                }
                frame = rx.read::<Reply>() => {
                    let Ok(Some(Reply::Heartbeat(beat))) = frame else {
                        return;
                    };
                    if beat.echo == number {
                        unanswered = None;
                        let pace = if activity.is_used() { BEAT_IN_USE } else { BEAT_IDLE };
                        next.as_mut().reset(tokio::time::Instant::now() + pace);
                    }
                    self.node.timeline.observe(beat.stamp.into());
                    let event = LinkEvent::Heartbeat(self.peer.clone(), beat);
                    if self.events.send(event).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}
