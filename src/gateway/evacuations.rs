//! Keeps requests away from the data centres that the operator has asked to evacuate.
//!
//! The entry reads them from the store before it is ready and watches them from then on.
//! Without a bound in the settings it makes no call and evacuates nothing.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::gauge;
use serde_json::json;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gateway::EvacuationNote;
use wisteriawick_core::gateway::evacuation_watch_hold;
use wisteriawick_core::hosting::Position;
use wisteriawick_core::ids::PlaceId;
use wisteriawick_platform::Change;
use wisteriawick_platform::StoreError;

use crate::evacuation_board::EvacuationUpdates;
use crate::eventlog::EventCategory;
use crate::gateway::state::GatewayState;
use crate::gateway::store_watch::LIST_TIMEOUT;
use crate::gateway::store_watch::log_unreadable;
use crate::gateway::watch_backoff::Progress;
use crate::gateway::watch_backoff::WatchBackoff;
use crate::telemetry;

/// Where a process has learned of an evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvacuationSource {
    Store,
    Leader,
}

impl EvacuationSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Leader => "leader",
        }
    }
}

/// Keeps the evacuated data centres up to date until shutdown.
pub(crate) async fn watch_evacuations(
    state: Arc<GatewayState>,
    bound: Duration,
    shutdown: CancellationToken,
) {
    tokio::select! {
        () = follow_evacuations(&state, evacuation_watch_hold(bound)) => {}
        () = shutdown.cancelled() => {}
    }
}

async fn follow_evacuations(state: &GatewayState, hold: Duration) {
    let mut position: Option<Position> = None;
    let mut backoff = WatchBackoff::new("evacuations", hold);
    loop {
        let result = match position {
            None => list_evacuations(state).await,
            Some(after) => watch_evacuations_once(state, after, backoff.watch_timeout()).await,
        };
        position = backoff.next_position(state, position, result).await;
    }
}

async fn list_evacuations(state: &GatewayState) -> Result<Progress, StoreError> {
    let sent_at = state.now();
    let listing = state.store.evacuations(LIST_TIMEOUT).await?;
    for error in &listing.unreadable {
        log_unreadable(state, &error.to_string());
    }
    let was_known = state.evacuations.lock().is_known();
    let position = listing.position;
    let changes = state.evacuations.update(|evacuations| {
        if listing.is_complete {
            return evacuations.replace_all(sent_at, position, &listing.items);
        }
        let listed: Vec<_> = listing
            .items
            .into_iter()
            .map(|place| (place, true))
            .collect();
        evacuations.update(sent_at, position, &listed)
    });
    if !was_known {
        state.refresh_services();
    }
    state.apply_evacuations(&changes, EvacuationSource::Store);
    state.log_kept_evacuations();
    Ok(Progress::Listed {
        next: listing.position,
        is_complete: listing.is_complete,
    })
}

async fn watch_evacuations_once(
    state: &GatewayState,
    after: Position,
    timeout: Duration,
) -> Result<Progress, StoreError> {
    let sent_at = state.now();
    let (changes, next) = state.store.watch_evacuations(after, timeout).await?;
    let has_changes = !changes.is_empty();
    let mut places: Vec<(PlaceId, bool)> = Vec::new();
    for change in changes {
        match change {
            Change::Written(place) => places.push((place, true)),
            Change::Removed { name } => places.push((name.as_str().into(), false)),
            Change::Unreadable { error, .. } => log_unreadable(state, &error.to_string()),
        }
    }
    let changes = state
        .evacuations
        .update(|evacuations| evacuations.update(sent_at, next, &places));
    state.apply_evacuations(&changes, EvacuationSource::Store);
    Ok(Progress::Watched { next, has_changes })
}

impl GatewayState {
    /// Returns whether runners may be chosen: what is evacuated has been read, or the
    /// settings state no bound for evacuations.
    pub(crate) fn knows_evacuations(&self) -> bool {
        self.settings.bounds.evacuation.is_none() || self.evacuations.lock().is_known()
    }

    /// Returns what the link to the leader of a group has to send of evacuations; nothing
    /// ever if the settings state no bound for them.
    pub(crate) fn evacuation_updates(&self) -> EvacuationUpdates {
        match self.settings.bounds.evacuation {
            Some(_) => self.evacuations.subscribe(),
            None => EvacuationUpdates::default(),
        }
    }

    /// Takes in what the leader of a group tells of evacuations.
    pub(crate) fn learn_evacuations(&self, notes: &[EvacuationNote]) {
        let changes = self
            .evacuations
            .update(|evacuations| evacuations.merge(notes));
        self.apply_evacuations(&changes, EvacuationSource::Leader);
    }

    /// Puts changes in force in all pools, decides anew on queued requests, and logs them.
    fn apply_evacuations(&self, changes: &[EvacuationNote], source: EvacuationSource) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let event = match change.is_evacuated {
                true => "evacuation_asked",
                false => "evacuation_taken_back",
            };
            let fields = json!({
                "place": change.place.as_str(),
                "from": source.as_str(),
                "era": change.as_of.era.0,
                "revision": change.as_of.revision.0,
            });
            self.log.line(EventCategory::State, event, fields);
        }
        self.refresh_evacuated();
        for change in changes.iter().filter(|change| change.is_evacuated) {
            self.log_in_force(&change.place);
        }
    }

    fn log_in_force(&self, place: &PlaceId) {
        let mut runners = 0;
        let mut in_flight = 0;
        self.for_each_service(|_, service_state| {
            let (in_pool, requests) = service_state.pool.counts_in(place);
            runners += in_pool;
            in_flight += requests;
        });
        let fields = json!({
            "place": place.as_str(),
            "runners": self.knows_runners().then_some(runners),
            "in_flight": in_flight,
        });
        self.log
            .line(EventCategory::State, "evacuation_in_force", fields);
    }

    /// Logs the evacuations that the store lacks since it was restored, once an era.
    fn log_kept_evacuations(&self) {
        let kept = self.evacuations.lock().take_missing_report();
        if kept.is_empty() {
            return;
        }
        let places: Vec<&str> = kept.iter().map(PlaceId::as_str).collect();
        let fields = json!({"places": places});
        self.log
            .line(EventCategory::Failure, "evacuations_kept", fields);
    }

    /// Sets the gauges of evacuations, and logs when the state begins or ends to be possibly
    /// older than the settings allow.
    pub(crate) fn report_evacuations(&self) {
        let Some(bound) = self.settings.bounds.evacuation else {
            return;
        };
        let (places, kept, unconfirmed_for) = {
            let evacuations = self.evacuations.lock();
            let kept = evacuations.missing_in_store().len();
            let unconfirmed_for = evacuations.unconfirmed_for(self.now());
            (evacuations.places().len(), kept, unconfirmed_for)
        };
        let is_unconfirmed = unconfirmed_for > bound;
        gauge!(telemetry::EVACUATED_PLACES).set(places as f64);
        gauge!(telemetry::STORE_BEHIND, "for" => "evacuations").set(kept as f64);
        gauge!(telemetry::EVACUATIONS_UNCONFIRMED).set(f64::from(is_unconfirmed));
        let was_unconfirmed = self
            .evacuations_unconfirmed
            .swap(is_unconfirmed, Ordering::Relaxed);
        if is_unconfirmed != was_unconfirmed {
            let event = match is_unconfirmed {
                true => "evacuations_unconfirmed",
                false => "evacuations_confirmed",
            };
            let fields = json!({"unconfirmed_ms": unconfirmed_for.as_millis() as u64});
            self.log.line(EventCategory::State, event, fields);
        }
    }
}
