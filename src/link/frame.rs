//! Frames on a QUIC stream: a length and a postcard-encoded value.

use std::future::Future;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::link::activity::LinkUse;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 10 * 1024 * 1024;
/// Bytes of the length in front of a frame.
const LENGTH_BYTES: usize = 4;
/// Bytes that are asked of the stream at a time.
const READ_BYTES: usize = 16 * 1024;

/// Why a frame cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The stream or its connection ended.
    #[error("the link closed ({0}); it is redialled")]
    Closed(String),
    /// The bytes are no frame.
    #[error("a malformed frame ({0}); check that both ends run compatible versions")]
    Malformed(String),
}

/// Writes frames to a stream.
#[derive(Debug)]
pub struct FrameWriter {
    stream: quinn::SendStream,
    buf: Vec<u8>,
}

impl FrameWriter {
    /// Wraps a stream.
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

    /// Adds one frame to the next [`Self::flush`].
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
            return Err(FrameError::Malformed(format!("{len} bytes are too many")));
        }
        buf[start..start + LENGTH_BYTES].copy_from_slice(&(len as u32).to_le_bytes());
        self.buf = buf;
        Ok(())
    }

    /// Writes the frames that were pushed.
    ///
    /// # Errors
    ///
    /// Fails when the link closed.
    pub async fn flush(&mut self) -> Result<(), FrameError> {
        let result = self.stream.write_all(&self.buf).await;
        self.buf.clear();
        result.map_err(|e| FrameError::Closed(e.to_string()))
    }

    /// Ends the stream after what was written.
    pub fn finish(&mut self) {
        // Fails only when the stream is closed already.
        let _ = self.stream.finish();
    }

    /// Returns a future that ends when the peer has everything after
    /// [`Self::finish`], when it stops reading, or when the link closes.
    pub fn stopped(&self) -> impl Future<Output = ()> + Send + use<> {
        let stopped = self.stream.stopped();
        async move {
            let _ = stopped.await;
        }
    }
}

/// Reads frames from a stream.
///
/// Reading is cancel-safe: bytes that came stay in the buffer.
#[derive(Debug)]
pub struct FrameReader {
    stream: quinn::RecvStream,
    /// Tells the link that a stream is open; dropped with the reader.
    _use: Option<LinkUse>,
    buf: Vec<u8>,
    /// Start of the bytes in `buf` that are not consumed yet.
    start: usize,
}

impl FrameReader {
    /// Wraps a stream.
    pub fn new(stream: quinn::RecvStream) -> Self {
        Self {
            stream,
            _use: None,
            buf: Vec::new(),
            start: 0,
        }
    }

    /// Keeps a link marked as used as long as this reader lives.
    pub(crate) fn with_use(mut self, link_use: LinkUse) -> Self {
        self._use = Some(link_use);
        self
    }

    /// Reads one frame; `None` when the stream ended after a whole frame.
    ///
    /// # Errors
    ///
    /// Fails when the link closed, the stream ended within a frame, or the
    /// bytes are no frame.
    pub async fn read<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        loop {
            if let Some(value) = self.try_buffered()? {
                return Ok(Some(value));
            }
            self.compact();
            let chunk = self
                .stream
                .read_chunk(READ_BYTES, true)
                .await
                .map_err(|e| FrameError::Closed(e.to_string()))?;
            match chunk {
                Some(chunk) => self.buf.extend_from_slice(&chunk.bytes),
                None if self.buf.is_empty() => return Ok(None),
                None => return Err(FrameError::Malformed("the stream ended early".into())),
            }
        }
    }

    /// Decodes the next frame that came already.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no frame.
    fn try_buffered<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let held = &self.buf[self.start..];
        match split_frame(held)? {
            Some(frame) => {
                let value = postcard::from_bytes(frame)
                    .map_err(|e| FrameError::Malformed(e.to_string()))?;
                self.start += LENGTH_BYTES + frame.len();
                Ok(Some(value))
            }
            None => Ok(None),
        }
    }

    fn compact(&mut self) {
        if self.start > 0 {
            self.buf.drain(..self.start);
            self.start = 0;
        }
    }
}

/// Returns the first frame's bytes if it is whole.
fn split_frame(held: &[u8]) -> Result<Option<&[u8]>, FrameError> {
    let Some((length, rest)) = held.split_first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let len = u32::from_le_bytes(*length) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(FrameError::Malformed(format!("{len} bytes are too many")));
    }
    Ok(rest.get(..len))
}

#[cfg(test)]
mod tests {
    use super::split_frame;
    use crate::link::Reply;
    use crate::link::StreamRequest;

    #[test]
    fn truncated_and_damaged_frames_are_errors_not_panics() {
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
    fn an_oversized_length_is_refused_before_anything_is_read() {
        assert!(split_frame(&[0xff, 0xff, 0xff, 0xff, 1]).is_err());
        assert!(matches!(split_frame(&[4, 0, 0, 0, 1]), Ok(None)));
    }
}
