//! What every process has, whatever its role.

mod config;
mod load;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::event::EventKind;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::PlaceId;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::time::SharedClock;
use wisteriawick_core::time::unix_millis;

pub use config::ConfigStore;
pub use load::LoadTracker;

use crate::error::Result;
use crate::link::Heartbeat;
use crate::link::Hello;
use crate::settings::Settings;
use crate::settings::TlsSettings;
use crate::timeline::Timeline;
use crate::tls::FileWatch;
use crate::tls::TlsIdentity;

/// Time between two looks at the key and certificate files.
const TLS_POLL: Duration = Duration::from_secs(5);

/// The state of a process that its tasks share.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: ProcessId,
    /// Where it runs.
    pub place: PlaceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The clock.
    pub clock: SharedClock,
    /// Its events.
    pub timeline: Timeline,
    /// The tickets in force.
    pub config: ConfigStore,
    /// Key and certificates.
    pub tls: watch::Sender<TlsIdentity>,
    /// Changes when peers should hear of a change before the next beat.
    pub heartbeat_trigger: watch::Sender<u64>,
    /// The endpoint's load, if there is an endpoint.
    pub load: Option<LoadTracker>,
    leaving: AtomicBool,
}

impl Node {
    /// Returns the state of a starting process.
    ///
    /// # Errors
    ///
    /// Fails when a key or certificate cannot be read.
    pub fn new(
        settings: &Settings,
        clock: SharedClock,
        load: Option<LoadTracker>,
    ) -> Result<Arc<Self>> {
        let tls = TlsIdentity::read(&settings.tls)?;
        let timeline = Timeline::new(settings.name.clone(), Arc::clone(&clock));
        let node = Self {
            name: settings.name.clone(),
            place: settings.place.clone(),
            // A later life has a later number as long as wall time moves on.
            incarnation: Incarnation(
                unix_millis(clock.wall()) << 20 | rand::random_range(0..1 << 20),
            ),
            config: ConfigStore::new(timeline.clone(), Arc::clone(&clock)),
            clock,
            timeline,
            tls: watch::Sender::new(tls),
            heartbeat_trigger: watch::Sender::new(0),
            load,
            leaving: AtomicBool::new(false),
        };
        node.timeline.record(EventKind::Started);
        Ok(Arc::new(node))
    }

    /// Returns the greeting of this process.
    pub fn hello(&self) -> Hello {
        Hello {
            process: self.name.to_string(),
            incarnation: self.incarnation.0,
            is_entry: self.load.is_none(),
        }
    }

    /// Returns a heartbeat that does not depend on its reader.
    pub fn heartbeat(&self, number: u64, echo: u64) -> Heartbeat {
        let book = self.config.state();
        Heartbeat {
            echo,
            number,
            stamp: self.timeline.stamp().into(),
            ticket: book.number().0,
            tag: book.tag(),
            leaving: self.is_leaving(),
            load: None,
            deaths: Vec::new(),
        }
    }

    /// Returns a heartbeat for one reader.
    pub fn heartbeat_for(&self, reader: &ProcessId, number: u64, echo: u64) -> Heartbeat {
        let mut heartbeat = self.heartbeat(number, echo);
        if let Some(load) = &self.load {
            heartbeat.load = Some(load.read(reader));
            heartbeat.deaths = load.recent_deaths(self.clock.now());
        }
        heartbeat
    }

    /// Returns whether the process takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Announces that the process takes no new work.
    pub fn leave(&self) {
        if !self.leaving.swap(true, Ordering::Relaxed) {
            self.timeline.record(EventKind::ShuttingDown);
            self.trigger_heartbeats();
        }
    }

    /// Sends a heartbeat to every peer at once.
    pub fn trigger_heartbeats(&self) {
        self.heartbeat_trigger.send_modify(|count| *count += 1);
    }

    /// Reads key and certificates again whenever their files change.
    pub async fn reload_tls(&self, settings: &TlsSettings, cx: CancellationToken) {
        let mut files = FileWatch::new(settings);
        let mut ticks = tokio::time::interval(TLS_POLL);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = cx.cancelled() => return,
            }
            if !files.has_changed() {
                continue;
            }
            match TlsIdentity::read(settings) {
                Ok(identity) => {
                    log::info!("keys and certificates replaced");
                    self.tls.send_replace(identity);
                }
                Err(e) => log::warn!("keys and certificates kept: {e}"),
            }
        }
    }
}
