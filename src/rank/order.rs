//! Executes an order at a rank, although requests and responses may get lost.
//!
//! The rank's own state tells whether an order took effect, so an order is
//! retried until the state shows it or rules it out.

use std::time::Duration;

use wisteriawick_core::maps::RankOrder;
use wisteriawick_platform::DecodeError;
use wisteriawick_platform::EngineState;
use wisteriawick_platform::OrderContext;
use wisteriawick_platform::OrderResponse;
use wisteriawick_platform::RunnerApi;

/// Longest wait for a runner's response, which takes a millisecond or two.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(60);
/// Most attempts at one order; after that it is up to the leader to send it again.
const MAX_ATTEMPTS: u32 = 6;

/// An order that is valid only in one epoch of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EpochOrder {
    pub(crate) epoch: u64,
    pub(crate) order: RankOrder,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderResult {
    /// The rank's state shows the order, or the rank accepted it.
    Done,
    /// The rank's state does not allow the order. Holds the status of the HTTP
    /// response, or zero if the order was not sent.
    Refused(u16),
    /// The outcome is not known after several attempts.
    Unknown,
}

/// Sends an order until the rank's own state shows or refuses it. Calls
/// `on_state` with each state that is read.
///
/// Each attempt states the number of orders that the rank had accepted before,
/// and the rank refuses it at any other number. With ranks that count these
/// orders, at most one of the attempts takes effect, but nothing depends on that.
pub(crate) async fn execute_order(
    api: &mut RunnerApi,
    epoch: u64,
    order: &RankOrder,
    mut on_state: impl FnMut(&EngineState),
) -> Result<OrderResult, DecodeError> {
    let mut state = api.state(CALL_TIMEOUT).await?;
    for _ in 0..MAX_ATTEMPTS {
        on_state(&state);
        let Some(rank) = state.rank.as_ref() else {
            return Ok(OrderResult::Refused(0));
        };
        if rank.view.epoch != epoch {
            return Ok(OrderResult::Refused(0));
        }
        if order.is_done(&rank.view) {
            return Ok(OrderResult::Done);
        }
        let before = rank.view.orders;
        let context = OrderContext {
            epoch,
            orders: before,
        };
        let response = api.send_order(order, context, CALL_TIMEOUT).await;
        state = api.state(CALL_TIMEOUT).await?;
        match response {
            OrderResponse::Accepted => {
                on_state(&state);
                return Ok(OrderResult::Done);
            }
            OrderResponse::Refused(status) if accepted_orders(&state) == Some(before) => {
                on_state(&state);
                return Ok(OrderResult::Refused(status));
            }
            OrderResponse::Refused(_) | OrderResponse::Unknown => {}
        }
    }
    Ok(OrderResult::Unknown)
}

/// Returns how many orders the rank has accepted.
fn accepted_orders(state: &EngineState) -> Option<u64> {
    state.rank.as_ref().map(|rank| rank.view.orders)
}
