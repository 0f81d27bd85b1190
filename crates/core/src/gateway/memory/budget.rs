//! Charges for the bytes that requests hold, and who gives way when they run short.

use std::time::Instant;

use crate::collections::HashMap;
use crate::gateway::memory::progress::Progress;

/// Identifies a holder of memory within its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HolderId(u64);

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderKind {
    /// A head or a body that is being received. No runner knows of it, so it can be
    /// refused at any time.
    Receiving,
    /// A request that is complete: it waits for a runner, or one runs it.
    Complete,
    /// A response that its caller is reading.
    Response,
}

/// What becomes of a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The bytes are charged.
    Granted,
    /// There is room when this holder has given way.
    After(HolderId),
    /// Everybody else goes first.
    Short,
    /// The budget as a whole is smaller.
    Never,
}

/// Bytes that a holder wants.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    /// Who wants them.
    pub holder: HolderId,
    /// How many more than it has.
    pub bytes: usize,
}

#[derive(Debug)]
struct Holder {
    kind: HolderKind,
    bytes: usize,
    progress: Progress,
    /// Whether it was told to give way. Its bytes count until it ends.
    is_leaving: bool,
}

/// A bound on the bytes that all requests of a process hold together.
///
/// It answers the load of clients that send much at once, or stop halfway. Holders that
/// make no progress give way first, the largest of them before others; then the newest
/// that is still being received, so that those that came first reach their end and no two
/// wait for each other. What a runner sends goes before what is being received. A complete
/// request never gives way.
#[derive(Debug)]
pub struct MemoryBudget {
    total: usize,
    used: usize,
    peak: usize,
    holders: HashMap<HolderId, Holder>,
    next_id: u64,
}

impl MemoryBudget {
    /// Returns a budget of this many bytes.
    pub fn new(total: usize) -> Self {
        Self {
            total,
            used: 0,
            peak: 0,
            holders: HashMap::default(),
            next_id: 0,
        }
    }

    /// Changes the size of the budget. What is charged already stays.
    pub fn set_total(&mut self, total: usize) {
        self.total = total;
    }

    /// Adds a holder, which has no bytes yet.
    pub fn enter(&mut self, now: Instant, kind: HolderKind) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            kind,
            bytes: 0,
            progress: Progress::new(now),
            is_leaving: false,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Charges bytes to a holder, or names who gives way. A holder that is named is
    /// expected to end; its bytes come back then.
    pub fn charge(&mut self, now: Instant, charge: Charge) -> Decision {
        if charge.bytes > self.total {
            return Decision::Never;
        }
        let left = self.total.saturating_sub(self.used);
        if charge.bytes <= left {
            return self.grant(now, charge);
        }
        let missing = charge.bytes - left;
        if self.leaving_bytes() >= missing {
            return Decision::Short;
        }
        match self.pick_to_leave(now, charge.holder) {
            Some(id) => {
                if let Some(holder) = self.holders.get_mut(&id) {
                    holder.is_leaving = true;
                }
                Decision::After(id)
            }
            None => Decision::Short,
        }
    }

    fn grant(&mut self, now: Instant, charge: Charge) -> Decision {
        let Some(holder) = self.holders.get_mut(&charge.holder) else {
            return Decision::Never;
        };
        holder.bytes += charge.bytes;
        holder.progress = Progress::new(now);
        self.used += charge.bytes;
        self.peak = self.peak.max(self.used);
        Decision::Granted
    }

    /// Returns the bytes of holders that were named and have not ended.
    fn leaving_bytes(&self) -> usize {
        let leaving = self.holders.values().filter(|holder| holder.is_leaving);
        leaving.map(|holder| holder.bytes).sum()
    }

    fn pick_to_leave(&self, now: Instant, applicant: HolderId) -> Option<HolderId> {
        let others = self.holders.iter().filter(|(id, holder)| {
            **id != applicant
                && !holder.is_leaving
                && holder.bytes > 0
                && holder.kind != HolderKind::Complete
        });
        let stalled = others
            .clone()
            .filter(|(_, holder)| holder.progress.is_stalled(now))
            .max_by_key(|(id, holder)| (holder.bytes, std::cmp::Reverse(**id)));
        let is_receiving = self
            .holders
            .get(&applicant)
            .is_some_and(|holder| holder.kind == HolderKind::Receiving);
        let newest = || {
            others
                .filter(|(_, holder)| holder.kind == HolderKind::Receiving)
                .filter(|(id, _)| !is_receiving || **id > applicant)
                .max_by_key(|(id, _)| **id)
        };
        stalled.or_else(newest).map(|(id, _)| *id)
    }

    /// Records that a client has sent or read bytes.
    pub fn record_progress(&mut self, now: Instant, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progress.record(now, bytes);
        }
    }

    /// Records that a request has arrived whole. Returns `false` if it was named to give
    /// way before, and must end.
    pub fn complete(&mut self, id: HolderId) -> bool {
        match self.holders.get_mut(&id) {
            Some(holder) if !holder.is_leaving => {
                holder.kind = HolderKind::Complete;
                true
            }
            _ => false,
        }
    }

    /// Records that a response is complete and that its caller reads it from now on. It
    /// keeps this many bytes.
    pub fn begin_response(&mut self, now: Instant, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            self.used -= holder.bytes.saturating_sub(bytes);
            holder.bytes = holder.bytes.min(bytes);
            holder.kind = HolderKind::Response;
            holder.progress = Progress::new(now);
        }
    }

    /// Ends a holder and returns its bytes to the budget.
    pub fn leave(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.bytes;
        }
    }

    /// Returns the bytes that are charged.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the most bytes that were ever charged.
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Returns the number of holders.
    pub fn holder_count(&self) -> usize {
        self.holders.len()
    }
}
