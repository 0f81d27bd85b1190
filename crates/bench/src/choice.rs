//! Choice of runner: ours beside baselines and beside full knowledge.
//!
//! Requests come to several entries; each knows its own at once and the others'
//! by reports that lag. One runner is slow. The experiment drives the serving
//! `Chooser`; runners are queues with a fixed number of slots.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriawick_core::fleet::Distance;
use wisteriawick_core::ids::RunnerId;
use wisteriawick_core::router::Chooser;
use wisteriawick_core::router::Policy;
use wisteriawick_core::router::RunnerReport;
use wisteriawick_core::router::SelectionCriteria;

use crate::report::Report;
use crate::report::Target;
use crate::report::quantile;

/// Requests that one runner runs at a time.
const SLOTS: u32 = 8;
/// Mean time of a run on a normal runner.
const SERVICE: Duration = Duration::from_millis(400);
/// Speed of the slow runner.
const SLOW: f64 = 0.4;
/// Share of the capacity that is asked for.
const LOAD: f64 = 0.9;
const REPORT_EVERY: Duration = Duration::from_millis(250);
const REPORT_LAG: Duration = Duration::from_millis(50);
const HOP: Duration = Duration::from_millis(1);
/// Requests of a run.
const REQUESTS: usize = 60_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    FullKnowledge,
    Ours(Policy),
    LeastInFlight,
    RoundRobin,
}

