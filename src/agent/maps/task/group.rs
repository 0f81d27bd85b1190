//! Runs one runner's part in its group until the group's declaration changes.
//!
//! The task connects the state machines [`VotingSwitch`] and [`Leader`] to the engine,
//! to the peers and to the group's object on the platform. It does not retry lost
//! messages and orders itself, because the state machines do.

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
use wisteriawick_core::maps::GroupSnapshot;
use wisteriawick_core::maps::Leader;
use wisteriawick_core::maps::LeaderInput;
use wisteriawick_core::maps::LeaderOutput;
use wisteriawick_core::maps::Message;
use wisteriawick_core::maps::VotingInput;
use wisteriawick_core::maps::VotingOutput;
use wisteriawick_core::maps::VotingSwitch;
use wisteriawick_core::uri::encode_component;

pub(crate) use plan::Proposal;

use crate::agent::maps::EngineClient;
use crate::agent::maps::EngineLoadWire;
use crate::agent::maps::GroupMessageWire;
use crate::agent::maps::GroupSnapshotWire;
use crate::agent::maps::task::MapTaskInput;
use crate::agent::maps::task::group::plan::PlanningState;
use crate::command::status::GroupStatus;
use crate::link::Link;
use crate::link::LinkEvent;
use crate::link::StreamRequest;
use crate::link::spawn_dialer;
use crate::node::Node;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// Time between two reads of the engine's state.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads of the peers' addresses from the platform.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(5);
/// Longest time to deliver a message to a peer.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a step after which a group counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for an event while there is no deadline.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(3_600);

/// Runs the switch, the leader and the planning of one runner.
pub(crate) struct GroupTask<E> {
    node: Arc<Node>,
    platform: PlatformClient,
    engine: E,
    id: GroupId,
    group: Group,
    /// Index of this runner in the group.
    me: usize,
    /// Links to the peers, by index; `None` while a link is down.
    links: Vec<Option<Link>>,
    /// Address that was last dialed for each peer.
    dialed: BTreeMap<ProcessId, SocketAddr>,
    switch: VotingSwitch,
    leader: Leader,
    /// Highest term under which this agent led the group.
    last_led_term: Term,
    planning: PlanningState,
    /// When the engine's step last changed, and the step.
    last_step: (Instant, u64),
    tx: mpsc::Sender<MapTaskInput>,
    link_tx: mpsc::Sender<LinkEvent>,
    link_rx: Option<mpsc::Receiver<LinkEvent>>,
    cx: CancellationToken,
}

impl<E: EngineClient> GroupTask<E> {
    #[expect(clippy::too_many_arguments, reason = "the task owns all of these")]
    pub(crate) fn new(
        node: Arc<Node>,
        platform: PlatformClient,
        engine: E,
        id: GroupId,
        group: Group,
        me: usize,
        tx: mpsc::Sender<MapTaskInput>,
        cx: CancellationToken,
    ) -> Self {
        let runners = group.runners.len();
        let (link_tx, link_rx) = mpsc::channel(64);
        let now = node.clock.now();
        Self {
            switch: VotingSwitch::new(me, runners, node.incarnation, MapNumber(0)),
            leader: Leader::new(node.name.clone(), runners),
            planning: PlanningState::new(&group),
            links: vec![None; runners],
            dialed: BTreeMap::new(),
            last_led_term: Term(0),
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
        rx: &mut mpsc::Receiver<MapTaskInput>,
        status: &watch::Sender<Option<GroupStatus>>,
    ) {
        let Some(mut link_rx) = self.link_rx.take() else {
            return;
        };
        self.load_committed_map().await;
        self.handle_voting_input(VotingInput::Start);
        let mut engine_polls = tokio::time::interval(ENGINE_POLL_INTERVAL);
        let mut discoveries = tokio::time::interval(DISCOVERY_INTERVAL);
        let mut plan_rounds = tokio::time::interval(self.group.plan_interval);
        plan_rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            status.send_replace(Some(self.status()));
            let now = self.node.clock.now();
            let due = self.switch.next_deadline();
            let due = due.into_iter().chain(self.leader.next_deadline()).min();
            let wait = due.map_or(MAX_IDLE_WAIT, |at| at.saturating_duration_since(now));
            tokio::select! {
                Some(input) = rx.recv() => self.handle_input(input),
                Some(event) = link_rx.recv() => self.handle_link_event(event),
                _ = engine_polls.tick() => self.poll_engine(),
                _ = discoveries.tick() => self.dial_peers().await,
                _ = plan_rounds.tick() => self.start_planning(),
                () = tokio::time::sleep(wait) => {
                    self.handle_voting_input(VotingInput::Tick);
                    self.handle_leader_input(LeaderInput::Tick);
                }
            }
        }
    }

