//! Which runner gets a request.
//!
//! A score in units of a full runner: load, scaled by how slow the runner is,
//! plus distance, less what a cached prefix saves. An entry's own requests
//! count at once; what others sent is known from reports that age.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;

use crate::fleet::Distance;
use crate::ids::RunnerId;

/// Runners up to which `Policy::BySize` scores every one.
const SCAN_MAX: usize = 64;
/// Age at which a report's news counts for a half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// How long a runner that answered "busy" is passed over.
const BUSY_BACKOFF: Duration = Duration::from_millis(20);
/// How long a runner that runs another suspect is passed over for suspects.
const SUSPECT_BACKOFF: Duration = Duration::from_millis(100);
/// Share of a full runner that a wholly cached prompt is worth.
const AFFINITY_WORTH: f64 = 0.25;
/// Weight of the newest sample in a runner's mean service time.
const SERVICE_TIME_GAIN: f64 = 0.1;
/// Samples before a runner's speed is trusted.
const MIN_SPEED_SAMPLES: u32 = 8;
/// Bounds of a runner's slowness relative to the mean of all.
const SLOWNESS_MIN: f64 = 0.5;
const SLOWNESS_MAX: f64 = 8.0;

/// How a runner is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Scans a small service and draws two in a large one, where entries that
    /// scan by the same late reports would all choose the same runners.
    #[default]
    BySize,
    /// Scores every runner.
    Scan,
    /// Scores two runners drawn at random, and the one with a cached prefix.
    TwoChoices,
}

/// Whether a runner may get new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunnerState {
    /// It may.
    #[default]
    Up,
    /// It is not heard of, or its endpoint is down.
    Suspect,
    /// It finishes what it has.
    Leaving,
}

/// What an agent says about its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerReport {
    /// Requests that the endpoint holds, from all entries.
    pub in_flight: u32,
    /// Those of them that came from the entry that reads this.
    pub from_this_entry: u32,
    /// How many the agent admits at a time.
    pub max_in_flight: u32,
}

/// What the choice has to respect.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// Runner with a cached prefix and its share of the prompt.
    pub cached: Option<(&'a RunnerId, f64)>,
    /// Runners that must not be chosen.
    pub excluded: &'a [RunnerId],
    /// Whether the runner must have no other suspect.
    pub suspect: bool,
}

#[derive(Clone, Debug)]
struct Runner {
    distance: Distance,
    state: RunnerState,
    own_in_flight: u32,
    report: Option<(RunnerReport, Instant)>,
    busy_until: Option<Instant>,
    /// Suspects of this entry that it runs.
    own_suspects: u32,
    /// Until when it is passed over for suspects.
    suspect_busy_until: Option<Instant>,
    /// Mean seconds per token; zero before the first sample.
    seconds_per_token: f64,
    samples: u32,
}

/// The runners of one service, as one entry sees them.
#[derive(Clone, Debug)]
pub struct Chooser {
    runners: BTreeMap<RunnerId, Runner>,
    policy: Policy,
    /// Requests that one runner may hold when it has not reported; at least one.
    default_max: u32,
    /// Mean of `seconds_per_token` over trusted runners; zero when none is.
    mean_speed: f64,
}

impl Chooser {
    /// Returns a chooser without runners.
    pub fn new(policy: Policy, default_max: u32) -> Self {
        Self {
            runners: BTreeMap::new(),
            policy,
            default_max: default_max.max(1),
            mean_speed: 0.0,
        }
    }

    /// Changes how many requests a silent runner may hold.
    pub fn set_default_max(&mut self, max: u32) {
        self.default_max = max.max(1);
    }

    /// Adds a runner, or changes how far it is.
    pub fn add(&mut self, id: RunnerId, distance: Distance) {
        self.runners
            .entry(id)
            .and_modify(|runner| runner.distance = distance)
            .or_insert(Runner {
                distance,
                state: RunnerState::Up,
                own_in_flight: 0,
                report: None,
                busy_until: None,
                own_suspects: 0,
                suspect_busy_until: None,
                seconds_per_token: 0.0,
                samples: 0,
            });
    }

    /// Removes a runner that is gone.
    pub fn remove(&mut self, id: &RunnerId) {
        self.runners.remove(id);
        self.update_mean_speed();
    }

