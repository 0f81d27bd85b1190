//! A loopback proxy that can cut, silence and slow what passes.

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

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 4096;

/// What the proxy does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Passes all on.
    Forward,
    /// Closes all connections and each new one.
    Disconnect,
    /// Passes nothing on and closes nothing.
    Stall,
    /// Holds each chunk for this long.
    Delay(Duration),
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
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

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn forward(client: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Disconnect {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return; // Closing the near end tells it.
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = copy(client_read, server_write, mode.clone());
    let responses = copy(server_read, client_write, mode.clone());
    let both = async { tokio::join!(requests, responses) };
    tokio::select! {
        _ = both => {}
        // The sender lives as long as the world.
        _ = mode.wait_for(|mode| *mode == Mode::Disconnect) => {}
    }
}

/// Copies until either end closes; the close is passed on.
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
