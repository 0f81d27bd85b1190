//! A group of ranks that run in lock-step on an expert map.
//!
//! One object stands for the whole group; each engine answers orders for its
//! own runner. A step runs only when every runner may run it, and it is
//! recorded with the map that each runner used.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::http_server::Body;
use crate::http_server::json as json_response;

/// Steps that are remembered.
const MAX_STEPS: usize = 100_000;

/// Shape and pace of a group.
#[derive(Clone, Debug)]
pub struct LockstepConfig {
    /// Runners in the group.
    pub runners: usize,
    /// Ranks of each runner.
    pub ranks_per_runner: usize,
    /// Experts in each layer.
    pub experts: usize,
    /// Layers.
    pub layers: usize,
    /// Expert slots of one rank in one layer.
    pub slots_per_rank: usize,
    /// Time of a perfectly balanced step.
    pub step_time: Duration,
    /// Bytes of one expert.
    pub expert_bytes: u64,
    /// Bytes a second that the weight store gives to one runner.
    pub weight_bytes_per_s: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
}

/// A step that ran, with the map that each runner used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepRecord {
    /// Number of the step.
    pub step: u64,
    /// Map of each runner.
    pub maps: Vec<u64>,
}

type Placement = Vec<Vec<u16>>;

#[derive(Clone, Debug)]
struct Armed {
    term: u64,
    map: u64,
    step: u64,
    go: bool,
}

#[derive(Clone, Debug)]
struct Runner {
    /// Map that it runs; `None` after the engine died, until it is restored.
    active: Option<u64>,
    staged: BTreeMap<u64, Placement>,
    armed: Option<Armed>,
    /// Highest fencing number seen.
    term: u64,
    stalled: bool,
}

impl Runner {
    fn new(active: Option<u64>) -> Self {
        Self {
            active,
            staged: BTreeMap::new(),
            armed: None,
            term: 0,
            stalled: false,
        }
    }
}

#[derive(Debug)]
struct State {
    step: u64,
    held_steps: u64,
    runners: Vec<Runner>,
    placement: Placement,
    steps: Vec<StepRecord>,
    /// Load of each expert in each layer, summed since the last report.
    popularity: Vec<Vec<f64>>,
    bytes_moved: u64,
    /// Speed of each rank; one is normal.
    speeds: Vec<f64>,
    last_rank_times: Vec<f64>,
}

/// A running group.
#[derive(Clone, Debug)]
pub struct LockstepGroup {
    config: Arc<LockstepConfig>,
    state: Arc<Mutex<State>>,
}

impl LockstepGroup {
    /// Starts a group that steps until the token is cancelled.
    pub fn start(config: LockstepConfig, cx: CancellationToken) -> Self {
        let ranks = config.runners * config.ranks_per_runner;
        let cells = ranks * config.slots_per_rank;
        let placement = (0..config.layers)
            .map(|_| {
                (0..cells)
                    .map(|cell| (cell % config.experts) as u16)
                    .collect()
            })
            .collect();
        let group = Self {
            state: Arc::new(Mutex::new(State {
                step: 0,
                held_steps: 0,
                runners: vec![Runner::new(Some(0)); config.runners],
                placement,
                steps: Vec::new(),
                popularity: vec![vec![1.0; config.experts]; config.layers],
                bytes_moved: 0,
                speeds: vec![1.0; ranks],
                last_rank_times: vec![0.0; ranks],
            })),
            config: Arc::new(config),
        };
        let running = group.clone();
        tokio::spawn(async move {
            loop {
                let pause = running.advance();
                tokio::select! {
                    () = tokio::time::sleep(pause) => {}
                    () = cx.cancelled() => return,
                }
            }
        });
        group
    }

    /// Changes how popular each expert of each layer is.
    pub fn set_popularity(&self, popularity: Vec<Vec<f64>>) {
        self.lock().popularity = popularity;
    }

    /// Changes the speed of a rank; one is normal.
    pub fn set_speed(&self, rank: usize, speed: f64) {
        self.lock().speeds[rank] = speed;
    }

    /// Makes a runner stall, which holds its whole group, or go on.
    pub fn set_stalled(&self, runner: usize, stalled: bool) {
        self.lock().runners[runner].stalled = stalled;
    }

    /// Loses a runner's state, as when its engine dies.
    pub fn reset_runner(&self, runner: usize) {
        self.lock().runners[runner] = Runner::new(None);
    }

    /// Returns the steps that ran.
    pub fn steps(&self) -> Vec<StepRecord> {
        self.lock().steps.clone()
    }

    /// Returns how often a step had to wait for a decision.
    pub fn held_steps(&self) -> u64 {
        self.lock().held_steps
    }

