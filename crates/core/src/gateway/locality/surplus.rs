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

/// The runners of a service in one part of the fleet that could take a request, and the
/// requests at them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlaceLoad {
    /// Number of runners.
    pub runners: u32,
    /// Requests at them, of all entries as far as they are known.
    pub requests: u32,
}

impl PlaceLoad {
    /// Adds a runner with its requests.
    pub fn add(&mut self, requests: u32) {
        self.runners += 1;
        self.requests += requests;
    }

    fn per_runner(self) -> f64 {
        f64::from(self.requests) / f64::from(self.runners.max(1))
    }
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
        let both_ways = nearest * 2;
        let requests = engine.map_or(0.0, |engine| requests_that_cost(both_ways, engine));
        Some(Self {
            margin: EQUAL_LOAD_REQUESTS + requests.min(MAX_DELAY_REQUESTS),
        })
    }

    pub(super) fn margin(self) -> f64 {
        self.margin
    }

    /// Returns the share of the requests at home that should be elsewhere; negative if more
    /// could come back.
    ///
    /// Between the two bounds neither pays, which keeps the share from following every
    /// small change of the load.
    pub(super) fn surplus(self, home: PlaceLoad, elsewhere: PlaceLoad) -> f64 {
        if home.runners == 0 || elsewhere.runners == 0 || home.requests == 0 {
            return 0.0;
        }
        let difference = home.per_runner() - elsewhere.per_runner();
        let excess = match difference {
            _ if difference > self.margin => difference - self.margin,
            _ if difference < 0.0 => difference,
            _ => return 0.0,
        };
        let per_request = 1.0 / f64::from(home.runners) + 1.0 / f64::from(elsewhere.runners);
        excess / per_request / f64::from(home.requests)
    }
}

/// Returns the number of further requests at a runner that delay a response of mean length
/// by a time.
fn requests_that_cost(delay: Duration, engine: &EngineModel) -> f64 {
    let ms_per_request = engine.decode_ms_per_request * engine.mean_output_tokens;
    match ms_per_request > 0.0 {
        true => delay.as_secs_f64() * 1_000.0 / ms_per_request,
        false => 0.0,
    }
}
