//! Compares the product's selection of a runner with baselines and an ideal scheduler.
//!
//! A discrete-event simulation sends requests to several entries. An entry knows
//! its own requests in flight at once, and those of the other entries only from
//! delayed reports of the runners. One runner is slower than the others. The
//! simulation drives the [`Chooser`] that serves real traffic; a simulated
//! runner has a fixed number of slots.

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

/// Requests that a runner processes at a time.
const SLOTS_PER_RUNNER: u32 = 8;
/// Time that a runner of normal speed needs for an average request.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(400);
/// Speed of the slow runner, relative to the others.
const SLOW_RUNNER_SPEED: f64 = 0.4;
/// Offered load as a share of the total capacity of the runners.
const OFFERED_LOAD: f64 = 0.9;
/// Interval at which every runner reports its requests in flight.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time until a report reaches the entries.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// One-way delay between an entry and a runner.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Requests in one simulation.
const REQUEST_COUNT: usize = 60_000;

/// How a runner is selected for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    /// An ideal scheduler: one queue for all entries, and the current state and
    /// speed of every runner known without delay.
    FullKnowledge,
    /// The product's chooser, with one of its policies.
    Chooser(Policy),
    /// The runner with the fewest requests in flight from the same entry.
    LeastInFlight,
    RoundRobin,
}

impl Strategy {
    fn name(self) -> &'static str {
        match self {
            Self::FullKnowledge => "full knowledge",
            Self::Chooser(Policy::BySize) => "ours",
            Self::Chooser(Policy::Scan) => "ours, full scan",
            Self::Chooser(Policy::TwoChoices) => "ours, two choices",
            Self::LeastInFlight => "least in flight",
            Self::RoundRobin => "round robin",
        }
    }
}

/// Requests, runners and entries are referred to by their indexes.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request arrives at its entry.
    Arrived(usize),
    /// A request arrives at a runner.
    Delivered { request: usize, runner: usize },
    /// A rejection by a full runner arrives at the entry.
    Rejected { request: usize, runner: usize },
    /// A runner completes a request.
    Finished { request: usize, runner: usize },
    /// The response to a request arrives at the entry.
    ResponseReceived { request: usize, runner: usize },
    /// All runners send their reports.
    SendReports,
    /// The report of a runner arrives at all entries.
    ReportReceived { runner: usize, in_flight: u32 },
    /// An entry tries again to dispatch the requests in its queue.
    Retry(usize),
}

struct Request {
    entry: usize,
    arrived: Instant,
    /// Processing time on a runner of normal speed.
    service_time: Duration,
    started: Option<Instant>,
    finished: Option<Instant>,
}

struct Runner {
    speed: f64,
    /// Number of occupied slots.
    running: u32,
    /// Requests that wait for a slot; the chooser strategies leave it empty.
    queue: VecDeque<usize>,
    /// Requests in flight from each entry.
    in_flight_from: Vec<u32>,
}

struct Simulation {
    strategy: Strategy,
    now: Instant,
    /// Pending events by time; the number keeps events of equal time in order.
    events: BTreeMap<(Instant, u64), Event>,
    last_event_id: u64,
    requests: Vec<Request>,
    runners: Vec<Runner>,
    runner_ids: Vec<RunnerId>,
    choosers: Vec<Chooser>,
    /// The queue of each entry, used by the chooser strategies.
    waiting: Vec<VecDeque<usize>>,
    /// The single queue of [`Strategy::FullKnowledge`].
    central_queue: VecDeque<usize>,
    round_robin_index: usize,
    rng: SmallRng,
}

