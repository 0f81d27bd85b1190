//! Watches the declaration and the list of runners in the store.
//!
//! Each watch call has a short timeout, so that a dead connection is noticed within
//! the time in which a new declaration must be in force. A store that was restored
//! from a copy is listed anew; what was in force before stays in force.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gateway::Declaration;
use wisteriawick_core::gateway::StoreBehind;
use wisteriawick_core::hosting::Era;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_platform::Change;
use wisteriawick_platform::Freshness;
use wisteriawick_platform::Position;
use wisteriawick_platform::StoreError;

use crate::eventlog::EventCategory;
use crate::gateway::state::GatewayState;
use crate::gateway::state::lock;
use crate::gateway::watch_backoff::Progress;
use crate::gateway::watch_backoff::WatchBackoff;

/// Longest time that the store holds a watch call. Including the time for the
/// response it stays below the two seconds in which a declaration must be in force.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time to wait for a listing.
pub(super) const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Keeps the declaration up to date until shutdown.
pub(crate) async fn watch_declaration(state: Arc<GatewayState>, shutdown: CancellationToken) {
    let follow = follow_declaration(&state);
    tokio::select! {
        () = follow => {}
        () = shutdown.cancelled() => {}
    }
}

/// Keeps the list of runners up to date until shutdown.
pub(crate) async fn watch_runners(state: Arc<GatewayState>, shutdown: CancellationToken) {
    let follow = follow_runners(&state);
    tokio::select! {
        () = follow => {}
        () = shutdown.cancelled() => {}
    }
}

async fn follow_declaration(state: &GatewayState) {
    let mut position: Option<Position> = None;
    let mut backoff = WatchBackoff::new("declaration", WATCH_TIMEOUT);
    loop {
        let result = match position {
            None => list_declaration(state).await,
            Some(after) => watch_declaration_once(state, after, backoff.watch_timeout()).await,
        };
        position = backoff.next_position(state, position, result).await;
    }
}

async fn list_declaration(state: &GatewayState) -> Result<Progress, StoreError> {
    let listing = state.store.declaration(LIST_TIMEOUT).await?;
    for error in &listing.unreadable {
        log_unreadable(state, &error.to_string());
    }
    let era = listing.position.era;
    let listed = listing.items.iter().map(Declaration::version).max();
    for declaration in listing.items {
        apply_declaration(state, era, declaration);
    }
    if let Some(behind) = state.compare_listed(era, listed) {
        log_store_behind(state, &behind);
    }
    Ok(Progress::Listed {
        next: listing.position,
        is_complete: listing.is_complete,
    })
}

async fn watch_declaration_once(
    state: &GatewayState,
    after: Position,
    timeout: Duration,
) -> Result<Progress, StoreError> {
    let (changes, next) = state.store.watch_declaration(after, timeout).await?;
    let has_changes = !changes.is_empty();
    for change in changes {
        match change {
            Change::Written(declaration) => apply_declaration(state, next.era, declaration),
            Change::Unreadable { error, .. } => log_unreadable(state, &error.to_string()),
            Change::Removed { name } => log_unreadable(state, &format!("{name} was removed")),
        }
    }
    Ok(Progress::Watched { next, has_changes })
}

fn apply_declaration(state: &GatewayState, era: Era, declaration: Declaration) {
    let version = declaration.version();
    let in_force = state.update_declaration(era, declaration);
    if in_force {
        state.log.line(
            EventCategory::State,
            "declaration",
            json!({"version": version, "era": era.0}),
        );
    }
}

fn log_store_behind(state: &GatewayState, behind: &StoreBehind) {
    let fields = json!({
        "in_force": behind.in_force,
        "in_force_era": behind.in_force_era.0,
        "listed": behind.listed,
        "listed_era": behind.listed_era.0,
    });
    state
        .log
        .line(EventCategory::Failure, "store_behind", fields);
}

async fn follow_runners(state: &GatewayState) {
    let mut position: Option<Position> = None;
    let mut backoff = WatchBackoff::new("runners", WATCH_TIMEOUT);
    loop {
        if lock(&state.runner_registry).take_relist(state.now()) {
            position = None;
        }
        let result = match position {
            None => list_runners(state).await,
            Some(after) => watch_runners_once(state, after, backoff.watch_timeout()).await,
        };
        if result.is_err() {
            lock(&state.runner_registry).store_unreachable(state.now());
        }
        position = backoff.next_position(state, position, result).await;
    }
}

async fn list_runners(state: &GatewayState) -> Result<Progress, StoreError> {
    let listing = state.store.runners(Freshness::Newest, LIST_TIMEOUT).await?;
    for error in &listing.unreadable {
        log_unreadable(state, &error.to_string());
    }
    let now = state.now();
    let Position { era, revision } = listing.position;
    let count = listing.items.len();
    let withheld = {
        let mut runner_registry = lock(&state.runner_registry);
        let before = runner_registry.last_starts();
        runner_registry.store_responded(now);
        match listing.is_complete {
            true => runner_registry.replace_all(now, era, listing.items),
            false => runner_registry.replace_part(now, era, listing.items),
        }
        for start in before {
            if runner_registry.last_start(&start.runner).as_ref() != Some(&start) {
                state.runner_lost(&start, "no longer listed");
            }
        }
        runner_registry.withheld_count()
    };
    state.refresh_services();
    state.set_has_runner_list();
    state.log.line(
        EventCategory::State,
        "runners_listed",
        json!({"count": count, "withheld": withheld, "era": era.0, "revision": revision.0}),
    );
    Ok(Progress::Listed {
        next: listing.position,
        is_complete: listing.is_complete,
    })
}

async fn watch_runners_once(
    state: &GatewayState,
    after: Position,
    timeout: Duration,
) -> Result<Progress, StoreError> {
    let (changes, next) = state.store.watch_runners(after, timeout).await?;
    let now = state.now();
    let has_changes = !changes.is_empty();
    lock(&state.runner_registry).store_responded(now);
    for change in changes {
        apply_runner_change(state, change);
    }
    if has_changes {
        state.refresh_services();
    }
    Ok(Progress::Watched { next, has_changes })
}

fn apply_runner_change(state: &GatewayState, change: Change<ListedRunner>) {
    let now = state.now();
    let mut runner_registry = lock(&state.runner_registry);
    match change {
        Change::Written(runner) => {
            let mut fields = state.positions.log_fields(&runner);
            fields["state"] = format!("{:?}", runner.state).into();
            fields["address"] = runner.address.to_string().into();
            let id = runner.id.clone();
            let before = runner_registry.last_start(&id);
            if runner_registry.update(runner) {
                state.log.line(EventCategory::State, "runner", fields);
            }
            if let Some(before) = before
                && runner_registry.last_start(&id).as_ref() != Some(&before)
            {
                state.runner_lost(&before, "restarted");
            }
        }
        Change::Removed { name } => {
            state.log.line(
                EventCategory::State,
                "runner_removed",
                json!({"runner": name}),
            );
            let id = name.as_str().into();
            let removed = runner_registry.last_start(&id);
            runner_registry.remove(now, &id);
            if let Some(removed) = removed {
                state.runner_lost(&removed, "removed from the list");
            }
        }
        Change::Unreadable { name, error } => {
            log_unreadable(state, &error.to_string());
            if let Some(name) = name {
                runner_registry.remove(now, &name.as_str().into());
            }
        }
    }
}

pub(super) fn log_unreadable(state: &GatewayState, problem: &str) {
    state.log.line(
        EventCategory::Failure,
        "unreadable",
        json!({"problem": problem}),
    );
}
