//! Answers the streams that entries open to an agent.

use std::sync::Arc;

use bytes::Bytes;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gate::RunVerdict;
use wisteriawick_core::ids::ServiceId;
use wisteriawick_core::ticket::Head;
use wisteriawick_core::ticket::HeadWire;

use crate::agent::Endpoint;
use crate::agent::attempt;
use crate::agent::gate_task::GateHandle;
use crate::agent::gate_task::Question;
use crate::agent::maps::MapHandle;
use crate::command::status::ProcessStatus;
use crate::link::InboundStream;
use crate::link::OutcomeQuery;
use crate::link::RefusalWire;
use crate::link::Reply;
use crate::link::StreamRequest;
use crate::node::Node;

/// What answering needs.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) node: Arc<Node>,
    pub(crate) gate: GateHandle,
    pub(crate) endpoint: Endpoint,
    pub(crate) maps: MapHandle,
}

impl Service {
    /// Answers one stream.
    pub(crate) async fn answer(self, stream: InboundStream) {
        let Self {
            node,
            gate,
            endpoint,
            maps,
        } = self;
        answer(&node, &gate, &endpoint, &maps, stream).await;
    }
}

async fn answer(
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
            let question = question(node, &from, query, false);
            gate.ask(question).await;
            Reply::Ok
        }
        StreamRequest::Recover(query) => {
            let question = question(node, &from, query, true);
            recover(gate, question).await
        }
        StreamRequest::PutHead(json) => put_head(node, &json),
        StreamRequest::GetHead => Reply::Config(head_json(node)),
        StreamRequest::Events(since) => Reply::Timeline(node.timeline.since(since.into())),
        StreamRequest::Status => {
            Reply::Status(ProcessStatus::of(node).with_group(maps.status()).to_json())
        }
        StreamRequest::Map(wire) => {
            maps.message(&from, wire).await;
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
    // The entry may be gone; it asks again on its next link.
    let _ = tx.write(&reply).await;
    tx.finish();
}

fn question(
    node: &Node,
    from: &crate::link::AcceptedLink,
    query: OutcomeQuery,
    recover: bool,
) -> Question {
    let delay = from.delay(node.clock.now(), query.sent_us);
    let remaining = std::time::Duration::from_micros(query.remaining_us);
    Question {
        attempt: query.attempt(),
        meant_for: query.meant_for(),
        remaining: remaining.saturating_sub(delay),
        recover,
    }
}

async fn recover(gate: &GateHandle, question: Question) -> Reply {
    match gate.ask(question).await {
        (RunVerdict::NotRun, _) => Reply::Refused(RefusalWire::HasTombstone),
        (RunVerdict::MayHaveRun, None) => Reply::Failed("the answer is not kept here".into()),
        (RunVerdict::MayHaveRun, Some(mut answer)) => {
            let held = answer.wait_for(Option::is_some).await;
            match held {
                Ok(held) => held.as_ref().map_or(Reply::Ok, |reply| Reply::clone(reply)),
                Err(_) => Reply::Failed("the answer is not kept here".into()),
            }
        }
    }
}

/// Takes a head that a peer pushes.
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

/// Returns the head in force as JSON; empty when none is.
pub(crate) fn head_json(node: &Node) -> Bytes {
    let book = node.config.state();
    book.head()
        .and_then(|head| serde_json::to_vec(&HeadWire::from(&**head)).ok())
        .map_or_else(Bytes::new, Bytes::from)
}

/// Gives the gate the limits of the ticket in force.
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
            gate.limit(max).await;
        }
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            () = cx.cancelled() => return,
        }
    }
}
