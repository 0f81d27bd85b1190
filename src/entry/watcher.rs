//! Watches the head object, which holds the tickets in force.
//!
//! A new head comes into force in this process and is announced to peers. Outages of
//! the platform's object store are recorded on the timeline.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::event::EventKind;
use wisteriawick_core::ticket::Head;
use wisteriawick_core::ticket::HeadWire;

use crate::node::Node;
use crate::platform::Object;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// Name of the object that holds the head.
pub(crate) const HEAD_OBJECT: &str = "wisteriawick/head";
/// Maximum wait of one watch request, and thereby the interval at which the platform
/// confirms an unchanged head.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Bounds of the delay before a failed watch is retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Follows the head until the token is cancelled.
pub(crate) async fn run(node: Arc<Node>, platform: PlatformClient, cx: CancellationToken) {
    let watcher = Watcher { node, platform };
    tokio::select! {
        () = watcher.follow() => {}
        () = cx.cancelled() => {}
    }
}

struct Watcher {
    node: Arc<Node>,
    platform: PlatformClient,
}

impl Watcher {
    async fn follow(&self) {
        let mut followed = Followed::default();
        let mut delay = MIN_RETRY_DELAY;
        let mut platform_down = false;
        loop {
            match self
                .platform
                .watch(HEAD_OBJECT, followed.version, WATCH_TIMEOUT)
                .await
            {
                Ok(object) => {
                    if platform_down {
                        self.node.timeline.record(EventKind::PlatformUp);
                    }
                    platform_down = false;
                    delay = MIN_RETRY_DELAY;
                    self.receive(object, &mut followed);
                }
                Err(e) => {
                    if !platform_down {
                        log::warn!("{e}");
                        self.node.timeline.record(EventKind::PlatformDown);
                    }
                    platform_down = true;
                    tokio::time::sleep(with_jitter(delay)).await;
                    delay = (delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    fn receive(&self, object: Option<Object<Value>>, followed: &mut Followed) {
        let Some(object) = object else {
            // The head is unchanged since the last read, which confirms it.
            if let Some(head) = self.node.config.state().head()
                && !followed.is_unreadable
            {
                self.node.config.update(head);
            }
            return;
        };
        // Whether it can be read or not, the next watch waits for a later version.
        followed.version = object.version;
        match decode_head(object.value) {
            Ok(head) => {
                followed.is_unreadable = false;
                self.node.config.update(&Arc::new(head));
                self.node.trigger_heartbeats();
            }
            Err(e) => {
                followed.is_unreadable = true;
                log::error!("the head object cannot be read, the last one stays in force: {e}");
            }
        }
    }
}

/// How far the head object has been followed.
#[derive(Debug, Default)]
struct Followed {
    /// Its last version.
    version: u64,
    /// Whether that version cannot be read.
    is_unreadable: bool,
}

fn decode_head(value: Value) -> Result<Head, PlatformError> {
    let wire: HeadWire =
        serde_json::from_value(value).map_err(|e| PlatformError::Malformed(e.to_string()))?;
    Head::try_from(wire).map_err(PlatformError::Malformed)
}

/// Varies a delay by up to a quarter either way, so that many processes do not retry at the
/// same time.
pub(crate) fn with_jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::random_range(0.75..1.25))
}
