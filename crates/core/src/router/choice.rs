//! Choice of the runner for a request.
//!
//! The runner with the lowest score is chosen. The score is the load, as a
//! fraction of the runner's capacity and scaled by how slow the runner is, plus a
//! cost for distance, minus a bonus for a cached prompt prefix. The entry knows its
//! own requests in flight exactly. The requests of other entries are known only
//! from the runner's load reports, which lose weight with age.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;

use crate::fleet::Distance;
use crate::ids::RunnerId;

/// Number of runners up to which [`Policy::BySize`] scores every runner.
const MAX_SCANNED_RUNNERS: usize = 64;
/// Age at which a load report has half of its initial weight.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// How long a runner that refused a request as busy is excluded.
const BUSY_BACKOFF: Duration = Duration::from_millis(20);
/// How long a runner that refused a suspect as busy is excluded for suspects.
const SUSPECT_BACKOFF: Duration = Duration::from_millis(100);
/// Bonus for a prompt that is cached as a whole, as a fraction of a runner's capacity.
const MAX_AFFINITY_BONUS: f64 = 0.25;
/// Weight of the newest sample in the moving average of a runner's service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Samples that are needed before a runner's speed affects its score.
const MIN_SPEED_SAMPLES: u32 = 8;
/// Bounds of a runner's service time relative to the mean of all runners.
const MIN_SLOWNESS: f64 = 0.5;
const MAX_SLOWNESS: f64 = 8.0;

/// Which runners are scored for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Works like `Scan` in a small service and like `TwoChoices` in a large one.
    ///
    /// In a large service, entries that score every runner by the same delayed
    /// reports would all choose the same runners.
    #[default]
    BySize,
    /// Scores every runner.
    Scan,
    /// Scores two random runners and the one with a cached prefix.
    TwoChoices,
}

/// Whether a runner may get new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunnerState {
    /// It takes new requests.
    #[default]
    Up,
    /// It has no working link, or its endpoint is down; it gets no new requests.
    Suspect,
    /// It finishes its requests and takes no new ones.
    Leaving,
}

/// The load of a runner, as its agent reports it to an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerReport {
    /// Requests in flight at the endpoint, from all entries.
    pub in_flight: u32,
    /// How many of them came from the entry that receives the report.
    pub from_this_entry: u32,
    /// Maximum number of requests in flight that the agent admits.
    pub max_in_flight: u32,
}

/// What one request requires and prefers of its runner.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// The runner that has a prefix of the prompt cached, and the fraction of the
    /// prompt that the prefix covers.
    pub cached: Option<(&'a RunnerId, f64)>,
    /// Runners that must not be chosen.
    pub excluded: &'a [RunnerId],
    /// Whether the request is a poison suspect, so that its runner must have no other.
    pub suspect: bool,
}

#[derive(Clone, Debug)]
struct Runner {
    distance: Distance,
    state: RunnerState,
    /// Requests of this entry that it holds.
    own_in_flight: u32,
    /// The last load report and when it was received.
    report: Option<(RunnerReport, Instant)>,
    /// Until when it is excluded, since it was busy.
    backoff_until: Option<Instant>,
    /// Poison suspects of this entry that it holds.
    own_suspects: u32,
    /// Until when it is excluded for suspects.
    suspect_backoff_until: Option<Instant>,
    /// Moving average; zero before the first sample.
    seconds_per_token: f64,
    samples: u32,
}

/// Chooses among the runners of one service, with the knowledge of one entry.
#[derive(Clone, Debug)]
pub struct Chooser {
    runners: BTreeMap<RunnerId, Runner>,
    policy: Policy,
    /// Capacity of a runner that has not reported any; at least one.
    default_max_in_flight: u32,
    /// Mean of `seconds_per_token` over the runners with enough samples; zero without any.
    mean_seconds_per_token: f64,
}

impl Chooser {
    /// Returns a chooser without runners.
    ///
    /// `default_max_in_flight` is the capacity of a runner that has not reported any.
    pub fn new(policy: Policy, default_max_in_flight: u32) -> Self {
        Self {
            runners: BTreeMap::new(),
            policy,
            default_max_in_flight: default_max_in_flight.max(1),
            mean_seconds_per_token: 0.0,
        }
    }

