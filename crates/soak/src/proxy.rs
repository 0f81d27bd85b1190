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
const CHUNK: usize = 4096;

/// What the proxy does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Passes all on.
    Open,
    /// Closes all connections and each new one.
    Cut,
    /// Passes nothing on and closes nothing.
    Silent,
    /// Holds each chunk for this long.
    Slow(Duration),
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    pub(crate) async fn start(to: SocketAddr, end: CancellationToken) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::Open);
        let passed = mode.subscribe();
        tokio::spawn(async move {
            accept_each(listener, end, |stream| pass(stream, to, passed.clone())).await;
        });
        Ok(Self { address, mode })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn pass(near: TcpStream, to: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Cut {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return; // Closing the near end tells it.
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pump(near_read, far_write, mode.clone());
    let back = pump(far_read, near_write, mode.clone());
    let both = async { tokio::join!(there, back) };
    tokio::select! {
        _ = both => {}
        // The sender lives as long as the world.
        _ = mode.wait_for(|mode| *mode == Mode::Cut) => {}
    }
}

/// Copies until either end closes; the close is passed on.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
) -> std::io::Result<()> {
    let mut buf = vec![0; CHUNK];
    loop {
        let count = from.read(&mut buf).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        let waits = mode.wait_for(|mode| *mode != Mode::Silent).await;
        let pause = match waits.map(|mode| *mode) {
            Ok(Mode::Slow(pause)) => pause,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(pause).await;
        to.write_all(&buf[..count]).await?;
    }
}
