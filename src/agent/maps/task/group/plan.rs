//! Plans the group's next map, on the agent that leads the group.
//!
//! A round of planning gathers the loads of the experts and the speeds of the ranks,
//! looks for a placement that is worth the moves, and writes it to the store. The
//! leader then proposes it.

use std::time::Duration;

use tokio::time::timeout;
use wisteriawick_core::fleet::Group;
use wisteriawick_core::ids::GroupId;
use wisteriawick_core::ids::MapNumber;
use wisteriawick_core::maps::Forecast;
use wisteriawick_core::maps::GroupSnapshot;
use wisteriawick_core::maps::LeaderInput;
use wisteriawick_core::maps::Loads;
use wisteriawick_core::maps::Placement;
use wisteriawick_core::maps::Plan;
use wisteriawick_core::maps::PlanCost;
use wisteriawick_core::maps::Planner;
use wisteriawick_core::maps::Shape;
use wisteriawick_core::time::unix_seconds;

use crate::agent::maps::EngineClient;
use crate::agent::maps::EngineLoad;
use crate::agent::maps::GroupSnapshotWire;
use crate::agent::maps::task::MapTaskInput;
use crate::agent::maps::task::group::GroupTask;
use crate::agent::maps::task::group::group_object_name;
use crate::agent::maps::task::group::map_object_name;
use crate::link::Link;
use crate::link::Reply;
use crate::link::StreamRequest;
use crate::platform::PlatformClient;

/// Longest wait for the load of a peer's engine.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Share of the median speed below which a rank counts as slow.
const SLOW_RANK_THRESHOLD: f64 = 0.8;
/// Lowest speed used in planning, because the speed of a stalled rank is zero.
const MIN_SPEED: f64 = 0.05;
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// The result of a round of planning.
pub(crate) struct Proposal {
    loads: Loads,
    speeds: Vec<f64>,
    /// Placement of the active map.
    placement: Placement,
    active: MapNumber,
    /// The plan, with the number of its map in the store; `None` if no plan is
    /// worth its moves.
    plan: Option<(MapNumber, Plan)>,
}

/// State that planning keeps between rounds.
pub(crate) struct PlanningState {
    /// `None` while a round uses it.
    forecast: Option<Forecast>,
    /// The last known active map and its placement.
    placement: Option<(MapNumber, Placement)>,
    /// The plan that the leader is bringing into use.
    proposed: Option<(MapNumber, Plan)>,
    /// Whether a round is in progress.
    in_progress: bool,
    /// Skew of the loads between ranks, as of the last round.
    pub(crate) skew: Option<f64>,
    /// Bytes of weights that all finished plans moved.
    pub(crate) bytes_moved: u64,
    /// Ranks that were slow in the last round.
    pub(crate) slow_ranks: Vec<usize>,
}

impl PlanningState {
    pub(crate) fn new(group: &Group) -> Self {
        let placement = Placement::round_robin(group.shape());
        Self {
            forecast: Some(Forecast::new()),
            placement: Some((MapNumber(0), placement)),
            proposed: None,
            in_progress: false,
            skew: None,
            bytes_moved: 0,
            slow_ranks: Vec::new(),
        }
    }

    /// Records that a proposed map is in use.
    pub(crate) fn proposal_finished(&mut self, map: MapNumber) {
        if let Some((number, plan)) = self.proposed.take()
            && number == map
        {
            self.bytes_moved += plan.bytes;
            self.placement = Some((map, plan.placement));
        }
    }

    /// Records that the proposed map was aborted.
    pub(crate) fn proposal_aborted(&mut self) {
        self.proposed = None;
    }
}

impl<E: EngineClient> GroupTask<E> {
    /// Starts a round of planning if this agent leads and no round or proposal is in
    /// progress.
    pub(crate) fn start_planning(&mut self) {
        let view = self.switch.engine_view();
        let Some(active) = view.active else {
            return;
        };
        if !self.is_first_linked()
            || !self.switch.is_ready()
            || self.leader.is_busy()
            || self.planning.in_progress
        {
            return;
        }
        let Some(mut forecast) = self.planning.forecast.take() else {
            return;
        };
        self.planning.in_progress = true;
        let round = PlanningRound {
            id: self.id.clone(),
            group: self.group.clone(),
            me: self.me,
            links: self.links.clone(),
            platform: self.platform.clone(),
            active,
            known_placement: self.planning.placement.clone(),
            hour: unix_seconds(self.node.clock.wall()) as f64 / SECONDS_PER_HOUR,
        };
        let (engine, tx) = (self.engine.clone(), self.tx.clone());
        tokio::spawn(async move {
            let proposal = round.run(engine, &mut forecast).await;
            let _ = tx
                .send(MapTaskInput::Planned(forecast.into(), proposal.into()))
                .await;
        });
    }

    /// Handles the result of a round, and proposes its plan if there is one.
    pub(crate) fn finish_planning(&mut self, forecast: Forecast, proposal: Option<Proposal>) {
        self.planning.in_progress = false;
        self.planning.forecast = Some(forecast);
        let Some(proposal) = proposal else {
            return;
        };
        self.planning.skew = Some(proposal.placement.skew(&proposal.loads, &proposal.speeds));
        self.planning.placement = Some((proposal.active, proposal.placement));
        self.planning.slow_ranks = slow_ranks(&proposal.speeds);
        if let Some((number, plan)) = proposal.plan {
            self.planning.proposed = Some((number, plan));
            self.handle_leader_input(LeaderInput::Propose(number));
        }
    }
}

