//! What a declaration changes against the one in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;

use crate::gateway::DeclarationDraft;
use crate::gateway::Finding;
use crate::gateway::RetryPolicy;
use crate::gateway::Route;
use crate::ids::WorkspaceId;

/// A change, and what it does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The part, such as `route quotes`.
    pub place: String,
    /// What changes.
    pub change: String,
}

/// Returns what a new declaration changes. Keys are counted, not shown.
pub fn differences(in_force: &DeclarationDraft, new: &DeclarationDraft) -> Vec<Difference> {
    let mut differences = Vec::new();
    let mut add = |place: String, change: String| differences.push(Difference { place, change });
    compare_services(in_force, new, &mut add);
    compare_routes(in_force, new, &mut add);
    compare_workspaces(in_force, new, &mut add);
    if in_force.limits != new.limits {
        let change = format!("{} becomes {}", limits(in_force), limits(new));
        add("limits".into(), change);
    }
    differences
}

/// Returns why processes would not use a declaration, if they have another one in force.
pub fn check_version(in_force: &DeclarationDraft, new: &DeclarationDraft) -> Option<Finding> {
    (new.version <= in_force.version).then(|| {
        let problem = format!(
            "{} is not above {}, so processes keep the declaration in force",
            new.version, in_force.version
        );
        Finding::error("version", problem, "raise the version")
    })
}

fn limits(draft: &DeclarationDraft) -> String {
    let limits = &draft.limits;
    format!(
        "heads of {} bytes in {} ms, bodies of {} bytes, {} ms idle",
        limits.max_head_bytes,
        limits.head_timeout.as_millis(),
        limits.max_body_bytes,
        limits.idle_timeout.as_millis()
    )
}

fn compare_services(
    in_force: &DeclarationDraft,
    new: &DeclarationDraft,
    add: &mut impl FnMut(String, String),
) {
    let by_id = |draft: &DeclarationDraft| -> BTreeMap<String, _> {
        let services = draft.services.iter();
        services
            .map(|service| (service.id.to_string(), service.clone()))
            .collect()
    };
    let (before, after) = (by_id(in_force), by_id(new));
    for (id, service) in &after {
        match before.get(id) {
            None => add(format!("service {id}"), "is new".into()),
            Some(known) if known != service => add(format!("service {id}"), "changes".into()),
            Some(_) => {}
        }
    }
    for id in before.keys().filter(|id| !after.contains_key(*id)) {
        add(format!("service {id}"), "ends".into());
    }
}

fn compare_routes(
    in_force: &DeclarationDraft,
    new: &DeclarationDraft,
    add: &mut impl FnMut(String, String),
) {
    let by_match = |draft: &DeclarationDraft| -> BTreeMap<(String, String), Route> {
        let mut routes = BTreeMap::new();
        for route in &draft.routes {
            let key = (route.host.clone(), route.prefix.clone());
            routes.entry(key).or_insert_with(|| route.clone());
        }
        routes
    };
    let (before, after) = (by_match(in_force), by_match(new));
    for (key, route) in &after {
        let place = format!("route {} ({}{})", route.name, key.0, key.1);
        match before.get(key) {
            None => {
                let taken = match shorter(&before, key) {
                    Some(other) => format!("; it takes requests of route {}", other.name),
                    None => String::new(),
                };
                add(
                    place,
                    format!("is new, and leads to {}{taken}", targets(route)),
                );
            }
            Some(known) => {
                if let Some(change) = route_change(known, route) {
                    add(place, change);
                }
            }
        }
    }
    for (key, route) in before.iter().filter(|(key, _)| !after.contains_key(*key)) {
        let place = format!("route {} ({}{})", route.name, key.0, key.1);
        let change = match shorter(&after, key) {
            Some(other) => format!("ends; route {} gets its requests", other.name),
            None => "ends; its requests get 404".into(),
        };
        add(place, change);
    }
}

/// Returns the route with the longest prefix that begins another route's prefix.
fn shorter<'a>(
    routes: &'a BTreeMap<(String, String), Route>,
    (host, prefix): &(String, String),
) -> Option<&'a Route> {
    let ends = prefix.char_indices().rev().map(|(end, _)| end);
    ends.filter(|end| *end > 0)
        .find_map(|end| routes.get(&(host.clone(), prefix[..end].to_string())))
}

fn targets(route: &Route) -> String {
    let services = route.weighted_services.iter();
    let shares: Vec<String> = services
        .map(|target| format!("{} ({})", target.service, target.weight))
        .collect();
    shares.join(", ")
}

