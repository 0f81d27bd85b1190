//! Requests stay in their data centre while that pays, and only the surplus leaves.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::EngineModel;
use wisteriawick_core::gateway::GroupReport;
use wisteriawick_core::gateway::LoadReport;
use wisteriawick_core::gateway::MoveCost;
use wisteriawick_core::gateway::PlaceDelay;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::gateway::PoolLimits;
use wisteriawick_core::gateway::QueuedRequest;
use wisteriawick_core::gateway::QueuedRequestId;
use wisteriawick_core::gateway::RequestSize;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::hosting::ListedState;
use wisteriawick_core::ids::RunnerId;

const PLACES: [&str; 3] = ["east", "north", "west"];
const RUNNERS_PER_PLACE: usize = 8;
const SLOTS: u32 = 10;
const STEP: Duration = Duration::from_millis(10);
/// Steps for which a request usually stays at its runner.
const STAY_STEPS: u64 = 150;
/// Steps between two reports of load.
const REPORT_STEPS: u64 = 15;
const LIMITS: PoolLimits = PoolLimits {
    max_per_runner: SLOTS - 1,
    max_without_report: 3,
    has_groups: true,
    max_pass_time: None,
    max_queued: 256,
    max_wait_share: 0.5,
};

/// One entry in each data centre, all before the same runners, with recorded arrivals.
struct Fleet {
    start: Instant,
    step: u64,
    entries: Vec<Pool>,
    /// Fraction of a request that is still to arrive at each entry.
    due: [f64; PLACES.len()],
    running: Vec<Running>,
    reports: bool,
    /// Data centres whose runners nobody reports on.
    silent_places: Vec<usize>,
    /// Steps for which a request stays at its runner.
    stay: u64,
    sent: u64,
    left: u64,
    refused: u64,
    /// Share of the first entry's requests that leaves, by step.
    shares: Vec<f64>,
}

struct Running {
    entry: usize,
    runner: RunnerId,
    until: u64,
}

fn runner(place: usize, n: usize) -> ListedRunner {
    ListedRunner {
        id: format!("{}-{n}", PLACES[place]).as_str().into(),
        service: "s".into(),
        address: ([127, 0, place as u8, n as u8 + 1], 80).into(),
        place: PLACES[place].into(),
        slots: SLOTS,
        state: ListedState::Ready,
        cold_remaining: Duration::ZERO,
        sequence: None,
        started_unix_ms: Some(1),
    }
}

fn runners_of(places: &[(usize, usize)]) -> Vec<ListedRunner> {
    let runners = places
        .iter()
        .flat_map(|(place, count)| (0..*count).map(|n| runner(*place, n)));
    runners.collect()
}

fn delays() -> Vec<PlaceDelay> {
    let between = |from: usize, to: usize| PlaceDelay {
        from: PLACES[from].into(),
        to: PLACES[to].into(),
        delay: Duration::from_millis(1),
    };
    vec![between(0, 1), between(0, 2), between(1, 2)]
}

impl Fleet {
    fn new(runners: &[(usize, usize)], reports: bool) -> Self {
        let start = Instant::now();
        let entry = |(n, place): (usize, &&str)| {
            let home = (*place).into();
            let mut pool = Pool::new(start, (*place).into(), LIMITS, n as u64);
            pool.set_move_cost(start, MoveCost::new(&home, &delays(), None));
            pool.set_runners(start, runners_of(runners));
            pool
        };
        Self {
            start,
            step: 0,
            entries: PLACES.iter().enumerate().map(entry).collect(),
            due: [0.0; PLACES.len()],
            running: Vec::new(),
            reports,
            silent_places: Vec::new(),
            stay: STAY_STEPS,
            sent: 0,
            left: 0,
            refused: 0,
            shares: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.step as u32
    }

    fn set_runners(&mut self, runners: &[(usize, usize)]) {
        let now = self.now();
        let listed = runners_of(runners);
        for entry in &mut self.entries {
            entry.set_runners(now, listed.clone());
        }
        let is_listed = |id: &RunnerId| listed.iter().any(|runner| runner.id == *id);
        let (kept, lost): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|request| is_listed(&request.runner));
        self.running = kept;
        for request in lost {
            self.entries[request.entry].request_ended(now, &request.runner, RunnerOutcome::Failed);
        }
    }

