//! The task that owns the membership and the links of an entry.
//!
//! It reads the platform's list of processes, keeps a link to each of them, and
//! publishes the result as a [`LinkTable`]. It reports changes and heartbeats of
//! agents to the router task, and exchanges heads (the tickets in force) with peers
//! whose heartbeats show an older or a newer one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::event::EventKind;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::RunnerId;
use wisteriawick_core::membership::Input;
use wisteriawick_core::membership::ListedProcess;
use wisteriawick_core::membership::MemberState;
use wisteriawick_core::membership::Membership;
use wisteriawick_core::membership::Output;
use wisteriawick_core::membership::Role;
use wisteriawick_core::router::RunnerState;

use crate::agent::head_json;
use crate::agent::put_head;
use crate::entry::router_task::RouterHandle;
use crate::entry::router_task::RunnerChange;
use crate::entry::watcher::with_jitter;
use crate::link::Heartbeat;
use crate::link::Link;
use crate::link::LinkEvent;
use crate::link::Reply;
use crate::link::StreamRequest;
use crate::link::spawn_dialer;
use crate::node::Node;
use crate::platform::PlatformClient;

/// Capacity of the queue of link events.
const QUEUE_CAPACITY: usize = 1_024;
/// Timeout for sending a head over a link, or fetching one.
const HEAD_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// A known process, as published to other tasks.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) listed: ListedProcess,
    pub(crate) state: MemberState,
    pub(crate) link: Option<Link>,
    /// Number of the ticket in force there, by its last heartbeat; 0 while not known.
    pub(crate) ticket: u64,
}

/// The known processes and their links, and the entries that can own ledger shards.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkTable {
    pub(crate) peers: Arc<BTreeMap<ProcessId, Peer>>,
    /// Live entries, including this one.
    pub(crate) entries: Arc<Vec<ProcessId>>,
}

impl LinkTable {
    /// Returns the link to a process, if one is open.
    pub(crate) fn link(&self, process: &ProcessId) -> Option<&Link> {
        self.peers.get(process)?.link.as_ref()
    }

    /// Returns the state of a process, if it is known.
    pub(crate) fn state(&self, process: &ProcessId) -> Option<MemberState> {
        self.peers.get(process).map(|peer| peer.state)
    }

    /// Returns the number of agents with an open link.
    pub(crate) fn linked_agents(&self) -> usize {
        self.peers
            .values()
            .filter(|peer| matches!(peer.listed.role, Role::Agent(_)) && peer.link.is_some())
            .count()
    }
}

/// The state of the task.
pub(crate) struct Directory {
    node: Arc<Node>,
    platform: PlatformClient,
    membership: Membership,
    dialers: BTreeMap<ProcessId, CancellationToken>,
    links: BTreeMap<ProcessId, Link>,
    /// Number of the ticket in force at each process, by its last heartbeat.
    tickets: BTreeMap<ProcessId, u64>,
    /// Agents that have had a working link since they were first listed.
    ever_up: BTreeSet<ProcessId>,
    router: RouterHandle,
    events: mpsc::Sender<LinkEvent>,
    table: watch::Sender<LinkTable>,
    cx: CancellationToken,
}

impl Directory {
    /// Starts the task and returns the table that it publishes.
    pub(crate) fn spawn(
        node: Arc<Node>,
        platform: PlatformClient,
        list_interval: Duration,
        router: RouterHandle,
        cx: CancellationToken,
    ) -> watch::Receiver<LinkTable> {
        let (events, rx) = mpsc::channel(QUEUE_CAPACITY);
        let table = watch::Sender::new(LinkTable {
            entries: Arc::new(vec![node.name.clone()]),
            ..LinkTable::default()
        });
        let receiver = table.subscribe();
        let directory = Self {
            membership: Membership::new(node.name.clone()),
            node,
            platform,
            dialers: BTreeMap::new(),
            links: BTreeMap::new(),
            tickets: BTreeMap::new(),
            ever_up: BTreeSet::new(),
            router,
            events,
            table,
            cx,
        };
        tokio::spawn(directory.run(list_interval, rx));
        receiver
    }

    async fn run(mut self, list_interval: Duration, mut rx: mpsc::Receiver<LinkEvent>) {
        let mut lists = self.spawn_lister(list_interval);
        let mut config = self.node.config.subscribe();
        let cx = self.cx.clone();
        loop {
            let now = self.node.clock.now();
            let wait = self
                .membership
                .next_deadline()
                .map_or(list_interval, |at| at.saturating_duration_since(now));
            tokio::select! {
                Some(event) = rx.recv() => self.handle_link_event(event).await,
                Some(list) = lists.recv() => self.handle(Input::List(list)).await,
                Ok(()) = config.changed() => {
                    config.mark_unchanged();
                    self.push_head_to_all();
                }
                () = tokio::time::sleep(wait) => self.handle(Input::Tick).await,
                () = cx.cancelled() => return,
            }
        }
    }

    /// Starts a task that reads the platform's list at intervals, so that a slow read does not
    /// block this one.
    fn spawn_lister(&self, interval: Duration) -> mpsc::Receiver<Vec<ListedProcess>> {
        let (tx, rx) = mpsc::channel(1);
        let platform = self.platform.clone();
        let cx = self.cx.clone();
        tokio::spawn(async move {
            loop {
                if let Ok(list) = platform.instances().await
                    && tx.send(list).await.is_err()
                {
                    return;
                }
                tokio::select! {
                    () = tokio::time::sleep(with_jitter(interval)) => {}
                    () = cx.cancelled() => return,
                }
            }
        });
        rx
    }

