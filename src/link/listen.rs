//! The accepting end of links: checks who dials, answers beats, hands streams on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gate::LinkClock;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::ProcessId;

use crate::error::Error;
use crate::error::Result;
use crate::link::FrameReader;
use crate::link::FrameWriter;
use crate::link::Open;
use crate::link::Reply;
use crate::node::Node;
use crate::telemetry::STRANGERS;
use crate::tls::peer_is;

/// Longest time from a handshake to the greeting: the link's clock cannot see
/// a delay of its first message, so this bounds it.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Streams that wait for their first frame to be handled.
const INBOUND_QUEUE: usize = 256;

/// The process at the dialling end of a link.
#[derive(Debug)]
pub struct Accepted {
    /// Its name, proved by its certificate.
    pub peer: ProcessId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it is an entry.
    pub entry: bool,
    clock: std::sync::Mutex<LinkClock>,
}

impl Accepted {
    /// Returns how long a message was held up on the way.
    pub fn delay(&self, now: Instant, sent_us: u64) -> Duration {
        let mut clock = self.clock.lock().expect("no holder panics");
        clock.delay(now, Duration::from_micros(sent_us))
    }
}

/// A stream that a peer opened.
#[derive(Debug)]
pub struct Inbound {
    /// Who opened it.
    pub from: Arc<Accepted>,
    /// What it is for.
    pub open: Open,
    /// Writes the answer.
    pub tx: FrameWriter,
    /// Reads what follows the first frame.
    pub rx: FrameReader,
}

/// Listens for links; returns the address and the streams that peers open.
///
/// # Errors
///
/// Fails when the address is taken.
pub fn spawn_listener(
    node: Arc<Node>,
    address: SocketAddr,
    cx: CancellationToken,
) -> Result<(SocketAddr, mpsc::Receiver<Inbound>)> {
    let listen_error = |e: std::io::Error| Error::Listen {
        address: address.to_string(),
        message: e.to_string(),
    };
    let tls = node.tls.borrow().server();
    let endpoint = quinn::Endpoint::server(tls, address).map_err(listen_error)?;
    let bound = endpoint.local_addr().map_err(listen_error)?;
    let (tx, rx) = mpsc::channel(INBOUND_QUEUE);
    tokio::spawn(accept(node, endpoint, tx, cx));
    Ok((bound, rx))
}

async fn accept(
    node: Arc<Node>,
    endpoint: quinn::Endpoint,
    inbound: mpsc::Sender<Inbound>,
    cx: CancellationToken,
) {
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
        let inbound = inbound.clone();
        let cx = cx.clone();
        tokio::spawn(async move {
            let Ok(connection) = incoming.await else {
                counter!(STRANGERS).increment(1);
                return;
            };
            tokio::select! {
                () = serve(&node, &connection, inbound) => {}
                () = cx.cancelled() => {}
            }
            connection.close(0u32.into(), b"closed");
        });
    }
    endpoint.close(0u32.into(), b"closed");
}

async fn serve(node: &Arc<Node>, connection: &quinn::Connection, inbound: mpsc::Sender<Inbound>) {
    let shaken = node.clock.now();
    let greeted = timeout(HELLO_TIMEOUT, greet(node, connection, shaken)).await;
    let Ok(Some((accepted, tx, rx))) = greeted else {
        counter!(STRANGERS).increment(1);
        return;
    };
    let accepted = Arc::new(accepted);
    tokio::select! {
        () = answer_beats(node, &accepted, tx, rx) => {}
        () = take_streams(connection, &accepted, inbound) => {}
    }
}

async fn greet(
    node: &Node,
    connection: &quinn::Connection,
    shaken: Instant,
) -> Option<(Accepted, FrameWriter, FrameReader)> {
    let (tx, rx) = connection.accept_bi().await.ok()?;
    let (mut tx, mut rx) = (FrameWriter::new(tx), FrameReader::new(rx));
    let Ok(Some(Open::Hello(hello))) = rx.read().await else {
        return None;
    };
    let peer = ProcessId::new(hello.process);
    if !peer_is(connection, &peer) {
        return None;
    }
    tx.write(&Reply::Hello(node.hello())).await.ok()?;
    let accepted = Accepted {
        peer,
        incarnation: Incarnation(hello.incarnation),
        entry: hello.entry,
        clock: std::sync::Mutex::new(LinkClock::new(shaken)),
    };
    Some((accepted, tx, rx))
}

async fn answer_beats(
    node: &Arc<Node>,
    accepted: &Accepted,
    mut tx: FrameWriter,
    mut rx: FrameReader,
) {
    let mut urgent = node.urgent.subscribe();
    let mut number = 0;
    loop {
        let echo = tokio::select! {
            frame = rx.read::<Reply>() => {
                let Ok(Some(Reply::Beat(beat))) = frame else {
                    return;
                };
                node.timeline.observe(beat.stamp.into());
                if accepted.entry {
                    // What agents have in force proves nothing: they have it from entries.
                    node.config.compare(node.clock.now(), &beat);
                }
                beat.number
            }
            Ok(()) = urgent.changed() => 0,
        };
        number += 1;
        let beat = node.beat_to(&accepted.peer, number, echo);
        if tx.write(&Reply::Beat(beat)).await.is_err() {
            return;
        }
    }
}

async fn take_streams(
    connection: &quinn::Connection,
    accepted: &Arc<Accepted>,
    inbound: mpsc::Sender<Inbound>,
) {
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let accepted = Arc::clone(accepted);
        let inbound = inbound.clone();
        tokio::spawn(async move {
            let (tx, mut rx) = (FrameWriter::new(tx), FrameReader::new(rx));
            let Ok(Some(open)) = rx.read::<Open>().await else {
                counter!(STRANGERS).increment(1);
                return;
            };
            let stream = Inbound {
                from: accepted,
                open,
                tx,
                rx,
            };
            // The receiver is gone only at shutdown.
            let _ = inbound.send(stream).await;
        });
    }
}
