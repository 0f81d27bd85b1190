//! Watches the declaration and the list of runners in the store.
//!
//! A watch waits only shortly, so that a connection that fell silent is found
//! within the time in which a declaration must be in force.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use serde_json::json;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gateway::Declaration;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_platform::Change;
use wisteriawick_platform::Freshness;
use wisteriawick_platform::Revision;
use wisteriawick_platform::StoreError;

use crate::eventlog::EventCategory;
use crate::gateway::hub::Hub;
use crate::gateway::hub::lock;
use crate::telemetry;

/// Longest wait of one watch: with the slack for its answer it stays below the
/// two seconds in which a declaration must be in force.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Longest wait for a listing.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed call, doubled up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Keeps the declaration current.
pub(crate) async fn watch_declaration(hub: Arc<Hub>, end: CancellationToken) {
    let follow = follow_declaration(&hub);
    tokio::select! {
        () = follow => {}
        () = end.cancelled() => {}
    }
}

/// Keeps the list of runners current.
pub(crate) async fn watch_runners(hub: Arc<Hub>, end: CancellationToken) {
    let follow = follow_runners(&hub);
    tokio::select! {
        () = follow => {}
        () = end.cancelled() => {}
    }
}

async fn follow_declaration(hub: &Hub) {
    let mut at: Option<Revision> = None;
    let mut contact = Contact::new("declaration");
    loop {
        let step = match at {
            None => list_declaration(hub).await,
            Some(after) => watch_declaration_once(hub, after).await,
        };
        at = contact.next(hub, at, step).await;
    }
}

async fn list_declaration(hub: &Hub) -> Result<Revision, StoreError> {
    let listing = hub.store.declaration(LIST_TIMEOUT).await?;
    for error in &listing.unreadable {
        log_unreadable(hub, &error.to_string());
    }
    for declaration in listing.items {
        take_declaration(hub, declaration);
    }
    Ok(listing.revision)
}

async fn watch_declaration_once(hub: &Hub, after: Revision) -> Result<Revision, StoreError> {
    let (changes, at) = hub.store.watch_declaration(after, WATCH_WAIT).await?;
    for change in changes {
        match change {
            Change::Written(declaration) => take_declaration(hub, declaration),
            Change::Unreadable { error, .. } => log_unreadable(hub, &error.to_string()),
            Change::Removed { name } => log_unreadable(hub, &format!("{name} was removed")),
        }
    }
    Ok(at)
}

fn take_declaration(hub: &Hub, declaration: Declaration) {
    let version = declaration.version();
    let in_force = hub.offer(declaration);
    if in_force {
        hub.log.line(
            EventCategory::State,
            "declaration",
            json!({"version": version}),
        );
    }
}

async fn follow_runners(hub: &Hub) {
    let mut at: Option<Revision> = None;
    let mut contact = Contact::new("runners");
    loop {
        let step = match at {
            None => list_runners(hub).await,
            Some(after) => watch_runners_once(hub, after).await,
        };
        if step.is_err() {
            lock(&hub.roster).lost_contact(hub.now());
        }
        at = contact.next(hub, at, step).await;
    }
}

async fn list_runners(hub: &Hub) -> Result<Revision, StoreError> {
    let listing = hub.store.runners(Freshness::Newest, LIST_TIMEOUT).await?;
    for error in &listing.unreadable {
        log_unreadable(hub, &error.to_string());
    }
    let now = hub.now();
    let count = listing.items.len();
    {
        let mut roster = lock(&hub.roster);
        roster.heard(now);
        roster.list(now, listing.items);
    }
    hub.refresh_services();
    hub.set_has_roster();
    hub.log.line(
        EventCategory::State,
        "runners_listed",
        json!({"count": count, "revision": listing.revision.0}),
    );
    Ok(listing.revision)
}

async fn watch_runners_once(hub: &Hub, after: Revision) -> Result<Revision, StoreError> {
    let (changes, at) = hub.store.watch_runners(after, WATCH_WAIT).await?;
    let now = hub.now();
    let changed = !changes.is_empty();
    lock(&hub.roster).heard(now);
    for change in changes {
        take_runner_change(hub, change);
    }
    if changed {
        hub.refresh_services();
    }
    Ok(at)
}

fn take_runner_change(hub: &Hub, change: Change<ListedRunner>) {
    let now = hub.now();
    let mut roster = lock(&hub.roster);
    match change {
        Change::Written(runner) => {
            let fields = json!({
                "runner": runner.id.as_str(),
                "state": format!("{:?}", runner.state),
                "address": runner.address.to_string(),
            });
            let id = runner.id.clone();
            let reborn = roster.is_reborn(&runner);
            if roster.write(runner) {
                hub.log.line(EventCategory::State, "runner", fields);
            }
            if reborn {
                lock(&hub.strikes).runner_lost(now, &id);
            }
        }
        Change::Removed { name } => {
            hub.log.line(
                EventCategory::State,
                "runner_removed",
                json!({"runner": name}),
            );
            let id = name.as_str().into();
            roster.remove(now, &id);
            lock(&hub.strikes).runner_lost(now, &id);
        }
        Change::Unreadable { name, error } => {
            log_unreadable(hub, &error.to_string());
            roster.remove(now, &name.as_str().into());
        }
    }
}

fn log_unreadable(hub: &Hub, problem: &str) {
    hub.log.line(
        EventCategory::Failure,
        "unreadable",
        json!({"problem": problem}),
    );
}

/// Whether the store answers one watcher, and how long to pause if not.
struct Contact {
    what: &'static str,
    failures: u32,
}

impl Contact {
    fn new(what: &'static str) -> Self {
        Self { what, failures: 0 }
    }

    /// Returns the state to watch from next; `None` asks for a listing.
    async fn next(
        &mut self,
        hub: &Hub,
        at: Option<Revision>,
        step: Result<Revision, StoreError>,
    ) -> Option<Revision> {
        match step {
            Ok(at) => {
                if self.failures > 0 {
                    hub.log.line(
                        EventCategory::State,
                        "store_regained",
                        json!({"for": self.what}),
                    );
                }
                self.failures = 0;
                Some(at)
            }
            Err(StoreError::HistoryGone) => {
                hub.log.line(
                    EventCategory::State,
                    "history_gone",
                    json!({"for": self.what}),
                );
                None
            }
            Err(e) => {
                if self.failures == 0 {
                    let fields = json!({"for": self.what, "error": e.to_string()});
                    hub.log.line(EventCategory::Failure, "store_lost", fields);
                }
                counter!(telemetry::STORE_FAILURES, "for" => self.what).increment(1);
                let pause = FIRST_PAUSE * 2u32.pow(self.failures.min(4));
                self.failures += 1;
                let spread = 0.75 + hub.draw() / 2.0;
                tokio::time::sleep(pause.min(LONGEST_PAUSE).mul_f64(spread)).await;
                at
            }
        }
    }
}