fn route_change(before: &Route, after: &Route) -> Option<String> {
    let mut change = String::new();
    let mut note = |text: String| {
        let separator = if change.is_empty() { "" } else { "; " };
        write!(change, "{separator}{text}").expect("writing to a string cannot fail");
    };
    if before.weighted_services != after.weighted_services {
        note(format!(
            "moves from {} to {}",
            targets(before),
            targets(after)
        ));
    }
    if before.allows_anonymous != after.allows_anonymous {
        note(match after.allows_anonymous {
            true => "needs no key any more".into(),
            false => "needs a key from now on".into(),
        });
    }
    let rest = |route: &Route| Route {
        weighted_services: Vec::new(),
        allows_anonymous: false,
        name: String::new(),
        ..route.clone()
    };
    if rest(before) != rest(after) {
        let times = |route: &Route| {
            format!(
                "{}, time-out {} ms, objective {} ms, pause {} ms, {} attempts, priority {}",
                kind(route),
                route.timeout.as_millis(),
                route.latency_target.as_millis(),
                route.max_event_gap.unwrap_or_default().as_millis(),
                route.max_attempts,
                route.priority
            )
        };
        note(format!("{} becomes {}", times(before), times(after)));
    }
    (!change.is_empty()).then_some(change)
}

fn kind(route: &Route) -> &'static str {
    match (route.is_streaming, route.retry_policy) {
        (true, RetryPolicy::Resume) => "a stream that may be resumed",
        (true, _) => "a stream",
        (false, RetryPolicy::Never) => "requests that run once",
        (false, _) => "requests that may be repeated",
    }
}

fn compare_workspaces(
    in_force: &DeclarationDraft,
    new: &DeclarationDraft,
    add: &mut impl FnMut(String, String),
) {
    let (before, after) = match (&in_force.workspaces, &new.workspaces) {
        (None, None) => return,
        (Some(_), None) => return add("workspaces".into(), "requests need no key any more".into()),
        (None, Some(_)) => {
            return add(
                "workspaces".into(),
                "requests need a key from now on".into(),
            );
        }
        (Some(_), Some(_)) => (keys(in_force), keys(new)),
    };
    for (id, keys) in &after {
        let known = before.get(id);
        let added = keys
            .iter()
            .filter(|key| !known.is_some_and(|known| known.contains(*key)));
        let added = added.count();
        if added > 0 {
            add(format!("workspace {id}"), format!("{added} keys are new"));
        }
    }
    let all_after: BTreeSet<&str> = after.values().flatten().copied().collect();
    for (id, keys) in &before {
        let left = after.get(id);
        let is_lost = |key: &&&str| !left.is_some_and(|left| left.contains(*key));
        let lost = keys.iter().filter(is_lost).copied();
        let (moved, ended): (Vec<&str>, Vec<&str>) = lost.partition(|key| all_after.contains(key));
        let place = format!("workspace {id}");
        let all = keys.len();
        if !moved.is_empty() {
            let change = format!("{} of {all} keys move to others", moved.len());
            add(place.clone(), change);
        }
        if !ended.is_empty() {
            let change = format!("{} of {all} keys end; their callers get 401", ended.len());
            add(place, change);
        }
    }
    compare_priorities(in_force, new, add);
}

fn compare_priorities(
    in_force: &DeclarationDraft,
    new: &DeclarationDraft,
    add: &mut impl FnMut(String, String),
) {
    let by_id = |draft: &DeclarationDraft| -> BTreeMap<WorkspaceId, Option<u32>> {
        let workspaces = draft.workspaces.iter().flatten();
        workspaces
            .map(|workspace| (workspace.id.clone(), workspace.priority))
            .collect()
    };
    let name = |priority: Option<u32>| match priority {
        Some(priority) => priority.to_string(),
        None => "that of the route".into(),
    };
    let after = by_id(new);
    for (id, before) in by_id(in_force) {
        if let Some(now) = after.get(&id).filter(|now| **now != before) {
            let change = format!("priority {} becomes {}", name(before), name(*now));
            add(format!("workspace {id}"), change);
        }
    }
}

fn keys(draft: &DeclarationDraft) -> BTreeMap<WorkspaceId, BTreeSet<&str>> {
    let mut by_workspace: BTreeMap<WorkspaceId, BTreeSet<&str>> = BTreeMap::new();
    for workspace in draft.workspaces.iter().flatten() {
        let keys = by_workspace.entry(workspace.id.clone()).or_default();
        keys.extend(workspace.keys.iter().map(String::as_str));
    }
    by_workspace
}
