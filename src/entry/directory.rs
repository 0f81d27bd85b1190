//! The task that owns the membership and the links of an entry.

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
use crate::entry::watcher::jittered;
use crate::link::Heartbeat;
use crate::link::Link;
use crate::link::LinkEvent;
use crate::link::Reply;
use crate::link::StreamRequest;
use crate::link::spawn_dialer;
use crate::node::Node;
use crate::platform::PlatformClient;

/// Events of links that wait for the task.
const QUEUE: usize = 1_024;
/// Longest time to hand a head over a link.
const PUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// A known process, as other tasks see it.
#[derive(Clone, Debug)]
pub(crate) struct Neighbour {
    pub(crate) listed: ListedProcess,
    pub(crate) state: MemberState,
    pub(crate) link: Option<Link>,
    /// Number of the ticket that it has in force, as far as known.
    pub(crate) ticket: u64,
}

/// The known processes by name, and which of them can own ledger shards.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkTable {
    pub(crate) neighbours: Arc<BTreeMap<ProcessId, Neighbour>>,
    pub(crate) entries: Arc<Vec<ProcessId>>,
}

impl LinkTable {
    /// Returns the open link to a process.
    pub(crate) fn link(&self, process: &ProcessId) -> Option<&Link> {
        self.neighbours.get(process)?.link.as_ref()
    }

    /// Returns the state of a process.
    pub(crate) fn state(&self, process: &ProcessId) -> Option<MemberState> {
        self.neighbours.get(process).map(|n| n.state)
    }

    /// Returns the number of agents with an open link.
    pub(crate) fn linked_agents(&self) -> usize {
        self.neighbours
            .values()
            .filter(|n| matches!(n.listed.role, Role::Agent(_)) && n.link.is_some())
            .count()
    }
}

/// The task.
pub(crate) struct Directory {
    node: Arc<Node>,
    platform: PlatformClient,
    membership: Membership,
    dialers: BTreeMap<ProcessId, CancellationToken>,
    links: BTreeMap<ProcessId, Link>,
    tickets: BTreeMap<ProcessId, u64>,
    /// Agents that had a link since they were first listed.
    seen_up: BTreeSet<ProcessId>,
    router: RouterHandle,
    events: mpsc::Sender<LinkEvent>,
    table: watch::Sender<LinkTable>,
    cx: CancellationToken,
}

