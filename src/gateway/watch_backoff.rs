//! Paces the calls of the tasks that watch the store.

use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use serde_json::json;
use wisteriawick_core::gateway::WatchPace;
use wisteriawick_platform::Position;
use wisteriawick_platform::StoreError;

use crate::eventlog::EventCategory;
use crate::gateway::state::GatewayState;
use crate::telemetry;

/// Delay after a failed call; doubles with each further failure up to
/// [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time after an incomplete listing until the objects are listed again.
const RELIST_INTERVAL: Duration = Duration::from_secs(10);

/// What a successful call came to, and where the next watch begins.
pub(super) enum Progress {
    Listed { next: Position, is_complete: bool },
    Watched { next: Position, has_changes: bool },
}

/// Paces the calls of one watch: delays retries after failures of the store, and calls
/// that would follow each other too closely.
pub(super) struct WatchBackoff {
    /// Names the watch in log lines and metrics.
    name: &'static str,
    /// Longest time for which the store holds a watch call.
    hold: Duration,
    /// Consecutive failed calls.
    failures: u32,
    /// When the objects are listed again since the last listing was incomplete.
    relist_at: Option<Instant>,
    pace: WatchPace,
}

impl WatchBackoff {
    pub(super) fn new(name: &'static str, hold: Duration) -> Self {
        Self {
            name,
            hold,
            failures: 0,
            relist_at: None,
            pace: WatchPace::default(),
        }
    }

    /// Returns how long the store may hold the next watch call. After a failure it
    /// responds at once, so that its era is known before a watch waits in vain for
    /// changes after a revision of an older era.
    pub(super) fn watch_timeout(&self) -> Duration {
        match self.failures {
            0 => self.hold,
            _ => Duration::ZERO,
        }
    }

    /// Logs that a listing ended early. What it does not contain stays as it was.
    fn log_incomplete(&self, state: &GatewayState) {
        let fields = json!({
            "for": self.name,
            "remedy": "remove the objects that the lines `unreadable` name",
        });
        state
            .log
            .line(EventCategory::Failure, "listing_incomplete", fields);
    }

    /// Returns the position to watch from next, after the delay that the call's result
    /// requires. `None` means that a new listing is needed.
    pub(super) async fn next_position(
        &mut self,
        state: &GatewayState,
        position: Option<Position>,
        result: Result<Progress, StoreError>,
    ) -> Option<Position> {
        counter!(telemetry::STORE_CALLS, "for" => self.name).increment(1);
        match result {
            Ok(progress) => {
                if self.failures > 0 {
                    state.log.line(
                        EventCategory::State,
                        "store_regained",
                        json!({"for": self.name}),
                    );
                }
                self.failures = 0;
                let now = state.now();
                let (next, has_changes) = match progress {
                    Progress::Listed { next, is_complete } => {
                        if !is_complete {
                            self.log_incomplete(state);
                        }
                        self.relist_at = (!is_complete).then(|| now + RELIST_INTERVAL);
                        (next, true)
                    }
                    Progress::Watched { next, has_changes } => (next, has_changes),
                };
                tokio::time::sleep(self.pace.next_delay(has_changes)).await;
                let is_due = self.relist_at.is_some_and(|at| at <= now);
                Some(next).filter(|_| !is_due)
            }
            Err(StoreError::HistoryGone) => {
                state.log.line(
                    EventCategory::State,
                    "history_gone",
                    json!({"for": self.name}),
                );
                None
            }
            Err(StoreError::EraChanged { from, to }) => {
                state.log.line(
                    EventCategory::State,
                    "store_restored",
                    json!({"for": self.name, "era": to.0, "era_before": from.0}),
                );
                None
            }
            Err(e) => {
                let is_final = e.is_final();
                if let StoreError::OlderEra { era, newest } = e {
                    let fields = json!({"for": self.name, "era": era.0, "newest": newest.0});
                    state.log.line(EventCategory::Failure, "older_era", fields);
                } else if self.failures == 0 {
                    let fields = json!({"for": self.name, "error": e.to_string()});
                    state.log.line(EventCategory::Failure, "store_lost", fields);
                }
                counter!(telemetry::STORE_FAILURES, "for" => self.name).increment(1);
                let delay = MIN_RETRY_DELAY * 2u32.pow(self.failures.min(4));
                self.failures += 1;
                let jitter = 0.75 + state.random_fraction() / 2.0;
                tokio::time::sleep(delay.min(MAX_RETRY_DELAY).mul_f64(jitter)).await;
                // A watch that would fail again is replaced by a listing.
                position.filter(|_| !is_final)
            }
        }
    }
}