pub(crate) fn run(seed: u64, report: &mut Report) {
    let strategies = [
        Strategy::FullKnowledge,
        Strategy::Chooser(Policy::BySize),
        Strategy::Chooser(Policy::Scan),
        Strategy::Chooser(Policy::TwoChoices),
        Strategy::LeastInFlight,
        Strategy::RoundRobin,
    ];
    for (runners, entries) in [(16, 4), (760, 16)] {
        let mut baseline: Option<[f64; 2]> = None;
        for strategy in strategies {
            let mut simulation = Simulation::new(strategy, runners, entries, seed);
            simulation.run();
            let mut response_times = simulation.response_times_ms();
            let mut queue_times = simulation.queue_times_ms();
            let quantiles = [0.95, 0.99].map(|share| quantile(&mut response_times, share));
            let baseline = *baseline.get_or_insert(quantiles);
            for (index, name) in ["95th", "99th"].into_iter().enumerate() {
                let share = [0.95, 0.99][index];
                let label = format!("{runners} runners, {}, {name}", strategy.name());
                report.add(
                    format!("{label}: waiting"),
                    quantile(&mut queue_times, share),
                    "ms",
                    Target::None,
                );
                let target = match strategy {
                    Strategy::Chooser(Policy::BySize) => Target::AtMost(1.15),
                    _ => Target::None,
                };
                let ratio = quantiles[index] / baseline[index];
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

impl Simulation {
    fn new(strategy: Strategy, runners: usize, entries: usize, seed: u64) -> Self {
        let now = Instant::now();
        let policy = match strategy {
            Strategy::Chooser(policy) => policy,
            _ => Policy::BySize,
        };
        let runner_ids: Vec<RunnerId> = (0..runners)
            .map(|i| RunnerId::new(format!("r{i}")))
            .collect();
        let mut chooser = Chooser::new(policy, SLOTS_PER_RUNNER);
        for runner in &runner_ids {
            chooser.add(runner.clone(), Distance::SamePlace);
        }
        let speed = |index| if index == 0 { SLOW_RUNNER_SPEED } else { 1.0 };
        let mut simulation = Self {
            strategy,
            now,
            events: BTreeMap::new(),
            last_event_id: 0,
            requests: Vec::new(),
            runners: (0..runners)
                .map(|index| Runner {
                    speed: speed(index),
                    running: 0,
                    queue: VecDeque::new(),
                    in_flight_from: vec![0; entries],
                })
                .collect(),
            runner_ids,
            choosers: vec![chooser; entries],
            waiting: vec![VecDeque::new(); entries],
            central_queue: VecDeque::new(),
            round_robin_index: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        simulation.schedule_arrivals(entries);
        simulation
    }

    fn schedule_arrivals(&mut self, entries: usize) {
        let capacity: f64 =
            self.runners.iter().map(|r| r.speed).sum::<f64>() * f64::from(SLOTS_PER_RUNNER);
        let gap = MEAN_SERVICE_TIME.as_secs_f64() / (capacity * OFFERED_LOAD);
        let mut at = 0.0;
        for index in 0..REQUEST_COUNT {
            at += -gap * (1.0 - self.rng.random::<f64>()).ln();
            // Most requests take 0.35 to 1.35 times the mean, and one in twenty takes four
            // times as long.
            let long_factor = if self.rng.random::<f64>() < 0.05 {
                4.0
            } else {
                1.0
            };
            let factor = (0.35 + self.rng.random::<f64>()) * long_factor;
            let request = Request {
                entry: self.rng.random_range(0..entries),
                arrived: self.now + Duration::from_secs_f64(at),
                service_time: MEAN_SERVICE_TIME.mul_f64(factor),
                started: None,
                finished: None,
            };
            let delay = request.arrived - self.now;
            self.requests.push(request);
            self.schedule(delay, Event::Arrived(index));
        }
        self.schedule(REPORT_INTERVAL, Event::SendReports);
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.last_event_id += 1;
        self.events
            .insert((self.now + delay, self.last_event_id), event);
    }

    fn run(&mut self) {
        let mut unfinished = self.requests.len();
        while unfinished > 0 {
            let Some(((at, _), event)) = self.events.pop_first() else {
                return;
            };
            self.now = at;
            unfinished -= usize::from(matches!(event, Event::Finished { .. }));
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrived(request) => self.arrive(request),
            Event::Delivered { request, runner } => self.deliver(request, runner),
            Event::Rejected { request, runner } => {
                let entry = self.requests[request].entry;
                self.choosers[entry].record_end(&self.runner_ids[runner], false);
                self.choosers[entry].record_busy(self.now, &self.runner_ids[runner], false);
                self.waiting[entry].push_front(request);
                self.dispatch(entry);
            }
            Event::Finished { request, runner } => self.finish(request, runner),
            Event::ResponseReceived { request, runner } => {
                let entry = self.requests[request].entry;
                let response_time = self.now - self.requests[request].arrived;
                let service_time = self.requests[request]
                    .started
                    .map_or(response_time, |at| self.now - at);
                self.choosers[entry].record_end(&self.runner_ids[runner], false);
                self.choosers[entry].record_duration(&self.runner_ids[runner], service_time, 1);
                self.dispatch(entry);
            }
            Event::SendReports => {
                for runner in 0..self.runners.len() {
                    let in_flight = self.runners[runner].running;
                    self.schedule(REPORT_DELAY, Event::ReportReceived { runner, in_flight });
                }
                self.schedule(REPORT_INTERVAL, Event::SendReports);
            }
            Event::ReportReceived { runner, in_flight } => {
                for entry in 0..self.choosers.len() {
                    let report = RunnerReport {
                        in_flight,
                        from_this_entry: self.runners[runner].in_flight_from[entry].min(in_flight),
                        max_in_flight: SLOTS_PER_RUNNER,
                    };
                    self.choosers[entry].record_report(self.now, &self.runner_ids[runner], report);
                    self.dispatch(entry);
                }
            }
            Event::Retry(entry) => self.dispatch(entry),
        }
    }

    fn arrive(&mut self, request: usize) {
        let entry = self.requests[request].entry;
        match self.strategy {
            Strategy::FullKnowledge => {
                self.central_queue.push_back(request);
                self.dispatch_central();
            }
            Strategy::Chooser(_) => {
                self.waiting[entry].push_back(request);
                self.dispatch(entry);
            }
            Strategy::LeastInFlight => {
                let in_flight = |runner: &usize| self.runners[*runner].in_flight_from[entry];
                let least = (0..self.runners.len()).min_by_key(in_flight).unwrap_or(0);
                self.send(request, least);
            }
            Strategy::RoundRobin => {
                self.round_robin_index = (self.round_robin_index + 1) % self.runners.len();
                self.send(request, self.round_robin_index);
            }
        }
    }

    /// Starts requests from the central queue, each on the runner that is then
    /// least loaded for its speed, until no slot is free.
    fn dispatch_central(&mut self) {
        while let Some(request) = self.central_queue.front().copied() {
            let free =
                (0..self.runners.len()).filter(|r| self.runners[*r].running < SLOTS_PER_RUNNER);
            let load = |r: &usize| f64::from(self.runners[*r].running + 1) / self.runners[*r].speed;
            let Some(best) = free.min_by(|a, b| load(a).total_cmp(&load(b))) else {
                return;
            };
            self.central_queue.pop_front();
            self.start(request, best);
        }
    }

    /// Sends requests from an entry's queue until its chooser finds no runner.
    fn dispatch(&mut self, entry: usize) {
        if !matches!(self.strategy, Strategy::Chooser(_)) {
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
                    self.schedule(at - self.now, Event::Retry(entry));
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
        self.runners[runner].in_flight_from[entry] += 1;
        self.schedule(NETWORK_DELAY, Event::Delivered { request, runner });
    }

    fn deliver(&mut self, request: usize, runner: usize) {
        if self.runners[runner].running < SLOTS_PER_RUNNER {
            self.start(request, runner);
        } else if matches!(self.strategy, Strategy::Chooser(_)) {
            let entry = self.requests[request].entry;
            self.runners[runner].in_flight_from[entry] -= 1;
            self.schedule(NETWORK_DELAY, Event::Rejected { request, runner });
        } else {
            self.runners[runner].queue.push_back(request);
        }
    }

    fn start(&mut self, request: usize, runner: usize) {
        self.runners[runner].running += 1;
        self.requests[request].started = Some(self.now);
        let service_time = self.requests[request]
            .service_time
            .div_f64(self.runners[runner].speed);
        self.schedule(service_time, Event::Finished { request, runner });
    }

    fn finish(&mut self, request: usize, runner: usize) {
        self.requests[request].finished = Some(self.now);
        self.runners[runner].running -= 1;
        let entry = self.requests[request].entry;
        match self.strategy {
            Strategy::FullKnowledge => self.dispatch_central(),
            _ => {
                self.runners[runner].in_flight_from[entry] -= 1;
                if let Some(next) = self.runners[runner].queue.pop_front() {
                    self.start(next, runner);
                }
                self.schedule(NETWORK_DELAY, Event::ResponseReceived { request, runner });
            }
        }
    }

    /// Returns the requests after the first fifth, during which the queues fill up.
    fn after_warmup(&self) -> impl Iterator<Item = &Request> {
        self.requests.iter().skip(self.requests.len() / 5)
    }

    fn queue_times_ms(&self) -> Vec<f64> {
        let queue_times = self
            .after_warmup()
            .filter_map(|r| Some(r.started? - r.arrived));
        queue_times.map(|wait| wait.as_secs_f64() * 1e3).collect()
    }

    fn response_times_ms(&self) -> Vec<f64> {
        let response_times = self
            .after_warmup()
            .filter_map(|r| Some(r.finished? - r.arrived));
        response_times
            .map(|time| time.as_secs_f64() * 1e3)
            .collect()
    }
}
