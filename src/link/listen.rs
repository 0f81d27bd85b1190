//! The accepting end of links: authenticates the dialing process, exchanges heartbeats
//! and passes the streams that it opens to a handler.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wisteriawick_core::gate::LinkClock;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::ProcessId;

use crate::error::Error;
use crate::error::Result;
use crate::link::FrameReader;
use crate::link::FrameWriter;
use crate::link::Reply;
use crate::link::StreamRequest;
use crate::node::Node;
use crate::telemetry::UNAUTHENTICATED_PEERS;
use crate::tls::peer_has_name;

/// Timeout from the TLS handshake to the hello frame. It also bounds the delay of the first
/// message, which the link's clock cannot measure.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// A link that was accepted, and the process that dialed it.
#[derive(Debug)]
pub struct AcceptedLink {
    /// Name of the process, as certified by its certificate.
    pub peer: ProcessId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Whether the process is an entry.
    pub is_entry: bool,
    clock: std::sync::Mutex<LinkClock>,
}

impl AcceptedLink {
    /// Returns how long a message was delayed in transit, given the time in microseconds
    /// between the opening of the link and its sending.
    pub fn delay(&self, now: Instant, sent_us: u64) -> Duration {
        let mut clock = self.clock.lock().expect("no holder panics");
        clock.delay(now, Duration::from_micros(sent_us))
    }
}

/// A stream that a peer opened, with its request.
#[derive(Debug)]
pub struct InboundStream {
    /// The link on which the stream was opened.
    pub from: Arc<AcceptedLink>,
    /// The first frame of the stream.
    pub request: StreamRequest,
    /// Writes the reply.
    pub tx: FrameWriter,
}

/// Starts a task that accepts links, and returns the bound address.
///
/// The handler runs on a task of its own for each stream that a peer opens. The tracker
/// counts these tasks from the first byte of a stream, also while the request arrives.
///
/// # Errors
///
/// Fails when the address is in use.
pub fn spawn_listener<H, F>(
    node: Arc<Node>,
    address: SocketAddr,
    streams: TaskTracker,
    cx: CancellationToken,
    handler: H,
) -> Result<SocketAddr>
where
    H: Fn(InboundStream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let listen_error = |e: std::io::Error| Error::Listen {
        address: address.to_string(),
        message: e.to_string(),
    };
    let tls = node.tls.borrow().server();
    let endpoint = quinn::Endpoint::server(tls, address).map_err(listen_error)?;
    let bound = endpoint.local_addr().map_err(listen_error)?;
    tokio::spawn(accept(node, endpoint, Arc::new(handler), streams, cx));
    Ok(bound)
}

async fn accept<H, F>(
    node: Arc<Node>,
    endpoint: quinn::Endpoint,
    handler: Arc<H>,
    streams: TaskTracker,
    cx: CancellationToken,
) where
    H: Fn(InboundStream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let mut tls = node.tls.subscribe();
    loop {
        let incoming = tokio::select! {
            incoming = endpoint.accept() => incoming,
            Ok(()) = tls.changed() => {
                endpoint.set_server_config(Some(tls.borrow_and_update().server()));
                continue;
            }
            () = cx.cancelled() => break,
        };
        let Some(incoming) = incoming else {
            break;
        };
        let node = Arc::clone(&node);
        let handler = Arc::clone(&handler);
        let streams = streams.clone();
        let cx = cx.clone();
        tokio::spawn(async move {
            let Ok(connection) = incoming.await else {
                counter!(UNAUTHENTICATED_PEERS).increment(1);
                return;
            };
            tokio::select! {
                () = serve(&node, &connection, &handler, &streams) => {}
                () = cx.cancelled() => {}
            }
            connection.close(0u32.into(), b"closed");
        });
    }
    endpoint.close(0u32.into(), b"closed");
}

async fn serve<H, F>(
    node: &Arc<Node>,
    connection: &quinn::Connection,
    handler: &Arc<H>,
    streams: &TaskTracker,
) where
    H: Fn(InboundStream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let connected_at = node.clock.now();
    let hello = timeout(HELLO_TIMEOUT, accept_hello(node, connection, connected_at)).await;
    let Ok(Some((link, tx, rx))) = hello else {
        counter!(UNAUTHENTICATED_PEERS).increment(1);
        return;
    };
    let link = Arc::new(link);
    tokio::select! {
        () = exchange_heartbeats(node, &link, tx, rx) => {}
        () = accept_streams(connection, &link, handler, streams) => {}
    }
}

/// Reads the hello frame and replies to it; `None` when the frame is missing or names a
/// process for which the certificate is not valid.
async fn accept_hello(
    node: &Node,
    connection: &quinn::Connection,
    connected_at: Instant,
) -> Option<(AcceptedLink, FrameWriter, FrameReader)> {
    let (tx, rx) = connection.accept_bi().await.ok()?;
    let (mut tx, mut rx) = (FrameWriter::new(tx), FrameReader::new(rx));
    let Ok(Some(StreamRequest::Hello(hello))) = rx.read().await else {
        return None;
    };
    let peer = ProcessId::new(hello.process);
    if !peer_has_name(connection, &peer) {
        return None;
    }
    tx.write(&Reply::Hello(node.hello())).await.ok()?;
    let link = AcceptedLink {
        peer,
        incarnation: Incarnation(hello.incarnation),
        is_entry: hello.is_entry,
        clock: std::sync::Mutex::new(LinkClock::new(connected_at)),
    };
    Some((link, tx, rx))
}

/// Replies to heartbeats, and sends one at once when the node announces a change, until the
/// control stream ends.
async fn exchange_heartbeats(
    node: &Arc<Node>,
    link: &AcceptedLink,
    mut tx: FrameWriter,
    mut rx: FrameReader,
) {
    let mut heartbeat_trigger = node.heartbeat_trigger.subscribe();
    let mut number = 0;
    loop {
        let echo = tokio::select! {
            frame = rx.read::<Reply>() => {
                let Ok(Some(Reply::Heartbeat(heartbeat))) = frame else {
                    return;
                };
                node.timeline.observe(heartbeat.stamp.into());
                if link.is_entry {
                    // An agent gets its head from entries, so its digest confirms nothing.
                    node.config.compare_digest(node.clock.now(), &heartbeat);
                }
                heartbeat.number
            }
            Ok(()) = heartbeat_trigger.changed() => 0,
        };
        number += 1;
        let heartbeat = node.heartbeat_for(&link.peer, number, echo);
        if tx.write(&Reply::Heartbeat(heartbeat)).await.is_err() {
            return;
        }
    }
}

async fn accept_streams<H, F>(
    connection: &quinn::Connection,
    link: &Arc<AcceptedLink>,
    handler: &Arc<H>,
    streams: &TaskTracker,
) where
    H: Fn(InboundStream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let link = Arc::clone(link);
        let handler = Arc::clone(handler);
        streams.spawn(async move {
            let (tx, mut rx) = (FrameWriter::new(tx), FrameReader::new(rx));
            let Ok(Some(request)) = rx.read::<StreamRequest>().await else {
                counter!(UNAUTHENTICATED_PEERS).increment(1);
                return;
            };
            let stream = InboundStream {
                from: link,
                request,
                tx,
            };
            handler(stream).await;
        });
    }
}
