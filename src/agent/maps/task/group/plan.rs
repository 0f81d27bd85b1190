//! The leader's planning: gathers loads, plans, writes the placement.

use std::time::Duration;

use tokio::time::timeout;
use wisteriawick_core::fleet::Group;
use wisteriawick_core::ids::GroupId;
use wisteriawick_core::ids::MapNumber;
use wisteriawick_core::maps::Forecast;
use wisteriawick_core::maps::GroupImage;
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
use crate::agent::maps::GroupImageWire;
use crate::agent::maps::task::Input;
use crate::agent::maps::task::group::GroupTask;
use crate::agent::maps::task::group::map_name;
use crate::agent::maps::task::group::object_name;
use crate::link::Link;
use crate::link::Reply;
use crate::link::StreamRequest;
use crate::platform::PlatformClient;

/// Longest wait for a peer's load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Share of the usual speed below which a rank counts as slow.
const SLOW_SHARE: f64 = 0.8;
/// Least speed that is planned with; a rank that stands still is no speed.
const MIN_SPEED: f64 = 0.05;
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// What a round of planning came to.
pub(crate) struct Proposal {
    loads: Loads,
    speeds: Vec<f64>,
    placement: Placement,
    active: MapNumber,
    /// The plan, with the number under which it was written.
    plan: Option<(MapNumber, Plan)>,
}

/// What the leader knows of its group's load.
pub(crate) struct Planning {
    forecast: Option<Forecast>,
    /// The placement of the map that the engine runs, once it is known.
    placement: Option<(MapNumber, Placement)>,
    proposed: Option<(MapNumber, Plan)>,
    busy: bool,
    pub(crate) skew: Option<f64>,
    pub(crate) bytes_moved: u64,
    pub(crate) slow_ranks: Vec<usize>,
}

impl Planning {
    pub(crate) fn new(group: &Group) -> Self {
        let placement = Placement::round_robin(group.shape());
        Self {
            forecast: Some(Forecast::new()),
            placement: Some((MapNumber(0), placement)),
            proposed: None,
            busy: false,
            skew: None,
            bytes_moved: 0,
            slow_ranks: Vec::new(),
        }
    }

    pub(crate) fn finished(&mut self, map: MapNumber) {
        if let Some((number, plan)) = self.proposed.take()
            && number == map
        {
            self.bytes_moved += plan.bytes;
            self.placement = Some((map, plan.placement));
        }
    }

    pub(crate) fn given_up(&mut self) {
        self.proposed = None;
    }
}

impl<E: EngineClient> GroupTask<E> {
    /// Starts a round of planning if this agent leads and nothing is under way.
    pub(crate) fn plan(&mut self) {
        let view = self.switch.engine_view();
        let Some(active) = view.active else {
            return;
        };
        if !self.leads() || !self.switch.is_ready() || self.leader.is_busy() || self.planning.busy {
            return;
        }
        let Some(mut forecast) = self.planning.forecast.take() else {
            return;
        };
        self.planning.busy = true;
        let round = Round {
            id: self.id.clone(),
            group: self.group.clone(),
            me: self.me,
            links: self.links.clone(),
            platform: self.platform.clone(),
            active,
            known: self.planning.placement.clone(),
            hour: unix_seconds(self.node.clock.wall()) as f64 / SECONDS_PER_HOUR,
        };
        let (engine, tx) = (self.engine.clone(), self.tx.clone());
        tokio::spawn(async move {
            let proposal = round.run(engine, &mut forecast).await;
            let _ = tx
                .send(Input::Planned(forecast.into(), proposal.into()))
                .await;
        });
    }

    pub(crate) fn planned(&mut self, forecast: Forecast, proposal: Option<Proposal>) {
        self.planning.busy = false;
        self.planning.forecast = Some(forecast);
        let Some(proposal) = proposal else {
            return;
        };
        self.planning.skew = Some(proposal.placement.skew(&proposal.loads, &proposal.speeds));
        self.planning.placement = Some((proposal.active, proposal.placement));
        self.planning.slow_ranks = slow_ranks(&proposal.speeds);
        if let Some((number, plan)) = proposal.plan {
            self.planning.proposed = Some((number, plan));
            self.lead(LeaderInput::Propose(number));
        }
    }
}

/// One round of planning, apart from the task.
struct Round {
    id: GroupId,
    group: Group,
    me: usize,
    links: Vec<Option<Link>>,
    platform: PlatformClient,
    active: MapNumber,
    known: Option<(MapNumber, Placement)>,
    hour: f64,
}

impl Round {
    /// Returns `None` when a report or a placement cannot be had; the next
    /// round tries again.
    async fn run<E: EngineClient>(self, engine: E, forecast: &mut Forecast) -> Option<Proposal> {
        let shape = self.group.shape();
        let own = engine.load().await?;
        let loads = to_loads(shape, &own)?;
        let speeds = self.speeds(&own).await;
        let placement = self.placement(shape).await?;
        forecast.observe(self.hour, &loads);
        let plan = match self.find(forecast, &placement, &speeds).await {
            Some(plan) => Some(self.write(plan).await?),
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

    /// Plans on a thread of its own; `None` when nothing pays, or the forecast
    /// has seen too little.
    async fn find(
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

    /// Gathers the speeds of all ranks; a missing report counts as normal.
    async fn speeds(&self, own: &EngineLoad) -> Vec<f64> {
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
            let reported = reported.filter(|held| held.len() == per_runner);
            let reported = reported.unwrap_or_else(|| vec![1.0; per_runner]);
            speeds.extend(reported.into_iter().map(|speed| speed.max(MIN_SPEED)));
        }
        speeds
    }

    async fn placement(&self, shape: Shape) -> Option<Placement> {
        match &self.known {
            Some((map, placement)) if *map == self.active => Some(placement.clone()),
            _ if self.active == MapNumber(0) => Some(Placement::round_robin(shape)),
            _ => {
                let name = map_name(&self.id, self.active);
                let object = self.platform.read::<Vec<Vec<u16>>>(&name).await.ok()??;
                Placement::try_from_layers(shape, &object.value)
            }
        }
    }

    /// Writes the placement under the number that follows the committed one.
    async fn write(&self, plan: Plan) -> Option<(MapNumber, Plan)> {
        let name = object_name(&self.id);
        let object = self.platform.read::<GroupImageWire>(&name).await.ok()?;
        let committed = object.map_or(MapNumber(0), |object| {
            GroupImage::from(object.value).committed
        });
        let number = committed.max(self.active).next();
        let name = map_name(&self.id, number);
        let held = self.platform.read::<Vec<Vec<u16>>>(&name).await.ok()?;
        let version = held.map_or(0, |object| object.version);
        let layers = plan.placement.to_layers();
        self.platform.write(&name, version, &layers).await.ok()?;
        Some((number, plan))
    }
}

fn to_loads(shape: Shape, report: &EngineLoad) -> Option<Loads> {
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

fn slow_ranks(speeds: &[f64]) -> Vec<usize> {
    let mut sorted = speeds.to_vec();
    sorted.sort_by(f64::total_cmp);
    let usual = sorted.get(sorted.len() / 2).copied().unwrap_or(1.0);
    let slow = speeds.iter().enumerate();
    slow.filter(|(_, speed)| **speed < usual * SLOW_SHARE)
        .map(|(rank, _)| rank)
        .collect()
}
