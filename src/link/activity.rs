//! Tracks whether a link is in use, which determines the interval of its heartbeats.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;

#[derive(Debug, Default)]
struct State {
    open_streams: AtomicUsize,
    stream_opened: Notify,
}

/// Counts the open streams of a link; clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct Activity(Arc<State>);

impl Activity {
    /// Counts a new stream as open until the returned guard is dropped.
    pub(crate) fn begin(&self) -> StreamGuard {
        self.0.open_streams.fetch_add(1, Ordering::Relaxed);
        self.0.stream_opened.notify_one();
        StreamGuard(self.clone())
    }

    /// Returns whether any stream is open.
    pub(crate) fn is_used(&self) -> bool {
        self.0.open_streams.load(Ordering::Relaxed) > 0
    }

    /// Waits until a stream is opened.
    pub(crate) async fn stream_opened(&self) {
        self.0.stream_opened.notified().await;
    }
}

/// Counts as one open stream of a link until it is dropped.
#[derive(Debug)]
pub(crate) struct StreamGuard(Activity);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.0.open_streams.fetch_sub(1, Ordering::Relaxed);
    }
}
