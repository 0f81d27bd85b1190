//! Memory that the requests of this process hold, and waiting for it.
//!
//! [`MemoryBudget`] decides; this module waits, and tells holders to give way.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use metrics::counter;
use metrics::gauge;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::collections::HashMap;
use wisteriawick_core::gateway::Charge;
use wisteriawick_core::gateway::Decision;
use wisteriawick_core::gateway::HolderId;
use wisteriawick_core::gateway::HolderKind;
use wisteriawick_core::gateway::MemoryBudget;
use wisteriawick_core::gateway::MemoryPlan;

use crate::connection_slots::ConnectionSlots;
use crate::telemetry;

/// Longest wait for memory. The client's bytes stay in its connection meanwhile.
const ROOM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Shortest time between two log lines about refusals.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// Why a holder of memory had to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum MemoryShort {
    /// Others hold what it needs.
    #[error("no memory within {} ms", ROOM_TIMEOUT.as_millis())]
    NoRoom,
    /// It gave way to another.
    #[error("gave its memory to another request")]
    GaveWay,
}

impl From<MemoryShort> for Refusal {
    fn from(short: MemoryShort) -> Self {
        match short {
            MemoryShort::NoRoom => Self::NoRoom,
            MemoryShort::GaveWay => Self::GaveWay,
        }
    }
}

/// The memory of all requests.
#[derive(Debug)]
pub(crate) struct RequestMemory {
    plan: MemoryPlan,
    connections: Arc<ConnectionSlots>,
    inner: Mutex<Inner>,
    /// Notified when memory comes back.
    released: Notify,
    refusals: Mutex<Refusals>,
}

/// Why a request was refused or a connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// Its body had no room in time.
    NoRoom,
    /// Its body gave way to others.
    GaveWay,
    /// Its head had no room.
    Head,
}

/// Refusals since the last line of the log.
#[derive(Debug, Default)]
struct Refusals {
    no_room: u64,
    gave_way: u64,
    heads: u64,
    logged_at: Option<Instant>,
}

impl Refusals {
    fn count(&self) -> u64 {
        self.no_room + self.gave_way + self.heads
    }

    /// Returns what to log and begins anew, if a line is due.
    fn take_due(&mut self, now: Instant) -> Option<Self> {
        let is_early = self
            .logged_at
            .is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL);
        if self.count() == 0 || is_early {
            return None;
        }
        let begun = Self {
            logged_at: Some(now),
            ..Self::default()
        };
        Some(std::mem::replace(self, begun))
    }
}

#[derive(Debug)]
struct Inner {
    budget: MemoryBudget,
    give_way: HashMap<HolderId, CancellationToken>,
}

impl RequestMemory {
    /// Returns the memory that is left beside these connections.
    pub(crate) fn new(plan: MemoryPlan, connections: Arc<ConnectionSlots>) -> Arc<Self> {
        Arc::new(Self {
            plan,
            connections,
            inner: Mutex::new(Inner {
                budget: MemoryBudget::new(plan.charged_bytes(0)),
                give_way: HashMap::default(),
            }),
            released: Notify::new(),
            refusals: Mutex::new(Refusals::default()),
        })
    }

    /// Returns a holder without bytes; `give_way` is cancelled when it must end.
    pub(crate) fn enter(
        self: &Arc<Self>,
        kind: HolderKind,
        give_way: CancellationToken,
    ) -> HeldMemory {
        let mut inner = self.lock();
        let id = inner.budget.enter(Instant::now(), kind);
        inner.give_way.insert(id, give_way.clone());
        HeldMemory {
            memory: Arc::clone(self),
            id,
            give_way,
        }
    }

    /// Counts a request that was refused or a connection that was closed.
    pub(crate) fn record_refusal(&self, refusal: Refusal) {
        let mut refusals = self.refusals.lock().expect("no holder panics");
        let (count, reason) = match refusal {
            Refusal::NoRoom => (&mut refusals.no_room, "no room"),
            Refusal::GaveWay => (&mut refusals.gave_way, "gave way"),
            Refusal::Head => (&mut refusals.heads, "head"),
        };
        *count += 1;
        counter!(telemetry::MEMORY_REFUSALS, "reason" => reason).increment(1);
    }

