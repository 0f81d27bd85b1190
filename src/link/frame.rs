//! Frames on a QUIC stream.
//!
//! A frame is a value in the postcard format, preceded by its length as a little-endian
//! 32-bit number.

use std::future::Future;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::link::activity::StreamGuard;

/// Maximum size of a frame, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 10 * 1024 * 1024;
/// Longest time for which a reader waits for the rest of a frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;
/// Maximum number of bytes of one read from the stream.
const MAX_READ_BYTES: usize = 16 * 1024;

/// Why a frame cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The stream or its connection ended.
    #[error("the link closed ({0}); it is dialed again")]
    Closed(String),
    /// The bytes are not a valid frame.
    #[error("malformed frame ({0}); check that both ends run compatible versions")]
    Malformed(String),
    /// A frame began and did not end within five seconds.
    #[error("the rest of a frame did not arrive in time; check the peer and the path to it")]
    TooSlow,
}

/// Writes frames to a stream.
#[derive(Debug)]
pub struct FrameWriter {
    stream: quinn::SendStream,
    buf: Vec<u8>,
}

impl FrameWriter {
    /// Creates a writer for a stream.
    pub fn new(stream: quinn::SendStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Writes one frame.
    ///
    /// # Errors
    ///
    /// Fails when the link closed or the value is too large for a frame.
    pub async fn write<T: Serialize>(&mut self, value: &T) -> Result<(), FrameError> {
        self.buf.clear();
        self.push(value)?;
        self.flush().await
    }

    /// Adds one frame to the buffer, to be written by the next [`Self::flush`].
    ///
    /// # Errors
    ///
    /// Fails when the value is too large for a frame.
    pub fn push<T: Serialize>(&mut self, value: &T) -> Result<(), FrameError> {
        let start = self.buf.len();
        let mut buf = std::mem::take(&mut self.buf);
        buf.extend_from_slice(&[0; LENGTH_BYTES]);
        let mut buf =
            postcard::to_extend(value, buf).map_err(|e| FrameError::Malformed(e.to_string()))?;
        let len = buf.len() - start - LENGTH_BYTES;
        if len > MAX_FRAME_BYTES {
            buf.truncate(start);
            self.buf = buf;
            return Err(FrameError::Malformed(format!(
                "{len} bytes exceed the maximum size"
            )));
        }
        buf[start..start + LENGTH_BYTES].copy_from_slice(&(len as u32).to_le_bytes());
        self.buf = buf;
        Ok(())
    }

    /// Writes the buffered frames.
    ///
    /// # Errors
    ///
    /// Fails when the link closed.
    pub async fn flush(&mut self) -> Result<(), FrameError> {
        let result = self.stream.write_all(&self.buf).await;
        self.buf.clear();
        result.map_err(|e| FrameError::Closed(e.to_string()))
    }

    /// Ends the stream after the frames that were written.
    pub fn finish(&mut self) {
        // Fails only when the stream is already closed.
        let _ = self.stream.finish();
    }

    /// Returns a future that completes when the peer has received everything that was
    /// written before [`Self::finish`], when it stops reading, or when the link closes.
    pub fn stopped(&self) -> impl Future<Output = ()> + Send + use<> {
        let stopped = self.stream.stopped();
        async move {
            let _ = stopped.await;
        }
    }

    /// Waits until the peer has received everything or reads no further; returns false if
    /// the link was lost before.
    pub(crate) async fn delivered(&self) -> bool {
        self.stream.stopped().await.is_ok()
    }
}

/// Reads frames from a stream.
///
/// Reading is cancel-safe: bytes that were received stay in the buffer.
#[derive(Debug)]
pub struct FrameReader {
    stream: quinn::RecvStream,
    /// Marks the link as in use while this reader exists.
    _guard: Option<StreamGuard>,
    buf: Vec<u8>,
    /// Start of the bytes in `buf` that are not decoded yet.
    start: usize,
    /// When the frame that has begun to arrive must be complete.
    frame_due: Option<Instant>,
}

impl FrameReader {
    /// Creates a reader of a stream.
    pub fn new(stream: quinn::RecvStream) -> Self {
        Self {
            stream,
            _guard: None,
            buf: Vec::new(),
            start: 0,
            frame_due: None,
        }
    }