impl Way {
    fn name(self) -> &'static str {
        match self {
            Self::FullKnowledge => "full knowledge",
            Self::Ours(Policy::BySize) => "ours",
            Self::Ours(Policy::Scan) => "ours, full scan",
            Self::Ours(Policy::TwoChoices) => "ours, two choices",
            Self::LeastInFlight => "least in flight",
            Self::RoundRobin => "round robin",
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(usize),
    /// A request reaches a runner.
    Reach {
        request: usize,
        runner: usize,
    },
    /// A runner's refusal reaches the entry.
    Refused {
        request: usize,
        runner: usize,
    },
    Done {
        request: usize,
        runner: usize,
    },
    Told {
        request: usize,
        runner: usize,
    },
    Reports,
    Report {
        runner: usize,
        in_flight: u32,
    },
    Retry(usize),
}

struct Request {
    entry: usize,
    at: Instant,
    service: Duration,
    started: Option<Instant>,
    ended: Option<Instant>,
}

struct Runner {
    speed: f64,
    running: u32,
    queue: VecDeque<usize>,
    from_entry: Vec<u32>,
}

struct Experiment {
    way: Way,
    now: Instant,
    queue: BTreeMap<(Instant, u64), Event>,
    next: u64,
    requests: Vec<Request>,
    runners: Vec<Runner>,
    names: Vec<RunnerId>,
    choosers: Vec<Chooser>,
    /// Requests that wait at an entry.
    waiting: Vec<VecDeque<usize>>,
    /// Requests that wait with full knowledge.
    central: VecDeque<usize>,
    turn: usize,
    rng: SmallRng,
}

pub(crate) fn run(seed: u64, report: &mut Report) {
    let ways = [
        Way::FullKnowledge,
        Way::Ours(Policy::BySize),
        Way::Ours(Policy::Scan),
        Way::Ours(Policy::TwoChoices),
        Way::LeastInFlight,
        Way::RoundRobin,
    ];
    for (runners, entries) in [(16, 4), (760, 16)] {
        let mut best: Option<[f64; 2]> = None;
        for way in ways {
            let mut experiment = Experiment::new(way, runners, entries, seed);
            experiment.run();
            let mut responses = experiment.responses_ms();
            let mut waits = experiment.waits_ms();
            let shares = [0.95, 0.99].map(|share| quantile(&mut responses, share));
            let best = *best.get_or_insert(shares);
            for (index, name) in ["95th", "99th"].into_iter().enumerate() {
                let share = [0.95, 0.99][index];
                let label = format!("{runners} runners, {}, {name}", way.name());
                report.add(
                    format!("{label}: waiting"),
                    quantile(&mut waits, share),
                    "ms",
                    Target::None,
                );
                let target = match way {
                    Way::Ours(Policy::BySize) => Target::AtMost(1.15),
                    _ => Target::None,
                };
                let ratio = shares[index] / best[index];
                report.add(
                    format!("{label}: answer over full knowledge"),
                    ratio,
                    "ratio",
                    target,
                );
            }
        }
    }
}

impl Experiment {
    fn new(way: Way, runners: usize, entries: usize, seed: u64) -> Self {
        let now = Instant::now();
        let policy = match way {
            Way::Ours(policy) => policy,
            _ => Policy::BySize,
        };
        let names: Vec<RunnerId> = (0..runners)
            .map(|i| RunnerId::new(format!("r{i}")))
            .collect();
        let mut chooser = Chooser::new(policy, SLOTS);
        for name in &names {
            chooser.add(name.clone(), Distance::SamePlace);
        }
        let speed = |index| if index == 0 { SLOW } else { 1.0 };
        let mut experiment = Self {
            way,
            now,
            queue: BTreeMap::new(),
            next: 0,
            requests: Vec::new(),
            runners: (0..runners)
                .map(|index| Runner {
                    speed: speed(index),
                    running: 0,
                    queue: VecDeque::new(),
                    from_entry: vec![0; entries],
                })
                .collect(),
            names,
            choosers: vec![chooser; entries],
            waiting: vec![VecDeque::new(); entries],
            central: VecDeque::new(),
            turn: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        experiment.plan_arrivals(entries);
        experiment
    }

    fn plan_arrivals(&mut self, entries: usize) {
        let capacity: f64 = self.runners.iter().map(|r| r.speed).sum::<f64>() * f64::from(SLOTS);
        let gap = SERVICE.as_secs_f64() / (capacity * LOAD);
        let mut at = 0.0;
        for index in 0..REQUESTS {
            at += -gap * (1.0 - self.rng.random::<f64>()).ln();
            // Between a half and one and a half times the mean, and now and then long.
            let long = if self.rng.random::<f64>() < 0.05 {
                4.0
            } else {
                1.0
            };
            let factor = (0.35 + self.rng.random::<f64>()) * long;
            let request = Request {
                entry: self.rng.random_range(0..entries),
                at: self.now + Duration::from_secs_f64(at),
                service: SERVICE.mul_f64(factor),
                started: None,
                ended: None,
            };
            let pause = request.at - self.now;
            self.requests.push(request);
            self.after(pause, Event::Arrive(index));
        }
        self.after(REPORT_EVERY, Event::Reports);
    }

    fn after(&mut self, pause: Duration, event: Event) {
        self.next += 1;
        self.queue.insert((self.now + pause, self.next), event);
    }

    fn run(&mut self) {
        let mut open = self.requests.len();
        while open > 0 {
            let Some(((at, _), event)) = self.queue.pop_first() else {
                return;
            };
            self.now = at;
            open -= usize::from(matches!(event, Event::Done { .. }));
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Reach { request, runner } => self.reach(request, runner),
            Event::Refused { request, runner } => {
                let entry = self.requests[request].entry;
                self.choosers[entry].record_end(&self.names[runner], false);
                self.choosers[entry].record_busy(self.now, &self.names[runner], false);
                self.waiting[entry].push_front(request);
                self.dispatch(entry);
            }
            Event::Done { request, runner } => self.done(request, runner),
            Event::Told { request, runner } => {
                let entry = self.requests[request].entry;
                let took = self.now - self.requests[request].at;
                let service = self.requests[request]
                    .started
                    .map_or(took, |at| self.now - at);
                self.choosers[entry].record_end(&self.names[runner], false);
                self.choosers[entry].record_duration(&self.names[runner], service, 1);
                self.dispatch(entry);
            }
            Event::Reports => {
                for runner in 0..self.runners.len() {
                    let in_flight = self.runners[runner].running;
                    self.after(REPORT_LAG, Event::Report { runner, in_flight });
                }
                self.after(REPORT_EVERY, Event::Reports);
            }
            Event::Report { runner, in_flight } => {
                for entry in 0..self.choosers.len() {
                    let report = RunnerReport {
                        in_flight,
                        from_this_entry: self.runners[runner].from_entry[entry].min(in_flight),
                        max_in_flight: SLOTS,
                    };
                    self.choosers[entry].record_report(self.now, &self.names[runner], report);
                    self.dispatch(entry);
                }
            }
            Event::Retry(entry) => self.dispatch(entry),
        }
    }

    fn arrive(&mut self, request: usize) {
        let entry = self.requests[request].entry;
        match self.way {
            Way::FullKnowledge => {
                self.central.push_back(request);
                self.dispatch_central();
            }
            Way::Ours(_) => {
                self.waiting[entry].push_back(request);
                self.dispatch(entry);
            }
            Way::LeastInFlight => {
                let own = |runner: &usize| self.runners[*runner].from_entry[entry];
                let least = (0..self.runners.len()).min_by_key(own).unwrap_or(0);
                self.send(request, least);
            }
            Way::RoundRobin => {
                self.turn = (self.turn + 1) % self.runners.len();
                self.send(request, self.turn);
            }
        }
    }

    /// Starts what waits on the fastest free slots.
    fn dispatch_central(&mut self) {
        while let Some(request) = self.central.front().copied() {
            let free = (0..self.runners.len()).filter(|r| self.runners[*r].running < SLOTS);
            let load = |r: &usize| f64::from(self.runners[*r].running + 1) / self.runners[*r].speed;
            let Some(best) = free.min_by(|a, b| load(a).total_cmp(&load(b))) else {
                return;
            };
            self.central.pop_front();
            self.start(request, best);
        }
    }

    fn dispatch(&mut self, entry: usize) {
        if !matches!(self.way, Way::Ours(_)) {
            return;
        }
        while let Some(request) = self.waiting[entry].front().copied() {
            let criteria = SelectionCriteria {
                cached: None,
                excluded: &[],
                suspect: false,
            };
            let chosen = self.choosers[entry].choose(self.now, criteria, &mut self.rng);
            let Some(runner) = chosen else {
                if let Some(at) = self.choosers[entry].next_deadline()
                    && at > self.now
                {
                    self.after(at - self.now, Event::Retry(entry));
                }
                self.choosers[entry].clear_expired(self.now);
                return;
            };
            self.waiting[entry].pop_front();
            self.choosers[entry].record_start(&runner, false);
            let index = runner.as_str()[1..].parse().unwrap_or(0);
            self.send(request, index);
        }
    }

    fn send(&mut self, request: usize, runner: usize) {
        let entry = self.requests[request].entry;
        self.runners[runner].from_entry[entry] += 1;
        self.after(HOP, Event::Reach { request, runner });
    }

    fn reach(&mut self, request: usize, runner: usize) {
        if self.runners[runner].running < SLOTS {
            self.start(request, runner);
        } else if matches!(self.way, Way::Ours(_)) {
            let entry = self.requests[request].entry;
            self.runners[runner].from_entry[entry] -= 1;
            self.after(HOP, Event::Refused { request, runner });
        } else {
            self.runners[runner].queue.push_back(request);
        }
    }

    fn start(&mut self, request: usize, runner: usize) {
        self.runners[runner].running += 1;
        self.requests[request].started = Some(self.now);
        let service = self.requests[request]
            .service
            .div_f64(self.runners[runner].speed);
        self.after(service, Event::Done { request, runner });
    }

    fn done(&mut self, request: usize, runner: usize) {
        self.requests[request].ended = Some(self.now);
        self.runners[runner].running -= 1;
        let entry = self.requests[request].entry;
        match self.way {
            Way::FullKnowledge => self.dispatch_central(),
            _ => {
                self.runners[runner].from_entry[entry] -= 1;
                if let Some(next) = self.runners[runner].queue.pop_front() {
                    self.start(next, runner);
                }
                self.after(HOP, Event::Told { request, runner });
            }
        }
    }

    /// Skips the first fifth, while the experiment fills up.
    fn settled(&self) -> impl Iterator<Item = &Request> {
        self.requests.iter().skip(self.requests.len() / 5)
    }

    fn waits_ms(&self) -> Vec<f64> {
        let waits = self.settled().filter_map(|r| Some(r.started? - r.at));
        waits.map(|wait| wait.as_secs_f64() * 1e3).collect()
    }

    fn responses_ms(&self) -> Vec<f64> {
        let responses = self.settled().filter_map(|r| Some(r.ended? - r.at));
        responses.map(|time| time.as_secs_f64() * 1e3).collect()
    }
}
