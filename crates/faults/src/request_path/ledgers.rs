//! The ledger shard of each entry, and the requests that entries send to the entry
//! that owns the shard.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::call::Input as CallInput;
use wisteriawick_core::ids::Fingerprint;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::Term;
use wisteriawick_core::ledger::CallKey;
use wisteriawick_core::ledger::CallerId;
use wisteriawick_core::ledger::Claim;
use wisteriawick_core::ledger::ClaimId;
use wisteriawick_core::ledger::KeyDigest;
use wisteriawick_core::ledger::LedgerReply;
use wisteriawick_core::ledger::ObjectName;
use wisteriawick_core::ledger::OpId;
use wisteriawick_core::ledger::ShardInput;
use wisteriawick_core::ledger::ShardOutput;
use wisteriawick_core::ledger::WriteResult;
use wisteriawick_core::membership::shard_owner;
use wisteriawick_core::router::RequestId;

use crate::fault::Mutation;
use crate::request_path::entries::process;
use crate::request_path::events::Event;
use crate::request_path::events::LedgerInput;
use crate::request_path::events::StoreCall;
use crate::request_path::events::StoreResponse;
use crate::request_path::simulation::ENTRIES;
use crate::request_path::simulation::LINK_TIMEOUT;
use crate::request_path::simulation::MESSAGE_LATENCY;
use crate::request_path::simulation::Simulation;

/// How long a settlement or release is retried.
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay between two tries of a settlement or release.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A request to the ledger that has no reply yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingLedgerRequest {
    input: LedgerInput,
    /// The call that waits for the reply; `None` for a settlement or release.
    request: Option<RequestId>,
    retry_until: Instant,
}

/// The entry that waits for a reply of a shard, and the request it sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LedgerClient {
    entry: usize,
    incarnation: Incarnation,
    correlation_id: u64,
}

fn digest(key: &str) -> KeyDigest {
    let key = CallKey {
        workspace: "w".into(),
        service: "s".into(),
        key: key.into(),
    };
    key.digest()
}

impl Simulation {
    /// Returns the digest of a request's idempotency key, and the identifier of its
    /// claim, which is unique to the entry's incarnation.
    pub(crate) fn key_and_claim(&self, entry: usize, request: RequestId) -> (KeyDigest, ClaimId) {
        let key = self.callers[request.0 as usize]
            .request
            .key
            .unwrap_or_default();
        let incarnation = self.entries[entry].incarnation;
        let claim = ClaimId(u128::from(incarnation.0) << 64 | u128::from(request.0));
        (digest(key), claim)
    }

    /// Claims the key of a request at the ledger after a delay.
    pub(crate) fn claim(&mut self, entry: usize, request: RequestId, delay: Duration) {
        let (key, id) = self.key_and_claim(entry, request);
        let Some(active) = self.entries[entry].calls.get(&request) else {
            return;
        };
        debug_assert_eq!(active.claim, id);
        let deadline = active.deadline;
        let claim = Claim {
            key,
            fingerprint: Fingerprint(key.0),
            id,
            expires_s: self.queue.moment().unix_s + 3_600,
            deadline,
        };
        let pending = PendingLedgerRequest {
            input: LedgerInput::Claim(claim),
            request: Some(request),
            retry_until: deadline,
        };
        self.queue_ledger_request(entry, pending, delay);
        if self.mutation == Some(Mutation::SendBeforeClaim) {
            let granted = CallInput::Ledger(LedgerReply::Granted(Term(0)));
            self.drive_call(entry, request, granted);
        }
    }

    /// Sends a settlement or release, which is retried until it is recorded.
    pub(crate) fn record(&mut self, entry: usize, input: LedgerInput) {
        let pending = PendingLedgerRequest {
            input,
            request: None,
            retry_until: self.queue.now() + RECORD_TIMEOUT,
        };
        self.queue_ledger_request(entry, pending, Duration::ZERO);
    }

