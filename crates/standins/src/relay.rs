//! A network path that can lose track of the connections it carries.
//!
//! Datagrams of a flow, a sender's address, go to one target and back. A flow
//! that is silenced stays silent for good, while a new flow works.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

#[derive(Debug)]
struct Flow {
    outward: Arc<UdpSocket>,
    silent: bool,
}

type Flows = Arc<Mutex<HashMap<SocketAddr, Flow>>>;

/// A running relay.
#[derive(Clone, Debug)]
pub struct Relay {
    addr: SocketAddr,
    flows: Flows,
}

impl Relay {
    /// Starts a relay to a target on a loopback port of the system's choice.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub async fn start(target: SocketAddr, cx: CancellationToken) -> std::io::Result<Self> {
        let inward = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let addr = inward.local_addr()?;
        let flows = Flows::default();
        let relay = Self {
            addr,
            flows: Arc::clone(&flows),
        };
        tokio::spawn(async move {
            let mut buf = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                let received = tokio::select! {
                    received = inward.recv_from(&mut buf) => received,
                    () = cx.cancelled() => return,
                };
                let Ok((len, from)) = received else {
                    continue;
                };
                let Some(outward) = flow(&flows, &inward, from, target, &cx).await else {
                    continue;
                };
                let _ = outward.send(&buf[..len]).await;
            }
        });
        Ok(relay)
    }

    /// Returns the address that stands for the target.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Silences every flow that exists now, both ways and for good.
    pub fn blackhole_flows(&self) {
        for flow in self.flows.lock().expect("no holder panics").values_mut() {
            flow.silent = true;
        }
    }
}

async fn flow(
    flows: &Flows,
    inward: &Arc<UdpSocket>,
    from: SocketAddr,
    target: SocketAddr,
    cx: &CancellationToken,
) -> Option<Arc<UdpSocket>> {
    if let Some(flow) = flows.lock().expect("no holder panics").get(&from) {
        return (!flow.silent).then(|| Arc::clone(&flow.outward));
    }
    let outward = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.ok()?);
    outward.connect(target).await.ok()?;
    let flow = Flow {
        outward: Arc::clone(&outward),
        silent: false,
    };
    flows.lock().expect("no holder panics").insert(from, flow);
    tokio::spawn(carry_back(
        Arc::clone(flows),
        Arc::clone(inward),
        Arc::clone(&outward),
        from,
        cx.clone(),
    ));
    Some(outward)
}

async fn carry_back(
    flows: Flows,
    inward: Arc<UdpSocket>,
    outward: Arc<UdpSocket>,
    to: SocketAddr,
    cx: CancellationToken,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            received = outward.recv(&mut buf) => received,
            () = cx.cancelled() => return,
        };
        let Ok(len) = received else {
            continue;
        };
        let silent = flows
            .lock()
            .expect("no holder panics")
            .get(&to)
            .is_none_or(|flow| flow.silent);
        if !silent {
            let _ = inward.send_to(&buf[..len], to).await;
        }
    }
}
