//! Carries an order out at a rank whose answers get lost.

use std::time::Duration;

use wisteriawick_core::maps::RankOrder;
use wisteriawick_platform::DecodeError;
use wisteriawick_platform::EngineState;
use wisteriawick_platform::OrderContext;
use wisteriawick_platform::OrderResponse;
use wisteriawick_platform::RunnerApi;

/// Longest wait for a runner's answer; it takes a millisecond or two.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(60);
/// Tries of one order before the leader is left to ask again.
const MAX_ATTEMPTS: u32 = 6;

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderResult {
    /// The rank's state shows it, or it was accepted.
    Done,
    /// The rank's state does not allow it.
    Refused(u16),
    /// Nothing is known after several tries.
    Unknown,
}

/// Gives an order until the rank's own state shows it or refuses it. The state
/// after each try goes to `on_state`.
///
/// Each try expects the number of orders that the rank had accepted. Where
/// that number grows with these orders, one of all tries at most takes effect;
/// nothing depends on it.
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

/// Returns how many orders a rank accepted.
fn accepted_orders(state: &EngineState) -> Option<u64> {
    state.rank.as_ref().map(|rank| rank.view.orders)
}
