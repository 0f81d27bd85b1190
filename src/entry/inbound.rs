//! Handles the streams that peers open to this entry: the ledger requests of other
//! entries, and requests for the head, the timeline and the status.

use std::sync::Arc;
use std::time::Duration;

use wisteriawick_core::ids::Fingerprint;
use wisteriawick_core::ledger::Claim;
use wisteriawick_core::ledger::ClaimId;
use wisteriawick_core::ledger::KeyDigest;

use crate::agent::head_json;
use crate::agent::put_head;
use crate::command::status::ProcessStatus;
use crate::entry::ledger_task::LedgerHandle;
use crate::entry::ledger_task::LedgerRequest;
use crate::link::InboundStream;
use crate::link::Reply;
use crate::link::StreamRequest;
use crate::node::Node;

/// Replies to the request of one stream.
pub(crate) async fn respond(node: &Arc<Node>, ledger: &LedgerHandle, stream: InboundStream) {
    let InboundStream {
        request, mut tx, ..
    } = stream;
    let reply = match request {
        StreamRequest::PutHead(json) => put_head(node, &json),
        StreamRequest::GetHead => Reply::Config(head_json(node)),
        StreamRequest::Events(since) => Reply::Timeline(node.timeline.since(since.into())),
        StreamRequest::Status => Reply::Status(ProcessStatus::of(node).to_json()),
        StreamRequest::Hello(_)
        | StreamRequest::Attempt(_)
        | StreamRequest::Cancel(_)
        | StreamRequest::Recover(_) => Reply::Failed("an entry does not answer this".into()),
        other => match ledger_request(node, other) {
            Some(request) => Reply::Ledger((&ledger.request(request).await).into()),
            None => Reply::Failed("an entry does not answer this".into()),
        },
    };
    // A peer that gets no reply sends the request again.
    let _ = tx.write(&reply).await;
    tx.finish();
}

/// Converts a request to the ledger; `None` for any other request.
fn ledger_request(node: &Node, request: StreamRequest) -> Option<LedgerRequest> {
    let now = node.clock.now();
    match request {
        StreamRequest::Claim(wire) => Some(LedgerRequest::Claim(Claim {
            key: KeyDigest(wire.key),
            fingerprint: Fingerprint(wire.fingerprint),
            id: ClaimId(wire.claim),
            expires_s: wire.expires_s,
            deadline: now + Duration::from_micros(wire.remaining_us),
        })),
        StreamRequest::Settle {
            key,
            claim,
            response,
        } => Some(LedgerRequest::Settle {
            key: KeyDigest(key),
            claim: ClaimId(claim),
            response: response.into(),
        }),
        StreamRequest::Release { key, claim } => Some(LedgerRequest::Release {
            key: KeyDigest(key),
            claim: ClaimId(claim),
        }),
        StreamRequest::Lookup { key, remaining_us } => Some(LedgerRequest::Lookup {
            key: KeyDigest(key),
            deadline: now + Duration::from_micros(remaining_us),
        }),
        _ => None,
    }
}
