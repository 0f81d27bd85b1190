//! The part of the pool that keeps requests in the entry's data centre while that pays.

use std::time::Duration;
use std::time::Instant;

use crate::gateway::Locality;
use crate::gateway::LocalityState;
use crate::gateway::MoveCost;
use crate::gateway::PlaceLoad;
use crate::gateway::Pool;
use crate::gateway::Preference;
use crate::gateway::pool::runner::Runner;
use crate::ids::RunnerId;

/// Requests that were sent to runners of other data centres, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Departures {
    /// The runners at home have more to do than those elsewhere.
    pub surplus: u64,
    /// No runner at home could take them.
    pub no_room: u64,
    /// A runner elsewhere was better by far: those at home fail, are slow, cold or fuller.
    pub unfit: u64,
    /// The runners were so busy that all data centres were used alike.
    pub busy: u64,
}

/// Why a request is sent to another data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Departure {
    /// It is not, or the pool does not tell data centres apart.
    None,
    Surplus,
    NoRoom,
    Unfit,
    Busy,
}

/// A runner that could take a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) id: &'a RunnerId,
    /// Its load and penalties; lower is better.
    pub(super) score: f64,
    /// By how much a runner in the other part must be better.
    pub(super) slack: f64,
}

/// Largest [`Candidate::slack`]: half of a runner's slots, and what a cold runner costs.
const MAX_SLACK: f64 = 0.5;
/// Share of failed requests from which on a runner is left out of the load of its data
/// centre: requests that fail at once look like a low load.
const MAX_FAILURE_SHARE: f64 = 0.3;

impl<'a> Candidate<'a> {
    /// Returns a candidate with so many slots. The load of runners is compared with a
    /// random difference of up to `spread` requests, and a move must be worth `margin`.
    pub(super) fn new(id: &'a RunnerId, score: f64, margin: f64, spread: f64, slots: f64) -> Self {
        Self {
            id,
            score,
            slack: ((margin + spread) / slots).min(MAX_SLACK),
        }
    }
}

/// Finds the runner with the lowest score in the preferred part of the fleet, and in the
/// other part if that has none.
pub(super) struct NearestFirst<'a> {
    preference: Option<Preference>,
    home: Option<Candidate<'a>>,
    elsewhere: Option<Candidate<'a>>,
}

impl<'a> NearestFirst<'a> {
    pub(super) fn new(locality: Option<&Locality>) -> Self {
        Self {
            preference: locality.map(Locality::preference),
            home: None,
            elsewhere: None,
        }
    }

    pub(super) fn offer(&mut self, is_home: bool, candidate: Candidate<'a>) {
        let best = match is_home {
            true => &mut self.home,
            false => &mut self.elsewhere,
        };
        if best.is_none_or(|known| candidate.score < known.score) {
            *best = Some(candidate);
        }
    }

    /// Returns the runner, and why the request leaves the data centre.
    pub(super) fn into_best(self) -> Option<(&'a RunnerId, Departure)> {
        let Self {
            preference,
            home,
            elsewhere,
        } = self;
        let Some(home) = home else {
            let departure = preference.map_or(Departure::None, |_| Departure::NoRoom);
            return elsewhere.map(|elsewhere| (elsewhere.id, departure));
        };
        let Some(elsewhere) = elsewhere else {
            return Some((home.id, Departure::None));
        };
        let gain = home.score - elsewhere.score;
        Some(match preference {
            None if gain > 0.0 => (elsewhere.id, Departure::None),
            Some(Preference::Anywhere) if gain > 0.0 => (elsewhere.id, Departure::Busy),
            None | Some(Preference::Anywhere) => (home.id, Departure::None),
            Some(Preference::Elsewhere) if -gain > elsewhere.slack => (home.id, Departure::None),
            Some(Preference::Elsewhere) => (elsewhere.id, Departure::Surplus),
            Some(Preference::Home) if gain > home.slack => (elsewhere.id, Departure::Unfit),
            Some(Preference::Home) => (home.id, Departure::None),
        })
    }
}

impl Pool {
    /// Sets what a move to another data centre costs; `None` if the service's runners are
    /// chosen without regard to their data centre.
    pub fn set_move_cost(&mut self, now: Instant, cost: Option<MoveCost>) {
        match (&mut self.locality, cost) {
            (Some(locality), Some(cost)) => locality.set_cost(cost),
            (locality, cost) => *locality = cost.map(|cost| Locality::new(now, cost)),
        }
    }

    /// Returns how many requests leave the data centre, if the pool decides that.
    pub fn locality(&self) -> Option<LocalityState> {
        self.locality.as_ref().map(Locality::state)
    }

    /// Returns the requests that have left the data centre so far.
    pub fn departures(&self) -> Departures {
        self.departures
    }

    pub(super) fn adapt_locality(&mut self, now: Instant) {
        if !self
            .locality
            .as_ref()
            .is_some_and(|known| known.is_due(now))
        {
            return;
        }
        let Some((home, elsewhere)) = self.place_loads(now) else {
            return;
        };
        let stay = self.mean_stay();
        if let Some(locality) = &mut self.locality {
            locality.adapt(now, home, elsewhere, stay);
        }
    }

    /// Returns the load of the runners in the data centre and of the others, by reports if
    /// there are any. Returns `None` if only one of the two has reports: requests of other
    /// entries would count in one of them only.
    fn place_loads(&self, now: Instant) -> Option<(PlaceLoad, PlaceLoad)> {
        let reported = self.loads_where(now, |runner| runner.fresh_report(now).is_some());
        match (reported.0.runners > 0, reported.1.runners > 0) {
            (true, true) => Some(reported),
            (false, false) => Some(self.loads_where(now, |_| true)),
            (true, false) | (false, true) => None,
        }
    }

    fn loads_where(
        &self,
        now: Instant,
        is_counted: impl Fn(&Runner) -> bool,
    ) -> (PlaceLoad, PlaceLoad) {
        let (mut home, mut elsewhere) = (PlaceLoad::default(), PlaceLoad::default());
        let is_fit = |runner: &&Runner| {
            runner.accepts_requests(now)
                && !runner.health.is_ejected(now)
                && runner.health.failure_share(now) < MAX_FAILURE_SHARE
        };
        let runners = self.runners.values().filter(is_fit);
        for runner in runners.filter(|runner| is_counted(runner)) {
            let load = match runner.listed.place == self.place {
                true => &mut home,
                false => &mut elsewhere,
            };
            load.add(runner.listed.slots, runner.total_requests(now));
        }
        (home, elsewhere)
    }

    /// Returns the mean time that a request stays at a runner, by Little's law; `None` as
    /// long as none has ended.
    fn mean_stay(&self) -> Option<Duration> {
        let in_flight: u32 = self.runners.values().map(Runner::in_flight).sum();
        let rate = self.completion_rate.at_last_event();
        let stay = f64::from(in_flight) / rate;
        (rate > 0.0)
            .then(|| Duration::try_from_secs_f64(stay).ok())
            .flatten()
    }

    pub(super) fn record_departure(&mut self, departure: Departure) {
        match departure {
            Departure::None => {}
            Departure::Surplus => self.departures.surplus += 1,
            Departure::NoRoom => self.departures.no_room += 1,
            Departure::Unfit => self.departures.unfit += 1,
            Departure::Busy => self.departures.busy += 1,
        }
        if let Some(locality) = &mut self.locality {
            locality.record_sent(departure != Departure::None);
        }
    }
}
