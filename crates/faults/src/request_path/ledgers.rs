//! The ledger shard of each entry, and how entries ask each other for it.

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
use crate::request_path::events::StoreAnswer;
use crate::request_path::events::StoreCall;
use crate::request_path::simulation::ENTRIES;
use crate::request_path::simulation::HOP;
use crate::request_path::simulation::NOTICE;
use crate::request_path::simulation::Simulation;

/// How long a settlement or release is tried, and the pause between tries.
const RECORD_FOR: Duration = Duration::from_secs(30);
const RECORD_PAUSE: Duration = Duration::from_millis(200);

/// A question to the ledger that has no reply yet.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    input: LedgerInput,
    /// The call that waits; none for a settlement or release.
    request: Option<RequestId>,
    until: Instant,
}

/// Who asked the shard here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asker {
    entry: usize,
    life: Incarnation,
    ticket: u64,
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
    pub(crate) fn key_and_claim(&self, entry: usize, request: RequestId) -> (KeyDigest, ClaimId) {
        let key = self.callers[request.0 as usize].ask.key.unwrap_or_default();
        let life = self.entries[entry].life;
        let claim = ClaimId(u128::from(life.0) << 64 | u128::from(request.0));
        (digest(key), claim)
    }

    pub(crate) fn claim(&mut self, entry: usize, request: RequestId, pause: Duration) {
        let (key, id) = self.key_and_claim(entry, request);
        let Some(held) = self.entries[entry].calls.get(&request) else {
            return;
        };
        debug_assert_eq!(held.claim, id);
        let deadline = held.deadline;
        let claim = Claim {
            key,
            fingerprint: Fingerprint(key.0),
            id,
            expires_s: self.queue.moment().unix_s + 3_600,
            deadline,
        };
        let pending = Pending {
            input: LedgerInput::Claim(claim),
            request: Some(request),
            until: deadline,
        };
        self.ask_ledger(entry, pending, pause);
        if self.mutation == Some(Mutation::SendBeforeClaim) {
            let granted = CallInput::Ledger(LedgerReply::Granted(Term(0)));
            self.call(entry, request, granted);
        }
    }

    pub(crate) fn record(&mut self, entry: usize, input: LedgerInput) {
        let pending = Pending {
            input,
            request: None,
            until: self.queue.now() + RECORD_FOR,
        };
        self.ask_ledger(entry, pending, Duration::ZERO);
    }

    fn ask_ledger(&mut self, entry: usize, pending: Pending, pause: Duration) {
        let node = &mut self.entries[entry];
        node.next_ticket += 1;
        let (life, ticket) = (node.life, node.next_ticket);
        node.pending.insert(ticket, pending);
        if pause.is_zero() {
            self.ask_again(entry, life, ticket);
        } else {
            let event = Event::LedgerAgain {
                entry,
                life,
                ticket,
            };
            self.queue.schedule(pause, event);
        }
    }

    /// Returns the entry that should own the shard, as one entry sees it.
    pub(crate) fn owner_seen_by(&self, entry: usize) -> Option<usize> {
        let now = self.queue.now();
        let candidates: Vec<ProcessId> = (0..ENTRIES)
            .filter(|index| {
                let node = &self.entries[*index];
                let seen = node
                    .silent_since
                    .is_none_or(|since| now < since + NOTICE || (node.up && !self.paused(*index)));
                *index == entry || (seen && !node.leaving)
            })
            .filter(|index| *index != entry || !self.entries[*index].leaving || ENTRIES == 1)
            .map(process)
            .collect();
        let owner = shard_owner(0, &candidates)?.clone();
        (0..ENTRIES).find(|index| process(*index) == owner)
    }

    fn paused(&self, entry: usize) -> bool {
        let until = self.entries[entry].paused_until;
        until.is_some_and(|until| self.queue.now() < until)
    }

    pub(crate) fn ask_again(&mut self, entry: usize, life: Incarnation, ticket: u64) {
        if !self.entries[entry].up || self.entries[entry].life != life {
            return;
        }
        let Some(pending) = self.entries[entry].pending.get(&ticket).cloned() else {
            return;
        };
        match self.owner_seen_by(entry) {
            Some(owner) if owner != entry => {
                let ask = Event::LedgerAsk {
                    from: entry,
                    life,
                    to: owner,
                    ticket,
                    input: pending.input,
                };
                self.queue.schedule(HOP, ask);
                self.guard_later(entry, life, ticket, owner);
            }
            _ => {
                let asker = Asker {
                    entry,
                    life,
                    ticket,
                };
                self.ask_shard(entry, asker, pending.input);
            }
        }
    }

    fn guard_later(&mut self, entry: usize, life: Incarnation, ticket: u64, owner: usize) {
        let guard = Event::LedgerGuard {
            entry,
            life,
            ticket,
            owner,
        };
        self.queue.schedule(NOTICE, guard);
    }

    /// Gives up on an owner whose link is gone.
    pub(crate) fn guard(&mut self, entry: usize, life: Incarnation, ticket: u64, owner: usize) {
        let node = &self.entries[entry];
        if !node.up || node.life != life || !node.pending.contains_key(&ticket) {
            return;
        }
        if self.entries[owner].up && !self.paused(owner) {
            self.guard_later(entry, life, ticket, owner);
        } else {
            self.ledger_answered(entry, life, ticket, LedgerReply::NotOwner);
        }
    }

    pub(crate) fn ledger_asked(
        &mut self,
        from: usize,
        life: Incarnation,
        to: usize,
        ticket: u64,
        input: LedgerInput,
    ) {
        if self.entries[to].up {
            let asker = Asker {
                entry: from,
                life,
                ticket,
            };
            self.ask_shard(to, asker, input);
        }
    }

    fn ask_shard(&mut self, entry: usize, asker: Asker, input: LedgerInput) {
        let node = &mut self.entries[entry];
        node.next_ticket += 1;
        let caller = CallerId(node.next_ticket);
        node.askers.insert(caller, asker);
        let input = match input {
            LedgerInput::Claim(claim) => ShardInput::Claim(caller, claim),
            LedgerInput::Settle(key, claim, answer) => ShardInput::Settle {
                caller,
                key,
                claim,
                response: answer,
            },
            LedgerInput::Release(key, claim) => ShardInput::Release { caller, key, claim },
        };
        self.shard(entry, input);
    }

    pub(crate) fn shard(&mut self, entry: usize, input: ShardInput) {
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
                ShardOutput::Reply(caller, reply) => self.shard_replied(entry, caller, reply),
                ShardOutput::Remove(..) | ShardOutput::Acquired(_) | ShardOutput::Lost => {}
            }
        }
    }

    fn call_store(&mut self, entry: usize, op: OpId, name: ObjectName, call: StoreCall) {
        let event = Event::Store {
            entry,
            life: self.entries[entry].life,
            op,
            name,
            call,
        };
        self.queue.schedule(HOP, event);
    }

    fn shard_replied(&mut self, entry: usize, caller: CallerId, reply: LedgerReply) {
        let Some(asker) = self.entries[entry].askers.remove(&caller) else {
            return;
        };
        if asker.entry == entry {
            self.ledger_answered(entry, asker.life, asker.ticket, reply);
            return;
        }
        let answer = Event::LedgerAnswer {
            to: asker.entry,
            life: asker.life,
            ticket: asker.ticket,
            reply,
        };
        self.queue.schedule(HOP, answer);
    }

    pub(crate) fn ledger_answered(
        &mut self,
        entry: usize,
        life: Incarnation,
        ticket: u64,
        reply: LedgerReply,
    ) {
        if !self.entries[entry].up || self.entries[entry].life != life {
            return;
        }
        let Some(pending) = self.entries[entry].pending.remove(&ticket) else {
            return;
        };
        match pending.request {
            Some(request) => self.call(entry, request, CallInput::Ledger(reply)),
            None => {
                let again = reply != LedgerReply::Recorded && self.queue.now() < pending.until;
                if again {
                    self.ask_ledger(entry, pending, RECORD_PAUSE);
                }
            }
        }
    }

    pub(crate) fn store_answered(
        &mut self,
        entry: usize,
        life: Incarnation,
        op: OpId,
        answer: StoreAnswer,
    ) {
        if !self.entries[entry].up || self.entries[entry].life != life {
            return;
        }
        let input = match answer {
            StoreAnswer::Read(result) => ShardInput::Read(op, result),
            StoreAnswer::Write(WriteResult::Conflict)
                if self.mutation == Some(Mutation::IgnoreWriteConflict) =>
            {
                ShardInput::Written(op, WriteResult::Written(0))
            }
            StoreAnswer::Write(result) => ShardInput::Written(op, result),
        };
        self.shard(entry, input);
    }
}
