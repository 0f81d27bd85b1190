//! A client of the ledger that sends each request to the owner of the key's shard.
//!
//! Every entry computes the owner from the live entries that it knows. The owner is
//! either this process or is reached over a link.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;
use tokio::time::timeout;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ledger::Claim;
use wisteriawick_core::ledger::ClaimId;
use wisteriawick_core::ledger::KeyDigest;
use wisteriawick_core::ledger::LedgerReply;
use wisteriawick_core::ledger::RecordedResponse;
use wisteriawick_core::membership::shard_owner;

use crate::entry::directory::LinkTable;
use crate::entry::ledger_task::LedgerHandle;
use crate::entry::ledger_task::LedgerRequest;
use crate::link::ClaimWire;
use crate::link::Link;
use crate::link::Reply;
use crate::link::StreamRequest;
use crate::link::to_micros;
use crate::node::Node;

/// Timeout for the reply of another entry, in addition to the time that the request itself
/// allows; after that the owner is determined again.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a settlement or release is retried.
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a settlement or release is retried.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Sends requests to the ledger, whichever entry owns the shard.
#[derive(Clone, Debug)]
pub(crate) struct LedgerClient {
    node: Arc<Node>,
    local: LedgerHandle,
    links: watch::Receiver<LinkTable>,
}

/// Where the owner of a shard is reached.
enum Owner {
    /// It is this process.
    Local,
    Remote(Link),
    /// It is another entry, but no link to it is open.
    Unreachable,
}

impl LedgerClient {
    pub(crate) fn new(
        node: Arc<Node>,
        local: LedgerHandle,
        links: watch::Receiver<LinkTable>,
    ) -> Self {
        Self { node, local, links }
    }

    /// Claims a call; the caller retries on `NotOwner`.
    pub(crate) async fn claim(&self, claim: Claim) -> LedgerReply {
        match self.owner(claim.key) {
            Owner::Local => self.local.request(LedgerRequest::Claim(claim)).await,
            Owner::Unreachable => LedgerReply::NotOwner,
            Owner::Remote(link) => {
                let remaining = self.remaining(claim.deadline);
                let request = StreamRequest::Claim(ClaimWire {
                    key: claim.key.0,
                    fingerprint: claim.fingerprint.0,
                    claim: claim.id.0,
                    expires_s: claim.expires_s,
                    remaining_us: to_micros(remaining),
                });
                // Retries are safe, since a claim that was granted is granted again. A claim
                // that has to wait gets a reply at its deadline at the latest.
                send_request(&link, &request, remaining + REPLY_TIMEOUT).await
            }
        }
    }

    /// Returns the state of a call: its response, in progress or absent.
    pub(crate) async fn lookup(&self, key: KeyDigest, deadline: Instant) -> LedgerReply {
        match self.owner(key) {
            Owner::Local => {
                let request = LedgerRequest::Lookup { key, deadline };
                self.local.request(request).await
            }
            Owner::Unreachable => LedgerReply::NotOwner,
            Owner::Remote(link) => {
                let remaining = self.remaining(deadline);
                let request = StreamRequest::Lookup {
                    key: key.0,
                    remaining_us: to_micros(remaining),
                };
                send_request(&link, &request, remaining + REPLY_TIMEOUT).await
            }
        }
    }

    /// Records a response under a claim. Retries for a while, since no other process has the
    /// response.
    pub(crate) async fn settle(&self, key: KeyDigest, claim: ClaimId, response: RecordedResponse) {
        let local = LedgerRequest::Settle {
            key,
            claim,
            response: response.clone(),
        };
        let remote = StreamRequest::Settle {
            key: key.0,
            claim: claim.0,
            response: (&response).into(),
        };
        self.record(key, &local, &remote).await;
    }

    /// Releases a claim, so that the call can be claimed again.
    pub(crate) async fn release(&self, key: KeyDigest, claim: ClaimId) {
        let local = LedgerRequest::Release { key, claim };
        let remote = StreamRequest::Release {
            key: key.0,
            claim: claim.0,
        };
        self.record(key, &local, &remote).await;
    }

    /// Sends a settlement or release to the current owner until one has recorded it.
    async fn record(&self, key: KeyDigest, local: &LedgerRequest, remote: &StreamRequest) {
        let deadline = self.node.clock.now() + RECORD_TIMEOUT;
        while self.node.clock.now() < deadline {
            let reply = match self.owner(key) {
                Owner::Local => self.local.request(local.clone()).await,
                Owner::Unreachable => LedgerReply::NotOwner,
                Owner::Remote(link) => send_request(&link, remote, REPLY_TIMEOUT).await,
            };
            if reply == LedgerReply::Recorded {
                return;
            }
            tokio::time::sleep(RECORD_RETRY_DELAY).await;
        }
        log::warn!(
            "the end of a keyed call was not recorded in time; \
             further calls with its key report an unknown outcome"
        );
    }

    fn owner(&self, key: KeyDigest) -> Owner {
        let table = self.links.borrow();
        let entries: Vec<ProcessId> = table
            .entries
            .iter()
            .filter(|entry| !self.node.is_leaving() || **entry != self.node.name)
            .cloned()
            .collect();
        match shard_owner(key.shard().0, &entries) {
            // Without a candidate, this is the last entry; it owns all shards until it stops.
            None => Owner::Local,
            Some(owner) if *owner == self.node.name => Owner::Local,
            Some(owner) => table
                .link(owner)
                .cloned()
                .map_or(Owner::Unreachable, Owner::Remote),
        }
    }

    fn remaining(&self, deadline: Instant) -> Duration {
        deadline.saturating_duration_since(self.node.clock.now())
    }
}

async fn send_request(link: &Link, request: &StreamRequest, limit: Duration) -> LedgerReply {
    match timeout(limit, link.request(request)).await {
        Ok(Ok(Reply::Ledger(reply))) => reply.into(),
        // Whether the owner executed the request is not known; the caller retries.
        Ok(Ok(_) | Err(_)) | Err(_) => LedgerReply::NotOwner,
    }
}
