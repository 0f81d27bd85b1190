//! What a caller's connection may hold before its request is known.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use wisteriawick_core::gateway::ConnectionPhase;
use wisteriawick_core::gateway::HolderKind;
use wisteriawick_core::gateway::SMALL_BODY_BYTES;

use crate::connection_slots::ConnectionSlot;
use crate::gateway::memory::HeldMemory;
use crate::gateway::memory::Refusal;
use crate::gateway::memory::RequestMemory;
use crate::gateway::state::lock;

/// Memory that a head takes, as a multiple of its length: its buffer doubles.
const HEAD_FACTOR: usize = 2;
/// Step in which a larger head is charged, in bytes.
const HEAD_STEP_BYTES: usize = 16 * 1024;

/// A caller's connection, as the listener and its requests see it.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    slot: ConnectionSlot,
    memory: Arc<RequestMemory>,
    /// Longest time from the first byte of a head to its end.
    pub(crate) head_timeout: Duration,
    /// Whether it waits for a head, or for the rest of one.
    is_in_head: AtomicBool,
    /// Bytes of the head so far.
    head_bytes: AtomicUsize,
    /// What the head holds of the budget, if it is not small.
    head: Mutex<Option<ChargedHead>>,
    /// Whether it has carried a request.
    is_used: AtomicBool,
}

#[derive(Debug)]
struct ChargedHead {
    held: HeldMemory,
    bytes: usize,
}

/// The start of a request on a connection.
#[derive(Debug)]
pub(crate) struct BegunRequest {
    pub(crate) connection: Arc<CallerConnection>,
    /// Whether it is the first one there.
    pub(crate) is_first: bool,
    /// What its head holds of the budget.
    pub(crate) head: Option<HeldMemory>,
}

impl CallerConnection {
    pub(crate) fn new(
        slot: ConnectionSlot,
        memory: Arc<RequestMemory>,
        head_timeout: Duration,
    ) -> Self {
        Self {
            slot,
            memory,
            head_timeout,
            is_in_head: AtomicBool::new(true),
            head_bytes: AtomicUsize::new(0),
            head: Mutex::default(),
            is_used: AtomicBool::new(false),
        }
    }

    /// Returns a token that is cancelled when the connection must close.
    pub(crate) fn closing(&self) -> &CancellationToken {
        self.slot.closing()
    }

    pub(crate) fn is_used(&self) -> bool {
        self.is_used.load(Ordering::Relaxed)
    }

    /// Returns whether a head has begun and not ended.
    pub(crate) fn is_within_head(&self) -> bool {
        self.is_in_head.load(Ordering::Relaxed) && self.head_bytes.load(Ordering::Relaxed) > 0
    }

    /// Charges what the next read may add to a head; returns whether there is room.
    pub(crate) fn charge_read(&self) -> bool {
        let bytes = self.head_bytes.load(Ordering::Relaxed);
        if !self.is_in_head.load(Ordering::Relaxed) || bytes < SMALL_BODY_BYTES {
            return true;
        }
        let needed = (bytes + SMALL_BODY_BYTES) * HEAD_FACTOR;
        let mut head = lock(&self.head);
        let head = head.get_or_insert_with(|| ChargedHead {
            held: self
                .memory
                .enter(HolderKind::Receiving, self.closing().clone()),
            bytes: 0,
        });
        while head.bytes < needed {
            if !head.held.charge_now(HEAD_STEP_BYTES) {
                self.memory.record_refusal(Refusal::Head);
                return false;
            }
            head.bytes += HEAD_STEP_BYTES;
        }
        true
    }

    /// Records that bytes arrived.
    pub(crate) fn record_read(&self, bytes: usize) {
        if self.is_in_head.load(Ordering::Relaxed)
            && self.head_bytes.fetch_add(bytes, Ordering::Relaxed) >= SMALL_BODY_BYTES
            && let Some(head) = &*lock(&self.head)
        {
            head.held.record_progress(bytes);
        }
    }

    /// Records that a head is complete.
    pub(crate) fn begin_request(self: &Arc<Self>) -> BegunRequest {
        self.is_in_head.store(false, Ordering::Relaxed);
        self.slot.set_phase(ConnectionPhase::Busy);
        let head = match self.head_bytes.swap(0, Ordering::Relaxed) {
            ..SMALL_BODY_BYTES => None,
            _ => lock(&self.head).take().map(|head| head.held),
        };
        if let Some(head) = &head {
            // A holder that gave way closes the connection.
            let _ = head.complete();
        }
        BegunRequest {
            connection: Arc::clone(self),
            is_first: !self.is_used.swap(true, Ordering::Relaxed),
            head,
        }
    }

    /// Records that the response was handed to the connection.
    pub(crate) fn end_request(&self) {
        self.is_in_head.store(true, Ordering::Relaxed);
        self.slot.set_phase(ConnectionPhase::Idle);
    }
}
