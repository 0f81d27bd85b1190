//! Whether a link is in use, which sets the pace of its heartbeats.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;

#[derive(Debug, Default)]
struct State {
    open: AtomicUsize,
    began: Notify,
}

/// Counts the streams that are open on a link.
#[derive(Clone, Debug, Default)]
pub(crate) struct Activity(Arc<State>);

impl Activity {
    /// Marks the link as used until the value is dropped.
    pub(crate) fn begin(&self) -> LinkUse {
        self.0.open.fetch_add(1, Ordering::Relaxed);
        self.0.began.notify_one();
        LinkUse(self.clone())
    }

    /// Returns whether a stream is open.
    pub(crate) fn is_used(&self) -> bool {
        self.0.open.load(Ordering::Relaxed) > 0
    }

    /// Waits until a stream is opened.
    pub(crate) async fn began(&self) {
        self.0.began.notified().await;
    }
}

/// A stream that is open on a link.
#[derive(Debug)]
pub(crate) struct LinkUse(Activity);

impl Drop for LinkUse {
    fn drop(&mut self) {
        self.0.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
