//! An HTTP server of an entry, which can stop without losing a request.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use salvo::conn::Accepted;
use salvo::conn::Acceptor;
use salvo::conn::Holding;
use salvo::conn::Listener;
use salvo::conn::TcpListener;
use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::tcp::TcpCoupler;
use salvo::fuse::ArcFusePolicy;
use salvo::fuse::FuseConfig;
use salvo::server::ServerHandle;
use socket2::SockRef;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::connection_slots::ConnectionSlots;
use crate::entry::slotted_stream::SlottedStream;
use crate::error::Error;
use crate::error::Result;

/// Largest head, in bytes. The parser reads no more of a body at once.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Longest time for a head, and between two requests.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for which a caller may not read its response.
const READER_TIMEOUT: Duration = Duration::from_secs(10);

/// Stands for a peer without an IP address.
const UNKNOWN_PEER: IpAddr = IpAddr::V4(Ipv4Addr::UNSPECIFIED);

/// A running HTTP server.
#[derive(Clone, Debug)]
pub(crate) struct HttpServer {
    /// The bound address.
    pub(crate) address: SocketAddr,
    handle: ServerHandle,
    /// Asks the acceptor to close the listener.
    closing: CancellationToken,
    /// Cancelled when the listener is closed.
    closed: CancellationToken,
    /// Tracks the task that serves the connections.
    task: TaskTracker,
}

impl HttpServer {
    /// Starts to serve at an address. Connections beyond the bound replace others;
    /// `receive_buffer` is the size in bytes of what the system receives for one.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub(crate) async fn start(
        address: SocketAddr,
        routes: salvo::Router,
        slots: Arc<ConnectionSlots>,
        receive_buffer: Option<usize>,
    ) -> Result<Self> {
        let listen_error = |message: String| Error::Listen {
            address: address.to_string(),
            message,
        };
        let acceptor: TcpAcceptor = TcpListener::new(address)
            .try_bind()
            .await
            .map_err(|e| listen_error(e.to_string()))?;
        if let Some(bytes) = receive_buffer {
            // Connections that the listener accepts inherit the size.
            SockRef::from(acceptor.inner())
                .set_recv_buffer_size(bytes)
                .map_err(|e| listen_error(e.to_string()))?;
        }
        let bound = acceptor
            .holdings()
            .first()
            .and_then(|holding| holding.local_addr.clone().into_std())
            .ok_or_else(|| listen_error("no local address".into()))?;
        let (closing, closed) = (CancellationToken::new(), CancellationToken::new());
        let mut server = salvo::Server::new(ClosingAcceptor {
            acceptor: Some(acceptor),
            slots,
            closing: closing.clone(),
            closed: closed.clone(),
        });
        server.http1_mut().max_buf_size(MAX_HEAD_BYTES);
        let limits = FuseConfig::default()
            .with_http1_header_timeout(HEAD_TIMEOUT)
            .with_write_stall_timeout(READER_TIMEOUT);
        let server = server.fuse_config(limits);
        let handle = server.handle();
        let task = TaskTracker::new();
        task.spawn(server.serve(routes));
        Ok(Self {
            address: bound,
            handle,
            closing,
            closed,
            task,
        })
    }

    /// Closes the listener and the connections without a request, and waits until the
    /// responses on the other connections are written.
    pub(crate) async fn stop(&self) {
        self.closing.cancel();
        self.closed.cancelled().await;
        self.handle.stop_graceful(None);
        self.task.close();
        self.task.wait().await;
    }
}

/// An acceptor that closes its listener on request.
///
/// The server itself keeps it open until the last connection closes, and callers that
/// connect meanwhile would wait for a response in vain.
struct ClosingAcceptor {
    /// `None` when the listener is closed.
    acceptor: Option<TcpAcceptor>,
    slots: Arc<ConnectionSlots>,
    closing: CancellationToken,
    closed: CancellationToken,
}

impl Acceptor for ClosingAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = SlottedStream<<TcpAcceptor as Acceptor>::Stream>;

    fn holdings(&self) -> &[Holding] {
        self.acceptor.as_ref().map_or(&[], Acceptor::holdings)
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        while let Some(acceptor) = &mut self.acceptor {
            let accepted = tokio::select! {
                // Connections that are established already are accepted.
                biased;
                accepted = acceptor.accept(fuse_policy.clone()) => accepted,
                () = self.closing.cancelled() => break,
            };
            let accepted = match accepted {
                Ok(accepted) => accepted,
                Err(_) if self.closing.is_cancelled() => break,
                Err(e) => return Err(e),
            };
            let peer = accepted.remote_addr.ip().unwrap_or(UNKNOWN_PEER);
            self.slots.let_close().await;
            if let Some(slot) = self.slots.enter(peer) {
                let to_stream = |stream| SlottedStream::new(stream, slot);
                return Ok(accepted.map_into(|_| TcpCoupler::new(), to_stream));
            }
        }
        self.acceptor = None;
        self.closed.cancel();
        std::future::pending().await
    }
}
