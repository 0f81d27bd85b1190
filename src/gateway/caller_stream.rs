//! A caller's connection, which can be ended by a reset.
//!
//! A response without chunks or a length ends with its connection. Whether it is complete
//! shows only in how the connection ends: with a reset, it is not.
//!
//! Reads are small, so that the parser's buffer stays small, and larger heads are charged.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::gateway::caller_connection::CallerConnection;

/// Most bytes of one read. The parser's buffer grows with what a read returns.
const READ_BYTES: usize = 4 * 1024;

/// Whether the connection must end by a reset.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reset(Arc<AtomicBool>);

impl Reset {
    /// Ends the connection by a reset when it is dropped.
    pub(crate) fn require(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// The stream of a caller's connection.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    reset: Reset,
    connection: Arc<CallerConnection>,
    /// When a head that has begun must have ended.
    head_due: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, reset: Reset, connection: Arc<CallerConnection>) -> Self {
        Self {
            stream,
            reset,
            connection,
            head_due: None,
        }
    }

    /// Fails when a head that has begun takes too long.
    fn poll_head_due(&mut self, cx: &mut Context<'_>) -> Poll<std::io::Error> {
        if !self.connection.is_within_head() {
            self.head_due = None;
            return Poll::Pending;
        }
        let timeout = self.connection.head_timeout;
        let due = self
            .head_due
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(due.as_mut().poll(cx));
        Poll::Ready(std::io::ErrorKind::TimedOut.into())
    }

    fn poll_read_part(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if buf.remaining() <= READ_BYTES {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(READ_BYTES));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let length = part.filled().len();
        buf.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.reset.0.load(Ordering::Relaxed) {
            // This fails only if the connection has ended.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if !self.connection.charge_read() {
            return Poll::Ready(Err(std::io::ErrorKind::OutOfMemory.into()));
        }
        let before = buf.filled().len();
        match self.poll_read_part(cx, buf) {
            Poll::Ready(read) => {
                self.connection.record_read(buf.filled().len() - before);
                Poll::Ready(read)
            }
            Poll::Pending => self.poll_head_due(cx).map(Err),
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if self.reset.0.load(Ordering::Relaxed) {
            // An orderly end would precede the reset.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
