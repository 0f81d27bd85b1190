//! Connections between agents, and from entries to agents, that carry messages.
//!
//! The links are not authenticated. They carry no secrets, and a runner accepts
//! orders from anyone who can reach it, so an unauthenticated peer can do
//! nothing over a link that it could not do at the runner itself. No request
//! depends on the links. [`link_server`](crate::rank::link_server) accepts them.

use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use metrics::counter;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

use crate::gateway::PEER_USER_TIMEOUT;
use crate::gateway::enable_dead_peer_detection;
use crate::telemetry;

/// Largest message between a leader and a member, in bytes. The map of a group of 256
/// ranks takes less than 200 kB.
pub(super) const MAX_MESSAGE_BYTES: usize = 512 * 1024;
/// Largest message from a leader to an entry, in bytes.
const MAX_GROUP_MESSAGE_BYTES: usize = 64 * 1024;
/// Size of the length prefix of a message.
const LENGTH_BYTES: usize = 4;
/// Space that is kept free in the buffer of a link for the next read, in bytes.
const MIN_READ_BYTES: usize = 4 * 1024;
/// Longest time from the first byte of a message to its end.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A message that is sent on a link.
pub(crate) trait LinkMessage: Serialize {
    /// Names the kind of message in metrics; one of a fixed set.
    fn kind(&self) -> &'static str;
}

/// A connection that carries messages, each preceded by its length as a big-endian
/// 32-bit number.
pub(crate) struct Link {
    reader: LinkReader,
    writer: LinkWriter,
}

/// The receiving half of a link.
pub(crate) struct LinkReader {
    stream: OwnedReadHalf,
    buf: BytesMut,
    max_message: usize,
    /// When the message that has begun to arrive must be complete.
    message_due: Option<Instant>,
}

/// The sending half of a link.
pub(crate) struct LinkWriter {
    stream: OwnedWriteHalf,
}

impl Link {
    /// Returns a link that accepts messages of up to `max_message` bytes.
    pub(super) fn with_limit(stream: TcpStream, max_message: usize) -> std::io::Result<Self> {
        enable_dead_peer_detection(&stream, PEER_USER_TIMEOUT)?;
        let (reader, writer) = stream.into_split();
        Ok(Self {
            reader: LinkReader {
                stream: reader,
                buf: BytesMut::new(),
                max_message,
                message_due: None,
            },
            writer: LinkWriter { stream: writer },
        })
    }

    /// Returns a link from a leader to a member.
    pub(crate) fn to_member(stream: TcpStream) -> std::io::Result<Self> {
        Self::with_limit(stream, MAX_MESSAGE_BYTES)
    }

    /// Returns a link from an entry to the leader of a group.
    pub(crate) fn to_leader(stream: TcpStream) -> std::io::Result<Self> {
        Self::with_limit(stream, MAX_GROUP_MESSAGE_BYTES)
    }

    /// Accepts messages of up to `max_message` bytes from now on.
    pub(super) fn set_limit(&mut self, max_message: usize) {
        self.reader.max_message = max_message;
    }

    /// Splits the link, so that a peer that reads slowly does not delay what it sends.
    pub(crate) fn split(self) -> (LinkReader, LinkWriter) {
        (self.reader, self.writer)
    }

    /// Sends a message; see [`LinkWriter::send`].
    pub(crate) async fn send<T: LinkMessage>(&mut self, message: &T) -> std::io::Result<()> {
        self.writer.send(message).await
    }

    /// Receives the next message; see [`LinkReader::recv`].
    pub(crate) async fn recv<T: DeserializeOwned + LinkMessage>(&mut self) -> std::io::Result<T> {
        self.reader.recv().await
    }
}

impl LinkWriter {
    /// Sends a message. A part of it may have been sent if the future is dropped.
    pub(crate) async fn send<T: LinkMessage>(&mut self, message: &T) -> std::io::Result<()> {
        let bytes = postcard::to_allocvec(message).map_err(std::io::Error::other)?;
        let length = u32::try_from(bytes.len()).map_err(std::io::Error::other)?;
        let mut frame = BytesMut::with_capacity(LENGTH_BYTES + bytes.len());
        frame.extend_from_slice(&length.to_be_bytes());
        frame.extend_from_slice(&bytes);
        count_message("sent", message.kind(), frame.len());
        self.stream.write_all(&frame).await
    }
}

impl LinkReader {
    /// Receives the next message. No byte is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the link has ended, if the message is too large or cannot be decoded, or
    /// if it has begun and does not end in time.
    pub(crate) async fn recv<T: DeserializeOwned + LinkMessage>(&mut self) -> std::io::Result<T> {
        loop {
            if let Some(bytes) = self.split_message()? {
                self.message_due = None;
                let message: T = postcard::from_bytes(&bytes).map_err(std::io::Error::other)?;
                count_message("received", message.kind(), LENGTH_BYTES + bytes.len());
                return Ok(message);
            }
            if self.message_due.is_none() && !self.buf.is_empty() {
                self.message_due = Some(Instant::now() + MESSAGE_TIMEOUT);
            }
            self.buf.reserve(MIN_READ_BYTES);
            let read = self.stream.read_buf(&mut self.buf);
            let len = match self.message_due {
                Some(due) => tokio::time::timeout_at(due, read).await??,
                None => read.await?,
            };
            if len == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Removes the next message from the buffer if it is complete.
    fn split_message(&mut self) -> std::io::Result<Option<BytesMut>> {
        let Some(prefix) = self.buf.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > self.max_message {
            let problem = format!("a message of {length} bytes exceeds the maximum size");
            return Err(std::io::Error::other(problem));
        }
        if self.buf.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        Ok(Some(self.buf.split_to(length)))
    }
}

/// Counts a message on the links of this process.
fn count_message(direction: &'static str, kind: &'static str, bytes: usize) {
    let labels = [("direction", direction), ("kind", kind)];
    counter!(telemetry::LINK_MESSAGES, &labels).increment(1);
    counter!(telemetry::LINK_BYTES, &labels).increment(bytes as u64);
}
