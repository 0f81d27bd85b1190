//! Bodies of requests: received within the budget of memory, and sent to runners.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gateway::HolderKind;
use wisteriawick_core::gateway::SMALL_BODY_BYTES;

use crate::gateway::body_part::BodyPart;
use crate::gateway::body_part::PART_BYTES;
use crate::gateway::memory::HeldMemory;
use crate::gateway::memory::MemoryShort;
use crate::gateway::memory::RequestMemory;
use crate::gateway::memory::held_bytes;

/// Why a body was not received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReceiveError {
    /// It is longer than the declaration allows.
    #[error("the body is too long")]
    TooLong,
    /// The connection broke or the framing is invalid.
    #[error("the body did not arrive whole")]
    Broken,
    /// There is no memory for it.
    #[error(transparent)]
    Memory(#[from] MemoryShort),
}

/// A complete body, in parts. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestBody {
    parts: Arc<[Bytes]>,
    /// Number of parts that were sent.
    sent: usize,
    /// Bytes of the other parts.
    left: u64,
    /// What it holds of the budget, if it is not small.
    _held: Option<Arc<HeldMemory>>,
}

impl RequestBody {
    /// Returns the content.
    pub(crate) fn parts(&self) -> &[Bytes] {
        &self.parts
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(part) = self.parts.get(self.sent).cloned() else {
            return Poll::Ready(None);
        };
        self.sent += 1;
        self.left -= part.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// A body that is being received.
///
/// Chunks are copied into parts of its own: each chunk would otherwise keep the read buffer
/// that it came in, which may be thousands of times as large.
struct Receiver<'a> {
    memory: &'a Arc<RequestMemory>,
    held: Option<HeldMemory>,
    parts: Vec<Bytes>,
    /// The first bytes, which are all of a small body.
    start: BytesMut,
    /// The part that is being filled, if the body is not small.
    current: Option<BodyPart>,
    length: usize,
}

/// Receives a body of at most `limit` bytes.
///
/// # Errors
///
/// Fails if it is longer, breaks off or there is no memory for it. A length over the limit
/// fails before anything is read.
pub(crate) async fn receive(
    memory: &Arc<RequestMemory>,
    body: impl Body<Data = Bytes> + Unpin,
    limit: usize,
) -> Result<RequestBody, ReceiveError> {
    let receiver = Receiver::receive_all(memory, body, limit).await?;
    receiver.finish()
}

/// As [`receive`], in one piece.
///
/// # Errors
///
/// As [`receive`].
pub(crate) async fn receive_bytes(
    memory: &Arc<RequestMemory>,
    body: impl Body<Data = Bytes> + Unpin,
    limit: usize,
) -> Result<Bytes, ReceiveError> {
    let receiver = Receiver::receive_all(memory, body, limit).await?;
    receiver.finish_bytes()
}

impl<'a> Receiver<'a> {
    async fn receive_all(
        memory: &'a Arc<RequestMemory>,
        body: impl Body<Data = Bytes> + Unpin,
        limit: usize,
    ) -> Result<Self, ReceiveError> {
        let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if declared > limit {
            return Err(ReceiveError::TooLong);
        }
        let mut receiver = Self {
            memory,
            held: None,
            parts: Vec::new(),
            start: BytesMut::with_capacity(declared.min(SMALL_BODY_BYTES)),
            current: None,
            length: 0,
        };
        receiver.receive(body, limit).await?;
        Ok(receiver)
    }

    async fn receive(
        &mut self,
        mut body: impl Body<Data = Bytes> + Unpin,
        limit: usize,
    ) -> Result<(), ReceiveError> {
        loop {
            let frame = match &self.held {
                None => body.frame().await,
                Some(held) => tokio::select! {
                    biased;
                    () = held.must_end() => return Err(MemoryShort::GaveWay.into()),
                    frame = body.frame() => frame,
                },
            };
            let Some(frame) = frame else {
                return Ok(());
            };
            let Ok(data) = frame.map_err(|_| ReceiveError::Broken)?.into_data() else {
                continue;
            };
            self.length += data.len();
            if self.length > limit {
                return Err(ReceiveError::TooLong);
            }
            self.push(&data).await?;
        }
    }

    async fn push(&mut self, mut data: &[u8]) -> Result<(), MemoryShort> {
        if let Some(held) = &self.held {
            held.record_progress(data.len());
        }
        if self.held.is_none() && self.length <= SMALL_BODY_BYTES {
            self.start.extend_from_slice(data);
            return Ok(());
        }
        while !data.is_empty() {
            match &mut self.current {
                Some(part) if !part.is_full() => data = part.fill(data),
                _ => self.begin_part().await?,
            }
        }
        Ok(())
    }

    async fn begin_part(&mut self) -> Result<(), MemoryShort> {
        let held = self.held.get_or_insert_with(|| {
            let give_way = CancellationToken::new();
            self.memory.enter(HolderKind::Receiving, give_way)
        });
        held.charge(PART_BYTES).await?;
        let part = BodyPart::new().map_err(|_| MemoryShort::NoRoom)?;
        self.end_part();
        self.current = Some(part);
        Ok(())
    }

    /// Adds what was received since the last part to the parts.
    fn end_part(&mut self) {
        if !self.start.is_empty() {
            self.parts.push(std::mem::take(&mut self.start).freeze());
        }
        if let Some(part) = self.current.take() {
            self.parts.push(part.into_bytes());
        }
    }

    fn finish_bytes(mut self) -> Result<Bytes, ReceiveError> {
        let Some(held) = self.held.take() else {
            return Ok(self.start.freeze());
        };
        held.complete()?;
        self.end_part();
        // Each part is freed when it is copied, so that the body is held about once.
        let mut bytes = Vec::with_capacity(self.length);
        for part in self.parts {
            bytes.extend_from_slice(&part);
        }
        Ok(held_bytes(bytes, Arc::new(held)))
    }

    fn finish(mut self) -> Result<RequestBody, ReceiveError> {
        if let Some(held) = &self.held {
            held.complete()?;
        }
        self.end_part();
        Ok(RequestBody {
            parts: self.parts.into(),
            sent: 0,
            left: self.length as u64,
            _held: self.held.map(Arc::new),
        })
    }
}
