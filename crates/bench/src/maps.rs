//! Measures the planner of expert maps against drifting loads.
//!
//! A seeded model of expert popularity changes over simulated days. The planner
//! is compared with a placement that never changes and with one that is recomputed
//! in each period, by skew (the step time over its lower bound) and by the bytes of
//! weights moved. Two more parts measure the time to compute a plan, and
//! map switches of a group of stand-in engines over sockets.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriawick::command::dev::GroupSpec;
use wisteriawick_core::maps::Forecast;
use wisteriawick_core::maps::Loads;
use wisteriawick_core::maps::Placement;
use wisteriawick_core::maps::PlanCost;
use wisteriawick_core::maps::Planner;
use wisteriawick_core::maps::Shape;
use wisteriawick_core::maps::full_replan;

use crate::client::BenchFleet;
use crate::client::block_on;
use crate::client::fleet_spec;
use crate::report::Report;
use crate::report::Target;
use crate::report::quantile;

/// Shape of the planned group, with fewer layers to shorten the simulation.
const GROUP_SHAPE: Shape = Shape {
    ranks: 32,
    experts: 64,
    layers: 6,
    slots_per_rank: 3,
};
/// Layers of the planned group.
const PLANNED_LAYERS: usize = 60;
const EXPERT_BYTES: u64 = 50_000_000;
/// Periods of the simulation; each is five minutes long.
const PERIODS_PER_DAY: usize = 288;
const DAYS: usize = 3;
/// Days at the start that are not measured, while the forecast learns.
const LEARNING_DAYS: usize = 1;
/// Standard deviation of the logarithm of the noise factor on reported loads.
const NOISE_STD_DEV: f64 = 0.08;
/// Changes of popularity in the measurement over sockets.
const SWITCH_ROUNDS: usize = 6;
/// Time between two changes of popularity.
const SWITCH_INTERVAL: Duration = Duration::from_secs(3);

/// How the loads or the rank speeds change over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Drift {
    Daily,
    Seasonal,
    Sudden,
    NoiseOnly,
    SlowRank,
}

impl Drift {
    const ALL: [Self; 5] = [
        Self::Daily,
        Self::Seasonal,
        Self::Sudden,
        Self::NoiseOnly,
        Self::SlowRank,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Daily => "a day with an evening peak",
            Self::Seasonal => "a season's shift of the peak",
            Self::Sudden => "a sudden change",
            Self::NoiseOnly => "noise alone",
            Self::SlowRank => "one slow rank",
        }
    }
}

/// Gives the true loads and rank speeds of each period, without noise or delay.
struct LoadModel {
    drift: Drift,
    /// Popularity of each expert in each layer, away from the evening peak.
    base: Vec<Vec<f64>>,
    /// Factor on the popularity of each expert at the evening peak.
    evening_factor: Vec<Vec<f64>>,
    /// Replaces `base` after a sudden change.
    base_after_change: Vec<Vec<f64>>,
}

impl LoadModel {
    fn new(drift: Drift, rng: &mut SmallRng) -> Self {
        let mut draw = |spread: f64| -> Vec<Vec<f64>> {
            let expert = |rng: &mut SmallRng| (spread * (rng.random::<f64>() * 2.0 - 1.0)).exp();
            (0..GROUP_SHAPE.layers)
                .map(|_| (0..GROUP_SHAPE.experts).map(|_| expert(rng)).collect())
                .collect()
        };
        let uniform = drift == Drift::NoiseOnly || drift == Drift::SlowRank;
        Self {
            drift,
            base: draw(if uniform { 0.0 } else { 0.8 }),
            evening_factor: draw(if uniform { 0.0 } else { 0.7 }),
            base_after_change: draw(if uniform { 0.0 } else { 0.8 }),
        }
    }

