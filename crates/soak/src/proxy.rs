//! A loopback TCP proxy that can disconnect, stall or delay connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_standins::http_server::accept_each;

/// Size of the buffer from which data is forwarded.
const CHUNK_BYTES: usize = 4096;

/// What the proxy does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Forwards all data.
    Forward,
    /// Closes all connections, and new ones at once.
    Disconnect,
    /// Forwards no data, but keeps connections open until one side closes.
    Stall,
    /// Delays each chunk of data by this time.
    Delay(Duration),
}

/// A proxy in front of one address. It runs until its token is cancelled.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Starts a proxy for `target` on a free port.
    pub(crate) async fn start(
        target: SocketAddr,
        shutdown: CancellationToken,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::Forward);
        let mode_receiver = mode.subscribe();
        tokio::spawn(async move {
            accept_each(listener, shutdown, |stream| {
                forward(stream, target, mode_receiver.clone())
            })
            .await;
        });
        Ok(Self { address, mode })
    }

    /// Returns the address on which the proxy listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of all present and future connections.
    pub(crate) fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Forwards data until both directions have ended or the mode is `Disconnect`.
async fn forward(client: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Disconnect {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return; // Dropping `client` closes its connection.
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = copy(client_read, server_write, mode.clone());
    let responses = copy(server_read, client_write, mode.clone());
    let both = async { tokio::join!(requests, responses) };
    tokio::select! {
        _ = both => {}
        // Resolves only in this mode: the fixture keeps the sender during the run.
        _ = mode.wait_for(|mode| *mode == Mode::Disconnect) => {}
    }
}

/// Copies data until the reader reaches its end, then shuts down the writer. An error on
/// either side also ends it.
async fn copy(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
) -> std::io::Result<()> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let length = reader.read(&mut buf).await?;
        if length == 0 {
            return writer.shutdown().await;
        }
        let resumed = mode.wait_for(|mode| *mode != Mode::Stall).await;
        let delay = match resumed.map(|mode| *mode) {
            Ok(Mode::Delay(delay)) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        writer.write_all(&buf[..length]).await?;
    }
}
