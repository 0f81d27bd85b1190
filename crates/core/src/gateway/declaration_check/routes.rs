//! Checks routes and the services that they name.

use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::gateway::DeclarationDraft;
use crate::gateway::Finding;
use crate::gateway::RetryPolicy;
use crate::gateway::Route;
use crate::ids::ServiceId;

pub(super) fn check(draft: &DeclarationDraft, findings: &mut Vec<Finding>) {
    check_services(draft, findings);
    let declared: HashSet<&ServiceId> = draft.services.iter().map(|service| &service.id).collect();
    let mut names: HashMap<&str, usize> = HashMap::default();
    let mut matches: HashMap<(&str, &str), &str> = HashMap::default();
    for route in &draft.routes {
        let place = format!("route {}", route.name);
        *names.entry(&route.name).or_default() += 1;
        let key = (route.host.as_str(), route.prefix.as_str());
        if let Some(first) = matches.get(&key) {
            let problem =
                format!("route {first} has the same host and prefix, so nothing gets here");
            findings.push(Finding::error(&place, problem, "remove one of them"));
        }
        matches.entry(key).or_insert(&route.name);
        check_match(route, &place, findings);
        check_targets(&declared, route, &place, findings);
        check_times(route, &place, findings);
        check_attempts(route, &place, findings);
    }
    let mut repeated: Vec<_> = names.into_iter().filter(|(_, count)| *count > 1).collect();
    repeated.sort_unstable();
    for (name, count) in repeated {
        let problem = format!("{count} routes have this name, so logs can't tell them apart");
        let place = format!("route {name}");
        findings.push(Finding::warning(place, problem, "give each its own name"));
    }
}

fn check_services(draft: &DeclarationDraft, findings: &mut Vec<Finding>) {
    let targets = draft
        .routes
        .iter()
        .flat_map(|route| &route.weighted_services);
    let targets: HashSet<&ServiceId> = targets.map(|target| &target.service).collect();
    let mut seen: HashSet<&ServiceId> = HashSet::default();
    for service in &draft.services {
        let place = format!("service {}", service.id);
        if !seen.insert(&service.id) {
            let problem = "it is declared twice, and only the last one counts";
            findings.push(Finding::error(&place, problem, "remove one of them"));
        }
        if service
            .engine
            .as_ref()
            .is_some_and(|engine| engine.slots == 0)
        {
            let problem = "its engine executes no request at the same time";
            findings.push(Finding::error(&place, problem, "state its slots"));
        }
        if !targets.contains(&service.id) {
            let problem = "no route leads to it";
            findings.push(Finding::warning(
                &place,
                problem,
                "add a route or remove it",
            ));
        }
    }
}

fn check_match(route: &Route, place: &str, findings: &mut Vec<Finding>) {
    let is_host_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    if route.host.is_empty() || !route.host.chars().all(is_host_char) {
        let problem = format!("no request can have the host {:?}", route.host);
        let remedy = "name a host without scheme, port and spaces";
        findings.push(Finding::error(place, problem, remedy));
    }
    if !route.prefix.starts_with('/') || route.prefix.contains(['?', '#', ' ']) {
        let problem = format!("no path matches the prefix {:?}", route.prefix);
        let remedy = "begin and end it with a slash, without a query";
        findings.push(Finding::error(place, problem, remedy));
    } else if !route.prefix.ends_with('/') {
        let problem = format!("{:?} also matches longer names that begin so", route.prefix);
        findings.push(Finding::warning(place, problem, "end it with a slash"));
    }
}

fn check_targets(
    declared: &HashSet<&ServiceId>,
    route: &Route,
    place: &str,
    findings: &mut Vec<Finding>,
) {
    let all_are_zero = route
        .weighted_services
        .iter()
        .all(|target| target.weight == 0);
    let mut seen: HashSet<&ServiceId> = HashSet::default();
    for target in &route.weighted_services {
        if !seen.insert(&target.service) {
            let problem = format!("service {} is in its split twice", target.service);
            findings.push(Finding::warning(place, problem, "add up the weights"));
        }
        if !declared.contains(&target.service) {
            let problem = format!("service {} is not declared", target.service);
            findings.push(Finding::error(
                place,
                problem,
                "declare it or name another one",
            ));
        } else if target.weight == 0 && !all_are_zero {
            let problem = format!(
                "service {} has no weight, so it gets nothing",
                target.service
            );
            findings.push(Finding::warning(
                place,
                problem,
                "give it a weight or leave it out",
            ));
        }
    }
    if all_are_zero && route.weighted_services.len() > 1 {
        let problem = "its services have no weight, so the last one gets all";
        findings.push(Finding::error(place, problem, "give one of them a weight"));
    }
}

fn check_times(route: &Route, place: &str, findings: &mut Vec<Finding>) {
    let timeout = route.timeout.as_millis();
    if route.timeout.is_zero() {
        let problem = "its requests have no time";
        findings.push(Finding::error(place, problem, "state a time-out"));
    } else if route.latency_target > route.timeout {
        let target = route.latency_target.as_millis();
        let problem =
            format!("the objective of {target} ms is beyond the time-out of {timeout} ms");
        findings.push(Finding::error(place, problem, "lower the objective"));
    }
    if let Some(gap) = route.max_event_gap.filter(|gap| *gap > route.timeout) {
        let gap = gap.as_millis();
        let problem = format!("the pause of {gap} ms is beyond the time-out of {timeout} ms");
        findings.push(Finding::error(place, problem, "lower the pause"));
    }
    if route.max_event_gap.is_some() && !route.is_streaming {
        let problem = "it has a pause between events but no stream";
        findings.push(Finding::warning(
            place,
            problem,
            "make it a stream or leave the pause out",
        ));
    }
}

fn check_attempts(route: &Route, place: &str, findings: &mut Vec<Finding>) {
    if route.max_attempts == 0 {
        let problem = "no attempt is allowed, which counts as one";
        let remedy = "state one attempt or more";
        findings.push(Finding::warning(place, problem, remedy));
    }
    if route.max_attempts > 1 && route.retry_policy == RetryPolicy::Never && !route.is_streaming {
        let problem = format!(
            "{} attempts are allowed, but a request that may have run is not sent again",
            route.max_attempts
        );
        let remedy = "state one, or keep them for requests that a runner refused";
        findings.push(Finding::warning(place, problem, remedy));
    }
}