    /// Returns the bytes that the weight store gave.
    pub fn bytes_moved(&self) -> u64 {
        self.lock().bytes_moved
    }

    /// Returns the slowest rank's step time over the mean.
    pub fn skew(&self) -> f64 {
        let state = self.lock();
        let mean = state.last_rank_times.iter().sum::<f64>() / state.last_rank_times.len() as f64;
        let max = state.last_rank_times.iter().copied().fold(0.0, f64::max);
        if mean > 0.0 { max / mean } else { 1.0 }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Runs the next step if every runner may; returns the pause after it.
    fn advance(&self) -> Duration {
        let mut state = self.lock();
        let step = state.step + 1;
        let blocked = state.runners.iter().any(|runner| {
            let undecided = runner
                .armed
                .as_ref()
                .is_some_and(|armed| armed.step == step && !armed.go);
            undecided || runner.stalled || runner.active.is_none()
        });
        if blocked {
            state.held_steps += 1;
            return self.config.step_time;
        }
        let mut activated = None;
        for runner in &mut state.runners {
            let due = runner
                .armed
                .as_ref()
                .is_some_and(|armed| armed.step == step);
            if let Some(armed) = runner.armed.take_if(|_| due) {
                runner.active = Some(armed.map);
                activated = runner.staged.get(&armed.map).cloned().or(activated);
            }
        }
        if let Some(placement) = activated {
            state.placement = placement;
        }
        state.step = step;
        let maps = state.runners.iter().filter_map(|r| r.active).collect();
        if state.steps.len() < MAX_STEPS {
            state.steps.push(StepRecord { step, maps });
        }
        state.last_rank_times = self.rank_times(&state);
        let slowest = state.last_rank_times.iter().copied().fold(0.0, f64::max);
        self.config.step_time.mul_f64(slowest.clamp(0.1, 10.0))
    }

    /// Returns each rank's time, where one is a balanced step.
    fn rank_times(&self, state: &State) -> Vec<f64> {
        let ranks = state.speeds.len();
        let mut loads = vec![0.0; ranks];
        for (layer, cells) in state.placement.iter().enumerate() {
            let popularity = &state.popularity[layer];
            let mut copies = vec![0u32; self.config.experts];
            for expert in cells {
                copies[usize::from(*expert)] += 1;
            }
            let total: f64 = popularity.iter().sum();
            for (cell, expert) in cells.iter().enumerate() {
                let expert = usize::from(*expert);
                let share = popularity[expert] / f64::from(copies[expert].max(1)) / total;
                loads[cell / self.config.slots_per_rank] += share * ranks as f64;
            }
        }
        let layers = self.config.layers as f64;
        loads
            .iter()
            .zip(&state.speeds)
            .map(|(load, speed)| load / layers / speed)
            .collect()
    }

    async fn stage(&self, runner: usize, map: u64, placement: Placement) -> Response<Body> {
        let new_cells = {
            let state = self.lock();
            let per_runner = self.config.ranks_per_runner * self.config.slots_per_rank;
            let range = runner * per_runner..(runner + 1) * per_runner;
            let well_formed = placement.len() == state.placement.len()
                && placement
                    .iter()
                    .zip(&state.placement)
                    .all(|(a, b)| a.len() == b.len());
            if !well_formed {
                let body = json!({ "error": "the placement has another shape than the group" });
                return json_response(StatusCode::BAD_REQUEST, &body);
            }
            placement
                .iter()
                .zip(&state.placement)
                .flat_map(|(new, old)| range.clone().filter(|cell| new[*cell] != old[*cell]))
                .count() as u64
        };
        let bytes = new_cells * self.config.expert_bytes;
        let rate = self.config.weight_bytes_per_s.max(1);
        tokio::time::sleep(Duration::from_secs_f64(bytes as f64 / rate as f64)).await;
        let mut state = self.lock();
        state.bytes_moved += bytes;
        state.runners[runner].staged.insert(map, placement);
        while state.runners[runner].staged.len() > 4 {
            state.runners[runner].staged.pop_first();
        }
        json_response(StatusCode::OK, &json!({ "staged": map }))
    }

    fn arm(&self, runner: usize, term: u64, map: u64, step: u64) -> Response<Body> {
        let mut state = self.lock();
        let passed = step <= state.step + 1;
        let runner = &mut state.runners[runner];
        let same = runner
            .armed
            .as_ref()
            .is_some_and(|armed| armed.map == map && armed.step == step && armed.term == term);
        if same {
            return json_response(StatusCode::OK, &json!({ "armed": map, "step": step }));
        }
        if passed || runner.armed.is_some() || !runner.staged.contains_key(&map) {
            return json_response(StatusCode::CONFLICT, &json!({ "error": "cannot arm" }));
        }
        runner.armed = Some(Armed {
            term,
            map,
            step,
            go: false,
        });
        json_response(StatusCode::OK, &json!({ "armed": map, "step": step }))
    }

    fn decide(&self, runner: usize, map: u64, step: u64, go: bool) -> Response<Body> {
        let mut state = self.lock();
        let runner = &mut state.runners[runner];
        match &mut runner.armed {
            Some(armed) if armed.map == map && armed.step == step => {
                if go {
                    armed.go = true;
                } else {
                    runner.armed = None;
                }
            }
            _ => {}
        }
        json_response(StatusCode::OK, &json!({}))
    }

    /// Takes up the group's state; a ballot whose step has passed is in force.
    fn restore(&self, runner: usize, body: &Value) -> Response<Body> {
        let mut state = self.lock();
        let step = state.step;
        let held = &mut state.runners[runner];
        if held.active.is_none() {
            held.active = body["active"].as_u64();
            let armed = &body["armed"];
            if let (Some(map), Some(at)) = (armed["map"].as_u64(), armed["step"].as_u64()) {
                if at <= step {
                    held.active = Some(map);
                } else {
                    held.armed = Some(Armed {
                        term: armed["term"].as_u64().unwrap_or(0),
                        map,
                        step: at,
                        go: armed["go"].as_bool().unwrap_or(false),
                    });
                }
            }
        }
        json_response(StatusCode::OK, &json!({}))
    }

    fn read(&self, runner: usize) -> Response<Body> {
        let state = self.lock();
        let held = &state.runners[runner];
        let armed = held.armed.as_ref().map(|armed| {
            json!({ "term": armed.term, "map": armed.map, "step": armed.step, "go": armed.go })
        });
        let body = json!({
            "active": held.active,
            "staged": held.staged.keys().collect::<Vec<_>>(),
            "armed": armed,
            "step": state.step,
            "term": held.term,
        });
        json_response(StatusCode::OK, &body)
    }

    fn load(&self, runner: usize) -> Response<Body> {
        let state = self.lock();
        let per_runner = self.config.ranks_per_runner;
        let ranks = runner * per_runner..(runner + 1) * per_runner;
        let body = json!({
            "step": state.step,
            "experts": state.popularity,
            "rank_times": state.last_rank_times[ranks.clone()],
            "rank_speeds": state.speeds[ranks],
            "stalled": state.runners[runner].stalled,
        });
        json_response(StatusCode::OK, &body)
    }
}

pub(super) async fn handle(
    group: &LockstepGroup,
    runner: usize,
    req: Request<Incoming>,
) -> Response<Body> {
    let path = req.uri().path().to_string();
    if req.method() == Method::GET {
        return match path.as_str() {
            "/v1/engine/map" => group.read(runner),
            "/v1/engine/load" => group.load(runner),
            _ => json_response(StatusCode::NOT_FOUND, &json!({ "error": "no such path" })),
        };
    }
    let Ok(body) = req.into_body().collect().await else {
        return json_response(StatusCode::BAD_REQUEST, &json!({ "error": "body cut off" }));
    };
    let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    let number = |key: &str| body[key].as_u64().unwrap_or(0);
    let (term, map, step) = (number("term"), number("map"), number("step"));
    // A restore carries no term: it only ever gives state to an engine without any.
    let fenced = path != "/v1/engine/map/restore";
    if fenced && !accept_term(group, runner, term) {
        return json_response(
            StatusCode::PRECONDITION_FAILED,
            &json!({ "error": "old term" }),
        );
    }
    match path.as_str() {
        "/v1/engine/map/stage" => {
            let placement = serde_json::from_value(body["placement"].clone()).unwrap_or_default();
            group.stage(runner, map, placement).await
        }
        "/v1/engine/map/arm" => group.arm(runner, term, map, step),
        "/v1/engine/map/go" => group.decide(runner, map, step, true),
        "/v1/engine/map/disarm" => group.decide(runner, map, step, false),
        "/v1/engine/map/restore" => group.restore(runner, &body),
        _ => json_response(StatusCode::NOT_FOUND, &json!({ "error": "no such path" })),
    }
}

fn accept_term(group: &LockstepGroup, runner: usize, term: u64) -> bool {
    let mut state = group.lock();
    if state.runners[runner].active.is_none() {
        // Without state there is nothing to change.
        return false;
    }
    let held = &mut state.runners[runner].term;
    if term < *held {
        return !group.config.checks_fencing;
    }
    *held = term;
    true
}
