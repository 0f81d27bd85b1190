//! A stand-in for a group of ranks that run in lockstep with an expert map.
//!
//! All engines of a group share one [`LockstepGroup`]; each handles the orders for
//! its own runner. A step runs only when no runner blocks it, and is recorded with
//! the map that each runner used, so that tests can find steps with mixed maps.
//!
//! A map switch takes three orders to every runner: `stage` loads the weights that
//! the map needs, `arm` names the step that is to use it, and `go` releases that
//! step. Until `go` arrives, the group holds the step; `disarm` cancels the switch.

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

/// Most steps that are recorded.
const MAX_RECORDED_STEPS: usize = 100_000;

/// Shape and timing of a group.
#[derive(Clone, Debug)]
pub struct LockstepConfig {
    /// Number of runners in the group.
    pub runners: usize,
    /// Number of ranks of each runner.
    pub ranks_per_runner: usize,
    /// Number of experts in each layer.
    pub experts: usize,
    /// Number of layers.
    pub layers: usize,
    /// Number of expert slots of a rank in each layer.
    pub slots_per_rank: usize,
    /// Time of a perfectly balanced step.
    pub step_time: Duration,
    /// Size of the weights of one expert.
    pub expert_bytes: u64,
    /// Rate at which a runner loads weights from the weight store.
    pub weight_bytes_per_s: u64,
    /// Whether runners reject orders with an old fencing number.
    pub checks_fencing: bool,
}

/// A completed step and the map that each runner used in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepRecord {
    /// Number of the step.
    pub step: u64,
    /// Number of the map of each runner.
    pub maps: Vec<u64>,
}

/// The expert in each slot, by layer. A layer lists the slots of all ranks in order.
type Placement = Vec<Vec<u16>>;

/// A map that a runner is to switch to.
#[derive(Clone, Debug)]
struct Armed {
    term: u64,
    map: u64,
    /// First step with the new map.
    step: u64,
    /// Whether the step is released.
    go: bool,
}

#[derive(Clone, Debug)]
struct Runner {
    /// Number of the map in use; `None` from a crash of the engine until its state is
    /// restored.
    active_map: Option<u64>,
    /// Placements of the staged maps by number.
    staged: BTreeMap<u64, Placement>,
    armed: Option<Armed>,
    /// Highest fencing number received.
    term: u64,
    stalled: bool,
}

impl Runner {
    fn new(active_map: Option<u64>) -> Self {
        Self {
            active_map,
            staged: BTreeMap::new(),
            armed: None,
            term: 0,
            stalled: false,
        }
    }
}

#[derive(Debug)]
struct State {
    /// Number of the last completed step.
    step: u64,
    held_steps: u64,
    runners: Vec<Runner>,
    /// Placement of the map in use.
    placement: Placement,
    steps: Vec<StepRecord>,
    /// Load of each expert in each layer.
    popularity: Vec<Vec<f64>>,
    bytes_moved: u64,
    /// Speed of each rank, where 1 is normal.
    speeds: Vec<f64>,
    last_rank_times: Vec<f64>,
}

/// A handle to a running group; all clones refer to the same group.
#[derive(Clone, Debug)]
pub struct LockstepGroup {
    config: Arc<LockstepConfig>,
    state: Arc<Mutex<State>>,
}

