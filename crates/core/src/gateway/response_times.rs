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
    /// Time from then to its end.
    rest: Duration,
    /// Most tokens that the response could have, if the caller said so.
    tokens: Option<u32>,
}

impl ResponseTimes {
    /// Records a request that ended, or whose deadline passed before it did: the
    /// time until the first byte of its response, the time from then to the end, and the
    /// most tokens that the response could have.
    pub fn record(&mut self, first: Duration, rest: Duration, tokens: Option<u32>) {
        if self.recent.len() == MAX_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(Sample {
            first,
            rest,
            tokens: tokens.filter(|tokens| *tokens > 0),
        });
    }

    /// Returns a time within which a request with at most this many tokens will probably
    /// end; zero if none has ended yet.
    pub fn expected(&self, tokens: Option<u32>) -> Duration {
        let first = quantile(self.recent.iter().map(|sample| sample.first));
        let rest = self.expected_rest(tokens).unwrap_or_else(|| {
            quantile(self.recent.iter().map(|sample| sample.rest)).unwrap_or_default()
        });
        (first.unwrap_or_default() + rest).mul_f64(SAFETY_FACTOR)
    }

    /// Returns the time after the first byte by the number of tokens; `None` if that
    /// number is not known of this request or of earlier ones.
    fn expected_rest(&self, tokens: Option<u32>) -> Option<Duration> {
        let per_token = |sample: &Sample| Some(sample.rest / sample.tokens?);
        let per_token = quantile(self.recent.iter().filter_map(per_token))?;
        Some(per_token * tokens?)
    }
}

fn quantile(times: impl Iterator<Item = Duration>) -> Option<Duration> {
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    let index = (times.len() as f64 * QUANTILE) as usize;
    times.get(index).copied()
}