impl Directory {
    /// Starts the task; returns the table that it keeps.
    pub(crate) fn spawn(
        node: Arc<Node>,
        platform: PlatformClient,
        list_every: Duration,
        router: RouterHandle,
        cx: CancellationToken,
    ) -> watch::Receiver<LinkTable> {
        let (events, rx) = mpsc::channel(QUEUE);
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
            seen_up: BTreeSet::new(),
            router,
            events,
            table,
            cx,
        };
        tokio::spawn(directory.run(list_every, rx));
        receiver
    }

    async fn run(mut self, list_every: Duration, mut rx: mpsc::Receiver<LinkEvent>) {
        let mut lists = self.spawn_lister(list_every);
        let mut config = self.node.config.subscribe();
        let cx = self.cx.clone();
        loop {
            let now = self.node.clock.now();
            let wait = self
                .membership
                .next_deadline()
                .map_or(list_every, |at| at.saturating_duration_since(now));
            tokio::select! {
                Some(event) = rx.recv() => self.link_event(event).await,
                Some(list) = lists.recv() => self.handle(Input::List(list)).await,
                Ok(()) = config.changed() => {
                    config.mark_unchanged();
                    self.push_to_all();
                }
                () = tokio::time::sleep(wait) => self.handle(Input::Tick).await,
                () = cx.cancelled() => return,
            }
        }
    }

    /// Reads the platform's list again and again, without holding the task up.
    fn spawn_lister(&self, every: Duration) -> mpsc::Receiver<Vec<ListedProcess>> {
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
                    () = tokio::time::sleep(jittered(every)) => {}
                    () = cx.cancelled() => return,
                }
            }
        });
        rx
    }

    async fn link_event(&mut self, event: LinkEvent) {
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
            LinkEvent::Heartbeat(peer, beat) => self.beat(peer, beat).await,
        }
    }

    async fn beat(&mut self, peer: ProcessId, beat: Heartbeat) {
        let known = self.membership.members().find(|(m, _)| m.id == peer);
        let Some(role) = known.map(|(member, _)| member.role.clone()) else {
            return;
        };
        match role {
            Role::Entry => {
                if self
                    .node
                    .config
                    .compare_digest(self.node.clock.now(), &beat)
                {
                    self.fetch_from(&peer);
                }
            }
            Role::Agent(service) => self.router.report(&service, &peer, &beat).await,
        }
        if beat.ticket < self.node.config.state().number().0 {
            self.push_to(&peer);
        }
        let leaving = beat.leaving;
        if self.tickets.insert(peer.clone(), beat.ticket) != Some(beat.ticket) {
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
            self.carry_out(output).await;
        }
        self.publish();
    }

    async fn carry_out(&mut self, output: Output) {
        match output {
            Output::Dial(listed) => self.dial(&listed),
            Output::CloseLink(id) => {
                if let Some(dialer) = self.dialers.remove(&id) {
                    dialer.cancel();
                }
                self.links.remove(&id);
            }
            Output::Changed(id, state) => self.changed(&id, state).await,
            Output::Removed(id) => {
                self.tickets.remove(&id);
                self.seen_up.remove(&id);
                let runner = RunnerId::new(id.as_str());
                self.router.runner(runner, RunnerChange::Gone).await;
            }
        }
    }

    fn dial(&mut self, listed: &ListedProcess) {
        let Ok(address) = listed.address.parse::<SocketAddr>() else {
            log::warn!(
                "instance {} has the address {:?}; list an IP number and a port",
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

    async fn changed(&mut self, id: &ProcessId, state: MemberState) {
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
        // A runner that was never linked is not lost.
        let new = state == RunnerState::Suspect && !self.seen_up.contains(id);
        if state == RunnerState::Up {
            self.seen_up.insert(id.clone());
        }
        if !new {
            self.node.timeline.record(event);
        }
        let change = RunnerChange::State {
            service,
            place,
            state,
        };
        self.router.runner(runner, change).await;
    }

    fn publish(&self) {
        let neighbours = self
            .membership
            .members()
            .map(|(listed, state)| {
                let neighbour = Neighbour {
                    listed: listed.clone(),
                    state,
                    link: self.links.get(&listed.id).cloned(),
                    ticket: self.tickets.get(&listed.id).copied().unwrap_or(0),
                };
                (listed.id.clone(), neighbour)
            })
            .collect();
        self.table.send_replace(LinkTable {
            neighbours: Arc::new(neighbours),
            entries: Arc::new(self.membership.live_entries()),
        });
    }

    fn push_to_all(&self) {
        for peer in self.links.keys() {
            self.push_to(peer);
        }
    }

    /// Hands the head in force to a peer; a later heartbeat shows whether it came.
    fn push_to(&self, peer: &ProcessId) {
        let Some(link) = self.links.get(peer).cloned() else {
            return;
        };
        let json = head_json(&self.node);
        tokio::spawn(async move {
            let open = StreamRequest::PutHead(json);
            let _ = tokio::time::timeout(PUSH_TIMEOUT, link.request(&open)).await;
        });
    }

    /// Takes the head of a peer that has a newer one.
    fn fetch_from(&self, peer: &ProcessId) {
        let Some(link) = self.links.get(peer).cloned() else {
            return;
        };
        let node = Arc::clone(&self.node);
        tokio::spawn(async move {
            let asked =
                tokio::time::timeout(PUSH_TIMEOUT, link.request(&StreamRequest::GetHead)).await;
            if let Ok(Ok(Reply::Config(json))) = asked
                && !json.is_empty()
            {
                put_head(&node, &json);
            }
        });
    }
}
