//! The whole body of a runner's response, on its way to the caller.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::gateway::memory::HeldMemory;
use crate::gateway::memory::held_bytes;

/// Size of the parts in which a body is handed to the connection, in bytes. The caller
/// makes progress with each.
const PART_BYTES: usize = 32 * 1024;

/// A complete body.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    rest: Bytes,
    /// What it holds of the budget, if it is not small. The memory comes back when the last
    /// part is written.
    held: Option<Arc<HeldMemory>>,
}

impl BufferedBody {
    /// Returns a body that holds this much of the budget.
    pub(crate) fn new(bytes: Vec<u8>, held: Option<HeldMemory>) -> Self {
        let Some(held) = held else {
            return Self {
                rest: bytes.into(),
                held: None,
            };
        };
        held.begin_response(bytes.capacity());
        let held = Arc::new(held);
        Self {
            rest: held_bytes(bytes, Arc::clone(&held)),
            held: Some(held),
        }
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = match &self.held {
            Some(held) => {
                held.record_progress(PART_BYTES);
                self.rest.len().min(PART_BYTES)
            }
            None => self.rest.len(),
        };
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
