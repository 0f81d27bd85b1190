//! A caller's connection that has one of the bounded places of its listener.

use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio_util::sync::WaitForCancellationFutureOwned;
use wisteriawick_core::gateway::ConnectionPhase;

use crate::connection_slots::ConnectionSlot;

/// A stream that fails when its place goes to another connection. It counts as busy from
/// a read to the next write.
#[derive(Debug)]
pub(crate) struct SlottedStream<S> {
    stream: S,
    slot: ConnectionSlot,
    phase: ConnectionPhase,
    closing: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl<S> SlottedStream<S> {
    pub(crate) fn new(stream: S, slot: ConnectionSlot) -> Self {
        Self {
            stream,
            closing: Box::pin(slot.closing().clone().cancelled_owned()),
            phase: ConnectionPhase::Opening,
            slot,
        }
    }

    fn set_phase(&mut self, phase: ConnectionPhase) {
        if self.phase != phase {
            self.phase = phase;
            self.slot.set_phase(phase);
        }
    }

    fn check(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        match self.closing.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionAborted.into()),
            Poll::Pending => Ok(()),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for SlottedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(cx)?;
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.set_phase(ConnectionPhase::Busy);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for SlottedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        self.set_phase(ConnectionPhase::Idle);
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        self.set_phase(ConnectionPhase::Idle);
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