    fn queue_ledger_request(
        &mut self,
        entry: usize,
        pending: PendingLedgerRequest,
        delay: Duration,
    ) {
        let node = &mut self.entries[entry];
        node.last_correlation_id += 1;
        let (incarnation, correlation_id) = (node.incarnation, node.last_correlation_id);
        node.pending.insert(correlation_id, pending);
        if delay.is_zero() {
            self.send_ledger_request(entry, incarnation, correlation_id);
        } else {
            let event = Event::SendLedgerRequest {
                entry,
                incarnation,
                correlation_id,
            };
            self.queue.schedule(delay, event);
        }
    }

    /// Returns the owner of the shard among the entries that one entry considers
    /// alive.
    pub(crate) fn owner_seen_by(&self, entry: usize) -> Option<usize> {
        let now = self.queue.now();
        let candidates: Vec<ProcessId> = (0..ENTRIES)
            .filter(|index| {
                let node = &self.entries[*index];
                let is_alive = node.silent_since.is_none_or(|since| {
                    now < since + LINK_TIMEOUT || (node.up && !self.is_entry_paused(*index))
                });
                *index == entry || (is_alive && !node.leaving)
            })
            .filter(|index| *index != entry || !self.entries[*index].leaving || ENTRIES == 1)
            .map(process)
            .collect();
        let owner = shard_owner(0, &candidates)?.clone();
        (0..ENTRIES).find(|index| process(*index) == owner)
    }

    fn is_entry_paused(&self, entry: usize) -> bool {
        let until = self.entries[entry].paused_until;
        until.is_some_and(|until| self.queue.now() < until)
    }

    /// Sends a pending request to the owner of the shard, which may be this entry.
    pub(crate) fn send_ledger_request(
        &mut self,
        entry: usize,
        incarnation: Incarnation,
        correlation_id: u64,
    ) {
        if !self.entries[entry].up || self.entries[entry].incarnation != incarnation {
            return;
        }
        let Some(pending) = self.entries[entry].pending.get(&correlation_id).cloned() else {
            return;
        };
        match self.owner_seen_by(entry) {
            Some(owner) if owner != entry => {
                let event = Event::LedgerRequest {
                    from: entry,
                    incarnation,
                    to: owner,
                    correlation_id,
                    input: pending.input,
                };
                self.queue.schedule(MESSAGE_LATENCY, event);
                self.schedule_owner_check(entry, incarnation, correlation_id, owner);
            }
            _ => {
                let client = LedgerClient {
                    entry,
                    incarnation,
                    correlation_id,
                };
                self.call_shard(entry, client, pending.input);
            }
        }
    }

    fn schedule_owner_check(
        &mut self,
        entry: usize,
        incarnation: Incarnation,
        correlation_id: u64,
        owner: usize,
    ) {
        let check_owner = Event::CheckOwner {
            entry,
            incarnation,
            correlation_id,
            owner,
        };
        self.queue.schedule(LINK_TIMEOUT, check_owner);
    }

    /// Ends a pending request if the owner to which it was sent is unreachable.
    pub(crate) fn check_owner(
        &mut self,
        entry: usize,
        incarnation: Incarnation,
        correlation_id: u64,
        owner: usize,
    ) {
        let node = &self.entries[entry];
        if !node.up
            || node.incarnation != incarnation
            || !node.pending.contains_key(&correlation_id)
        {
            return;
        }
        if self.entries[owner].up && !self.is_entry_paused(owner) {
            self.schedule_owner_check(entry, incarnation, correlation_id, owner);
        } else {
            self.handle_ledger_response(entry, incarnation, correlation_id, LedgerReply::NotOwner);
        }
    }

    pub(crate) fn handle_ledger_request(
        &mut self,
        from: usize,
        incarnation: Incarnation,
        to: usize,
        correlation_id: u64,
        input: LedgerInput,
    ) {
        if self.entries[to].up {
            let client = LedgerClient {
                entry: from,
                incarnation,
                correlation_id,
            };
            self.call_shard(to, client, input);
        }
    }

