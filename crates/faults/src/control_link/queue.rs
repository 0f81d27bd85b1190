//! One direction of a link: messages wait until the earlier ones have been sent.

use std::collections::VecDeque;

/// Time that a message is on its way after it has been sent, in milliseconds.
const LATENCY_MS: f64 = 2.0;
/// Bytes that the network adds to a small message, and per full packet to a large one.
const OVERHEAD_BYTES: usize = 110;
const PACKET_BYTES: usize = 1_400;
/// Time over which the use of a link is measured, in milliseconds.
const MEASURE_MS: u64 = 1_000;

/// Messages of a kind on their way.
#[derive(Debug)]
pub(super) struct LinkQueue<T> {
    bytes_per_ms: f64,
    /// When the last message will have been sent, in milliseconds.
    busy_until: f64,
    on_the_way: VecDeque<(f64, T)>,
    outage_ms: Option<(u64, u64)>,
    measured_from: u64,
    measured_bytes: usize,
    largest_share: f64,
    longest_wait: f64,
}

impl<T> LinkQueue<T> {
    pub(super) fn new(bytes_per_ms: f64, outage_ms: Option<(u64, u64)>) -> Self {
        Self {
            bytes_per_ms,
            busy_until: 0.0,
            on_the_way: VecDeque::new(),
            outage_ms,
            measured_from: 0,
            measured_bytes: 0,
            largest_share: 0.0,
            longest_wait: 0.0,
        }
    }

    /// Sends a message of this many bytes.
    pub(super) fn push(&mut self, now_ms: u64, bytes: usize, message: T) {
        let bytes = bytes + OVERHEAD_BYTES * (1 + bytes / PACKET_BYTES);
        self.measure(now_ms, bytes);
        let mut begin = self.busy_until.max(now_ms as f64);
        if let Some((from, to)) = self.outage_ms
            && begin >= from as f64
            && begin < to as f64
        {
            begin = to as f64;
        } else {
            self.longest_wait = self.longest_wait.max(begin - now_ms as f64);
        }
        self.busy_until = begin + bytes as f64 / self.bytes_per_ms;
        self.on_the_way
            .push_back((self.busy_until + LATENCY_MS, message));
    }

    /// Returns the next message that has arrived.
    pub(super) fn pop(&mut self, now_ms: u64) -> Option<T> {
        let (at, _) = self.on_the_way.front()?;
        if *at > now_ms as f64 {
            return None;
        }
        self.on_the_way.pop_front().map(|(_, message)| message)
    }

    fn measure(&mut self, now_ms: u64, bytes: usize) {
        if now_ms >= self.measured_from + MEASURE_MS {
            self.measured_from = now_ms;
            self.measured_bytes = 0;
        }
        self.measured_bytes += bytes;
        let share = self.measured_bytes as f64 / (self.bytes_per_ms * MEASURE_MS as f64);
        self.largest_share = self.largest_share.max(share);
    }

    /// Returns the largest share of the link that was used in a second.
    pub(super) fn largest_share(&self) -> f64 {
        self.largest_share
    }

    /// Returns the longest time that a message waited outside of outages.
    pub(super) fn longest_wait_ms(&self) -> u64 {
        self.longest_wait as u64
    }
}
