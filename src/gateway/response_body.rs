//! Reads the bodies of runners' responses within bounds of size and time.
//!
//! A response that is not a stream is buffered until it is complete. Small bodies are
//! buffered at once; larger ones need room from a budget that all requests share, so
//! that many runners that send without end cannot exhaust the memory together.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gateway::HolderKind;

use crate::gateway::buffered_body::BufferedBody;
use crate::gateway::memory::HeldMemory;
use crate::gateway::memory::RequestMemory;
use crate::gateway::received::ReceivedBytes;

/// Largest body that is buffered without room from the budget, in bytes.
const SMALL_BODY_BYTES: usize = 16 * 1024;
/// Largest body that one of the [`LARGE_BODIES`] may have, in bytes.
const LARGE_BODY_BYTES: usize = 256 * 1024;
/// Number of bodies above [`SMALL_BODY_BYTES`] that are buffered at the same time.
const LARGE_BODIES: usize = 8;
/// Largest body whose length the head declares, in bytes.
const MAX_DECLARED_BYTES: usize = 8 * 1024 * 1024;
/// Largest body whose length is not declared, in bytes.
const MAX_UNDECLARED_BYTES: usize = 4 * 1024 * 1024;
/// Number of bodies above [`LARGE_BODY_BYTES`] that are buffered at the same time.
const HUGE_BODIES: usize = 1;
/// Longest wait for room.
const ROOM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest time that a body may occupy room of one size. At this rate, a body of the
/// maximum size arrives over 14 Mbit/s.
const ROOM_USE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Most bytes of framing between two parts of a body.
const MAX_FRAMING_BYTES: u64 = 64 * 1024;

/// Why a body cannot be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The connection broke or the framing is invalid.
    #[error("reading the response failed: {0}")]
    Broken(#[from] hyper::Error),
    /// The framing holds too many bytes.
    #[error("the response has {MAX_FRAMING_BYTES} bytes of framing without content")]
    Framing,
    /// The body is too large.
    #[error("the response is longer than {0} bytes")]
    TooLarge(usize),
    /// The body took too long.
    #[error("the response did not end within {} ms", ROOM_USE_TIMEOUT.as_millis())]
    TooSlow,
    /// Other responses occupy the budget.
    #[error("no room for the response within {} ms", ROOM_TIMEOUT.as_millis())]
    NoRoom,
}

/// The body of a response that is being received.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    incoming: Incoming,
    received: Arc<ReceivedBytes>,
}

impl ResponseBody {
    /// Returns a body and the count of bytes on its connection.
    pub(crate) fn new(incoming: Incoming, received: Arc<ReceivedBytes>) -> Self {
        Self { incoming, received }
    }

    /// Returns the number of bytes that the connection has received.
    pub(crate) fn received(&self) -> u64 {
        self.received.count()
    }

    /// Returns the next part of the body; `None` at its end.
    pub(crate) async fn frame(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        let limit = self.received.count() + MAX_FRAMING_BYTES;
        tokio::select! {
            biased;
            frame = self.incoming.frame() => frame.map(|frame| frame.map_err(BodyError::from)),
            () = self.received.exceed(limit) => Some(Err(BodyError::Framing)),
        }
    }

    /// Returns the length that the head declares.
    pub(crate) fn declared_length(&self) -> Option<usize> {
        let length = self.incoming.size_hint().exact()?;
        Some(usize::try_from(length).unwrap_or(usize::MAX))
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off, exceeds its bounds or there is no room for it.
    pub(crate) async fn collect(
        mut self,
        budget: &BodyBudget,
        memory: &Arc<RequestMemory>,
        give_way: &CancellationToken,
    ) -> Result<BufferedBody, BodyError> {
        let declared = self.declared_length();
        let mut room = Room::new(budget, declared);
        room.check_length(declared.unwrap_or_default())?;
        let mut buf = Vec::new();
        while let Some(frame) = room.in_time(self.frame()).await? {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            room.grow(&mut buf, data.len(), || {
                memory.enter(HolderKind::Complete, give_way.clone())
            })
            .await?;
            buf.extend_from_slice(&data);
        }
        buf.shrink_to_fit();
        Ok(BufferedBody::new(buf, room.held))
    }
}

/// Memory for bodies above [`SMALL_BODY_BYTES`], shared by all requests.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    large: Semaphore,
    huge: Semaphore,
}

impl Default for BodyBudget {
    fn default() -> Self {
        Self {
            large: Semaphore::new(LARGE_BODIES),
            huge: Semaphore::new(HUGE_BODIES),
        }
    }
}

/// The room that one body occupies.
struct Room<'a> {
    budget: &'a BodyBudget,
    declared: Option<usize>,
    capacity: usize,
    /// When the body must have ended.
    until: Option<Instant>,
    permits: Vec<SemaphorePermit<'a>>,
    /// What it holds of the memory of all requests.
    held: Option<HeldMemory>,
}

impl<'a> Room<'a> {
    fn new(budget: &'a BodyBudget, declared: Option<usize>) -> Self {
        Self {
            budget,
            declared,
            capacity: SMALL_BODY_BYTES,
            until: None,
            permits: Vec::new(),
            held: None,
        }
    }

    fn max_length(&self) -> usize {
        match self.declared {
            Some(_) => MAX_DECLARED_BYTES,
            None => MAX_UNDECLARED_BYTES,
        }
    }

    fn check_length(&self, length: usize) -> Result<(), BodyError> {
        let max = self.max_length();
        match length <= max {
            true => Ok(()),
            false => Err(BodyError::TooLarge(max)),
        }
    }

    /// Makes room for more bytes.
    ///
    /// A body that needs more takes room of the next size and keeps what it has. Bodies
    /// of the largest size wait for nothing, so no two bodies wait for each other.
    async fn grow(
        &mut self,
        buf: &mut Vec<u8>,
        additional: usize,
        enter: impl Fn() -> HeldMemory,
    ) -> Result<(), BodyError> {
        let needed = buf.len() + additional;
        self.check_length(needed)?;
        while needed > self.capacity {
            let (semaphore, capacity) = match self.declared.unwrap_or(needed) {
                ..=LARGE_BODY_BYTES => (&self.budget.large, LARGE_BODY_BYTES),
                _ => (&self.budget.huge, self.max_length()),
            };
            let permit = tokio::time::timeout(ROOM_TIMEOUT, semaphore.acquire())
                .await
                .map_err(|_| BodyError::NoRoom)?
                .expect("the budget is never closed");
            self.permits.push(permit);
            self.until = Some(Instant::now() + ROOM_USE_TIMEOUT);
            self.capacity = capacity;
            let total = self.declared.unwrap_or(capacity);
            let held = self.held.get_or_insert_with(&enter);
            let missing = total.saturating_sub(buf.capacity());
            held.charge(missing).await.map_err(|_| BodyError::NoRoom)?;
            buf.reserve_exact(total.saturating_sub(buf.len()));
        }
        Ok(())
    }

    /// Waits for a part of the body as long as it may occupy its room.
    async fn in_time<T>(&self, part: impl Future<Output = T>) -> Result<T, BodyError> {
        match self.until {
            Some(until) => tokio::time::timeout_at(until, part)
                .await
                .map_err(|_| BodyError::TooSlow),
            None => Ok(part.await),
        }
    }
}