/// One round of planning. It runs in a task of its own, on copies of the group's
/// state.
struct PlanningRound {
    id: GroupId,
    group: Group,
    me: usize,
    links: Vec<Option<Link>>,
    platform: PlatformClient,
    active: MapNumber,
    known_placement: Option<(MapNumber, Placement)>,
    hour: f64,
}

impl PlanningRound {
    /// Returns `None` if the engine reports no valid load or a placement cannot be read or
    /// written; the next round tries again.
    async fn run<E: EngineClient>(self, engine: E, forecast: &mut Forecast) -> Option<Proposal> {
        let shape = self.group.shape();
        let own = engine.load().await?;
        let loads = parse_loads(shape, &own)?;
        let speeds = self.gather_speeds(&own).await;
        let placement = self.active_placement(shape).await?;
        forecast.observe(self.hour, &loads);
        let plan = match self.find_plan(forecast, &placement, &speeds).await {
            Some(plan) => Some(self.write_placement(plan).await?),
            None => None,
        };
        Some(Proposal {
            loads,
            speeds,
            placement,
            active: self.active,
            plan,
        })
    }

    /// Plans on a blocking thread. Returns `None` if no plan is worth its moves or the
    /// forecast has too few reports.
    async fn find_plan(
        &self,
        forecast: &Forecast,
        placement: &Placement,
        speeds: &[f64],
    ) -> Option<Plan> {
        let cost = PlanCost::new(&self.group);
        let present = forecast.validation()?.clone();
        let expected = forecast.expected(self.hour, cost.horizon_h)?;
        let (current, ranks) = (placement.clone(), speeds.to_vec());
        tokio::task::spawn_blocking(move || {
            Planner::new(cost).plan(&current, &present, &expected, &ranks)
        })
        .await
        .ok()?
    }

    /// Returns the speeds of all ranks. A rank without a report counts as normal.
    async fn gather_speeds(&self, own: &EngineLoad) -> Vec<f64> {
        let per_runner = usize::from(self.group.ranks_per_runner);
        let mut speeds = Vec::with_capacity(self.group.ranks());
        for (index, link) in self.links.iter().enumerate() {
            let reported = match link {
                _ if index == self.me => Some(own.rank_speeds.clone()),
                Some(link) => {
                    match timeout(LOAD_TIMEOUT, link.request(&StreamRequest::GroupLoad)).await {
                        Ok(Ok(Reply::GroupLoad(load))) => Some(load.rank_speeds),
                        _ => None,
                    }
                }
                None => None,
            };
            let reported = reported.filter(|speeds| speeds.len() == per_runner);
            let reported = reported.unwrap_or_else(|| vec![1.0; per_runner]);
            speeds.extend(reported.into_iter().map(|speed| speed.max(MIN_SPEED)));
        }
        speeds
    }

    /// Returns the placement of the active map.
    async fn active_placement(&self, shape: Shape) -> Option<Placement> {
        match &self.known_placement {
            Some((map, placement)) if *map == self.active => Some(placement.clone()),
            _ if self.active == MapNumber(0) => Some(Placement::round_robin(shape)),
            _ => {
                let name = map_object_name(&self.id, self.active);
                let object = self.platform.read::<Vec<Vec<u16>>>(&name).await.ok()??;
                Placement::try_from_layers(shape, &object.value)
            }
        }
    }

    /// Writes the plan's placement to the store, under the number that follows those of
    /// the committed and the active map.
    async fn write_placement(&self, plan: Plan) -> Option<(MapNumber, Plan)> {
        let name = group_object_name(&self.id);
        let object = self.platform.read::<GroupSnapshotWire>(&name).await.ok()?;
        let committed = object.map_or(MapNumber(0), |object| {
            GroupSnapshot::from(object.value).committed
        });
        let number = committed.max(self.active).next();
        let name = map_object_name(&self.id, number);
        let existing = self.platform.read::<Vec<Vec<u16>>>(&name).await.ok()?;
        let version = existing.map_or(0, |object| object.version);
        let layers = plan.placement.to_layers();
        self.platform.write(&name, version, &layers).await.ok()?;
        Some((number, plan))
    }
}

/// Converts the reported loads; `None` if they do not match the shape or are not valid
/// loads.
fn parse_loads(shape: Shape, report: &EngineLoad) -> Option<Loads> {
    if report.experts.len() != shape.layers {
        return None;
    }
    let mut loads = Loads::even(shape);
    for (layer, values) in report.experts.iter().enumerate() {
        if values.len() != shape.experts || values.iter().any(|v| !v.is_finite() || *v < 0.0) {
            return None;
        }
        loads.layer_mut(layer).copy_from_slice(values);
    }
    Some(loads)
}

/// Returns the ranks that are much slower than the median.
fn slow_ranks(speeds: &[f64]) -> Vec<usize> {
    let mut sorted = speeds.to_vec();
    sorted.sort_by(f64::total_cmp);
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or(1.0);
    let slow = speeds.iter().enumerate();
    slow.filter(|(_, speed)| **speed < median * SLOW_RANK_THRESHOLD)
        .map(|(rank, _)| rank)
        .collect()
}
