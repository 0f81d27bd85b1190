//! A stand-in for a network path that stops forwarding existing flows.
//!
//! The relay forwards UDP datagrams to one target, and the replies back. A flow is
//! identified by the address of its client. Existing flows can be blackholed for
//! good, in one direction or both, as when a middlebox loses its connection state; new flows still work.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

/// Size of the receive buffer, which fits every UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

#[derive(Debug)]
struct Flow {
    /// Socket that is connected to the target.
    upstream: Arc<UdpSocket>,
    /// Whether datagrams to the target are dropped.
    drops_requests: bool,
    /// Whether datagrams from the target are dropped.
    drops_replies: bool,
}

/// A direction of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the target.
    Requests,
    /// From the target to the client.
    Replies,
}

type Flows = Arc<Mutex<HashMap<SocketAddr, Flow>>>;

/// A handle to a running relay.
#[derive(Clone, Debug)]
pub struct Relay {
    addr: SocketAddr,
    flows: Flows,
}

impl Relay {
    /// Starts a relay to a target, on a loopback port that the system chooses.
    ///
    /// # Errors
    ///
    /// Fails when no port is available.
    pub async fn start(target: SocketAddr, cx: CancellationToken) -> std::io::Result<Self> {
        let client_socket = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let addr = client_socket.local_addr()?;
        let flows = Flows::default();
        let relay = Self {
            addr,
            flows: Arc::clone(&flows),
        };
        tokio::spawn(async move {
            let mut buf = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                let received = tokio::select! {
                    received = client_socket.recv_from(&mut buf) => received,
                    () = cx.cancelled() => return,
                };
                let Ok((len, client)) = received else {
                    continue;
                };
                let Some(upstream) = upstream_of(&flows, &client_socket, client, target, &cx).await
                else {
                    continue;
                };
                let _ = upstream.send(&buf[..len]).await;
            }
        });
        Ok(relay)
    }

    /// Returns the address that clients use in place of the target's.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Drops all further datagrams of the flows that exist now, in both directions.
    pub fn blackhole_flows(&self) {
        self.blackhole_flows_one_way(Direction::Requests);
        self.blackhole_flows_one_way(Direction::Replies);
    }

    /// Drops all further datagrams of the flows that exist now, in one direction.
    pub fn blackhole_flows_one_way(&self, direction: Direction) {
        for flow in self.flows.lock().expect("no holder panics").values_mut() {
            match direction {
                Direction::Requests => flow.drops_requests = true,
                Direction::Replies => flow.drops_replies = true,
            }
        }
    }
}

/// Returns the upstream socket of a flow, which it creates for a new client; `None`
/// if the flow drops requests or no socket is available.
async fn upstream_of(
    flows: &Flows,
    client_socket: &Arc<UdpSocket>,
    client: SocketAddr,
    target: SocketAddr,
    cx: &CancellationToken,
) -> Option<Arc<UdpSocket>> {
    if let Some(flow) = flows.lock().expect("no holder panics").get(&client) {
        return (!flow.drops_requests).then(|| Arc::clone(&flow.upstream));
    }
    let upstream = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.ok()?);
    upstream.connect(target).await.ok()?;
    let flow = Flow {
        upstream: Arc::clone(&upstream),
        drops_requests: false,
        drops_replies: false,
    };
    flows.lock().expect("no holder panics").insert(client, flow);
    tokio::spawn(forward_replies(
        Arc::clone(flows),
        Arc::clone(client_socket),
        Arc::clone(&upstream),
        client,
        cx.clone(),
    ));
    Some(upstream)
}

/// Forwards datagrams from the target to the client of a flow.
async fn forward_replies(
    flows: Flows,
    client_socket: Arc<UdpSocket>,
    upstream: Arc<UdpSocket>,
    client: SocketAddr,
    cx: CancellationToken,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            received = upstream.recv(&mut buf) => received,
            () = cx.cancelled() => return,
        };
        let Ok(len) = received else {
            continue;
        };
        let is_dropped = flows
            .lock()
            .expect("no holder panics")
            .get(&client)
            .is_none_or(|flow| flow.drops_replies);
        if !is_dropped {
            let _ = client_socket.send_to(&buf[..len], client).await;
        }
    }
}
