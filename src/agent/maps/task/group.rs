//! A runner's part in its group, as long as the group is declared the same.

mod plan;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::event::EventKind;
use wisteriawick_core::fleet::Group;
use wisteriawick_core::ids::GroupId;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::MapNumber;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::Term;
use wisteriawick_core::ledger::WriteResult;
use wisteriawick_core::maps::Decision;
use wisteriawick_core::maps::EngineOrder;
use wisteriawick_core::maps::EngineReport;
use wisteriawick_core::maps::GroupImage;
use wisteriawick_core::maps::Leader;
use wisteriawick_core::maps::LeaderInput;
use wisteriawick_core::maps::LeaderOutput;
use wisteriawick_core::maps::Message;
use wisteriawick_core::maps::VotingInput;
use wisteriawick_core::maps::VotingOutput;
use wisteriawick_core::maps::VotingSwitch;

pub(crate) use plan::Proposal;

use crate::agent::maps::EngineClient;
use crate::agent::maps::EngineLoadWire;
use crate::agent::maps::GroupImageWire;
use crate::agent::maps::GroupMessageWire;
use crate::agent::maps::task::Input;
use crate::agent::maps::task::group::plan::Planning;
use crate::command::status::GroupStatus;
use crate::link::Link;
use crate::link::LinkEvent;
use crate::link::StreamRequest;
use crate::link::spawn_dialer;
use crate::node::Node;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// Time between two looks at the engine's state.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Time between two looks at the platform's list for the peers' addresses.
const LIST_EVERY: Duration = Duration::from_secs(5);
/// Longest time to hand a message over.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a step after which a group counts as stalled.
const STALLED_AFTER: Duration = Duration::from_secs(2);
/// Longest wait without a look at the deadlines.
const IDLE: Duration = Duration::from_secs(3_600);

/// The task.
pub(crate) struct GroupTask<E> {
    node: Arc<Node>,
    platform: PlatformClient,
    engine: E,
    id: GroupId,
    group: Group,
    me: usize,
    links: Vec<Option<Link>>,
    dialled: BTreeMap<ProcessId, SocketAddr>,
    switch: VotingSwitch,
    leader: Leader,
    /// Term under which this agent was last seen to lead.
    led: Term,
    planning: Planning,
    /// When the engine's step last changed, and to what.
    last_step: (Instant, u64),
    tx: mpsc::Sender<Input>,
    link_tx: mpsc::Sender<LinkEvent>,
    link_rx: Option<mpsc::Receiver<LinkEvent>>,
    cx: CancellationToken,
}

