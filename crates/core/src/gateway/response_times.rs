//! How long requests take, from the ones that ended last.
//!
//! A stream takes the time until its first event, and then longer the more tokens its
//! caller asks for. The two are remembered apart, so that a short and a long stream get
//! different estimates.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of requests that are remembered.
const MAX_SAMPLES: usize = 128;
/// Share of the requests that take no longer than the estimate.
const QUANTILE: f64 = 0.95;
/// Factor on the estimate. Requests get slower when other entries stop too.
const SAFETY_FACTOR: f64 = 1.25;

/// The times of the requests that ended last.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    recent: VecDeque<Sample>,
}

/// The times of one request.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// Time until the first byte of the response.
    first: Duration,
    /// Time from then to its end, divided by the tokens that the caller asked for.
    per_token: Duration,
}

impl ResponseTimes {
    /// Records a request that ended: the time until the first byte of its response, the
    /// time from then to the end, and the most tokens that the response could have.
    pub fn record(&mut self, first: Duration, rest: Duration, tokens: Option<u32>) {
        if self.recent.len() == MAX_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(Sample {
            first,
            per_token: rest / tokens_or_one(tokens),
        });
    }

    /// Returns a time within which a request with at most this many tokens will probably
    /// end; zero if none has ended yet.
    pub fn expected(&self, tokens: Option<u32>) -> Duration {
        let first = quantile(self.recent.iter().map(|sample| sample.first));
        let per_token = quantile(self.recent.iter().map(|sample| sample.per_token));
        (first + per_token * tokens_or_one(tokens)).mul_f64(SAFETY_FACTOR)
    }
}

fn tokens_or_one(tokens: Option<u32>) -> u32 {
    tokens.unwrap_or(1).max(1)
}

fn quantile(times: impl Iterator<Item = Duration>) -> Duration {
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    let index = (times.len() as f64 * QUANTILE) as usize;
    times.get(index).copied().unwrap_or_default()
}