    /// Reads the committed map, with which the group starts if no engine has any state.
    async fn load_committed_map(&mut self) {
        let committed = self
            .platform
            .read::<GroupSnapshotWire>(&group_object_name(&self.id))
            .await;
        if let Ok(Some(object)) = committed {
            let image = GroupSnapshot::from(object.value);
            let runners = self.group.runners.len();
            let incarnation = self.node.incarnation;
            self.switch = VotingSwitch::new(self.me, runners, incarnation, image.committed);
        }
    }

    fn status(&self) -> GroupStatus {
        let view = self.switch.engine_view();
        GroupStatus {
            group: self.id.to_string(),
            map: view.active.map(|map| map.0),
            step: view.step.0,
            ready: self.switch.is_ready(),
            skew: self.planning.skew.filter(|_| self.is_first_linked()),
            bytes_moved: self.planning.bytes_moved,
            slow_ranks: self.planning.slow_ranks.clone(),
        }
    }

    /// Returns whether this runner is the first one of the group that is linked, as this
    /// runner sees it; that one plans and proposes maps. If two runners both see
    /// themselves as first, the term in the store decides which one leads.
    fn is_first_linked(&self) -> bool {
        self.links[..self.me].iter().all(Option::is_none)
    }

    fn index_of(&self, process: &ProcessId) -> Option<usize> {
        let mut runners = self.group.runners.iter();
        runners.position(|runner| runner.as_str() == process.as_str())
    }

    fn handle_input(&mut self, input: MapTaskInput) {
        match input {
            MapTaskInput::Peer {
                group,
                from,
                incarnation,
                message,
            } => {
                if group == self.id
                    && let Some(from) = self.index_of(&from)
                {
                    self.handle_peer_message(from, incarnation, message);
                }
            }
            MapTaskInput::Load(reply) => {
                let engine = self.engine.clone();
                tokio::spawn(async move {
                    let load = engine.load().await.map(|load| EngineLoadWire {
                        rank_speeds: load.rank_speeds,
                        stalled: load.stalled,
                    });
                    let _ = reply.send(load);
                });
            }
            MapTaskInput::Engine(report) => {
                self.record_engine_report(&report);
                self.handle_voting_input(VotingInput::Engine(report));
            }
            MapTaskInput::Leader(input) => self.handle_leader_input(input),
            MapTaskInput::Planned(forecast, proposal) => self.finish_planning(*forecast, *proposal),
        }
    }

