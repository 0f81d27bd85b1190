//! The dialing end of a link: connects to a process, exchanges heartbeats and reconnects
//! when the link is lost.

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

/// Interval between heartbeats while a stream is open on the link, or while a reply to a
/// heartbeat is missing.
const HEARTBEAT_INTERVAL_IN_USE: Duration = Duration::from_millis(250);
/// Interval between heartbeats while no stream is open on the link.
const HEARTBEAT_INTERVAL_IDLE: Duration = Duration::from_millis(2_000);
/// Time without a reply to a heartbeat after which the link is closed and dialed again.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of the TLS handshake, and of the exchange of hello frames after it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bounds of the delay before the process is dialed again.
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(50);
const MAX_REDIAL_DELAY: Duration = Duration::from_millis(1_000);

/// An open link to another process.
#[derive(Clone, Debug)]
pub struct Link {
    connection: quinn::Connection,
    /// Incarnation of the process at the other end.
    pub incarnation: Incarnation,
    opened: Instant,
    activity: Activity,
    /// Keeps the UDP socket of this link open as long as a clone of the link exists.
    _endpoint: Arc<quinn::Endpoint>,
}

impl Link {
    /// Returns the time since the link opened, in microseconds.
    pub fn age_us(&self, now: Instant) -> u64 {
        to_micros(now.saturating_duration_since(self.opened))
    }

    /// Opens a stream, without sending anything yet.
    ///
    /// # Errors
    ///
    /// Fails when the link is closed.
    pub async fn open_stream(&self) -> Result<(FrameWriter, FrameReader)> {
        let (tx, rx) = self.connection.open_bi().await.map_err(|e| Error::Link {
            peer: self.connection.remote_address().to_string(),
            message: e.to_string(),
        })?;
        let reader = FrameReader::new(rx).with_guard(self.activity.begin());
        Ok((FrameWriter::new(tx), reader))
    }

    /// Sends a request on a stream of its own and returns the reply.
    ///
    /// # Errors
    ///
    /// Fails when the link or the stream closes before the reply.
    pub async fn request(&self, request: &StreamRequest) -> Result<Reply> {
        let (mut tx, mut rx) = self.open_stream().await?;
        let error = |message: String| Error::Link {
            peer: self.connection.remote_address().to_string(),
            message,
        };
        tx.write(request).await.map_err(|e| error(e.to_string()))?;
        tx.finish();
        rx.read()
            .await
            .map_err(|e| error(e.to_string()))?
            .ok_or_else(|| error("no reply".into()))
    }
}

/// What a dialer reports about its link.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// The link is open.
    Up(ProcessId, Link),
    /// The link closed; the dialer is reconnecting.
    Down(ProcessId),
    /// A heartbeat arrived.
    Heartbeat(ProcessId, Heartbeat),
}

/// Starts a task that keeps a link to a process open until the token is cancelled.
///
/// The task then reports nothing more, and closes the link when its streams have ended.
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
        dialer.run(&cx).await;
    });
}

struct Dialer {
    node: Arc<Node>,
    peer: ProcessId,
    address: SocketAddr,
    events: mpsc::Sender<LinkEvent>,
}