    /// Plays a time with demands in requests per second by data centre; counts start at zero.
    fn play(&mut self, time: Duration, demand: impl Fn(f64) -> [f64; 3]) {
        (self.sent, self.left, self.refused) = (0, 0, 0);
        self.shares.clear();
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.step += 1;
            self.end_requests();
            if self.reports && self.step.is_multiple_of(REPORT_STEPS) {
                self.report_loads();
            }
            let seconds = self.step as f64 * STEP.as_secs_f64();
            let demands = demand(seconds);
            for (entry, demand) in demands.into_iter().enumerate() {
                self.due[entry] += demand * STEP.as_secs_f64();
                while self.due[entry] >= 1.0 {
                    self.due[entry] -= 1.0;
                    self.arrive(entry);
                }
            }
            self.shares.push(self.share(0));
        }
    }

    fn end_requests(&mut self) {
        let now = self.now();
        let step = self.step;
        let is_over = |request: &Running| request.until <= step;
        let (over, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(is_over);
        self.running = running;
        for request in over {
            self.entries[request.entry].request_ended(now, &request.runner, RunnerOutcome::Served);
        }
    }

    fn report_loads(&mut self) {
        let now = self.now();
        let reported = (0..PLACES.len()).filter(|place| !self.silent_places.contains(place));
        for place in reported {
            for n in 0..RUNNERS_PER_PLACE {
                let runner = runner(place, n);
                let at_runner = |request: &&Running| request.runner == runner.id;
                let report = LoadReport {
                    running: self.running.iter().filter(at_runner).count() as u32,
                    waiting: 0,
                    slowdown: 1.0,
                    group: Some(GroupReport {
                        name: "g".into(),
                        is_open: true,
                        pass_time: Duration::from_millis(40),
                    }),
                };
                for entry in &mut self.entries {
                    entry.update_load(now, runner.address, &report);
                }
            }
        }
    }

    fn arrive(&mut self, entry: usize) {
        let now = self.now();
        let request = QueuedRequest {
            queue_id: QueuedRequestId(self.step),
            priority: 1,
            response_due: now,
            deadline: now + STEP / 2,
            excluded: Vec::new(),
            workspace: None,
            size: RequestSize::default(),
        };
        match self.entries[entry].admit(now, request) {
            Admission::Run(selection) => {
                self.sent += 1;
                self.left += u64::from(selection.runner.place.as_str() != PLACES[entry]);
                self.entries[entry].response_began(now, &selection.runner.id);
                self.running.push(Running {
                    entry,
                    runner: selection.runner.id,
                    until: self.step + self.stay,
                });
            }
            _ => self.refused += 1,
        }
    }

    fn share(&self, entry: usize) -> f64 {
        self.entries[entry]
            .locality()
            .expect("delays are declared")
            .share
    }

    fn left_share(&self) -> f64 {
        self.left as f64 / self.sent.max(1) as f64
    }

    /// Returns the requests per runner in each data centre.
    fn loads(&self) -> [f64; 3] {
        PLACES.map(|place| {
            let at_place = |request: &&Running| request.runner.as_str().starts_with(place);
            self.running.iter().filter(at_place).count() as f64 / RUNNERS_PER_PLACE as f64
        })
    }
}

const ALL: [(usize, usize); 3] = [
    (0, RUNNERS_PER_PLACE),
    (1, RUNNERS_PER_PLACE),
    (2, RUNNERS_PER_PLACE),
];

#[test]
fn equal_demand_stays_at_home() {
    let mut fleet = Fleet::new(&ALL, true);
    fleet.play(Duration::from_secs(20), |_| [25.0, 25.0, 25.0]);
    assert!(fleet.left_share() < 0.05, "{} left", fleet.left_share());
    assert_eq!(fleet.refused, 0);
}

/// One data centre has three times the demand of the others. Its runners bear it, but they
/// would have six requests each and the others two, and in a group all wait for them.
#[test]
fn only_the_surplus_leaves() {
    let mut fleet = Fleet::new(&ALL, true);
    let demand = |_| [36.0, 12.0, 12.0];
    fleet.play(Duration::from_secs(30), demand);
    fleet.play(Duration::from_secs(30), demand);
    let [home, north, west] = fleet.loads();
    assert!(home - (north + west) / 2.0 < 2.5, "{:?}", fleet.loads());
    let left = fleet.left_share();
    assert!((0.1..0.4).contains(&left), "{left} left");
}

