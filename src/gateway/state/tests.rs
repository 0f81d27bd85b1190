//! Unit tests of the state that the tasks of an entry share.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wisteriawick_core::collections::HashSet;
use wisteriawick_core::hosting::Bounds;
use wisteriawick_core::hosting::HostSettings;
use wisteriawick_core::hosting::Resources;
use wisteriawick_core::time::SystemClock;

use super::GatewayState;
use crate::eventlog::EventLog;

fn settings() -> HostSettings {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    HostSettings {
        name: "entry-1".into(),
        place: "here".into(),
        ip,
        link_ports: (1, 1),
        callers: None,
        readiness: None,
        runner: None,
        service: None,
        store: SocketAddr::new(ip, 1),
        link_rate: None,
        resources: Resources::default(),
        bounds: Bounds {
            retry_budget_ratio: 0.2,
            retry_budget_extra: 88.0,
            retry_window: Duration::from_secs(10),
            grace: Duration::from_secs(8),
            evacuation: None,
            cold_allowance: None,
        },
    }
}

/// Entries share rate limits by their identifiers. Two with the same identifier both use
/// all of a share. A seed from a process's name and the time since it read the clock was
/// the same for processes that start alike.
#[test]
fn entries_of_the_same_name_that_start_together_have_different_identifiers() {
    const ENTRIES: usize = 1_000;
    let clock = Arc::new(SystemClock);
    let log = EventLog::start("entry-1", clock.clone());
    let entries: HashSet<u64> = (0..ENTRIES)
        .map(|_| GatewayState::new(settings(), clock.clone(), log.clone()))
        .map(|state| state.entry_id.0)
        .collect();
    assert_eq!(entries.len(), ENTRIES);
}
