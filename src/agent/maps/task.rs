//! The task that owns the switch, the leader and the plan of one runner.

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

/// Messages that wait for the task.
const QUEUE: usize = 1_024;

/// What the task is told.
pub(crate) enum Input {
    /// A runner of the group says something.
    Peer {
        group: GroupId,
        from: ProcessId,
        life: Incarnation,
        message: Message,
    },
    /// Somebody asks for the engine's load.
    Load(oneshot::Sender<Option<EngineLoadWire>>),
    /// The engine answered.
    Engine(EngineReport),
    /// The store answered the leader.
    Leader(LeaderInput),
    /// A round of planning is over; a plan in it is written and can be proposed.
    Planned(Box<Forecast>, Box<Option<Proposal>>),
}

/// A handle to the task.
#[derive(Clone, Debug)]
pub struct MapHandle {
    tx: mpsc::Sender<Input>,
    status: watch::Receiver<Option<GroupStatus>>,
}

impl MapHandle {
    pub(crate) fn spawn<E: EngineClient>(
        node: Arc<Node>,
        platform: PlatformClient,
        engine: E,
        cx: CancellationToken,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE);
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

    /// Takes a message of another runner.
    pub(crate) async fn message(&self, from: &AcceptedLink, wire: GroupMessageWire) {
        let input = Input::Peer {
            group: GroupId::new(wire.group),
            from: from.peer.clone(),
            life: Incarnation(wire.life),
            message: wire.message.into(),
        };
        let _ = self.tx.send(input).await;
    }

    /// Returns what the engine reports of its load.
    pub(crate) async fn load(&self) -> Option<EngineLoadWire> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Input::Load(tx)).await.ok()?;
        rx.await.ok()?
    }

    /// Returns the state of the group's map, if the runner belongs to a group.
    pub fn status(&self) -> Option<GroupStatus> {
        self.status.borrow().clone()
    }

    /// Returns a receiver of that state.
    pub fn subscribe(&self) -> watch::Receiver<Option<GroupStatus>> {
        self.status.clone()
    }
}

/// Follows which group the runner belongs to.
struct MapTask<E> {
    node: Arc<Node>,
    platform: PlatformClient,
    engine: E,
    tx: mpsc::Sender<Input>,
    rx: mpsc::Receiver<Input>,
    status: watch::Sender<Option<GroupStatus>>,
    cx: CancellationToken,
}

impl<E: EngineClient> MapTask<E> {
    async fn run(mut self) {
        let mut config = self.node.config.subscribe();
        loop {
            let declared = self.declared();
            let Some((id, group, me)) = declared.clone() else {
                self.status.send_replace(None);
                self.answer_nothing(&mut config).await;
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
                    if find_group(&self.node.config.fleet(), &self.node.name) != declared {
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

    fn declared(&self) -> Option<(GroupId, Group, usize)> {
        find_group(&self.node.config.fleet(), &self.node.name)
    }

    /// Without a group there is nothing to say; waits for another ticket.
    async fn answer_nothing(
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
                    if let Some(Input::Load(reply)) = input {
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
            .position(|held| held.as_str() == runner.as_str())?;
        Some((id.clone(), group.clone(), me))
    })
}
