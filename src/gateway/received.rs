//! Counts the bytes that a connection receives, below the HTTP parser.
//!
//! The parser hides bytes that are neither a complete head nor part of a body. The
//! count shows that a runner sends such bytes.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Number of bytes that a connection has received.
#[derive(Debug, Default)]
pub(crate) struct ReceivedBytes {
    count: AtomicU64,
    grown: Notify,
}

impl ReceivedBytes {
    /// Returns the number of bytes.
    pub(crate) fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    /// Waits until more than this many bytes have been received.
    pub(crate) async fn exceed(&self, count: u64) {
        while self.count() <= count {
            // Only one task at a time waits, and a notification that precedes the
            // wait is kept.
            self.grown.notified().await;
        }
    }

    fn add(&self, len: usize) {
        self.count.fetch_add(len as u64, Ordering::Relaxed);
        self.grown.notify_one();
    }
}

/// A TCP stream that counts what it receives.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    received: Arc<ReceivedBytes>,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, received: Arc<ReceivedBytes>) -> Self {
        Self { stream, received }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.received.add(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
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