impl<E: EngineClient> GroupTask<E> {
    #[expect(
        clippy::too_many_arguments,
        reason = "a task is given all that it owns"
    )]
    pub(crate) fn new(
        node: Arc<Node>,
        platform: PlatformClient,
        engine: E,
        id: GroupId,
        group: Group,
        me: usize,
        tx: mpsc::Sender<Input>,
        cx: CancellationToken,
    ) -> Self {
        let runners = group.runners.len();
        let (link_tx, link_rx) = mpsc::channel(64);
        let now = node.clock.now();
        Self {
            switch: VotingSwitch::new(me, runners, node.incarnation, MapNumber(0)),
            leader: Leader::new(node.name.clone(), runners),
            planning: Planning::new(&group),
            links: vec![None; runners],
            dialled: BTreeMap::new(),
            led: Term(0),
            last_step: (now, 0),
            link_rx: Some(link_rx),
            link_tx,
            node,
            platform,
            engine,
            id,
            group,
            me,
            tx,
            cx,
        }
    }

    pub(crate) async fn run(
        mut self,
        rx: &mut mpsc::Receiver<Input>,
        status: &watch::Sender<Option<GroupStatus>>,
    ) {
        let Some(mut link_rx) = self.link_rx.take() else {
            return;
        };
        self.choose_initial().await;
        self.switch(VotingInput::Start);
        let mut looks = tokio::time::interval(LOOK_EVERY);
        let mut lists = tokio::time::interval(LIST_EVERY);
        let mut plans = tokio::time::interval(self.group.plan_interval);
        plans.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            status.send_replace(Some(self.status()));
            let now = self.node.clock.now();
            let due = self.switch.next_deadline();
            let due = due.into_iter().chain(self.leader.next_deadline()).min();
            let wait = due.map_or(IDLE, |at| at.saturating_duration_since(now));
            tokio::select! {
                Some(input) = rx.recv() => self.input(input),
                Some(event) = link_rx.recv() => self.link(event),
                _ = looks.tick() => self.look(),
                _ = lists.tick() => self.dial_peers().await,
                _ = plans.tick() => self.plan(),
                () = tokio::time::sleep(wait) => {
                    self.switch(VotingInput::Tick);
                    self.lead(LeaderInput::Tick);
                }
            }
        }
    }

    /// Learns the committed map, in case that no engine has any state.
    async fn choose_initial(&mut self) {
        let committed = self
            .platform
            .read::<GroupImageWire>(&object_name(&self.id))
            .await;
        if let Ok(Some(object)) = committed {
            let image = GroupImage::from(object.value);
            let runners = self.group.runners.len();
            let life = self.node.incarnation;
            self.switch = VotingSwitch::new(self.me, runners, life, image.committed);
        }
    }

    fn status(&self) -> GroupStatus {
        let view = self.switch.engine_view();
        GroupStatus {
            group: self.id.to_string(),
            map: view.active.map(|map| map.0),
            step: view.step.0,
            ready: self.switch.is_ready(),
            skew: self.planning.skew.filter(|_| self.leads()),
            bytes_moved: self.planning.bytes_moved,
            slow_ranks: self.planning.slow_ranks.clone(),
        }
    }

    /// The first runner that is linked leads; the term in the store decides.
    fn leads(&self) -> bool {
        self.links[..self.me].iter().all(Option::is_none)
    }

    fn index_of(&self, process: &ProcessId) -> Option<usize> {
        let mut runners = self.group.runners.iter();
        runners.position(|runner| runner.as_str() == process.as_str())
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Peer {
                group,
                from,
                life,
                message,
            } => {
                if group == self.id
                    && let Some(from) = self.index_of(&from)
                {
                    self.peer(from, life, message);
                }
            }
            Input::Load(reply) => {
                let engine = self.engine.clone();
                tokio::spawn(async move {
                    let load = engine.load().await.map(|load| EngineLoadWire {
                        rank_speeds: load.rank_speeds,
                        stalled: load.stalled,
                    });
                    let _ = reply.send(load);
                });
            }
            Input::Engine(report) => {
                self.record_report(&report);
                self.switch(VotingInput::Engine(report));
            }
            Input::Leader(input) => self.lead(input),
            Input::Planned(forecast, proposal) => self.planned(*forecast, *proposal),
        }
    }

    fn peer(&mut self, from: usize, life: Incarnation, message: Message) {
        match message {
            Message::Staged { map, step } => self.lead(LeaderInput::Staged {
                from,
                incarnation: life,
                map,
                step,
            }),
            Message::Superseded(term) => self.lead(LeaderInput::Superseded(term)),
            message => self.switch(VotingInput::Peer {
                from,
                incarnation: life,
                message,
            }),
        }
    }

    fn link(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(peer, link) => {
                if let Some(index) = self.index_of(&peer) {
                    self.links[index] = Some(link);
                }
            }
            LinkEvent::Down(peer) => {
                if let Some(index) = self.index_of(&peer) {
                    self.links[index] = None;
                }
            }
            LinkEvent::Heartbeat(..) => {}
        }
    }

    /// Reads the engine's state, and notes whether its group goes on.
    fn look(&mut self) {
        self.order(EngineOrder::ReadBack);
        let now = self.node.clock.now();
        let view = self.switch.engine_view();
        if view.step.0 != self.last_step.1 {
            self.last_step = (now, view.step.0);
        }
        let still = now.saturating_duration_since(self.last_step.0) >= STALLED_AFTER;
        if let Some(load) = &self.node.load
            && load.set_stalled(still)
        {
            log::warn!("group {} stands still: {still}", self.id);
            self.node.trigger_heartbeats();
        }
    }

    async fn dial_peers(&mut self) {
        let Ok(list) = self.platform.instances().await else {
            return;
        };
        for listed in list {
            let Some(index) = self.index_of(&listed.id).filter(|index| *index != self.me) else {
                continue;
            };
            let Ok(address) = listed.address.parse::<SocketAddr>() else {
                continue;
            };
            if self.dialled.get(&listed.id) == Some(&address) {
                continue;
            }
            self.links[index] = None;
            self.dialled.insert(listed.id.clone(), address);
            let (node, events) = (Arc::clone(&self.node), self.link_tx.clone());
            spawn_dialer(node, listed.id, address, events, self.cx.child_token());
        }
    }

    fn switch(&mut self, input: VotingInput) {
        let now = self.node.clock.now();
        let mut out = Vec::new();
        self.switch.handle(now, input, &mut out);
        for output in out {
            match output {
                VotingOutput::Send(to, message) => self.send(to, message),
                VotingOutput::Order(order) => self.order(order),
                VotingOutput::Decided(ballot, decision) => {
                    let group = self.id.clone();
                    let map = ballot.map;
                    self.node.timeline.record(match decision {
                        Decision::Go => EventKind::MapActive {
                            group,
                            map,
                            step: ballot.step,
                        },
                        Decision::Disarm => EventKind::MapDisarmed { group, map },
                    });
                    self.lead(LeaderInput::Decided(ballot, decision));
                }
            }
        }
    }

    fn send(&mut self, to: usize, message: Message) {
        let life = self.switch.incarnation();
        if to == self.me {
            let input = Input::Peer {
                group: self.id.clone(),
                from: self.node.name.clone(),
                life,
                message,
            };
            // The queue is this task's own: waiting for room would block it,
            // and what is lost is said again.
            let _ = self.tx.try_send(input);
            return;
        }
        let Some(link) = self.links[to].clone() else {
            return;
        };
        let wire = GroupMessageWire {
            group: self.id.to_string(),
            life: life.0,
            message: (&message).into(),
        };
        tokio::spawn(async move {
            // What is lost is said again.
            let _ =
                tokio::time::timeout(SEND_TIMEOUT, link.request(&StreamRequest::Map(wire))).await;
        });
    }

    fn order(&mut self, order: EngineOrder) {
        let (engine, tx) = (self.engine.clone(), self.tx.clone());
        let (platform, id) = (self.platform.clone(), self.id.clone());
        tokio::spawn(async move {
            let placement = match &order {
                EngineOrder::Stage(_, map) => {
                    match platform.read::<Vec<Vec<u16>>>(&map_name(&id, *map)).await {
                        Ok(Some(object)) => Some(object.value),
                        Ok(None) | Err(_) => {
                            let report = EngineReport::Unknown(order);
                            let _ = tx.send(Input::Engine(report)).await;
                            return;
                        }
                    }
                }
                _ => None,
            };
            let report = engine.order(order, placement).await;
            let _ = tx.send(Input::Engine(report)).await;
        });
    }

    fn record_report(&self, report: &EngineReport) {
        let group = self.id.clone();
        match report {
            EngineReport::Done(EngineOrder::Stage(_, map)) => {
                let map = *map;
                self.node
                    .timeline
                    .record(EventKind::MapStaged { group, map });
            }
            EngineReport::Done(EngineOrder::Arm(ballot)) => {
                self.node.timeline.record(EventKind::MapArmed {
                    group,
                    map: ballot.map,
                    step: ballot.step,
                });
            }
            _ => {}
        }
    }

    fn lead(&mut self, input: LeaderInput) {
        let now = self.node.clock.now();
        let mut out = Vec::new();
        self.leader.handle(now, input, &mut out);
        for output in out {
            match output {
                LeaderOutput::Read => self.read_object(),
                LeaderOutput::Write(version, image) => self.write_object(version, &image),
                LeaderOutput::SendAll(message) => {
                    self.record_lead(&message);
                    for to in 0..self.group.runners.len() {
                        self.send(to, message.clone());
                    }
                }
                LeaderOutput::Finished(map) => self.planning.finished(map),
                LeaderOutput::Aborted(map) => {
                    log::warn!("group {}: map {map} is given up; the former stays", self.id);
                    self.planning.given_up();
                }
            }
        }
    }

    fn record_lead(&mut self, message: &Message) {
        let group = self.id.clone();
        match message {
            Message::Stage { term, .. } if *term > self.led => {
                self.led = *term;
                let term = *term;
                self.node
                    .timeline
                    .record(EventKind::GroupLeadershipAcquired { group, term });
            }
            Message::Arm { ballot, .. } => {
                let map = ballot.map;
                self.node
                    .timeline
                    .record(EventKind::MapCommitted { group, map });
            }
            _ => {}
        }
    }

    fn read_object(&self) {
        let (platform, tx, name) = (
            self.platform.clone(),
            self.tx.clone(),
            object_name(&self.id),
        );
        tokio::spawn(async move {
            let input = match platform.read::<GroupImageWire>(&name).await {
                Ok(Some(object)) => LeaderInput::Read(object.version, Some(object.value.into())),
                Ok(None) => LeaderInput::Read(0, None),
                Err(_) => LeaderInput::ReadFailed,
            };
            let _ = tx.send(Input::Leader(input)).await;
        });
    }

    fn write_object(&self, version: u64, image: &GroupImage) {
        let (platform, tx, name) = (
            self.platform.clone(),
            self.tx.clone(),
            object_name(&self.id),
        );
        let wire = GroupImageWire::from(image);
        tokio::spawn(async move {
            let result = match platform.write(&name, version, &wire).await {
                Ok(version) => WriteResult::Written(version),
                Err(PlatformError::Conflict { .. }) => WriteResult::Conflict,
                Err(_) => WriteResult::Unknown,
            };
            let _ = tx.send(Input::Leader(LeaderInput::Written(result))).await;
        });
    }
}

fn object_name(group: &GroupId) -> String {
    format!("wisteriawick/groups/{group}")
}

fn map_name(group: &GroupId, map: MapNumber) -> String {
    format!("wisteriawick/groups/{group}/maps/{map}")
}