    /// Exports the gauges, and passes on what was refused since the last time, at most once
    /// a second.
    pub(crate) fn report(&self, log: impl FnOnce(Value)) {
        let (used, peak, holders) = {
            let inner = self.lock();
            let budget = &inner.budget;
            (budget.used(), budget.peak(), budget.holder_count())
        };
        gauge!(telemetry::MEMORY_HELD_BYTES).set(used as f64);
        gauge!(telemetry::MEMORY_PEAK_BYTES).set(peak as f64);
        let due = {
            let mut refusals = self.refusals.lock().expect("no holder panics");
            refusals.take_due(Instant::now())
        };
        if let Some(refusals) = due {
            let fields = json!({
                "no_room": refusals.no_room,
                "gave_way": refusals.gave_way,
                "heads": refusals.heads,
                "held_bytes": used,
                "of_bytes": self.total(),
                "holders": holders,
            });
            log(fields);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }

    fn total(&self) -> usize {
        // The allocator keeps what connections had, so that their peak counts.
        self.plan.charged_bytes(self.connections.peak())
    }

    /// Charges bytes if there is room. If others can make room, they are told to.
    fn try_charge(&self, charge: Charge) -> Decision {
        let total = self.total();
        let mut inner = self.lock();
        inner.budget.set_total(total);
        loop {
            let decision = inner.budget.charge(Instant::now(), charge);
            match decision {
                Decision::After(id) => {
                    if let Some(give_way) = inner.give_way.get(&id) {
                        give_way.cancel();
                    }
                }
                Decision::Granted | Decision::Short | Decision::Never => return decision,
            }
        }
    }
}

/// Returns bytes that hold memory until the last part of them is dropped.
pub(crate) fn held_bytes(bytes: Vec<u8>, held: Arc<HeldMemory>) -> Bytes {
    struct Owner {
        bytes: Vec<u8>,
        _held: Arc<HeldMemory>,
    }

    impl AsRef<[u8]> for Owner {
        fn as_ref(&self) -> &[u8] {
            &self.bytes
        }
    }

    Bytes::from_owner(Owner { bytes, _held: held })
}

/// Memory that a request holds, which comes back when this is dropped.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    memory: Arc<RequestMemory>,
    id: HolderId,
    give_way: CancellationToken,
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        let mut inner = self.memory.lock();
        inner.budget.leave(self.id);
        inner.give_way.remove(&self.id);
        drop(inner);
        self.memory.released.notify_waiters();
    }
}

impl HeldMemory {
    /// Charges more bytes; returns whether there was room at once.
    pub(crate) fn charge_now(&self, bytes: usize) -> bool {
        self.memory.try_charge(self.of(bytes)) == Decision::Granted
    }

    /// Charges more bytes, and waits for others to give way.
    ///
    /// # Errors
    ///
    /// Fails if there is no room in time or this holder must end itself.
    pub(crate) async fn charge(&self, bytes: usize) -> Result<(), MemoryShort> {
        let room = async {
            loop {
                let released = self.memory.released.notified();
                tokio::pin!(released);
                released.as_mut().enable();
                match self.memory.try_charge(self.of(bytes)) {
                    Decision::Granted => return Ok(()),
                    Decision::Never => return Err(MemoryShort::NoRoom),
                    Decision::After(_) | Decision::Short => released.await,
                }
            }
        };
        tokio::select! {
            room = tokio::time::timeout(ROOM_TIMEOUT, room) => match room {
                Ok(charged) => charged,
                Err(_) => Err(MemoryShort::NoRoom),
            },
            () = self.give_way.cancelled() => Err(MemoryShort::GaveWay),
        }
    }

    fn of(&self, bytes: usize) -> Charge {
        Charge {
            holder: self.id,
            bytes,
        }
    }

    /// Records that the client has sent or read bytes.
    pub(crate) fn record_progress(&self, bytes: usize) {
        let mut inner = self.memory.lock();
        inner.budget.record_progress(Instant::now(), self.id, bytes);
    }

    /// Records that the request has arrived whole.
    ///
    /// # Errors
    ///
    /// Fails if this holder must end.
    pub(crate) fn complete(&self) -> Result<(), MemoryShort> {
        match self.memory.lock().budget.complete(self.id) {
            true => Ok(()),
            false => Err(MemoryShort::GaveWay),
        }
    }

    /// Records that a response of this many bytes is complete.
    pub(crate) fn begin_response(&self, bytes: usize) {
        let mut inner = self.memory.lock();
        inner.budget.begin_response(Instant::now(), self.id, bytes);
        drop(inner);
        self.memory.released.notify_waiters();
    }

    /// Waits until this holder must end.
    pub(crate) async fn must_end(&self) {
        self.give_way.cancelled().await;
    }
}
