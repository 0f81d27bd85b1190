//! The task that keeps track of the group to which the agent's runner belongs.
//!
//! While a group is declared for the runner, the task runs a [`GroupTask`]. When a
//! ticket changes the declaration of the group, it starts a new one.

mod group;

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::fleet::Fleet;
use wisteriawick_core::fleet::Group;
use wisteriawick_core::ids::GroupId;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::maps::EngineReport;
use wisteriawick_core::maps::Forecast;
use wisteriawick_core::maps::LeaderInput;
use wisteriawick_core::maps::Message;

use crate::agent::maps::EngineClient;
use crate::agent::maps::EngineLoadWire;
use crate::agent::maps::GroupMessageWire;
use crate::agent::maps::task::group::GroupTask;
use crate::agent::maps::task::group::Proposal;
use crate::command::status::GroupStatus;
use crate::link::AcceptedLink;
use crate::node::Node;
use crate::platform::PlatformClient;

/// Capacity of the task's input queue.
const QUEUE_CAPACITY: usize = 1_024;

/// An input of the task.
pub(crate) enum MapTaskInput {
    /// A runner of the group sent a message.
    Peer {
        group: GroupId,
        from: ProcessId,
        incarnation: Incarnation,
        message: Message,
    },
    /// A peer requests the engine's load.
    Load(oneshot::Sender<Option<EngineLoadWire>>),
    /// The engine responded to an order.
    Engine(EngineReport),
    /// The store responded to the leader.
    Leader(LeaderInput),
    /// A round of planning ended. If it found a plan, the plan is written to the store
    /// and can be proposed.
    Planned(Box<Forecast>, Box<Option<Proposal>>),
}

/// A handle to the task of the group's expert map.
#[derive(Clone, Debug)]
pub struct MapHandle {
    tx: mpsc::Sender<MapTaskInput>,
    status: watch::Receiver<Option<GroupStatus>>,
}

impl MapHandle {
    pub(crate) fn spawn<E: EngineClient>(
        node: Arc<Node>,
        platform: PlatformClient,
        engine: E,
        cx: CancellationToken,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        let status = watch::Sender::new(None);
        let handle = Self {
            tx: tx.clone(),
            status: status.subscribe(),
        };
        let task = MapTask {
            node,
            platform,
            engine,
            tx,
            rx,
            status,
            cx: cx.clone(),
        };
        tokio::spawn(async move {
            tokio::select! {
                () = task.run() => {}
                () = cx.cancelled() => {}
            }
        });
        handle
    }

    /// Receives a message of another runner.
    pub(crate) async fn receive_message(&self, from: &AcceptedLink, wire: GroupMessageWire) {
        let input = MapTaskInput::Peer {
            group: GroupId::new(wire.group),
            from: from.peer.clone(),
            incarnation: Incarnation(wire.incarnation),
            message: wire.message.into(),
        };
        let _ = self.tx.send(input).await;
    }

    /// Returns the load that the engine reports; `None` if it reports none or the runner
    /// belongs to no group.
    pub(crate) async fn load(&self) -> Option<EngineLoadWire> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(MapTaskInput::Load(tx)).await.ok()?;
        rx.await.ok()?
    }

    /// Returns the state of the group's map, if the runner belongs to a group.
    pub fn status(&self) -> Option<GroupStatus> {
        self.status.borrow().clone()
    }

    /// Returns a receiver of the state that [`Self::status`] returns.
    pub fn subscribe(&self) -> watch::Receiver<Option<GroupStatus>> {
        self.status.clone()
    }
}

/// Runs a [`GroupTask`] for the group that the runner belongs to.
struct MapTask<E> {
    node: Arc<Node>,
    platform: PlatformClient,
    engine: E,
    tx: mpsc::Sender<MapTaskInput>,
    rx: mpsc::Receiver<MapTaskInput>,
    status: watch::Sender<Option<GroupStatus>>,
    cx: CancellationToken,
}

impl<E: EngineClient> MapTask<E> {
    async fn run(mut self) {
        let mut config = self.node.config.subscribe();
        loop {
            let own_group = self.find_own_group();
            let Some((id, group, me)) = own_group.clone() else {
                self.status.send_replace(None);
                self.wait_for_config_change(&mut config).await;
                continue;
            };
            let cx = self.cx.child_token();
            let task = GroupTask::new(
                Arc::clone(&self.node),
                self.platform.clone(),
                self.engine.clone(),
                id,
                group,
                me,
                self.tx.clone(),
                cx.clone(),
            );
            let changed = async {
                loop {
                    if config.changed().await.is_err() {
                        std::future::pending::<()>().await;
                    }
                    config.mark_unchanged();
                    if find_group(&self.node.config.fleet(), &self.node.name) != own_group {
                        return;
                    }
                }
            };
            tokio::select! {
                () = task.run(&mut self.rx, &self.status) => {}
                () = changed => {}
            }
            cx.cancel();
        }
    }

    fn find_own_group(&self) -> Option<(GroupId, Group, usize)> {
        find_group(&self.node.config.fleet(), &self.node.name)
    }

    /// Waits for a change of the configuration while the runner belongs to no group, and
    /// replies to requests for the load that there is none.
    async fn wait_for_config_change(
        &mut self,
        config: &mut watch::Receiver<wisteriawick_core::ticket::ConfigState>,
    ) {
        loop {
            tokio::select! {
                changed = config.changed() => {
                    config.mark_unchanged();
                    if changed.is_err() {
                        std::future::pending::<()>().await;
                    }
                    return;
                }
                input = self.rx.recv() => {
                    if let Some(MapTaskInput::Load(reply)) = input {
                        let _ = reply.send(None);
                    }
                }
            }
        }
    }
}

fn find_group(fleet: &Fleet, runner: &ProcessId) -> Option<(GroupId, Group, usize)> {
    fleet.groups.iter().find_map(|(id, group)| {
        let me = group
            .runners
            .iter()
            .position(|member| member.as_str() == runner.as_str())?;
        Some((id.clone(), group.clone(), me))
    })
}