    /// Changes whether a runner may get new work.
    pub fn set_state(&mut self, id: &RunnerId, state: RunnerState) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.state = state;
        }
    }

    /// Takes a report of a runner's load.
    pub fn record_report(&mut self, now: Instant, id: &RunnerId, report: RunnerReport) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.report = Some((report, now));
            runner.busy_until = None;
        }
    }

    /// Records that the entry sent a request to a runner.
    pub fn record_start(&mut self, id: &RunnerId, suspect: bool) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.own_in_flight += 1;
            runner.own_suspects += u32::from(suspect);
        }
    }

    /// Records that a request of the entry left a runner.
    pub fn record_end(&mut self, id: &RunnerId, suspect: bool) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.own_in_flight = runner.own_in_flight.saturating_sub(1);
            let suspects = runner.own_suspects;
            runner.own_suspects = suspects.saturating_sub(u32::from(suspect));
        }
    }

    /// Records that a runner refused for want of room.
    pub fn record_busy(&mut self, now: Instant, id: &RunnerId, suspect: bool) {
        let Some(runner) = self.runners.get_mut(id) else {
            return;
        };
        if suspect {
            runner.suspect_busy_until = Some(now + SUSPECT_BACKOFF);
        } else {
            runner.busy_until = Some(now + BUSY_BACKOFF);
        }
    }

    /// Records how long a run took.
    pub fn record_duration(&mut self, id: &RunnerId, took: Duration, cost_tokens: u32) {
        let Some(runner) = self.runners.get_mut(id) else {
            return;
        };
        let sample = took.as_secs_f64() / f64::from(cost_tokens.max(1));
        runner.seconds_per_token = if runner.samples == 0 {
            sample
        } else {
            runner.seconds_per_token + SERVICE_TIME_GAIN * (sample - runner.seconds_per_token)
        };
        runner.samples = runner.samples.saturating_add(1);
        self.update_mean_speed();
    }

    /// Returns whether any runner takes work at all, full or not.
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

    /// Forgets which runners were passed over until now.
    pub fn clear_expired(&mut self, now: Instant) {
        for runner in self.runners.values_mut() {
            runner.busy_until.take_if(|until| *until <= now);
            runner.suspect_busy_until.take_if(|until| *until <= now);
        }
    }

    /// Returns when a runner that was passed over as busy may be asked again.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.runners
            .values()
            .flat_map(|r| [r.busy_until, r.suspect_busy_until])
            .flatten()
            .min()
    }

    /// Chooses a runner with room; `None` when there is none.
    pub fn choose(
        &self,
        now: Instant,
        criteria: SelectionCriteria<'_>,
        rng: &mut impl Rng,
    ) -> Option<RunnerId> {
        let eligible = |id: &RunnerId, runner: &Runner| {
            runner.state == RunnerState::Up
                && !criteria.excluded.contains(id)
                && runner.busy_until.is_none_or(|until| until <= now)
                && (!criteria.suspect || takes_suspect(now, runner))
                && self.in_flight(now, runner) < f64::from(self.max_in_flight(runner))
        };
        let candidates = self.runners.iter().filter(|(id, r)| eligible(id, r));
        let scan = match self.policy {
            Policy::Scan => true,
            Policy::TwoChoices => false,
            Policy::BySize => self.runners.len() <= SCAN_MAX,
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
                Some((least, _)) if score > least => {}
                Some((least, _)) if score == least => {
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

    fn score(
        &self,
        now: Instant,
        criteria: SelectionCriteria<'_>,
        id: &RunnerId,
        runner: &Runner,
    ) -> f64 {
        let room = f64::from(self.max_in_flight(runner));
        let load = (self.in_flight(now, runner) + 1.0) / room;
        let affinity = match criteria.cached {
            Some((cached, share)) if cached == id => share * AFFINITY_WORTH,
            _ => 0.0,
        };
        load * self.slowness(runner) + distance_cost(runner.distance) - affinity
    }

    /// Estimates how many requests a runner holds now.
    fn in_flight(&self, now: Instant, runner: &Runner) -> f64 {
        let own = f64::from(runner.own_in_flight);
        let Some((report, at)) = runner.report else {
            return own;
        };
        let others = f64::from(report.in_flight.saturating_sub(report.from_this_entry));
        let age = now.saturating_duration_since(at).as_secs_f64();
        let trust = 0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        own + others * trust
    }

    fn max_in_flight(&self, runner: &Runner) -> u32 {
        match runner.report {
            Some((report, _)) if report.max_in_flight > 0 => report.max_in_flight,
            _ => self.default_max,
        }
    }

    fn slowness(&self, runner: &Runner) -> f64 {
        if runner.samples < MIN_SPEED_SAMPLES || self.mean_speed <= 0.0 {
            return 1.0;
        }
        (runner.seconds_per_token / self.mean_speed).clamp(SLOWNESS_MIN, SLOWNESS_MAX)
    }

    fn update_mean_speed(&mut self) {
        let mut sum = 0.0;
        let mut trusted = 0u32;
        for runner in self.runners.values() {
            if runner.samples >= MIN_SPEED_SAMPLES {
                sum += runner.seconds_per_token;
                trusted += 1;
            }
        }
        self.mean_speed = if trusted == 0 {
            0.0
        } else {
            sum / f64::from(trusted)
        };
    }
}

fn takes_suspect(now: Instant, runner: &Runner) -> bool {
    runner.own_suspects == 0 && runner.suspect_busy_until.is_none_or(|until| until <= now)
}

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
    fn own_requests_count_at_once() {
        let now = Instant::now();
        let mut chooser = chooser();
        assert_eq!(choose(&chooser, now, &[]), Some("a".into()));
        chooser.record_start(&"a".into(), false);
        assert_eq!(choose(&chooser, now, &[]), Some("b".into()));
    }

    #[test]
    fn a_report_loses_weight_with_age() {
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
    fn leaving_suspect_full_and_excluded_runners_are_never_chosen() {
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
    fn a_slow_runner_gets_less() {
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
    fn a_cached_prefix_wins_between_equals() {
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
