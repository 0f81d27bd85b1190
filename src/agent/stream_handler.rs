//! Handles the streams that peers open to the agent: attempts, their cancellation and
//! recovery, configuration heads, status and messages of the agent's group.

use std::sync::Arc;

use bytes::Bytes;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gate::RunVerdict;
use wisteriawick_core::ids::ServiceId;
use wisteriawick_core::ticket::Head;
use wisteriawick_core::ticket::HeadWire;

use crate::agent::Endpoint;
use crate::agent::attempt;
use crate::agent::gate_task::AttemptQuery;
use crate::agent::gate_task::GateHandle;
use crate::agent::maps::MapHandle;
use crate::command::status::ProcessStatus;
use crate::link::InboundStream;
use crate::link::OutcomeQuery;
use crate::link::RefusalWire;
use crate::link::Reply;
use crate::link::StreamRequest;
use crate::node::Node;

/// The parts of the agent that handling a stream needs.
#[derive(Clone, Debug)]
pub(crate) struct StreamHandler {
    pub(crate) node: Arc<Node>,
    pub(crate) gate: GateHandle,
    pub(crate) endpoint: Endpoint,
    pub(crate) maps: MapHandle,
}

impl StreamHandler {
    /// Handles one stream.
    pub(crate) async fn handle(self, stream: InboundStream) {
        let Self {
            node,
            gate,
            endpoint,
            maps,
        } = self;
        handle(&node, &gate, &endpoint, &maps, stream).await;
    }
}

async fn handle(
    node: &Arc<Node>,
    gate: &GateHandle,
    endpoint: &Endpoint,
    maps: &MapHandle,
    stream: InboundStream,
) {
    let InboundStream {
        from,
        request,
        mut tx,
        ..
    } = stream;
    let reply = match request {
        StreamRequest::Attempt(wire) => {
            attempt::run(node, gate, endpoint, &from, wire, tx).await;
            return;
        }
        StreamRequest::Cancel(query) => {
            let query = attempt_query(node, &from, query, false);
            gate.query(query).await;
            Reply::Ok
        }
        StreamRequest::Recover(query) => {
            let query = attempt_query(node, &from, query, true);
            recover(gate, query).await
        }
        StreamRequest::PutHead(json) => put_head(node, &json),
        StreamRequest::GetHead => Reply::Config(head_json(node)),
        StreamRequest::Events(since) => Reply::Timeline(node.timeline.since(since.into())),
        StreamRequest::Status => {
            Reply::Status(ProcessStatus::of(node).with_group(maps.status()).to_json())
        }
        StreamRequest::Map(wire) => {
            maps.receive_message(&from, wire).await;
            Reply::Ok
        }
        StreamRequest::GroupLoad => match maps.load().await {
            Some(load) => Reply::GroupLoad(load),
            None => Reply::Failed("this runner has no load to report".into()),
        },
        StreamRequest::Hello(_)
        | StreamRequest::Claim(_)
        | StreamRequest::Settle { .. }
        | StreamRequest::Release { .. }
        | StreamRequest::Lookup { .. } => Reply::Failed("an agent does not answer this".into()),
    };
    // If the link was lost, the peer sends its request again on its next link.
    let _ = tx.write(&reply).await;
    tx.finish();
    // A shutdown waits for this task, which ends only when the reply has arrived.
    tx.stopped().await;
}

fn attempt_query(
    node: &Node,
    from: &crate::link::AcceptedLink,
    query: OutcomeQuery,
    recover: bool,
) -> AttemptQuery {
    let delay = from.delay(node.clock.now(), query.sent_us);
    let remaining = std::time::Duration::from_micros(query.remaining_us);
    AttemptQuery {
        attempt: query.attempt(),
        meant_for: query.meant_for(),
        remaining: remaining.saturating_sub(delay),
        recover,
    }
}

/// Waits for the reply of an attempt whose link was lost.
async fn recover(gate: &GateHandle, query: AttemptQuery) -> Reply {
    match gate.query(query).await {
        (RunVerdict::NotRun, _) => Reply::Refused(RefusalWire::HasTombstone),
        (RunVerdict::MayHaveRun, None) => Reply::Failed("the answer is not kept here".into()),
        (RunVerdict::MayHaveRun, Some(mut reply_rx)) => {
            let reply = reply_rx.wait_for(Option::is_some).await;
            match reply {
                Ok(reply) => reply
                    .as_ref()
                    .map_or(Reply::Ok, |reply| Reply::clone(reply)),
                Err(_) => Reply::Failed("the answer is not kept here".into()),
            }
        }
    }
}

/// Receives a configuration head from a peer and updates the one in force.
pub(crate) fn put_head(node: &Node, json: &Bytes) -> Reply {
    let head = serde_json::from_slice::<HeadWire>(json)
        .map_err(|e| e.to_string())
        .and_then(Head::try_from);
    match head {
        Ok(head) => {
            node.config.update(&Arc::new(head));
            node.trigger_heartbeats();
            Reply::Ok
        }
        Err(message) => Reply::Failed(format!("head: {message}")),
    }
}

/// Returns the head in force as JSON; empty if there is none.
pub(crate) fn head_json(node: &Node) -> Bytes {
    let state = node.config.state();
    state
        .head()
        .and_then(|head| serde_json::to_vec(&HeadWire::from(&**head)).ok())
        .map_or_else(Bytes::new, Bytes::from)
}

/// Sets the gate's limit from the head in force, now and after each change.
pub(crate) async fn follow_limits(
    node: Arc<Node>,
    service: ServiceId,
    gate: GateHandle,
    cx: CancellationToken,
) {
    let mut changes = node.config.subscribe();
    loop {
        let max = node
            .config
            .fleet()
            .services
            .get(&service)
            .map(|service| service.max_in_flight);
        if let Some(max) = max {
            gate.set_limit(max).await;
        }
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            () = cx.cancelled() => return,
        }
    }
}
