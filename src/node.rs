//! The state that every process has, whether it is an entry or an agent.
//!
//! A [`Node`] identifies the process to its peers, builds the heartbeats that it sends
//! them, and holds the configuration in force and the TLS identity.

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

/// Time between two checks of the key and certificate files for changes.
const TLS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The state of a process that its tasks share.
#[derive(Debug)]
pub struct Node {
    /// Name of the process.
    pub name: ProcessId,
    /// Place in which it runs.
    pub place: PlaceId,
    /// Its incarnation, which differs for each start of the process.
    pub incarnation: Incarnation,
    /// The clock that all tasks of the process read.
    pub clock: SharedClock,
    /// The timeline of its events.
    pub timeline: Timeline,
    /// The configuration in force.
    pub config: ConfigStore,
    /// Key and certificates in use.
    pub tls: watch::Sender<TlsIdentity>,
    /// Changes when heartbeats should be sent at once, ahead of the interval.
    pub heartbeat_trigger: watch::Sender<u64>,
    /// The endpoint's load; `None` in an entry.
    pub load: Option<LoadTracker>,
    leaving: AtomicBool,
}

impl Node {
    /// Returns the state of a starting process.
    ///
    /// # Errors
    ///
    /// Fails if a key or certificate file cannot be read.
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
            // A later incarnation has a higher number unless the wall clock was set back.
            // The random low bits separate incarnations that start in the same millisecond.
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

    /// Returns the message with which this process identifies itself on a link.
    pub fn hello(&self) -> Hello {
        Hello {
            process: self.name.to_string(),
            incarnation: self.incarnation.0,
            is_entry: self.load.is_none(),
        }
    }

    /// Returns a heartbeat without a load report.
    ///
    /// `number` is its own number, `echo` the number of the heartbeat to which it responds
    /// or zero.
    pub fn heartbeat(&self, number: u64, echo: u64) -> Heartbeat {
        let config = self.config.state();
        Heartbeat {
            echo,
            number,
            stamp: self.timeline.stamp().into(),
            ticket: config.number().0,
            tag: config.tag(),
            leaving: self.is_leaving(),
            load: None,
            deaths: Vec::new(),
        }
    }

    /// Returns a heartbeat for one peer; an agent's includes its load report for that peer.
    pub fn heartbeat_for(&self, receiver: &ProcessId, number: u64, echo: u64) -> Heartbeat {
        let mut heartbeat = self.heartbeat(number, echo);
        if let Some(load) = &self.load {
            heartbeat.load = Some(load.report_for(receiver));
            heartbeat.deaths = load.recent_deaths(self.clock.now());
        }
        heartbeat
    }

    /// Returns whether the process is shutting down and admits no new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks the process as leaving and announces that to all peers at once.
    pub fn leave(&self) {
        if !self.leaving.swap(true, Ordering::Relaxed) {
            self.timeline.record(EventKind::ShuttingDown);
            self.trigger_heartbeats();
        }
    }

    /// Makes all links send a heartbeat at once.
    pub fn trigger_heartbeats(&self) {
        self.heartbeat_trigger.send_modify(|count| *count += 1);
    }

    /// Reads the key and certificates again whenever their files change. If they are not
    /// valid, the previous ones stay in use.
    pub async fn reload_tls(&self, settings: &TlsSettings, cx: CancellationToken) {
        let mut files = FileWatch::new(settings);
        let mut ticks = tokio::time::interval(TLS_POLL_INTERVAL);
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
                    log::info!("reloaded key and certificates");
                    self.tls.send_replace(identity);
                }
                Err(e) => {
                    log::warn!("cannot reload key and certificates, keeping the old ones: {e}")
                }
            }
        }
    }
}