impl Dialer {
    async fn run(&self, cx: &CancellationToken) {
        let mut delay = MIN_REDIAL_DELAY;
        loop {
            let connected = tokio::select! {
                connected = self.connect() => connected,
                () = cx.cancelled() => return,
            };
            if let Ok((link, control)) = connected {
                delay = MIN_REDIAL_DELAY;
                self.node
                    .timeline
                    .record(EventKind::LinkUp(self.peer.clone()));
                let up = LinkEvent::Up(self.peer.clone(), link.clone());
                if !self.report(up, cx).await {
                    return;
                }
                self.exchange_heartbeats(control, &link.activity, cx).await;
                if cx.is_cancelled() {
                    link.connection.close(0u32.into(), b"closed");
                    return;
                }
                link.connection.close(0u32.into(), b"no heartbeat");
                counter!(LINKS_LOST).increment(1);
                self.node
                    .timeline
                    .record(EventKind::LinkDown(self.peer.clone()));
                let down = LinkEvent::Down(self.peer.clone());
                if !self.report(down, cx).await {
                    return;
                }
            }
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = cx.cancelled() => return,
            }
            delay = (delay * 2).min(MAX_REDIAL_DELAY);
        }
    }

    /// Reports an event; returns whether it was sent before the token was cancelled.
    async fn report(&self, event: LinkEvent, cx: &CancellationToken) -> bool {
        tokio::select! {
            biased;
            () = cx.cancelled() => false,
            sent = self.events.send(event) => sent.is_ok(),
        }
    }

    async fn connect(&self) -> Result<(Link, (FrameWriter, FrameReader))> {
        let error = |message: String| Error::Link {
            peer: self.peer.to_string(),
            message,
        };
        // Each connection uses a new port, since a device on the path may have lost its
        // state for the former one.
        let local_address = match self.address {
            SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        };
        let endpoint = quinn::Endpoint::client(local_address).map_err(|e| error(e.to_string()))?;
        let tls = self.node.tls.borrow().client();
        let connecting = endpoint
            .connect_with(tls, self.address, &certificate_name(&self.peer))
            .map_err(|e| error(e.to_string()))?;
        let connection = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| error("the TLS handshake timed out".into()))?
            .map_err(|e| error(e.to_string()))?;
        let opened = self.node.clock.now();
        let hello = timeout(CONNECT_TIMEOUT, self.exchange_hello(&connection))
            .await
            .map_err(|_| error("no hello frame arrived in time".into()))??;
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

    async fn exchange_hello(
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
            Ok(_) => Err(error("the first frame is not a hello".into())),
            Err(e) => Err(error(e.to_string())),
        }
    }

    /// Exchanges heartbeats until one gets no reply in time, the control stream ends, or the
    /// token is cancelled and no stream is open.
    async fn exchange_heartbeats(
        &self,
        (mut tx, mut rx): (FrameWriter, FrameReader),
        activity: &Activity,
        cx: &CancellationToken,
    ) {
        let mut number = 0;
        let mut closing = false;
        let mut unanswered_since: Option<tokio::time::Instant> = None;
        let next = tokio::time::sleep(Duration::ZERO);
        tokio::pin!(next);
        loop {
            tokio::select! {
                () = cx.cancelled(), if !closing => {
                    closing = true;
                    // Until then, tasks that hold the link have learned of its end.
                    next.as_mut().reset(tokio::time::Instant::now() + HEARTBEAT_INTERVAL_IN_USE);
                }
                () = &mut next => {
                    if closing && !activity.is_used() {
                        return;
                    }
                    if unanswered_since.is_some_and(|since| since.elapsed() > HEARTBEAT_TIMEOUT) {
                        return;
                    }
                    number += 1;
                    unanswered_since.get_or_insert_with(tokio::time::Instant::now);
                    let heartbeat = self.node.heartbeat(number, 0);
                    let sent =
                        timeout(HEARTBEAT_TIMEOUT, tx.write(&Reply::Heartbeat(heartbeat))).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        return;
                    }
                    // The reply to this heartbeat sets the longer interval if the link is idle.
                    next.as_mut().reset(tokio::time::Instant::now() + HEARTBEAT_INTERVAL_IN_USE);
                }
                () = activity.stream_opened() => {
                    let next_at_latest = tokio::time::Instant::now() + HEARTBEAT_INTERVAL_IN_USE;
                    if next.deadline() > next_at_latest {
                        // The link was idle, and the path may have been lost meanwhile: test it
                        // now instead of at the next idle heartbeat.
                        next.as_mut().reset(tokio::time::Instant::now());
                    }
                }
                frame = rx.read::<Reply>() => {
                    let Ok(Some(Reply::Heartbeat(heartbeat))) = frame else {
                        return;
                    };
                    if heartbeat.echo == number {
                        unanswered_since = None;
                        let interval = if closing || activity.is_used() {
                            HEARTBEAT_INTERVAL_IN_USE
                        } else {
                            HEARTBEAT_INTERVAL_IDLE
                        };
                        next.as_mut().reset(tokio::time::Instant::now() + interval);
                    }
                    self.node.timeline.observe(heartbeat.stamp.into());
                    if closing {
                        continue;
                    }
                    let event = LinkEvent::Heartbeat(self.peer.clone(), heartbeat);
                    if self.events.send(event).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}
