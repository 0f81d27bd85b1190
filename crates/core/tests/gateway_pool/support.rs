//! Builds pools, runners, reports and requests for the tests.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::GroupReport;
use wisteriawick_core::gateway::LoadReport;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::gateway::PoolLimits;
use wisteriawick_core::gateway::QueuedRequest;
use wisteriawick_core::gateway::QueuedRequestId;
use wisteriawick_core::gateway::RequestSize;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::hosting::ListedState;
use wisteriawick_core::ids::RunnerId;

pub(crate) const LIMITS: PoolLimits = PoolLimits {
    max_per_runner: 12,
    max_without_report: 3,
    has_groups: true,
    max_pass_time: Some(Duration::from_millis(96)),
    max_queued: 8,
    max_wait_share: 0.5,
};

pub(crate) fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

pub(crate) fn runner(n: u8) -> ListedRunner {
    ListedRunner {
        id: format!("r{n}").as_str().into(),
        service: "s".into(),
        address: address(n),
        place: "here".into(),
        slots: 12,
        state: ListedState::Ready,
        cold_remaining: Duration::ZERO,
        sequence: None,
        started_unix_ms: Some(1),
    }
}

pub(crate) fn queued_request(now: Instant, queue_id: u64) -> QueuedRequest {
    QueuedRequest {
        queue_id: QueuedRequestId(queue_id),
        priority: 1,
        response_due: now + Duration::from_millis(400),
        deadline: now + Duration::from_secs(2),
        excluded: Vec::new(),
        workspace: None,
        size: RequestSize::default(),
    }
}

pub(crate) fn pool(now: Instant, runners: u8) -> Pool {
    let mut pool = Pool::new(now, "here".into(), LIMITS, 1);
    pool.set_runners(now, (0..runners).map(runner).collect());
    pool
}

pub(crate) fn report(running: u32, is_open: bool) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        slowdown: 1.0,
        group: Some(GroupReport {
            name: "g".into(),
            is_open,
            pass_time: Duration::from_millis(40),
        }),
    }
}

/// Returns the runner that a request was assigned to, if any.
pub(crate) fn selected_runner(admission: Admission) -> Option<RunnerId> {
    match admission {
        Admission::Run(candidate) => Some(candidate.runner.id),
        _ => None,
    }
}
