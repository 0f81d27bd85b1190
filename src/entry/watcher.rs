//! Watches the head object and reports outages of the platform.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use wisteriawick_core::event::EventKind;
use wisteriawick_core::ticket::Head;
use wisteriawick_core::ticket::HeadWire;

use crate::node::Node;
use crate::platform::Object;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// Name of the head object.
pub(crate) const HEAD_OBJECT: &str = "wisteriawick/head";
/// How long a watch waits; also how often the head is confirmed.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Bounds of the pause after a failure.
const RETRY_MIN: Duration = Duration::from_millis(200);
const RETRY_MAX: Duration = Duration::from_secs(5);

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
        let mut version = 0;
        let mut pause = RETRY_MIN;
        let mut down = false;
        loop {
            match self.platform.watch(HEAD_OBJECT, version, WATCH_WAIT).await {
                Ok(object) => {
                    if down {
                        self.node.timeline.record(EventKind::PlatformUp);
                    }
                    down = false;
                    pause = RETRY_MIN;
                    self.take(object, &mut version);
                }
                Err(e) => {
                    if !down {
                        log::warn!("{e}");
                        self.node.timeline.record(EventKind::PlatformDown);
                    }
                    down = true;
                    tokio::time::sleep(jittered(pause)).await;
                    pause = (pause * 2).min(RETRY_MAX);
                }
            }
        }
    }

    fn take(&self, object: Option<Object<HeadWire>>, version: &mut u64) {
        match object {
            Some(object) => match read_head(object.value) {
                Ok(head) => {
                    *version = object.version;
                    self.node.config.update(&Arc::new(head));
                    self.node.trigger_heartbeats();
                }
                Err(e) => log::error!("head object: {e}"),
            },
            None => {
                // The platform vouches for what it gave before.
                if let Some(head) = self.node.config.state().head() {
                    self.node.config.update(head);
                }
            }
        }
    }
}

fn read_head(wire: HeadWire) -> Result<Head, PlatformError> {
    Head::try_from(wire).map_err(PlatformError::Malformed)
}

/// Spreads retries of many processes over half the pause.
pub(crate) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.75..1.25))
}