    fn call_shard(&mut self, entry: usize, client: LedgerClient, input: LedgerInput) {
        let node = &mut self.entries[entry];
        node.last_correlation_id += 1;
        let caller = CallerId(node.last_correlation_id);
        node.ledger_clients.insert(caller, client);
        let input = match input {
            LedgerInput::Claim(claim) => ShardInput::Claim(caller, claim),
            LedgerInput::Settle(key, claim, response) => ShardInput::Settle {
                caller,
                key,
                claim,
                response,
            },
            LedgerInput::Release(key, claim) => ShardInput::Release { caller, key, claim },
        };
        self.drive_shard(entry, input);
    }

    /// Passes an input to the entry's ledger shard and executes the outputs.
    pub(crate) fn drive_shard(&mut self, entry: usize, input: ShardInput) {
        let at = self.queue.moment();
        let mut out = Vec::new();
        self.entries[entry].shard.handle(at, input, &mut out);
        for output in out {
            match output {
                ShardOutput::Read(op, name) => self.call_store(entry, op, name, StoreCall::Read),
                ShardOutput::Write(op, name, if_version, content) => {
                    let call = StoreCall::Write(if_version, content);
                    self.call_store(entry, op, name, call);
                }
                ShardOutput::Reply(caller, reply) => self.handle_shard_reply(entry, caller, reply),
                ShardOutput::Remove(..) | ShardOutput::Acquired(_) | ShardOutput::Lost => {}
            }
        }
    }

    fn call_store(&mut self, entry: usize, op: OpId, name: ObjectName, call: StoreCall) {
        let event = Event::Store {
            entry,
            incarnation: self.entries[entry].incarnation,
            op,
            name,
            call,
        };
        self.queue.schedule(MESSAGE_LATENCY, event);
    }

    fn handle_shard_reply(&mut self, entry: usize, caller: CallerId, reply: LedgerReply) {
        let Some(client) = self.entries[entry].ledger_clients.remove(&caller) else {
            return;
        };
        if client.entry == entry {
            self.handle_ledger_response(entry, client.incarnation, client.correlation_id, reply);
            return;
        }
        let response = Event::LedgerResponse {
            to: client.entry,
            incarnation: client.incarnation,
            correlation_id: client.correlation_id,
            reply,
        };
        self.queue.schedule(MESSAGE_LATENCY, response);
    }

    pub(crate) fn handle_ledger_response(
        &mut self,
        entry: usize,
        incarnation: Incarnation,
        correlation_id: u64,
        reply: LedgerReply,
    ) {
        if !self.entries[entry].up || self.entries[entry].incarnation != incarnation {
            return;
        }
        let Some(pending) = self.entries[entry].pending.remove(&correlation_id) else {
            return;
        };
        match pending.request {
            Some(request) => self.drive_call(entry, request, CallInput::Ledger(reply)),
            None => {
                let retry =
                    reply != LedgerReply::Recorded && self.queue.now() < pending.retry_until;
                if retry {
                    self.queue_ledger_request(entry, pending, RECORD_RETRY_DELAY);
                }
            }
        }
    }

    pub(crate) fn handle_store_response(
        &mut self,
        entry: usize,
        incarnation: Incarnation,
        op: OpId,
        response: StoreResponse,
    ) {
        if !self.entries[entry].up || self.entries[entry].incarnation != incarnation {
            return;
        }
        let input = match response {
            StoreResponse::Read(result) => ShardInput::Read(op, result),
            StoreResponse::Write(WriteResult::Conflict)
                if self.mutation == Some(Mutation::IgnoreWriteConflict) =>
            {
                ShardInput::Written(op, WriteResult::Written(0))
            }
            StoreResponse::Write(result) => ShardInput::Written(op, result),
        };
        self.drive_shard(entry, input);
    }
}
