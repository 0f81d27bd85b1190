//! The accepting end of links: checks who dials, answers beats, hands streams on.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
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

/// Longest time from a handshake to the greeting: the link's clock cannot see
/// a delay of its first message, so this bounds it.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// The process at the dialling end of a link.
#[derive(Debug)]
pub struct AcceptedLink {
    /// Its name, proved by its certificate.
    pub peer: ProcessId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it is an entry.
    pub is_entry: bool,
    clock: std::sync::Mutex<LinkClock>,
}

impl AcceptedLink {
    /// Returns how long a message was held up on the way.
    pub fn delay(&self, now: Instant, sent_us: u64) -> Duration {
        let mut clock = self.clock.lock().expect("no holder panics");
        clock.delay(now, Duration::from_micros(sent_us))
    }
}

/// A stream that a peer opened.
#[derive(Debug)]
pub struct InboundStream {
    /// Who opened it.
    pub from: Arc<AcceptedLink>,
    /// What it is for.
    pub request: StreamRequest,
    /// Writes the answer.
    pub tx: FrameWriter,
}

/// Listens for links and answers each stream that a peer opens on a task of
/// its own; returns the address.
///
/// # Errors
///
/// Fails when the address is taken.
pub fn spawn_listener<H, F>(
    node: Arc<Node>,
    address: SocketAddr,
    cx: CancellationToken,
    answer: H,
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
    tokio::spawn(accept(node, endpoint, Arc::new(answer), cx));
    Ok(bound)
}

async fn accept<H, F>(
    node: Arc<Node>,
    endpoint: quinn::Endpoint,
    answer: Arc<H>,
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
        let answer = Arc::clone(&answer);
        let cx = cx.clone();
        tokio::spawn(async move {
            let Ok(connection) = incoming.await else {
                counter!(UNAUTHENTICATED_PEERS).increment(1);
                return;
            };
            tokio::select! {
                () = serve(&node, &connection, &answer) => {}
                () = cx.cancelled() => {}
            }
            connection.close(0u32.into(), b"closed");
        });
    }
    endpoint.close(0u32.into(), b"closed");
}

async fn serve<H, F>(node: &Arc<Node>, connection: &quinn::Connection, answer: &Arc<H>)
where
    H: Fn(InboundStream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let shaken = node.clock.now();
    let greeted = timeout(HELLO_TIMEOUT, greet(node, connection, shaken)).await;
    let Ok(Some((accepted, tx, rx))) = greeted else {
        counter!(UNAUTHENTICATED_PEERS).increment(1);
        return;
    };
    let accepted = Arc::new(accepted);
    tokio::select! {
        () = answer_beats(node, &accepted, tx, rx) => {}
        () = take_streams(connection, &accepted, answer) => {}
    }
}

async fn greet(
    node: &Node,
    connection: &quinn::Connection,
    shaken: Instant,
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
    let accepted = AcceptedLink {
        peer,
        incarnation: Incarnation(hello.incarnation),
        is_entry: hello.is_entry,
        clock: std::sync::Mutex::new(LinkClock::new(shaken)),
    };
    Some((accepted, tx, rx))
}

async fn answer_beats(
    node: &Arc<Node>,
    accepted: &AcceptedLink,
    mut tx: FrameWriter,
    mut rx: FrameReader,
) {
    let mut heartbeat_trigger = node.heartbeat_trigger.subscribe();
    let mut number = 0;
    loop {
        let echo = tokio::select! {
            frame = rx.read::<Reply>() => {
                let Ok(Some(Reply::Heartbeat(beat))) = frame else {
                    return;
                };
                node.timeline.observe(beat.stamp.into());
                if accepted.is_entry {
                    // What agents have in force proves nothing: they have it from entries.
                    node.config.compare_digest(node.clock.now(), &beat);
                }
                beat.number
            }
            Ok(()) = heartbeat_trigger.changed() => 0,
        };
        number += 1;
        let beat = node.heartbeat_for(&accepted.peer, number, echo);
        if tx.write(&Reply::Heartbeat(beat)).await.is_err() {
            return;
        }
    }
}

async fn take_streams<H, F>(
    connection: &quinn::Connection,
    accepted: &Arc<AcceptedLink>,
    answer: &Arc<H>,
) where
    H: Fn(InboundStream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let accepted = Arc::clone(accepted);
        let answer = Arc::clone(answer);
        tokio::spawn(async move {
            let (tx, mut rx) = (FrameWriter::new(tx), FrameReader::new(rx));
            let Ok(Some(request)) = rx.read::<StreamRequest>().await else {
                counter!(UNAUTHENTICATED_PEERS).increment(1);
                return;
            };
            let stream = InboundStream {
                from: accepted,
                request,
                tx,
            };
            answer(stream).await;
        });
    }
}