    fn true_loads(&self, period: usize) -> Loads {
        let hour = hour_of(period);
        let day = period as f64 / PERIODS_PER_DAY as f64;
        let peak = match self.drift {
            Drift::Seasonal => 19.0 + day,
            _ => 19.0,
        };
        let hours_from_peak = (hour - peak + 12.0).rem_euclid(24.0) - 12.0;
        let evening_weight = (-hours_from_peak * hours_from_peak / 18.0).exp();
        let changed = self.drift == Drift::Sudden && day >= (DAYS as f64) - 0.5;
        let mut loads = Loads::even(GROUP_SHAPE);
        for layer in 0..GROUP_SHAPE.layers {
            let base = if changed {
                &self.base_after_change
            } else {
                &self.base
            };
            for (expert, value) in loads.layer_mut(layer).iter_mut().enumerate() {
                *value =
                    base[layer][expert] * self.evening_factor[layer][expert].powf(evening_weight);
            }
        }
        loads
    }

    fn speeds(&self, period: usize) -> Vec<f64> {
        let mut speeds = vec![1.0; GROUP_SHAPE.ranks];
        let is_slow_period = period > PERIODS_PER_DAY * LEARNING_DAYS;
        if self.drift == Drift::SlowRank && is_slow_period {
            speeds[5] = 0.6;
        }
        speeds
    }
}

fn hour_of(period: usize) -> f64 {
    (period % PERIODS_PER_DAY) as f64 * 24.0 / PERIODS_PER_DAY as f64
}

/// Returns the loads as the ranks would report them, with random noise.
fn with_noise(loads: &Loads, rng: &mut SmallRng) -> Loads {
    let mut noisy = loads.clone();
    for layer in 0..GROUP_SHAPE.layers {
        for value in noisy.layer_mut(layer) {
            // 1.7 times a uniform value from -1 to 1 has a standard deviation of about one.
            *value *= (NOISE_STD_DEV * (rng.random::<f64>() * 2.0 - 1.0) * 1.7).exp();
        }
    }
    noisy
}

/// How placements are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Strategy {
    /// The first placement is kept.
    Static,
    /// Every period computes a new placement, whatever it moves.
    FullReplan,
    /// The product's planner weighs skew against moves.
    Planner(PlanCost),
}

/// Figures of one simulation after the learning days.
#[derive(Default)]
struct Outcome {
    /// Skew of each period.
    skews: Vec<f64>,
    /// Bytes of expert weights moved.
    bytes: f64,
    plans: u32,
    /// Plans whose moves cost more than the skew that they removed.
    unprofitable_plans: u32,
    plan_ms: Vec<f64>,
}

impl Outcome {
    fn mean_skew(&self) -> f64 {
        self.skews.iter().sum::<f64>() / self.skews.len() as f64
    }
}

fn cost(skew_weight: f64, move_cost: f64) -> PlanCost {
    PlanCost {
        skew_weight,
        move_cost,
        expert_bytes: EXPERT_BYTES,
        horizon_h: 2.0,
        max_bytes: 200_000_000_000,
    }
}

