//! What a declaration changes against the one in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;

use crate::gateway::DeclarationDraft;
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
    if new.version <= in_force.version {
        let change = format!(
            "version {} is not above {}, so processes keep the one in force",
            new.version, in_force.version
        );
        add("version".into(), change);
    }
    compare_services(in_force, new, &mut add);
    compare_routes(in_force, new, &mut add);
    compare_workspaces(in_force, new, &mut add);
    if in_force.limits != new.limits {
        let change = format!("{:?} becomes {:?}", in_force.limits, new.limits);
        add("limits".into(), change);
    }
    differences
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
            None => add(place, format!("is new, and leads to {}", targets(route))),
            Some(known) => {
                if let Some(change) = route_change(known, route) {
                    add(place, change);
                }
            }
        }
    }
    for (key, route) in before.iter().filter(|(key, _)| !after.contains_key(*key)) {
        let place = format!("route {} ({}{})", route.name, key.0, key.1);
        let change = match new.routes.iter().any(|other| takes_over(other, key)) {
            true => "ends; a route with a shorter prefix gets its requests",
            false => "ends; its requests get 404",
        };
        add(place, change.into());
    }
}

fn takes_over(route: &Route, key: &(String, String)) -> bool {
    route.host == key.0 && key.1.starts_with(&route.prefix)
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
                "time-out {} ms, objective {} ms, {} attempts, priority {}",
                route.timeout.as_millis(),
                route.latency_target.as_millis(),
                route.max_attempts,
                route.priority
            )
        };
        note(format!("{} becomes {}", times(before), times(after)));
    }
    (!change.is_empty()).then_some(change)
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
    for (id, keys) in &before {
        let left = after.get(id);
        let ended = keys
            .iter()
            .filter(|key| !left.is_some_and(|left| left.contains(*key)));
        let ended = ended.count();
        if ended > 0 {
            let change = format!("{ended} of {} keys end; their callers get 401", keys.len());
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
