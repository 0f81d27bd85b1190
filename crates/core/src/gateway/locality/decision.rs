//! The share of requests that leaves the data centre, and which request does.

use std::time::Duration;
use std::time::Instant;

use crate::gateway::locality::MoveCost;
use crate::gateway::locality::PlaceLoad;
use crate::gateway::locality::surplus::Shift;

/// Interval at which the share is adapted. Reports of load arrive a few times in it.
const ADAPT_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two adaptations that counts, for entries with few requests.
const MAX_ELAPSED: Duration = Duration::from_secs(1);
/// Bounds of the time that a request stays at a runner. The load follows a change of the
/// share only as requests end.
const MIN_STAY: Duration = Duration::from_millis(500);
const MAX_STAY: Duration = Duration::from_secs(300);
/// Time that a request is assumed to stay before one has ended.
const ASSUMED_STAY: Duration = Duration::from_secs(5);
/// Largest change of the share in one interval. All entries of a data centre adapt by the
/// same reports.
const MAX_STEP: f64 = 0.1;
/// Share below which no request leaves.
const NEGLIGIBLE_SHARE: f64 = 0.01;

/// Share of all slots in use from which on runners are chosen without regard to their data
/// centre. A group then waits for its fullest rank in each pass, and callers gain more from
/// an even load than from a short way.
const BUSY_SHARE: f64 = 0.5;
/// Share of all slots in use below which the data centre counts again.
const CALM_SHARE: f64 = 0.4;

/// Where a request goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference {
    /// To any runner, since all are busy.
    Anywhere,
    /// To a runner of the entry's data centre, to others only without room there.
    Home,
    /// To a runner of another data centre, to one at home only without room there.
    Elsewhere,
}

/// What an operator sees of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalityState {
    /// Share of the requests that leaves the data centre since it has too many.
    pub share: f64,
    /// The load at home when the share was last adapted.
    pub home: PlaceLoad,
    /// The load elsewhere then.
    pub elsewhere: PlaceLoad,
    /// Whether the runners are so busy that all data centres are used alike.
    pub is_busy: bool,
}

/// Keeps the share of one service's requests that leaves the entry's data centre.
#[derive(Clone, Copy, Debug)]
pub struct Locality {
    cost: MoveCost,
    state: LocalityState,
    adapted_at: Instant,
    /// Part of a request that is still to leave.
    due: f64,
}

impl Locality {
    /// Returns a decision by which nothing leaves yet.
    pub fn new(now: Instant, cost: MoveCost) -> Self {
        Self {
            cost,
            state: LocalityState {
                share: 0.0,
                home: PlaceLoad::default(),
                elsewhere: PlaceLoad::default(),
                is_busy: false,
            },
            adapted_at: now,
            due: 0.0,
        }
    }

    /// Replaces the cost of a move.
    pub fn set_cost(&mut self, cost: MoveCost) {
        self.cost = cost;
    }

    /// Returns the present state.
    pub fn state(&self) -> LocalityState {
        self.state
    }

    /// Returns the difference in requests per runner that a move must be worth.
    pub fn margin(&self) -> f64 {
        self.cost.margin()
    }

    /// Returns whether the share is to be adapted.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.adapted_at) >= ADAPT_INTERVAL
    }

    /// Adapts the share to the load. `stay` is the time that a request stays at a runner,
    /// `None` if it is not known.
    ///
    /// As much of the surplus moves as ends of the requests that are at runners, so that
    /// the share settles where the surplus ends. Without runners in one of the two parts
    /// there is nothing to decide, and the share is kept for their return.
    pub fn adapt(
        &mut self,
        now: Instant,
        home: PlaceLoad,
        elsewhere: PlaceLoad,
        stay: Option<Duration>,
    ) {
        let stay = stay.unwrap_or(ASSUMED_STAY).clamp(MIN_STAY, MAX_STAY);
        let elapsed = now
            .saturating_duration_since(self.adapted_at)
            .min(MAX_ELAPSED);
        let pace = elapsed.as_secs_f64() / stay.as_secs_f64();
        let share = self.state.share;
        let change = match self.cost.shift(home, elsewhere) {
            // The surplus is a part of what stays at home, the share one of all requests.
            Shift::Leave(part) => part * (1.0 - share) * pace,
            Shift::Return(urgency) => -share * urgency * pace,
            Shift::Stay => 0.0,
        };
        let share = (share + change.clamp(-MAX_STEP, MAX_STEP)).clamp(0.0, 1.0);
        let is_returned = change < 0.0 && share < NEGLIGIBLE_SHARE;
        self.state = LocalityState {
            share: if is_returned { 0.0 } else { share },
            home,
            elsewhere,
            is_busy: self.is_busy_with(home, elsewhere),
        };
        self.adapted_at = now;
    }

    fn is_busy_with(&self, home: PlaceLoad, elsewhere: PlaceLoad) -> bool {
        let slots = f64::from(home.slots.saturating_add(elsewhere.slots).max(1));
        let requests = f64::from(home.requests.saturating_add(elsewhere.requests));
        let bound = match self.state.is_busy {
            true => CALM_SHARE,
            false => BUSY_SHARE,
        };
        requests / slots >= bound
    }

    /// Returns where the next request goes first. The requests that leave are spread evenly
    /// over all.
    pub fn preference(&self) -> Preference {
        if self.state.is_busy {
            return Preference::Anywhere;
        }
        let is_due = self.due + self.state.share >= 1.0;
        match is_due && self.state.share >= NEGLIGIBLE_SHARE {
            true => Preference::Elsewhere,
            false => Preference::Home,
        }
    }

    /// Records that a request was sent. One that left since there was no room at home
    /// counts towards the share.
    pub fn record_sent(&mut self, left_home: bool) {
        let left = if left_home { 1.0 } else { 0.0 };
        self.due = (self.due + self.state.share - left).clamp(-1.0, 1.0);
    }
}
