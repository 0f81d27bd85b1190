//! The stop of a gateway, as the tasks that serve requests see it.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use tokio_util::sync::CancellationToken;

/// How far the stop of a gateway has come.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    begun: OnceLock<Instant>,
    finished: CancellationToken,
}

impl Stop {
    /// Begins the stop.
    pub(crate) fn begin(&self, now: Instant) {
        let _ = self.begun.set(now);
    }

    /// Tells streams to end.
    pub(crate) fn finish(&self) {
        self.finished.cancel();
    }

    /// Returns the time since the signal to stop; `None` while the gateway runs
    /// normally.
    pub(crate) fn elapsed(&self, now: Instant) -> Option<Duration> {
        let begun = self.begun.get()?;
        Some(now.saturating_duration_since(*begun))
    }

    /// Waits until streams must end.
    pub(crate) async fn wait_until_finished(&self) {
        self.finished.cancelled().await;
    }
}