/// Under steady load the share settles: it stays within a band for a minute.
#[test]
fn the_share_does_not_oscillate() {
    let mut fleet = Fleet::new(&ALL, true);
    let demand = |_| [36.0, 12.0, 12.0];
    fleet.play(Duration::from_secs(60), demand);
    fleet.play(Duration::from_secs(60), demand);
    let least = fleet.shares.iter().copied().fold(1.0, f64::min);
    let greatest = fleet.shares.iter().copied().fold(0.0, f64::max);
    assert!(greatest - least < 0.2, "between {least} and {greatest}");
    fleet.shares.dedup();
    let turns = fleet
        .shares
        .windows(3)
        .filter(|share| (share[1] - share[0]) * (share[2] - share[1]) < 0.0)
        .count();
    assert!(turns <= 12, "{turns} turns in a minute");
}

/// Waves of demand with phases a third of a period apart.
#[test]
fn waves_out_of_phase_are_served_without_a_refusal() {
    let mut fleet = Fleet::new(&ALL, true);
    let wave = |at: f64, phase: f64| {
        let angle = (at / 11.0 + phase) * std::f64::consts::TAU;
        22.0 * (1.0 + 0.55 * angle.sin())
    };
    fleet.play(Duration::from_secs(44), |at| {
        [wave(at, 0.0), wave(at, 0.33), wave(at, 0.67)]
    });
    assert_eq!(fleet.refused, 0);
    let left = fleet.left_share();
    assert!(left < 0.4, "{left} left");
}

/// In a group all ranks wait for the fullest one, so busy runners are used alike.
#[test]
fn busy_runners_are_used_without_regard_to_their_data_centre() {
    let mut fleet = Fleet::new(&ALL, true);
    fleet.play(Duration::from_secs(30), |_| [60.0, 24.0, 24.0]);
    fleet.play(Duration::from_secs(30), |_| [60.0, 24.0, 24.0]);
    let left = fleet.left_share();
    assert!((0.55..0.75).contains(&left), "{left} left, of two thirds");
    fleet.play(Duration::from_secs(60), |_| [15.0, 15.0, 15.0]);
    fleet.play(Duration::from_secs(30), |_| [15.0, 15.0, 15.0]);
    assert!(fleet.left_share() < 0.05, "{} left", fleet.left_share());
}

/// Half of a data centre is lost, and comes back.
#[test]
fn what_the_rest_of_a_data_centre_cannot_bear_leaves_and_returns() {
    let mut fleet = Fleet::new(&ALL, true);
    let demand = |_| [30.0, 15.0, 15.0];
    fleet.play(Duration::from_secs(20), demand);
    let half = [
        (0, RUNNERS_PER_PLACE / 2),
        (1, RUNNERS_PER_PLACE),
        (2, RUNNERS_PER_PLACE),
    ];
    fleet.set_runners(&half);
    fleet.play(Duration::from_secs(30), demand);
    assert_eq!(fleet.refused, 0);
    assert!(fleet.share(0) > 0.3, "share {}", fleet.share(0));
    fleet.set_runners(&ALL);
    fleet.play(Duration::from_secs(40), |_| [15.0, 15.0, 15.0]);
    assert!(fleet.share(0) < 0.05, "share {}", fleet.share(0));
}

#[test]
fn all_leave_while_a_data_centre_has_no_runner() {
    let mut fleet = Fleet::new(&ALL[1..], true);
    fleet.play(Duration::from_secs(10), |_| [20.0, 0.0, 0.0]);
    assert_eq!(fleet.refused, 0);
    assert_eq!(fleet.left, fleet.sent);
}

/// After the demand has moved away, what has left comes back, also with little demand.
#[test]
fn the_share_falls_when_its_reason_is_gone() {
    for demand in [[20.0, 20.0, 20.0], [2.0, 2.0, 2.0]] {
        let mut fleet = Fleet::new(&ALL, true);
        fleet.play(Duration::from_secs(30), |_| [40.0, 6.0, 6.0]);
        assert!(fleet.share(0) > 0.2, "share {}", fleet.share(0));
        fleet.play(Duration::from_secs(60), |_| demand);
        assert_eq!(fleet.share(0), 0.0, "with {demand:?}");
    }
}

