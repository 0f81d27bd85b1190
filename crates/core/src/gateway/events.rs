//! Splits a stream of server-sent events and checks the order of the events.
//!
//! A runner may stop in the middle of an event, and another runner may resume
//! the stream. The caller must receive one continuous stream, so an event is
//! forwarded only if it is complete and its number follows the last one.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of buffered data, in bytes. Streams whose events never end must not
/// exhaust the memory together.
const MAX_EVENT_BYTES: usize = 32 * 1024;

/// Why a stream cannot be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// An event has no number, or one that does not follow the last event's.
    OutOfOrder,
    /// An event has a line that is no field, such as text of an error.
    NoEvent,
    /// An event is too large.
    TooLarge,
}

/// Splits received bytes into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Fails when an event is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), StreamFault> {
        if self.buf.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(StreamFault::TooLarge);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the next complete event, with the blank line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let from = self.searched.saturating_sub(3);
        match end_of_event(&self.buf[from..]) {
            Some(end) => {
                self.searched = 0;
                Some(self.buf.split_to(from + end).freeze())
            }
            None => {
                self.searched = self.buf.len();
                None
            }
        }
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn is_within_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

fn end_of_event(buf: &[u8]) -> Option<usize> {
    (0..buf.len()).find_map(|at| {
        let rest = &buf[at..];
        if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\r\n\r\n") {
            Some(at + 4)
        } else {
            None
        }
    })
}

/// Checks that the events of a stream are numbered consecutively.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SequenceChecker {
    last: Option<u64>,
}

impl SequenceChecker {
    /// Returns a checker for a stream that resumes after event `last`, or for a
    /// new stream, whose first event may have any number.
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the number of the last accepted event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Accepts the next event of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the event has a line that is no field, has no number or does not follow
    /// the last one.
    pub fn accept(&mut self, event: &[u8]) -> Result<(), StreamFault> {
        if !lines(event).all(is_field) {
            return Err(StreamFault::NoEvent);
        }
        let number = event_number(event).ok_or(StreamFault::OutOfOrder)?;
        match self.last {
            Some(last) if last.checked_add(1) != Some(number) => {
                return Err(StreamFault::OutOfOrder);
            }
            _ => self.last = Some(number),
        }
        Ok(())
    }
}

fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = event.split(|byte| *byte == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Returns whether a line is empty, a comment or a field. Names of fields have lower-case
/// letters and hyphens.
fn is_field(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return line.is_empty();
    };
    let name = &line[..colon];
    name.iter()
        .all(|byte| byte.is_ascii_lowercase() || *byte == b'-')
}

fn event_number(event: &[u8]) -> Option<u64> {
    lines(event)
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
