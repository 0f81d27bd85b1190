//! An HTTP server of an entry, which can stop without losing a request.

use std::io;
use std::net::SocketAddr;

use salvo::conn::Accepted;
use salvo::conn::Acceptor;
use salvo::conn::Holding;
use salvo::conn::Listener;
use salvo::conn::TcpListener;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::ArcFusePolicy;
use salvo::server::ServerHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::error::Error;
use crate::error::Result;

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
    /// Starts to serve at an address.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub(crate) async fn start(address: SocketAddr, routes: salvo::Router) -> Result<Self> {
        let listen_error = |message: String| Error::Listen {
            address: address.to_string(),
            message,
        };
        let acceptor: TcpAcceptor = TcpListener::new(address)
            .try_bind()
            .await
            .map_err(|e| listen_error(e.to_string()))?;
        let bound = acceptor
            .holdings()
            .first()
            .and_then(|holding| holding.local_addr.clone().into_std())
            .ok_or_else(|| listen_error("no local address".into()))?;
        let (closing, closed) = (CancellationToken::new(), CancellationToken::new());
        let server = salvo::Server::new(ClosingAcceptor {
            acceptor: Some(acceptor),
            closing: closing.clone(),
            closed: closed.clone(),
        });
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
    closing: CancellationToken,
    closed: CancellationToken,
}

impl Acceptor for ClosingAcceptor {
    type Coupler = <TcpAcceptor as Acceptor>::Coupler;
    type Stream = <TcpAcceptor as Acceptor>::Stream;

    fn holdings(&self) -> &[Holding] {
        self.acceptor.as_ref().map_or(&[], Acceptor::holdings)
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        if let Some(acceptor) = &mut self.acceptor {
            tokio::select! {
                // Connections that are established already are accepted.
                biased;
                accepted = acceptor.accept(fuse_policy) => {
                    if accepted.is_ok() || !self.closing.is_cancelled() {
                        return accepted;
                    }
                }
                () = self.closing.cancelled() => {}
            }
        }
        self.acceptor = None;
        self.closed.cancel();
        std::future::pending().await
    }
}