/// The load follows a change of the share only after half a minute.
#[test]
fn long_requests_do_not_make_the_share_oscillate() {
    let mut fleet = Fleet::new(&ALL, true);
    fleet.stay = 3_000;
    let demand = |_| [1.8, 0.6, 0.6];
    fleet.play(Duration::from_secs(300), demand);
    fleet.play(Duration::from_secs(300), demand);
    let least = fleet.shares.iter().copied().fold(1.0, f64::min);
    let greatest = fleet.shares.iter().copied().fold(0.0, f64::max);
    assert!(greatest - least < 0.3, "between {least} and {greatest}");
}

/// With reports of one part only, the other would look idle.
#[test]
fn reports_of_one_part_only_change_nothing() {
    let mut fleet = Fleet::new(&ALL, true);
    fleet.play(Duration::from_secs(30), |_| [24.0, 24.0, 24.0]);
    let before = fleet.share(0);
    fleet.silent_places = vec![1, 2];
    fleet.play(Duration::from_secs(30), |_| [24.0, 24.0, 24.0]);
    assert!(
        fleet.share(0) <= before,
        "{} after {before}",
        fleet.share(0)
    );
}

/// Without reports an entry knows its own requests only. What its home cannot take leaves.
#[test]
fn an_entry_that_knows_nothing_of_the_others_serves_all() {
    let mut fleet = Fleet::new(&ALL, false);
    fleet.play(Duration::from_secs(20), |_| [24.0, 6.0, 6.0]);
    assert_eq!(fleet.refused, 0);
}

/// Of three runners of a plain service, the one at home fails every second request, which
/// does not eject it.
#[test]
fn a_failing_runner_at_home_is_left() {
    let start = Instant::now();
    let home = PLACES[0].into();
    let mut pool = Pool::new(start, PLACES[0].into(), LIMITS, 1);
    pool.set_move_cost(start, MoveCost::new(&home, &delays(), None));
    pool.set_runners(start, runners_of(&[(0, 1), (1, 1), (2, 1)]));
    let mut at_home = 0;
    for n in 0..200 {
        let now = start + STEP * n;
        let request = QueuedRequest {
            queue_id: QueuedRequestId(n.into()),
            priority: 0,
            response_due: now + Duration::from_millis(200),
            deadline: now + Duration::from_secs(1),
            excluded: Vec::new(),
            workspace: None,
            size: RequestSize::default(),
        };
        let Admission::Run(selection) = pool.admit(now, request) else {
            panic!("there is room");
        };
        let is_home = selection.runner.place.as_str() == PLACES[0];
        at_home += u32::from(is_home);
        let outcome = match is_home && at_home % 2 == 0 {
            true => RunnerOutcome::ErrorResponse,
            false => RunnerOutcome::Served,
        };
        pool.request_ended(now, &selection.runner.id, outcome);
    }
    assert!(at_home < 100, "{at_home} of 200 went to the failing runner");
    assert!(pool.departures().unfit > 0);
}

fn engine() -> EngineModel {
    EngineModel {
        slots: SLOTS,
        step_ms: 5.0,
        decode_ms_per_request: 0.4,
        decode_ms_per_1k_context: 0.0,
        prefill_tokens_per_ms: 60.0,
        prefill_ms_per_1m_pairs: 0.0,
        memory_tokens: None,
        max_prefill_tokens: 512,
        steps_per_pass: 6,
        mean_prompt_tokens: 800.0,
        mean_output_tokens: 150.0,
        experts: None,
    }
}

/// Both ways of 12 ms lengthen a response as much as 0.4 requests, by 150 tokens of 0.4 ms.
#[test]
fn a_delay_is_worth_the_requests_that_lengthen_a_response_as_much() {
    let far = |ms| PlaceDelay {
        delay: Duration::from_millis(ms),
        ..delays()[0].clone()
    };
    let home = PLACES[0].into();
    let margin = |ms, engine: Option<&EngineModel>| {
        let cost = MoveCost::new(&home, &[far(ms)], engine);
        cost.expect("a delay is declared").margin()
    };
    assert_eq!(margin(12, None), 1.0);
    assert!((margin(12, Some(&engine())) - 1.4).abs() < 1e-9);
    assert_eq!(margin(10_000, Some(&engine())), 4.0);
    assert_eq!(MoveCost::new(&"south".into(), &delays(), None), None);
}