/// Returns the cost weights of the two users, as in their example tickets.
fn user_costs() -> [(&'static str, PlanCost); 2] {
    [
        ("Cwmni", cost(600.0, 1.0)),
        ("Reflectores", cost(120.0, 4.0)),
    ]
}

pub(crate) fn run(seed: u64, report: &mut Report) {
    for drift in Drift::ALL {
        let fixed = simulate(drift, Strategy::Static, seed);
        let full = simulate(drift, Strategy::FullReplan, seed);
        let name = drift.name();
        report.add(
            format!("{name}: static, mean skew"),
            fixed.mean_skew(),
            "ratio",
            Target::None,
        );
        report.add(
            format!("{name}: full re-plan, mean skew"),
            full.mean_skew(),
            "ratio",
            Target::None,
        );
        report.add(
            format!("{name}: full re-plan, moved"),
            full.bytes / 1e9,
            "GB",
            Target::None,
        );
        for (user, cost) in user_costs() {
            let planned = simulate(drift, Strategy::Planner(cost), seed);
            add_user_rows(report, drift, user, &planned, &fixed, &full);
        }
    }
    measure_plan_time(seed, report);
    block_on(measure_over_sockets(report));
}

/// Measures how many steps a map switch delays, with agents, engines and the store
/// on sockets, and checks that no step runs with two maps.
async fn measure_over_sockets(report: &mut Report) {
    let mut spec = fleet_spec(1, 4, 1, 32);
    spec.services[0].group = Some(GroupSpec {
        runners: 4,
        ranks_per_runner: 8,
        experts: 64,
        layers: 4,
        slots: 3,
        expert_bytes: 1_000_000,
        skew_weight: 600.0,
        move_cost: 1.0,
        plan_every_ms: 500,
        step_ms: 25,
    });
    let fleet = BenchFleet::start(spec).await;
    let group = fleet.dev.groups[0].lockstep.clone();
    for round in 0..SWITCH_ROUNDS {
        let share = |expert| if expert == round * 5 % 64 { 8.0 } else { 1.0 };
        group.set_popularity(vec![(0..64).map(share).collect(); 4]);
        tokio::time::sleep(SWITCH_INTERVAL).await;
    }
    let steps = group.steps();
    let maps: BTreeSet<u64> = steps
        .iter()
        .filter_map(|step| step.maps.first().copied())
        .collect();
    let mixed_steps = steps
        .iter()
        .filter(|step| step.maps.iter().any(|map| *map != step.maps[0]));
    let switches = maps.len().saturating_sub(1) as f64;
    report.add(
        "over sockets: switches",
        switches,
        "switches",
        Target::AtLeast(1.0),
    );
    report.add(
        "over sockets: steps with two maps",
        mixed_steps.count() as f64,
        "steps",
        Target::AtMost(0.0),
    );
    let held_per_switch = group.held_steps() as f64 / switches.max(1.0);
    report.add(
        "over sockets: steps held a switch",
        held_per_switch,
        "steps",
        Target::AtMost(2.0),
    );
}

/// Adds the rows of one user, whose targets differ by user.
fn add_user_rows(
    report: &mut Report,
    drift: Drift,
    user: &str,
    planned: &Outcome,
    fixed: &Outcome,
    full: &Outcome,
) {
    let label = format!("{}: {user}", drift.name());
    let mut skews = planned.skews.clone();
    report.add(
        format!("{label}, mean skew"),
        planned.mean_skew(),
        "ratio",
        Target::None,
    );
    report.add(
        format!("{label}, 99th percentile skew"),
        quantile(&mut skews, 0.99),
        "ratio",
        Target::None,
    );
    report.add(
        format!("{label}, moved"),
        planned.bytes / 1e9,
        "GB",
        Target::None,
    );
    if drift == Drift::NoiseOnly {
        report.add(
            format!("{label}, plans"),
            f64::from(planned.plans),
            "plans",
            Target::AtMost(0.0),
        );
        return;
    }
    report.add(
        format!("{label}, plans"),
        f64::from(planned.plans),
        "plans",
        Target::None,
    );
    report.add(
        format!("{label}, plans that did not pay"),
        f64::from(planned.unprofitable_plans),
        "plans",
        Target::None,
    );
    let bytes = planned.bytes / full.bytes.max(1.0);
    if user == "Cwmni" {
        let ratio = planned.mean_skew() / full.mean_skew();
        report.add(
            format!("{label}, skew over full re-plan's"),
            ratio,
            "ratio",
            Target::AtMost(1.05),
        );
        report.add(
            format!("{label}, bytes over full re-plan's"),
            bytes,
            "ratio",
            Target::AtMost(0.1),
        );
    } else {
        let removed = (fixed.mean_skew() - planned.mean_skew()) / (fixed.mean_skew() - 1.0);
        report.add(
            format!("{label}, static's excess skew removed"),
            removed,
            "share",
            Target::AtLeast(0.5),
        );
        report.add(
            format!("{label}, bytes over full re-plan's"),
            bytes,
            "ratio",
            Target::AtMost(1.0 / 30.0),
        );
    }
}

fn simulate(drift: Drift, strategy: Strategy, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let model = LoadModel::new(drift, &mut rng);
    let mut forecast = Forecast::new();
    let mut placement = Placement::round_robin(GROUP_SHAPE);
    let mut outcome = Outcome::default();
    for period in 0..PERIODS_PER_DAY * DAYS {
        // Reports are one period old.
        let reported = with_noise(&model.true_loads(period.saturating_sub(1)), &mut rng);
        let speeds = model.speeds(period.saturating_sub(1));
        forecast.observe(hour_of(period), &reported);
        let measured = period >= PERIODS_PER_DAY * LEARNING_DAYS;
        let next = next_placement(
            strategy,
            &placement,
            &forecast,
            &reported,
            &speeds,
            period,
            &mut outcome,
        );
        if let Some(next) = next {
            if measured {
                record_plan(&mut outcome, strategy, &model, period, &placement, &next);
            }
            placement = next;
        }
        if measured {
            let skew = placement.skew(&model.true_loads(period), &model.speeds(period));
            outcome.skews.push(skew);
        }
    }
    outcome
}

fn next_placement(
    strategy: Strategy,
    placement: &Placement,
    forecast: &Forecast,
    reported: &Loads,
    speeds: &[f64],
    period: usize,
    outcome: &mut Outcome,
) -> Option<Placement> {
    match strategy {
        Strategy::Static => None,
        Strategy::FullReplan => Some(full_replan(reported, speeds)),
        Strategy::Planner(cost) => {
            let current_loads = forecast.validation()?;
            let expected_loads = forecast.expected(hour_of(period), cost.horizon_h)?;
            let start = Instant::now();
            let plan = Planner::new(cost).plan(placement, current_loads, &expected_loads, speeds);
            outcome.plan_ms.push(start.elapsed().as_secs_f64() * 1e3);
            plan.map(|plan| plan.placement)
        }
    }
}

/// Counts the bytes that a plan moves, and whether it pays off under the true loads
/// of its horizon.
fn record_plan(
    outcome: &mut Outcome,
    strategy: Strategy,
    model: &LoadModel,
    period: usize,
    before: &Placement,
    after: &Placement,
) {
    let moves = after.moves_from(before) as f64;
    outcome.bytes += moves * EXPERT_BYTES as f64;
    outcome.plans += 1;
    let Strategy::Planner(cost) = strategy else {
        return;
    };
    let periods = (cost.horizon_h * PERIODS_PER_DAY as f64 / 24.0) as usize;
    let hours = 24.0 / PERIODS_PER_DAY as f64;
    let saved_cost: f64 = (period..period + periods)
        .map(|period| {
            let (loads, speeds) = (model.true_loads(period), model.speeds(period));
            let skew_reduction = before.skew(&loads, &speeds) - after.skew(&loads, &speeds);
            skew_reduction * cost.skew_weight * hours
        })
        .sum();
    let total_move_cost = moves * EXPERT_BYTES as f64 / 1e9 * cost.move_cost;
    outcome.unprofitable_plans += u32::from(saved_cost < total_move_cost);
}

/// Measures the time to compute a plan for the planned group with all its layers,
/// from a placement with high skew.
fn measure_plan_time(seed: u64, report: &mut Report) {
    let shape = Shape {
        layers: PLANNED_LAYERS,
        ..GROUP_SHAPE
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut loads = Loads::even(shape);
    for layer in 0..shape.layers {
        for value in loads.layer_mut(layer) {
            *value = (1.5 * (rng.random::<f64>() * 2.0 - 1.0)).exp();
        }
    }
    let speeds = vec![1.0; shape.ranks];
    let current = Placement::round_robin(shape);
    for (user, cost) in user_costs() {
        let planner = Planner::new(cost);
        let mut times: Vec<f64> = (0..9)
            .map(|_| {
                let start = Instant::now();
                let plan = planner.plan(&current, &loads, &loads, &speeds);
                assert!(
                    plan.is_some(),
                    "a plan from a placement with high skew pays off"
                );
                start.elapsed().as_secs_f64() * 1e3
            })
            .collect();
        let name = format!("plan of 32 ranks, 64 experts, 60 layers, {user}");
        report.add(name, quantile(&mut times, 0.5), "ms", Target::AtMost(50.0));
    }
}