    /// Changes the capacity of runners that have not reported any.
    pub fn set_default_max_in_flight(&mut self, max: u32) {
        self.default_max_in_flight = max.max(1);
    }

    /// Adds a runner, or changes the distance of a known one.
    pub fn add(&mut self, id: RunnerId, distance: Distance) {
        self.runners
            .entry(id)
            .and_modify(|runner| runner.distance = distance)
            .or_insert(Runner {
                distance,
                state: RunnerState::Up,
                own_in_flight: 0,
                report: None,
                backoff_until: None,
                own_suspects: 0,
                suspect_backoff_until: None,
                seconds_per_token: 0.0,
                samples: 0,
            });
    }

    /// Removes a runner.
    pub fn remove(&mut self, id: &RunnerId) {
        self.runners.remove(id);
        self.update_mean_seconds_per_token();
    }

    /// Changes whether a runner may get new requests.
    pub fn set_state(&mut self, id: &RunnerId, state: RunnerState) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.state = state;
        }
    }

    /// Records a load report; the runner is no longer excluded as busy.
    pub fn record_report(&mut self, now: Instant, id: &RunnerId, report: RunnerReport) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.report = Some((report, now));
            runner.backoff_until = None;
        }
    }

    /// Records that this entry sent a request to a runner.
    pub fn record_start(&mut self, id: &RunnerId, suspect: bool) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.own_in_flight += 1;
            runner.own_suspects += u32::from(suspect);
        }
    }

    /// Records that a request of this entry ended at a runner.
    pub fn record_end(&mut self, id: &RunnerId, suspect: bool) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.own_in_flight = runner.own_in_flight.saturating_sub(1);
            let suspects = runner.own_suspects;
            runner.own_suspects = suspects.saturating_sub(u32::from(suspect));
        }
    }

    /// Records that a runner refused a request for lack of capacity, and excludes the
    /// runner for a short time: for suspects only if the request was one.
    pub fn record_busy(&mut self, now: Instant, id: &RunnerId, suspect: bool) {
        let Some(runner) = self.runners.get_mut(id) else {
            return;
        };
        if suspect {
            runner.suspect_backoff_until = Some(now + SUSPECT_BACKOFF);
        } else {
            runner.backoff_until = Some(now + BUSY_BACKOFF);
        }
    }

    /// Records how long a runner took to complete a request.
    pub fn record_duration(&mut self, id: &RunnerId, duration: Duration, cost_tokens: u32) {
        let Some(runner) = self.runners.get_mut(id) else {
            return;
        };
        let sample = duration.as_secs_f64() / f64::from(cost_tokens.max(1));
        runner.seconds_per_token = if runner.samples == 0 {
            sample
        } else {
            runner.seconds_per_token + SERVICE_TIME_WEIGHT * (sample - runner.seconds_per_token)
        };
        runner.samples = runner.samples.saturating_add(1);
        self.update_mean_seconds_per_token();
    }

    /// Returns whether any runner outside `excluded` is up, whether or not it has
    /// free capacity.
    pub fn has_live_runner(&self, excluded: &[RunnerId]) -> bool {
        self.runners
            .iter()
            .any(|(id, runner)| runner.state == RunnerState::Up && !excluded.contains(id))
    }

    /// Returns the number of runners, whatever their state.
    pub fn len(&self) -> usize {
        self.runners.len()
    }

    /// Returns whether there is no runner.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }

    /// Removes the backoffs that ended by `now`.
    pub fn clear_expired(&mut self, now: Instant) {
        for runner in self.runners.values_mut() {
            runner.backoff_until.take_if(|until| *until <= now);
            runner.suspect_backoff_until.take_if(|until| *until <= now);
        }
    }

    /// Returns when the next backoff of a busy runner ends.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.runners
            .values()
            .flat_map(|r| [r.backoff_until, r.suspect_backoff_until])
            .flatten()
            .min()
    }

    /// Chooses a runner with free capacity; returns `None` when there is none.
    pub fn choose(
        &self,
        now: Instant,
        criteria: SelectionCriteria<'_>,
        rng: &mut impl Rng,
    ) -> Option<RunnerId> {
        let eligible = |id: &RunnerId, runner: &Runner| {
            runner.state == RunnerState::Up
                && !criteria.excluded.contains(id)
                && runner.backoff_until.is_none_or(|until| until <= now)
                && (!criteria.suspect || can_take_suspect(now, runner))
                && self.in_flight(now, runner) < f64::from(self.max_in_flight(runner))
        };
        let candidates = self.runners.iter().filter(|(id, r)| eligible(id, r));
        let scan = match self.policy {
            Policy::Scan => true,
            Policy::TwoChoices => false,
            Policy::BySize => self.runners.len() <= MAX_SCANNED_RUNNERS,
        };
        if scan {
            return self.best(now, criteria, candidates, rng);
        }
        let all: Vec<_> = candidates.collect();
        if all.is_empty() {
            return None;
        }
        let pair = [0; 2].map(|_: usize| all[rng.random_range(0..all.len())]);
        let cached = criteria.cached.map(|(id, _)| id);
        let cached = all.iter().filter(|(id, _)| Some(*id) == cached).copied();
        self.best(now, criteria, cached.chain(pair), rng)
    }

    /// Returns the candidate with the lowest score, and a random one among equals.
    fn best<'a>(
        &self,
        now: Instant,
        criteria: SelectionCriteria<'_>,
        candidates: impl Iterator<Item = (&'a RunnerId, &'a Runner)>,
        rng: &mut impl Rng,
    ) -> Option<RunnerId> {
        let mut best: Option<(f64, &RunnerId)> = None;
        let mut ties = 1u32;
        for (id, runner) in candidates {
            let score = self.score(now, criteria, id, runner);
            match best {
                Some((lowest, _)) if score > lowest => {}
                Some((lowest, _)) if score == lowest => {
                    ties += 1;
                    if rng.random_range(0..ties) == 0 {
                        best = Some((score, id));
                    }
                }
                _ => {
                    best = Some((score, id));
                    ties = 1;
                }
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Returns the score of a runner for a request; lower is better.
    fn score(
        &self,
        now: Instant,
        criteria: SelectionCriteria<'_>,
        id: &RunnerId,
        runner: &Runner,
    ) -> f64 {
        let capacity = f64::from(self.max_in_flight(runner));
        let load = (self.in_flight(now, runner) + 1.0) / capacity;
        let affinity = match criteria.cached {
            Some((cached, fraction)) if cached == id => fraction * MAX_AFFINITY_BONUS,
            _ => 0.0,
        };
        load * self.slowness(runner) + distance_cost(runner.distance) - affinity
    }

    /// Estimates how many requests a runner holds now, from all entries.
    fn in_flight(&self, now: Instant, runner: &Runner) -> f64 {
        let own = f64::from(runner.own_in_flight);
        let Some((report, at)) = runner.report else {
            return own;
        };
        let others = f64::from(report.in_flight.saturating_sub(report.from_this_entry));
        let age = now.saturating_duration_since(at).as_secs_f64();
        let weight = 0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        own + others * weight
    }

    fn max_in_flight(&self, runner: &Runner) -> u32 {
        match runner.report {
            Some((report, _)) if report.max_in_flight > 0 => report.max_in_flight,
            _ => self.default_max_in_flight,
        }
    }

    /// Returns the runner's service time relative to the mean of all runners.
    fn slowness(&self, runner: &Runner) -> f64 {
        if runner.samples < MIN_SPEED_SAMPLES || self.mean_seconds_per_token <= 0.0 {
            return 1.0;
        }
        (runner.seconds_per_token / self.mean_seconds_per_token).clamp(MIN_SLOWNESS, MAX_SLOWNESS)
    }

    fn update_mean_seconds_per_token(&mut self) {
        let mut sum = 0.0;
        let mut trusted = 0u32;
        for runner in self.runners.values() {
            if runner.samples >= MIN_SPEED_SAMPLES {
                sum += runner.seconds_per_token;
                trusted += 1;
            }
        }
        self.mean_seconds_per_token = if trusted == 0 {
            0.0
        } else {
            sum / f64::from(trusted)
        };
    }
}

fn can_take_suspect(now: Instant, runner: &Runner) -> bool {
    runner.own_suspects == 0
        && runner
            .suspect_backoff_until
            .is_none_or(|until| until <= now)
}

/// Returns the part of the score for a distance, as a fraction of a runner's capacity.
fn distance_cost(distance: Distance) -> f64 {
    match distance {
        Distance::SamePlace => 0.0,
        Distance::SameRegion => 0.02,
        Distance::OtherRegion => 0.5,
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;
    use std::time::Instant;

    use rand::SeedableRng;
    use rand::rngs::SmallRng;

    use super::Chooser;
    use super::Policy;
    use super::RunnerReport;
    use super::RunnerState;
    use super::SelectionCriteria;
    use crate::fleet::Distance;
    use crate::ids::RunnerId;

    fn chooser() -> Chooser {
        let mut chooser = Chooser::new(Policy::Scan, 4);
        chooser.add("a".into(), Distance::SamePlace);
        chooser.add("b".into(), Distance::SameRegion);
        chooser
    }

    fn criteria(excluded: &[RunnerId]) -> SelectionCriteria<'_> {
        SelectionCriteria {
            cached: None,
            excluded,
            suspect: false,
        }
    }

    fn choose(chooser: &Chooser, now: Instant, excluded: &[RunnerId]) -> Option<RunnerId> {
        chooser.choose(now, criteria(excluded), &mut SmallRng::seed_from_u64(1))
    }

    #[test]
    fn own_requests_count_without_a_report() {
        let now = Instant::now();
        let mut chooser = chooser();
        assert_eq!(choose(&chooser, now, &[]), Some("a".into()));
        chooser.record_start(&"a".into(), false);
        assert_eq!(choose(&chooser, now, &[]), Some("b".into()));
    }

    #[test]
    fn load_report_loses_weight_with_age() {
        let now = Instant::now();
        let mut chooser = chooser();
        let report = RunnerReport {
            in_flight: 3,
            from_this_entry: 0,
            max_in_flight: 4,
        };
        chooser.record_report(now, &"a".into(), report);
        assert_eq!(choose(&chooser, now, &[]), Some("b".into()));
        let later = now + Duration::from_secs(10);
        assert_eq!(choose(&chooser, later, &[]), Some("a".into()));
    }

    #[test]
    fn leaving_full_busy_and_excluded_runners_are_not_chosen() {
        let now = Instant::now();
        let mut chooser = chooser();
        chooser.set_state(&"a".into(), RunnerState::Leaving);
        assert_eq!(choose(&chooser, now, &["b".into()]), None);
        for _ in 0..4 {
            chooser.record_start(&"b".into(), false);
        }
        assert_eq!(choose(&chooser, now, &[]), None);
        chooser.set_state(&"a".into(), RunnerState::Up);
        chooser.record_busy(now, &"a".into(), false);
        assert_eq!(choose(&chooser, now, &[]), None);
        assert_eq!(
            choose(&chooser, now + Duration::from_secs(1), &[]),
            Some("a".into())
        );
    }

    #[test]
    fn faster_runner_is_chosen_despite_a_higher_load() {
        let now = Instant::now();
        let mut chooser = chooser();
        for _ in 0..20 {
            chooser.record_duration(&"a".into(), Duration::from_millis(900), 1);
            chooser.record_duration(&"b".into(), Duration::from_millis(100), 1);
        }
        chooser.record_start(&"b".into(), false);
        assert_eq!(choose(&chooser, now, &[]), Some("b".into()));
    }

    #[test]
    fn runner_with_a_cached_prefix_is_chosen_despite_a_small_distance() {
        let now = Instant::now();
        let chooser = chooser();
        let cached = RunnerId::from("b");
        let criteria = SelectionCriteria {
            cached: Some((&cached, 1.0)),
            excluded: &[],
            suspect: false,
        };
        let chosen = chooser.choose(now, criteria, &mut SmallRng::seed_from_u64(1));
        assert_eq!(chosen, Some("b".into()));
    }
}