    /// Adds a guard that marks the link as in use while this reader exists.
    pub(crate) fn with_guard(mut self, guard: StreamGuard) -> Self {
        self._guard = Some(guard);
        self
    }

    /// Reads one frame; returns `None` when the stream ended after a complete frame.
    ///
    /// # Errors
    ///
    /// Fails when the link closed, the stream ended within a frame, the bytes are not
    /// a valid frame, or a frame that has begun does not end in time.
    pub async fn read<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        loop {
            if let Some(value) = self.decode_buffered()? {
                self.frame_due = None;
                return Ok(Some(value));
            }
            self.compact();
            match self.read_chunk().await? {
                Some(chunk) => self.buf.extend_from_slice(&chunk.bytes),
                None if self.buf.is_empty() => return Ok(None),
                None => return Err(FrameError::Malformed("the stream ended mid-frame".into())),
            }
        }
    }

    /// Reads what has arrived, and waits for it if that is nothing.
    async fn read_chunk(&mut self) -> Result<Option<quinn::Chunk>, FrameError> {
        if self.frame_due.is_none() && !self.buf.is_empty() {
            self.frame_due = Some(Instant::now() + FRAME_TIMEOUT);
        }
        let reading = self.stream.read_chunk(MAX_READ_BYTES, true);
        let read = match self.frame_due {
            Some(due) => timeout_at(due, reading)
                .await
                .map_err(|_| FrameError::TooSlow)?,
            None => reading.await,
        };
        read.map_err(|e| FrameError::Closed(e.to_string()))
    }

    /// Decodes the next frame if the buffer holds it completely.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a valid frame.
    fn decode_buffered<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let buffered = &self.buf[self.start..];
        match split_frame(buffered)? {
            Some(frame) => {
                let value = postcard::from_bytes(frame)
                    .map_err(|e| FrameError::Malformed(e.to_string()))?;
                self.start += LENGTH_BYTES + frame.len();
                Ok(Some(value))
            }
            None => Ok(None),
        }
    }

    /// Removes the decoded bytes from the buffer.
    fn compact(&mut self) {
        if self.start > 0 {
            self.buf.drain(..self.start);
            self.start = 0;
        }
    }
}

/// Returns the bytes of the first frame if it is complete.
fn split_frame(buffered: &[u8]) -> Result<Option<&[u8]>, FrameError> {
    let Some((length, rest)) = buffered.split_first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let len = u32::from_le_bytes(*length) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(FrameError::Malformed(format!(
            "{len} bytes exceed the maximum size"
        )));
    }
    Ok(rest.get(..len))
}

#[cfg(test)]
mod tests {
    use super::split_frame;
    use crate::link::Reply;
    use crate::link::StreamRequest;

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic() {
        bolero::check!()
            .with_iterations(20_000)
            .with_test_time(std::time::Duration::MAX)
            .with_type::<Vec<u8>>()
            .for_each(|bytes| {
                if let Ok(Some(frame)) = split_frame(bytes) {
                    assert!(frame.len() <= bytes.len());
                    let _ = postcard::from_bytes::<StreamRequest>(frame);
                }
                let _ = postcard::from_bytes::<StreamRequest>(bytes);
                let _ = postcard::from_bytes::<Reply>(bytes);
            });
    }

    #[test]
    fn oversized_length_is_rejected_before_the_frame_arrives() {
        assert!(split_frame(&[0xff, 0xff, 0xff, 0xff, 1]).is_err());
        assert!(matches!(split_frame(&[4, 0, 0, 0, 1]), Ok(None)));
    }
}
