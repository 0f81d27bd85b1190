//! Waits for a slot at a runner, in the queue of the service's pool if none is free.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;
use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::QueuedRequest;
use wisteriawick_core::gateway::QueuedRequestId;
use wisteriawick_core::gateway::RejectReason;
use wisteriawick_core::gateway::RunnerOutcome;

use crate::gateway::exchange::Block;
use crate::gateway::exchange::Exchange;
use crate::gateway::exchange::RETRY_AFTER_WAIT;
use crate::gateway::exchange::RequestAttempts;
use crate::gateway::runner_slot::RunnerSlot;
use crate::gateway::state::Placement;

/// Time after which to retry a queued request that this process will not send any more.
const RETRY_AFTER_STOP: Duration = Duration::from_millis(100);

/// What a slot is for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SlotUse {
    /// To execute the request.
    Start,
    /// To resume a stream whose last event came at this time.
    Resume { last_event_at: Instant },
}

/// Why a request got no slot.
#[derive(Clone, Copy, Debug)]
pub(crate) enum NoSlot {
    /// No slot is free in time; the caller should retry after a time.
    Full {
        retry_after: Duration,
        reason: RejectReason,
    },
    /// It must not be sent to runners for a time, since it crashes them.
    Blocked(Block),
}

impl NoSlot {
    const NOT_IN_TIME: Self = Self::Full {
        retry_after: RETRY_AFTER_WAIT,
        reason: RejectReason::NoRoom,
    };

    /// Returns that no slot became free in time, and when there is room.
    fn not_in_time(exchange: &Exchange) -> Self {
        let rank = exchange.route_match.rank();
        let retry_after = exchange.state.retry_after(&exchange.service, rank);
        Self::Full {
            retry_after: retry_after.unwrap_or(RETRY_AFTER_WAIT),
            reason: RejectReason::NoRoom,
        }
    }
}

/// Waits for a slot at a runner.
///
/// # Errors
///
/// Fails if no slot is free in time or the request must not be sent to runners.
pub(crate) async fn acquire_slot(
    exchange: &Exchange,
    attempts: &RequestAttempts,
    slot_use: SlotUse,
) -> Result<RunnerSlot, NoSlot> {
    let state = &exchange.state;
    let queue_id = state.next_queue_id();
    let latest_start = exchange.latest_start(slot_use);
    let request = QueuedRequest {
        queue_id,
        priority: exchange.route_match.rank(),
        response_due: exchange.arrived + exchange.route_match.route.latency_target,
        deadline: latest_start,
        excluded: attempts.excluded().to_vec(),
        workspace: exchange
            .route_match
            .tenancy
            .as_ref()
            .map(|tenancy| tenancy.workspace.clone()),
        size: exchange.caller.size,
    };
    let admission = match state.admit(&exchange.service, request) {
        None => return Err(NoSlot::NOT_IN_TIME),
        Some(Placement::Immediate(admission)) => admission,
        Some(Placement::Queued(queue_id, rx)) => {
            let mut queued = QueuedSlot {
                exchange,
                queue_id,
                rx,
            };
            queued.wait(latest_start, slot_use).await?
        }
    };
    match admission {
        Admission::Run(selection) => Ok(RunnerSlot::new(
            Arc::clone(state),
            exchange.service.clone(),
            selection,
        )),
        Admission::Reject {
            retry_after,
            reason,
        } => Err(NoSlot::Full {
            retry_after,
            reason,
        }),
        Admission::Wait => Err(NoSlot::NOT_IN_TIME),
    }
}

/// A request's place in the queue. Dropping it removes the request from the queue, and
/// releases a slot that was assigned to it and not taken.
struct QueuedSlot<'a> {
    exchange: &'a Exchange,
    queue_id: QueuedRequestId,
    rx: oneshot::Receiver<Admission>,
}

impl QueuedSlot<'_> {
    async fn wait(
        &mut self,
        latest_start: Instant,
        slot_use: SlotUse,
    ) -> Result<Admission, NoSlot> {
        let exchange = self.exchange;
        let too_late = async {
            match slot_use {
                SlotUse::Start => {
                    let stop = &exchange.state.stop;
                    stop.wait_until_latest_start(|| exchange.expected_time())
                        .await
                }
                SlotUse::Resume { .. } => std::future::pending().await,
            }
        };
        tokio::select! {
            decided = tokio::time::timeout_at(latest_start.into(), &mut self.rx) => match decided {
                Ok(Ok(admission)) => Ok(admission),
                _ => Err(NoSlot::not_in_time(exchange)),
            },
            () = too_late => Err(NoSlot::Full {
                retry_after: RETRY_AFTER_STOP,
                reason: RejectReason::NoRoom,
            }),
            block = exchange.wait_until_blocked() => Err(NoSlot::Blocked(block)),
        }
    }
}

impl Drop for QueuedSlot<'_> {
    fn drop(&mut self) {
        let state = &self.exchange.state;
        let service = &self.exchange.service;
        state.cancel(service, self.queue_id);
        if let Ok(Admission::Run(selection)) = self.rx.try_recv() {
            state.request_ended(service, &selection.runner.id, RunnerOutcome::Abandoned);
        }
    }
}
