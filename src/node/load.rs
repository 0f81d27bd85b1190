//! Tracks the load of the endpoint beside an agent for the agent's heartbeats.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::ids::ProcessId;

use crate::link::DeathWire;
use crate::link::LoadWire;

/// How long heartbeats report a death of the endpoint.
const DEATH_REPORT_DURATION: Duration = Duration::from_secs(10);
/// Most deaths reported in one heartbeat; the oldest ones are dropped.
const MAX_REPORTED_DEATHS: usize = 32;

#[derive(Debug, Default)]
struct State {
    in_flight: u32,
    max_in_flight: u32,
    endpoint_up: bool,
    /// Whether the lockstep group of the endpoint makes no steps.
    stalled: bool,
    /// Attempts in flight from each entry that has any.
    in_flight_by_entry: BTreeMap<ProcessId, u32>,
    deaths: VecDeque<(Instant, DeathWire)>,
}

/// A shared handle to the load. The tasks of the gate and of the group's map write it,
/// and heartbeats read it.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker(Arc<Mutex<State>>);

impl LoadTracker {
    /// Sets the totals and limits of the gate, over all entries.
    pub fn set_gate_state(&self, in_flight: u32, max_in_flight: u32, endpoint_up: bool) {
        let mut state = self.lock();
        state.in_flight = in_flight;
        state.max_in_flight = max_in_flight;
        state.endpoint_up = endpoint_up;
    }

    /// Sets whether the endpoint's group makes no steps; returns whether that changed.
    pub fn set_stalled(&self, stalled: bool) -> bool {
        let mut state = self.lock();
        let changed = state.stalled != stalled;
        state.stalled = stalled;
        changed
    }

    /// Records that an attempt of an entry started.
    pub fn attempt_started(&self, entry: &ProcessId) {
        *self
            .lock()
            .in_flight_by_entry
            .entry(entry.clone())
            .or_default() += 1;
    }

    /// Records that an attempt of an entry ended.
    pub fn attempt_ended(&self, entry: &ProcessId) {
        let mut state = self.lock();
        if let Some(count) = state.in_flight_by_entry.get_mut(entry) {
            *count -= 1;
            if *count == 0 {
                state.in_flight_by_entry.remove(entry);
            }
        }
    }

    /// Records that the endpoint died while it ran an attempt.
    pub fn record_death(&self, now: Instant, death: DeathWire) {
        let mut state = self.lock();
        state.deaths.push_back((now, death));
        while state.deaths.len() > MAX_REPORTED_DEATHS {
            state.deaths.pop_front();
        }
    }

    /// Returns the load as reported to one entry, with the part that it caused itself.
    pub fn report_for(&self, receiver: &ProcessId) -> LoadWire {
        let state = self.lock();
        LoadWire {
            in_flight: state.in_flight,
            from_receiver: state.in_flight_by_entry.get(receiver).copied().unwrap_or(0),
            max_in_flight: state.max_in_flight,
            endpoint_up: state.endpoint_up && !state.stalled,
        }
    }

    /// Returns the recent deaths of the endpoint, and forgets the older ones.
    pub fn recent_deaths(&self, now: Instant) -> Vec<DeathWire> {
        let mut state = self.lock();
        state
            .deaths
            .retain(|(at, _)| now.saturating_duration_since(*at) < DEATH_REPORT_DURATION);
        state
            .deaths
            .iter()
            .map(|(_, death)| death.clone())
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().expect("no holder panics")
    }
}
