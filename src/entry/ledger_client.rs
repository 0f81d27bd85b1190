//! Finds the owner of a shard and asks it, here or over a link.

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

/// Longest wait for another entry beyond what the store may take; then the
/// owner is looked up again.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a settlement or release is tried.
const RECORD_FOR: Duration = Duration::from_secs(30);
/// Pause between two tries to record.
const RECORD_PAUSE: Duration = Duration::from_millis(200);

/// Asks the ledger, wherever its shards are owned.
#[derive(Clone, Debug)]
pub(crate) struct LedgerClient {
    node: Arc<Node>,
    local: LedgerHandle,
    links: watch::Receiver<LinkTable>,
}

enum Owner {
    Local,
    Remote(Link),
    /// The owner should be there but its link is down.
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

    /// Claims a call; `NotOwner` means to ask again.
    pub(crate) async fn claim(&self, claim: Claim) -> LedgerReply {
        match self.owner(claim.key) {
            Owner::Local => self.local.ask(LedgerRequest::Claim(claim)).await,
            Owner::Unreachable => LedgerReply::NotOwner,
            Owner::Remote(link) => {
                let remaining = self.remaining(claim.deadline);
                let open = StreamRequest::Claim(ClaimWire {
                    key: claim.key.0,
                    body: claim.fingerprint.0,
                    claim: claim.id.0,
                    expires_s: claim.expires_s,
                    remaining_us: to_micros(remaining),
                });
                // The same claim is granted again when asked again, and a
                // waiting one is answered at its deadline.
                ask(&link, &open, remaining + ASK_TIMEOUT).await
            }
        }
    }

    /// Asks how far a call got.
    pub(crate) async fn lookup(&self, key: KeyDigest, deadline: Instant) -> LedgerReply {
        match self.owner(key) {
            Owner::Local => {
                let request = LedgerRequest::Lookup { key, deadline };
                self.local.ask(request).await
            }
            Owner::Unreachable => LedgerReply::NotOwner,
            Owner::Remote(link) => {
                let remaining = self.remaining(deadline);
                let open = StreamRequest::Lookup {
                    key: key.0,
                    remaining_us: to_micros(remaining),
                };
                ask(&link, &open, remaining + ASK_TIMEOUT).await
            }
        }
    }

    /// Records an answer; tries for a while, since nothing else will.
    pub(crate) async fn settle(&self, key: KeyDigest, claim: ClaimId, answer: RecordedResponse) {
        let local = LedgerRequest::Settle {
            key,
            claim,
            answer: answer.clone(),
        };
        let remote = StreamRequest::Settle {
            key: key.0,
            claim: claim.0,
            answer: (&answer).into(),
        };
        self.record(key, &local, &remote).await;
    }

    /// Gives a claim up.
    pub(crate) async fn release(&self, key: KeyDigest, claim: ClaimId) {
        let local = LedgerRequest::Release { key, claim };
        let remote = StreamRequest::Release {
            key: key.0,
            claim: claim.0,
        };
        self.record(key, &local, &remote).await;
    }

    async fn record(&self, key: KeyDigest, local: &LedgerRequest, remote: &StreamRequest) {
        let until = self.node.clock.now() + RECORD_FOR;
        while self.node.clock.now() < until {
            let reply = match self.owner(key) {
                Owner::Local => self.local.ask(local.clone()).await,
                Owner::Unreachable => LedgerReply::NotOwner,
                Owner::Remote(link) => ask(&link, remote, ASK_TIMEOUT).await,
            };
            if reply == LedgerReply::Recorded {
                return;
            }
            tokio::time::sleep(RECORD_PAUSE).await;
        }
        log::warn!("a keyed call's end was not recorded in time; its key answers unknown");
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
            // The last entry owns its shards until it stops.
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

async fn ask(link: &Link, open: &StreamRequest, limit: Duration) -> LedgerReply {
    match timeout(limit, link.request(open)).await {
        Ok(Ok(Reply::Ledger(reply))) => reply.into(),
        // Nothing is assumed of what the owner did.
        Ok(Ok(_) | Err(_)) | Err(_) => LedgerReply::NotOwner,
    }
}