impl LockstepGroup {
    /// Starts a group that runs steps until the token is cancelled.
    pub fn start(config: LockstepConfig, cx: CancellationToken) -> Self {
        let ranks = config.runners * config.ranks_per_runner;
        let slots = ranks * config.slots_per_rank;
        let placement = (0..config.layers)
            .map(|_| {
                (0..slots)
                    .map(|slot| (slot % config.experts) as u16)
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

    /// Changes the load of each expert, by layer.
    pub fn set_popularity(&self, popularity: Vec<Vec<f64>>) {
        self.lock().popularity = popularity;
    }

    /// Changes the speed of a rank, where 1 is normal.
    pub fn set_speed(&self, rank: usize, speed: f64) {
        self.lock().speeds[rank] = speed;
    }

    /// Stalls a runner, which blocks its whole group, or lets it resume.
    pub fn set_stalled(&self, runner: usize, stalled: bool) {
        self.lock().runners[runner].stalled = stalled;
    }

    /// Discards the state of a runner, as in a crash of its engine.
    pub fn reset_runner(&self, runner: usize) {
        self.lock().runners[runner] = Runner::new(None);
    }

    /// Returns the recorded steps.
    pub fn steps(&self) -> Vec<StepRecord> {
        self.lock().steps.clone()
    }

    /// Returns how often a step was blocked, each time for [`LockstepConfig::step_time`].
    pub fn held_steps(&self) -> u64 {
        self.lock().held_steps
    }

    /// Returns the number of bytes loaded from the weight store.
    pub fn bytes_moved(&self) -> u64 {
        self.lock().bytes_moved
    }

    /// Returns the step time of the slowest rank divided by the mean, in the last step.
    pub fn skew(&self) -> f64 {
        let state = self.lock();
        let mean = state.last_rank_times.iter().sum::<f64>() / state.last_rank_times.len() as f64;
        let max = state.last_rank_times.iter().copied().fold(0.0, f64::max);
        if mean > 0.0 { max / mean } else { 1.0 }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Runs the next step unless a runner blocks it, and returns the time until the
    /// next attempt. A runner blocks a step that is armed and not released, and any
    /// step while it is stalled or has no map.
    fn advance(&self) -> Duration {
        let mut state = self.lock();
        let step = state.step + 1;
        let blocked = state.runners.iter().any(|runner| {
            let unreleased = runner
                .armed
                .as_ref()
                .is_some_and(|armed| armed.step == step && !armed.go);
            unreleased || runner.stalled || runner.active_map.is_none()
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
                runner.active_map = Some(armed.map);
                activated = runner.staged.get(&armed.map).cloned().or(activated);
            }
        }
        if let Some(placement) = activated {
            state.placement = placement;
        }
        state.step = step;
        let maps = state.runners.iter().filter_map(|r| r.active_map).collect();
        if state.steps.len() < MAX_RECORDED_STEPS {
            state.steps.push(StepRecord { step, maps });
        }
        state.last_rank_times = self.rank_times(&state);
        let slowest = state.last_rank_times.iter().copied().fold(0.0, f64::max);
        self.config.step_time.mul_f64(slowest.clamp(0.1, 10.0))
    }

    /// Returns the step time of each rank, where 1 is the time of a balanced step.
    fn rank_times(&self, state: &State) -> Vec<f64> {
        let ranks = state.speeds.len();
        let mut loads = vec![0.0; ranks];
        for (layer, slots) in state.placement.iter().enumerate() {
            let popularity = &state.popularity[layer];
            let mut copies = vec![0u32; self.config.experts];
            for expert in slots {
                copies[usize::from(*expert)] += 1;
            }
            let total: f64 = popularity.iter().sum();
            for (slot, expert) in slots.iter().enumerate() {
                let expert = usize::from(*expert);
                let share = popularity[expert] / f64::from(copies[expert].max(1)) / total;
                loads[slot / self.config.slots_per_rank] += share * ranks as f64;
            }
        }
        let layers = self.config.layers as f64;
        loads
            .iter()
            .zip(&state.speeds)
            .map(|(load, speed)| load / layers / speed)
            .collect()
    }

    /// Loads the weights for a placement; only slots of this runner whose expert
    /// changes are loaded.
    async fn stage(&self, runner: usize, map: u64, placement: Placement) -> Response<Body> {
        let changed_slots = {
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
                .flat_map(|(new, old)| range.clone().filter(|slot| new[*slot] != old[*slot]))
                .count() as u64
        };
        let bytes = changed_slots * self.config.expert_bytes;
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

    /// Arms a staged map for a step. A repeated order succeeds; an order for a step
    /// that has passed, or while another map is armed, is rejected.
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

    /// Releases an armed step if `go` is set, or else disarms it. An order for another
    /// map or step has no effect.
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

    /// Gives a runner without state that of its group. If the step of the armed map
    /// has passed, that map is already in use.
    fn restore(&self, runner: usize, body: &Value) -> Response<Body> {
        let mut state = self.lock();
        let step = state.step;
        let target = &mut state.runners[runner];
        if target.active_map.is_none() {
            target.active_map = body["active"].as_u64();
            let armed = &body["armed"];
            if let (Some(map), Some(at)) = (armed["map"].as_u64(), armed["step"].as_u64()) {
                if at <= step {
                    target.active_map = Some(map);
                } else {
                    target.armed = Some(Armed {
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

    /// Responds with the maps of a runner: in use, staged and armed.
    fn map_state(&self, runner: usize) -> Response<Body> {
        let state = self.lock();
        let target = &state.runners[runner];
        let armed = target.armed.as_ref().map(|armed| {
            json!({ "term": armed.term, "map": armed.map, "step": armed.step, "go": armed.go })
        });
        let body = json!({
            "active": target.active_map,
            "staged": target.staged.keys().collect::<Vec<_>>(),
            "armed": armed,
            "step": state.step,
            "term": target.term,
        });
        json_response(StatusCode::OK, &body)
    }

    /// Responds with the expert loads and the step times of the ranks of a runner.
    fn load_report(&self, runner: usize) -> Response<Body> {
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
            "/v1/engine/map" => group.map_state(runner),
            "/v1/engine/load" => group.load_report(runner),
            _ => json_response(StatusCode::NOT_FOUND, &json!({ "error": "no such path" })),
        };
    }
    let Ok(body) = req.into_body().collect().await else {
        return json_response(StatusCode::BAD_REQUEST, &json!({ "error": "body cut off" }));
    };
    let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    let number = |key: &str| body[key].as_u64().unwrap_or(0);
    let (term, map, step) = (number("term"), number("map"), number("step"));
    // A restore order has no term, and only affects an engine that has no state.
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

/// Records the fencing number of an order, and returns whether the order is accepted.
fn accept_term(group: &LockstepGroup, runner: usize, term: u64) -> bool {
    let mut state = group.lock();
    if state.runners[runner].active_map.is_none() {
        // An engine without state has to be restored first.
        return false;
    }
    let highest_term = &mut state.runners[runner].term;
    if term < *highest_term {
        return !group.config.checks_fencing;
    }
    *highest_term = term;
    true
}
