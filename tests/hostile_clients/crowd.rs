//! Clients that keep to no rule.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Time that a crowd gets to send what it has. Clients that are not read stay blocked.
const SEND_TIME: Duration = Duration::from_secs(5);
/// Pause between two pieces of a client that sends slowly.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Bytes that are written at once.
const WRITE_BYTES: usize = 64 * 1024;

/// What each client of a crowd sends before it stays open without a further byte.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    pub(crate) head: String,
    /// Sent again and again after the head.
    pub(crate) unit: Vec<u8>,
    /// How many units.
    pub(crate) units: usize,
    /// Whether it pauses between writes.
    pub(crate) is_slow: bool,
    /// Receive buffer; small ones keep the answer in the server.
    pub(crate) receive_bytes: Option<u32>,
}

impl Script {
    /// Sends just this head.
    pub(crate) fn head(head: impl Into<String>) -> Self {
        Self {
            head: head.into(),
            unit: Vec::new(),
            units: 0,
            is_slow: false,
            receive_bytes: None,
        }
    }

    /// Sends a unit a number of times after the head.
    pub(crate) fn then(mut self, unit: impl Into<Vec<u8>>, units: usize) -> Self {
        self.unit = unit.into();
        self.units = units;
        self
    }

    pub(crate) fn slowly(mut self) -> Self {
        self.is_slow = true;
        self
    }

    pub(crate) fn with_small_receive_buffer(mut self) -> Self {
        self.receive_bytes = Some(4 * 1024);
        self
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        if let Some(bytes) = self.receive_bytes {
            socket.set_recv_buffer_size(bytes)?;
        }
        socket.connect(address).await
    }

    async fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(self.head.as_bytes()).await?;
        if self.unit.is_empty() {
            return Ok(());
        }
        let per_write = (WRITE_BYTES / self.unit.len()).max(1);
        let mut left = self.units;
        while left > 0 {
            let units = left.min(per_write);
            stream.write_all(&self.unit.repeat(units)).await?;
            left -= units;
            if self.is_slow {
                tokio::time::sleep(PIECE_PAUSE).await;
            }
        }
        Ok(())
    }
}

/// Clients whose connections stay open until the crowd is dropped.
pub(crate) struct Crowd {
    clients: JoinSet<()>,
}

impl Crowd {
    /// Sends a script from many connections at once, and waits until it is sent as far as
    /// the server lets it.
    pub(crate) async fn gather(address: SocketAddr, clients: usize, script: &Script) -> Self {
        let mut tasks = JoinSet::new();
        for _ in 0..clients {
            let script = script.clone();
            tasks.spawn(async move {
                // A refusal or a closed connection is allowed.
                if let Ok(mut stream) = script.connect(address).await {
                    let _ = script.send(&mut stream).await;
                    std::future::pending::<()>().await;
                }
            });
        }
        tokio::time::sleep(SEND_TIME).await;
        Self { clients: tasks }
    }

    /// Closes all connections.
    pub(crate) async fn leave(mut self) {
        self.clients.shutdown().await;
    }
}
