//! The load of the endpoint beside an agent, as its heartbeats tell it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::ids::ProcessId;

use crate::link::DeathWire;
use crate::link::LoadWire;

/// How long a death is told in heartbeats.
const DEATH_NEWS: Duration = Duration::from_secs(10);
/// Most deaths in one heartbeat.
const MAX_DEATHS: usize = 32;

#[derive(Debug, Default)]
struct State {
    in_flight: u32,
    max_in_flight: u32,
    endpoint_up: bool,
    /// Whether the lock-step group of the endpoint stands still.
    stalled: bool,
    from: BTreeMap<ProcessId, u32>,
    deaths: VecDeque<(Instant, DeathWire)>,
}

/// A shared handle: the gate task writes, heartbeats read.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker(Arc<Mutex<State>>);

impl LoadTracker {
    /// Replaces the figures of the whole endpoint.
    pub fn set(&self, in_flight: u32, max_in_flight: u32, endpoint_up: bool) {
        let mut state = self.lock();
        state.in_flight = in_flight;
        state.max_in_flight = max_in_flight;
        state.endpoint_up = endpoint_up;
    }

    /// Says whether the endpoint's group stands still; returns whether that is new.
    pub fn set_stalled(&self, stalled: bool) -> bool {
        let mut state = self.lock();
        let new = state.stalled != stalled;
        state.stalled = stalled;
        new
    }

    /// Counts a request of one entry in.
    pub fn started(&self, from: &ProcessId) {
        *self.lock().from.entry(from.clone()).or_default() += 1;
    }

    /// Counts a request of one entry out.
    pub fn ended(&self, from: &ProcessId) {
        let mut state = self.lock();
        if let Some(count) = state.from.get_mut(from) {
            *count -= 1;
            if *count == 0 {
                state.from.remove(from);
            }
        }
    }

    /// Records that the endpoint died while it ran a request.
    pub fn died(&self, now: Instant, death: DeathWire) {
        let mut state = self.lock();
        state.deaths.push_back((now, death));
        while state.deaths.len() > MAX_DEATHS {
            state.deaths.pop_front();
        }
    }

    /// Returns the load as one entry should see it.
    pub fn read(&self, reader: &ProcessId) -> LoadWire {
        let state = self.lock();
        LoadWire {
            in_flight: state.in_flight,
            from_receiver: state.from.get(reader).copied().unwrap_or(0),
            max_in_flight: state.max_in_flight,
            endpoint_up: state.endpoint_up && !state.stalled,
        }
    }

    /// Returns the deaths that are still news.
    pub fn recent_deaths(&self, now: Instant) -> Vec<DeathWire> {
        let mut state = self.lock();
        state
            .deaths
            .retain(|(at, _)| now.saturating_duration_since(*at) < DEATH_NEWS);
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