    async fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(peer, link) => {
                let incarnation = link.incarnation;
                self.links.insert(peer.clone(), link);
                self.handle(Input::LinkUp(peer, incarnation)).await;
            }
            LinkEvent::Down(peer) => {
                self.links.remove(&peer);
                self.handle(Input::LinkDown(peer)).await;
            }
            LinkEvent::Heartbeat(peer, heartbeat) => self.handle_heartbeat(peer, heartbeat).await,
        }
    }

    async fn handle_heartbeat(&mut self, peer: ProcessId, heartbeat: Heartbeat) {
        let known = self.membership.members().find(|(m, _)| m.id == peer);
        let Some(role) = known.map(|(member, _)| member.role.clone()) else {
            return;
        };
        match role {
            Role::Entry => {
                if self
                    .node
                    .config
                    .compare_digest(self.node.clock.now(), &heartbeat)
                {
                    self.fetch_head_from(&peer);
                }
            }
            Role::Agent(service) => self.router.report(&service, &peer, &heartbeat).await,
        }
        if heartbeat.ticket < self.node.config.state().number().0 {
            self.push_head_to(&peer);
        }
        let leaving = heartbeat.leaving;
        if self.tickets.insert(peer.clone(), heartbeat.ticket) != Some(heartbeat.ticket) {
            self.publish();
        }
        let was_leaving = self.membership.state(&peer) == Some(MemberState::Leaving);
        if leaving != was_leaving {
            self.handle(Input::Leaving(peer, leaving)).await;
        }
    }

    async fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.membership
            .handle(self.node.clock.now(), input, &mut out);
        for output in out {
            self.execute(output).await;
        }
        self.publish();
    }

    async fn execute(&mut self, output: Output) {
        match output {
            Output::Dial(listed) => self.dial(&listed),
            Output::CloseLink(id) => {
                if let Some(dialer) = self.dialers.remove(&id) {
                    dialer.cancel();
                }
                self.links.remove(&id);
            }
            Output::Changed(id, state) => self.member_changed(&id, state).await,
            Output::Removed(id) => {
                self.tickets.remove(&id);
                self.ever_up.remove(&id);
                let runner = RunnerId::new(id.as_str());
                self.router.update_runner(runner, RunnerChange::Gone).await;
            }
        }
    }

    fn dial(&mut self, listed: &ListedProcess) {
        let Ok(address) = listed.address.parse::<SocketAddr>() else {
            log::warn!(
                "instance {} has the address {:?}; list an IP address and a port",
                listed.id,
                listed.address
            );
            return;
        };
        let cx = self.cx.child_token();
        if let Some(former) = self.dialers.insert(listed.id.clone(), cx.clone()) {
            former.cancel();
            self.links.remove(&listed.id);
        }
        let node = Arc::clone(&self.node);
        spawn_dialer(node, listed.id.clone(), address, self.events.clone(), cx);
    }

    async fn member_changed(&mut self, id: &ProcessId, state: MemberState) {
        let Some((member, _)) = self.membership.members().find(|(m, _)| m.id == *id) else {
            return;
        };
        let Role::Agent(service) = member.role.clone() else {
            return;
        };
        let place = member.place.clone();
        let runner = RunnerId::new(id.as_str());
        let (state, event) = match state {
            MemberState::Up => (RunnerState::Up, EventKind::RunnerUp(runner.clone())),
            MemberState::Suspect => (
                RunnerState::Suspect,
                EventKind::RunnerSuspect(runner.clone()),
            ),
            MemberState::Leaving => (
                RunnerState::Leaving,
                EventKind::RunnerLeaving(runner.clone()),
            ),
        };
        // A runner that never had a link is new, not lost; its state is no event.
        let new = state == RunnerState::Suspect && !self.ever_up.contains(id);
        if state == RunnerState::Up {
            self.ever_up.insert(id.clone());
        }
        if !new {
            self.node.timeline.record(event);
        }
        let change = RunnerChange::State {
            service,
            place,
            state,
        };
        self.router.update_runner(runner, change).await;
    }

    fn publish(&self) {
        let peers = self
            .membership
            .members()
            .map(|(listed, state)| {
                let peer = Peer {
                    listed: listed.clone(),
                    state,
                    link: self.links.get(&listed.id).cloned(),
                    ticket: self.tickets.get(&listed.id).copied().unwrap_or(0),
                };
                (listed.id.clone(), peer)
            })
            .collect();
        self.table.send_replace(LinkTable {
            peers: Arc::new(peers),
            entries: Arc::new(self.membership.live_entries()),
        });
    }

    fn push_head_to_all(&self) {
        for peer in self.links.keys() {
            self.push_head_to(peer);
        }
    }

    /// Sends the head in force to a peer, without retries: while the peer reports an older
    /// ticket, each of its heartbeats causes another push.
    fn push_head_to(&self, peer: &ProcessId) {
        let Some(link) = self.links.get(peer).cloned() else {
            return;
        };
        let json = head_json(&self.node);
        tokio::spawn(async move {
            let request = StreamRequest::PutHead(json);
            let _ = tokio::time::timeout(HEAD_TRANSFER_TIMEOUT, link.request(&request)).await;
        });
    }

    /// Fetches the head of a peer that has a newer one and adopts it.
    fn fetch_head_from(&self, peer: &ProcessId) {
        let Some(link) = self.links.get(peer).cloned() else {
            return;
        };
        let node = Arc::clone(&self.node);
        tokio::spawn(async move {
            let response =
                tokio::time::timeout(HEAD_TRANSFER_TIMEOUT, link.request(&StreamRequest::GetHead))
                    .await;
            if let Ok(Ok(Reply::Config(json))) = response
                && !json.is_empty()
            {
                put_head(&node, &json);
            }
        });
    }
}
