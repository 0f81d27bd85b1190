//! How many requests too many a data centre has.

use std::time::Duration;

use crate::gateway::EngineModel;
use crate::gateway::PlaceDelay;
use crate::ids::PlaceId;

/// Difference in requests per runner up to which two data centres are equally loaded.
/// Requests are whole, so runners with the same share of the load differ by up to one.
const EQUAL_LOAD_REQUESTS: f64 = 1.0;
/// Most requests per runner that the delay between data centres may be worth. With a
/// longer delay a full data centre would keep its requests in a queue.
const MAX_DELAY_REQUESTS: f64 = 3.0;
/// Part of the difference from which on requests leave, below which they come back. In
/// between the share stays, so that it does not follow every small change of the load.
const RETURN_PART: f64 = 0.5;

/// The runners of a service in one part of the fleet that could take a request, and the
/// requests at them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlaceLoad {
    /// Number of runners.
    pub runners: u32,
    /// Their slots.
    pub slots: u32,
    /// Requests at them, of all entries as far as they are known.
    pub requests: u32,
}

impl PlaceLoad {
    /// Adds a runner with its slots and requests.
    pub fn add(&mut self, slots: u32, requests: u32) {
        self.runners = self.runners.saturating_add(1);
        self.slots = self.slots.saturating_add(slots.max(1));
        self.requests = self.requests.saturating_add(requests);
    }

    fn per_slot(self) -> f64 {
        f64::from(self.requests) / f64::from(self.slots.max(1))
    }

    fn slots_per_runner(self) -> f64 {
        f64::from(self.slots) / f64::from(self.runners.max(1))
    }
}

/// What the loads ask for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Shift {
    /// This part of the requests at home should be elsewhere.
    Leave(f64),
    /// Requests may come back, with this urgency from zero to one.
    Return(f64),
    /// Neither pays.
    Stay,
}

/// What it costs a request to be served in another data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveCost {
    /// Difference in requests per runner that the move must be worth.
    margin: f64,
}

impl MoveCost {
    /// Returns the cost of a move from a data centre; `None` if the service declares no
    /// delay to another one, so that it has a single data centre or all are alike.
    ///
    /// The delay counts as the number of requests that would lengthen a response as much.
    pub fn new(
        home: &PlaceId,
        delays: &[PlaceDelay],
        engine: Option<&EngineModel>,
    ) -> Option<Self> {
        let from_home = delays
            .iter()
            .filter(|delay| delay.from != delay.to)
            .filter(|delay| delay.from == *home || delay.to == *home);
        let nearest = from_home.map(|delay| delay.delay).min()?;
        let both_ways = nearest.saturating_mul(2);
        let requests = engine.map_or(0.0, |engine| requests_that_cost(both_ways, engine));
        Some(Self {
            margin: EQUAL_LOAD_REQUESTS + requests.min(MAX_DELAY_REQUESTS),
        })
    }

    /// Returns the difference in requests per runner that a move must be worth.
    pub fn margin(self) -> f64 {
        self.margin
    }

    pub(super) fn shift(self, home: PlaceLoad, elsewhere: PlaceLoad) -> Shift {
        if home.runners == 0 || elsewhere.runners == 0 {
            return Shift::Stay;
        }
        let slots = home.slots_per_runner();
        let difference = (home.per_slot() - elsewhere.per_slot()) * slots;
        let return_below = self.margin * RETURN_PART;
        if difference < return_below {
            let urgency = (return_below - difference) / self.margin;
            return Shift::Return(urgency.min(1.0));
        }
        if difference <= self.margin {
            return Shift::Stay;
        }
        let per_request = 1.0 / f64::from(home.slots) + 1.0 / f64::from(elsewhere.slots);
        let requests = (difference - self.margin) / slots / per_request;
        Shift::Leave(requests / f64::from(home.requests.max(1)))
    }
}

/// Returns the number of further requests at a runner that delay a response of mean length
/// by a time.
fn requests_that_cost(delay: Duration, engine: &EngineModel) -> f64 {
    const MS_PER_S: f64 = 1_000.0;
    let ms_per_request = engine.decode_ms_per_request * engine.mean_output_tokens;
    match ms_per_request > 0.0 {
        true => delay.as_secs_f64() * MS_PER_S / ms_per_request,
        false => 0.0,
    }
}