    fn handle_peer_message(&mut self, from: usize, incarnation: Incarnation, message: Message) {
        match message {
            Message::Staged { map, step } => self.handle_leader_input(LeaderInput::Staged {
                from,
                incarnation,
                map,
                step,
            }),
            Message::Superseded(term) => self.handle_leader_input(LeaderInput::Superseded(term)),
            message => self.handle_voting_input(VotingInput::Peer {
                from,
                incarnation,
                message,
            }),
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
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

    /// Reads the engine's state, and reports the runner as stalled if its group has made
    /// no step for too long.
    fn poll_engine(&mut self) {
        self.send_order(EngineOrder::ReadBack);
        let now = self.node.clock.now();
        let view = self.switch.engine_view();
        if view.step.0 != self.last_step.1 {
            self.last_step = (now, view.step.0);
        }
        let stalled = now.saturating_duration_since(self.last_step.0) >= STALL_TIMEOUT;
        if let Some(load) = &self.node.load
            && load.set_stalled(stalled)
        {
            log::warn!("group {}: stalled: {stalled}", self.id);
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
            if self.dialed.get(&listed.id) == Some(&address) {
                continue;
            }
            self.links[index] = None;
            self.dialed.insert(listed.id.clone(), address);
            let (node, events) = (Arc::clone(&self.node), self.link_tx.clone());
            spawn_dialer(node, listed.id, address, events, self.cx.child_token());
        }
    }

    fn handle_voting_input(&mut self, input: VotingInput) {
        let now = self.node.clock.now();
        let mut out = Vec::new();
        self.switch.handle(now, input, &mut out);
        for output in out {
            match output {
                VotingOutput::Send(to, message) => self.send_message(to, message),
                VotingOutput::Order(order) => self.send_order(order),
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
                    self.handle_leader_input(LeaderInput::Decided(ballot, decision));
                }
            }
        }
    }

    fn send_message(&mut self, to: usize, message: Message) {
        let incarnation = self.switch.incarnation();
        if to == self.me {
            let input = MapTaskInput::Peer {
                group: self.id.clone(),
                from: self.node.name.clone(),
                incarnation,
                message,
            };
            // The queue is this task's own, so waiting for room would block it forever.
            // The switch and the leader send lost messages again.
            let _ = self.tx.try_send(input);
            return;
        }
        let Some(link) = self.links[to].clone() else {
            return;
        };
        let wire = GroupMessageWire {
            group: self.id.to_string(),
            incarnation: incarnation.0,
            message: (&message).into(),
        };
        tokio::spawn(async move {
            // The switch and the leader send lost messages again.
            let _ =
                tokio::time::timeout(SEND_TIMEOUT, link.request(&StreamRequest::Map(wire))).await;
        });
    }

    fn send_order(&mut self, order: EngineOrder) {
        let (engine, tx) = (self.engine.clone(), self.tx.clone());
        let (platform, id) = (self.platform.clone(), self.id.clone());
        tokio::spawn(async move {
            let placement = match &order {
                EngineOrder::Stage(_, map) => {
                    match platform
                        .read::<Vec<Vec<u16>>>(&map_object_name(&id, *map))
                        .await
                    {
                        Ok(Some(object)) => Some(object.value),
                        Ok(None) | Err(_) => {
                            let report = EngineReport::Unknown(order);
                            let _ = tx.send(MapTaskInput::Engine(report)).await;
                            return;
                        }
                    }
                }
                _ => None,
            };
            let report = engine.order(order, placement).await;
            let _ = tx.send(MapTaskInput::Engine(report)).await;
        });
    }

    fn record_engine_report(&self, report: &EngineReport) {
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

    fn handle_leader_input(&mut self, input: LeaderInput) {
        let now = self.node.clock.now();
        let mut out = Vec::new();
        self.leader.handle(now, input, &mut out);
        for output in out {
            match output {
                LeaderOutput::Read => self.read_group_object(),
                LeaderOutput::Write(version, image) => self.write_group_object(version, &image),
                LeaderOutput::SendAll(message) => {
                    self.record_leader_message(&message);
                    for to in 0..self.group.runners.len() {
                        self.send_message(to, message.clone());
                    }
                }
                LeaderOutput::Finished(map) => self.planning.proposal_finished(map),
                LeaderOutput::Aborted(map) => {
                    log::warn!(
                        "group {}: map {map} was aborted; the previous map stays in use",
                        self.id
                    );
                    self.planning.proposal_aborted();
                }
            }
        }
    }

    fn record_leader_message(&mut self, message: &Message) {
        let group = self.id.clone();
        match message {
            Message::Stage { term, .. } if *term > self.last_led_term => {
                self.last_led_term = *term;
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

    fn read_group_object(&self) {
        let (platform, tx, name) = (
            self.platform.clone(),
            self.tx.clone(),
            group_object_name(&self.id),
        );
        tokio::spawn(async move {
            let input = match platform.read::<GroupSnapshotWire>(&name).await {
                Ok(Some(object)) => LeaderInput::Read(object.version, Some(object.value.into())),
                Ok(None) => LeaderInput::Read(0, None),
                Err(_) => LeaderInput::ReadFailed,
            };
            let _ = tx.send(MapTaskInput::Leader(input)).await;
        });
    }

    fn write_group_object(&self, version: u64, image: &GroupSnapshot) {
        let (platform, tx, name) = (
            self.platform.clone(),
            self.tx.clone(),
            group_object_name(&self.id),
        );
        let wire = GroupSnapshotWire::from(image);
        tokio::spawn(async move {
            let result = match platform.write(&name, version, &wire).await {
                Ok(version) => WriteResult::Written(version),
                Err(PlatformError::Conflict { .. }) => WriteResult::Conflict,
                Err(_) => WriteResult::Unknown,
            };
            let _ = tx
                .send(MapTaskInput::Leader(LeaderInput::Written(result)))
                .await;
        });
    }
}

fn group_object_name(group: &GroupId) -> String {
    format!("wisteriawick/groups/{}", encode_component(group.as_str()))
}

fn map_object_name(group: &GroupId, map: MapNumber) -> String {
    format!("{}/maps/{map}", group_object_name(group))
}
