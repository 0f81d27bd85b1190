//! Streams of events: whole events only, in order, none twice.
//!
//! A runner may stop within an event, and a resumed stream begins at another
//! runner. What a caller gets must read like one stream, so events are passed
//! on only when they are whole and follow the last one.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event that is taken, in bytes; a stream without an end of an event
/// must not fill the memory.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why a stream cannot be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// An event has no number, or one that does not follow the last.
    OutOfOrder,
    /// An event is too large.
    TooLarge,
}

/// Cuts bytes into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes that were searched for the end of an event.
    seen: usize,
}

impl EventSplitter {
    /// Takes bytes as they came.
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

    /// Returns the next whole event with the blank line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let from = self.seen.saturating_sub(3);
        match end_of_event(&self.buf[from..]) {
            Some(end) => {
                self.seen = 0;
                Some(self.buf.split_to(from + end).freeze())
            }
            None => {
                self.seen = self.buf.len();
                None
            }
        }
    }

    /// Returns whether bytes of an unfinished event are held.
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

/// Checks that the numbers of events follow one another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SequenceChecker {
    last: Option<u64>,
}

impl SequenceChecker {
    /// Returns a check for a stream that goes on after an event, or begins.
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the number of the last event that was taken.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes an event.
    ///
    /// # Errors
    ///
    /// Fails when its number does not follow the last one.
    pub fn accept(&mut self, event: &[u8]) -> Result<(), StreamFault> {
        let number = event_number(event).ok_or(StreamFault::OutOfOrder)?;
        match self.last {
            Some(last) if number != last + 1 => return Err(StreamFault::OutOfOrder),
            _ => self.last = Some(number),
        }
        Ok(())
    }
}

fn event_number(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
