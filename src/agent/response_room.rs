//! Bounds the memory of the responses that an agent buffers.
//!
//! A response that is not a stream, and each event of a stream, is buffered until it is
//! complete. Small buffers need no room. Larger ones take it from what all attempts share, so
//! that responses without end cannot exhaust the memory together.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::gateway::response_body::BodyError;
use crate::gateway::response_body::ResponseBody;

/// Largest buffer that needs no room, in bytes.
const SMALL_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes of room that are taken at once.
const UNIT_BYTES: usize = 16 * 1024;
/// Room of all buffers together, in bytes.
const TOTAL_BYTES: usize = 24 * 1024 * 1024;
/// Bytes of memory for a byte of a buffer, whose capacity doubles as it grows.
const GROWTH_FACTOR: usize = 2;
/// Longest wait for room.
const WAIT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Why bytes of a response cannot be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BufferError {
    /// The buffer may hold no more.
    #[error("the endpoint sent more than {0} bytes in one piece; check the endpoint")]
    TooLarge(usize),
    /// Other responses occupy the room.
    #[error("no room for a response within {} ms; check the endpoint", WAIT_TIMEOUT.as_millis())]
    NoRoom,
}

/// Why a response cannot be read to its end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadError {
    /// The connection broke, or the framing is invalid or too long.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The response cannot be buffered.
    #[error(transparent)]
    Buffer(#[from] BufferError),
}

/// Room for the buffers of all attempts.
#[derive(Clone, Debug)]
pub(crate) struct ResponseRoom {
    units: Arc<Semaphore>,
}

impl Default for ResponseRoom {
    fn default() -> Self {
        Self {
            units: Arc::new(Semaphore::new(TOTAL_BYTES / UNIT_BYTES)),
        }
    }
}

impl ResponseRoom {
    /// Reads a whole body of at most `max` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off, is too large or gets no room.
    pub(crate) async fn read(
        &self,
        mut body: ResponseBody,
        max: usize,
    ) -> Result<Bytes, ReadError> {
        if body.declared_length().is_some_and(|length| length > max) {
            return Err(BufferError::TooLarge(max).into());
        }
        let mut buf = self.buffer(max);
        while let Some(frame) = body.frame().await {
            let data = frame?.into_data().unwrap_or_default();
            buf.push(&data).await?;
        }
        Ok(buf.freeze())
    }

    /// Returns an empty buffer of at most `max` bytes.
    pub(crate) fn buffer(&self, max: usize) -> ResponseBuffer {
        ResponseBuffer {
            room: self.clone(),
            max,
            bytes: BytesMut::new(),
            held: None,
        }
    }
}

/// A buffer that takes room as it grows and gives it back as it is emptied.
#[derive(Debug)]
pub(crate) struct ResponseBuffer {
    room: ResponseRoom,
    max: usize,
    bytes: BytesMut,
    held: Option<OwnedSemaphorePermit>,
}

impl ResponseBuffer {
    /// Appends bytes, after waiting for room if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the buffer would be too large, or gets no room in time.
    pub(crate) async fn push(&mut self, data: &[u8]) -> Result<(), BufferError> {
        let length = self.bytes.len() + data.len();
        if length > self.max {
            return Err(BufferError::TooLarge(self.max));
        }
        self.hold(length).await?;
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the bytes, from which complete events may be removed.
    pub(crate) fn bytes_mut(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }

    /// Returns the bytes and gives the room back.
    fn freeze(self) -> Bytes {
        self.bytes.freeze()
    }

    /// Holds the room that a buffer of this length needs.
    async fn hold(&mut self, length: usize) -> Result<(), BufferError> {
        let needed = match length {
            ..=SMALL_BUFFER_BYTES => 0,
            _ => (length * GROWTH_FACTOR).div_ceil(UNIT_BYTES),
        };
        let held = self
            .held
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        if needed > held {
            let units = Arc::clone(&self.room.units);
            let more = units.acquire_many_owned((needed - held) as u32);
            let more = tokio::time::timeout(WAIT_TIMEOUT, more)
                .await
                .map_err(|_| BufferError::NoRoom)?
                .expect("the room is never closed");
            match &mut self.held {
                Some(held) => held.merge(more),
                None => self.held = Some(more),
            }
        } else if let Some(permits) = &mut self.held {
            drop(permits.split(held - needed));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
