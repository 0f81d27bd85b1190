//! The leader of a group, which is the agent of rank 0.
//!
//! It links to the agents of all other ranks, gathers their states and counts,
//! plans expert maps, changes the group to them with [`HoldSwitch`], and
//! publishes the group's load for the entries.
//!
//! [`HoldSwitch`]: wisteriawick_core::maps::HoldSwitch

mod leadership;
mod planning;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use metrics::histogram;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gateway::ExpertLayout;
use wisteriawick_core::hosting::HostSettings;
use wisteriawick_core::maps::HoldInput;
use wisteriawick_core::maps::HoldOutput;
use wisteriawick_core::maps::PendingHold;
use wisteriawick_core::maps::RankOrder;
use wisteriawick_core::time::SharedClock;
use wisteriawick_platform::EngineState;
use wisteriawick_platform::Freshness;
use wisteriawick_platform::RunnerApi;
use wisteriawick_platform::StoreClient;

use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::rank::group_load::GroupLoad;
use crate::rank::leader::leadership::Leadership;
use crate::rank::leader::leadership::MemberLink;
use crate::rank::member::MemberHandle;
use crate::rank::member::OwnRank;
use crate::rank::order::EpochOrder;
use crate::rank::order::execute_order;
use crate::rank::peers::PeerDialer;
use crate::rank::peers::PeerEvent;
use crate::rank::wire::LoadWire;
use crate::rank::wire::MemberMessage;
use crate::rank::wire::link_port;
use crate::telemetry;

/// Time between two steps of the switch without other inputs.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two readings of the runners and the declaration from the store.
const REFRESH_INTERVAL: Duration = Duration::from_secs(4);
/// Longest wait for the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time that a leader which is told to stop goes on to release a held pass; at
/// most half of the grace period. A change takes a fraction of a second, and members
/// resolve a hold that stays longer.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Most events of the links that wait for the leader.
const EVENT_QUEUE_CAPACITY: usize = 256;

/// A signal to stop that reached the leader.
struct Stopping {
    since: Instant,
    /// What a hold waited for at that time.
    hold: Option<PendingHold>,
}

impl Stopping {
    fn new(leadership: &Leadership, now: Instant) -> Self {
        Self {
            since: now,
            hold: leadership.switch.pending_hold(),
        }
    }
}

/// Returns the name of a hold's state in the log.
fn hold_name(hold: PendingHold) -> &'static str {
    match hold {
        PendingHold::Ordered => "ordered",
        PendingHold::WithoutMap => "without map",
        PendingHold::Unarmed => "unarmed",
        PendingHold::Unreleased => "unreleased",
    }
}

/// The state of the leader task, which waits as long as this agent does not lead.
pub(crate) struct LeaderTask {
    settings: HostSettings,
    clock: SharedClock,
    log: EventLog,
    member: MemberHandle,
    store: StoreClient,
    /// How the group's service lays out experts; `None` until it has been read.
    layout: Option<ExpertLayout>,
    /// Longest pause between events that all streams of the group's service allow.
    max_event_gap: Option<Duration>,
    /// The group's load, for entries.
    load: watch::Sender<Option<GroupLoad>>,
}

impl LeaderTask {
    pub(crate) fn new(
        settings: HostSettings,
        clock: SharedClock,
        log: EventLog,
        member: MemberHandle,
        load: watch::Sender<Option<GroupLoad>>,
    ) -> Self {
        Self {
            store: StoreClient::new(settings.store),
            settings,
            clock,
            log,
            member,
            layout: None,
            max_event_gap: None,
            load,
        }
    }

    /// Leads whenever this agent's runner is rank 0, until `stop` is cancelled and no
    /// pass is held.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        loop {
            let own = self.member.own.borrow_and_update().clone();
            if let Some(own) = own
                && own.state.rank == 0
                && own.state.size > 1
            {
                let fields = json!({"group": own.state.group, "size": own.state.size});
                self.log.line(EventCategory::State, "leads", fields);
                self.lead(own, &stop).await;
                self.load.send_replace(None);
            }
            if stop.is_cancelled() {
                return;
            }
            tokio::select! {
                changed = self.member.own.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = stop.cancelled() => return,
            }
        }
    }

    /// Leads until this agent's rank changes, or `stop` is cancelled and the group is
    /// not held.
    async fn lead(&mut self, own: OwnRank, stop: &CancellationToken) {
        // The links outlast the signal to stop, since a held pass needs them.
        let links_end = CancellationToken::new();
        let _end_links = links_end.clone().drop_guard();
        let mut stopping = None;
        let (events_tx, mut events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let mut counts = self.member.counts();
        let mut leadership = Leadership::new(&own, &self.settings, events_tx, self.clock.now());
        if let Some(layout) = &self.layout {
            self.member
                .set_count_interval(leadership.set_layout(layout).counts);
        }
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.update_own(&mut leadership, &own);
        loop {
            tokio::select! {
                changed = self.member.own.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let own = self.member.own.borrow_and_update().clone();
                    match own {
                        Some(own) if leadership.matches(&own) => {
                            self.update_own(&mut leadership, &own)
                        }
                        _ => return,
                    }
                }
                event = events.recv() => {
                    if let Some(event) = event {
                        self.handle_event(&mut leadership, event);
                    }
                }
                reading = counts.recv() => {
                    if let Ok(reading) = reading {
                        leadership
                            .counts
                            .add(reading.epoch, reading.pass, reading.chosen);
                    }
                }
                _ = ticks.tick() => {
                    self.handle_input(&mut leadership, HoldInput::Tick);
                    self.plan(&mut leadership);
                    self.log_pace(&mut leadership);
                    if stopping.is_none() {
                        tokio::select! {
                            () = self.refresh(&mut leadership, &links_end) => {}
                            () = stop.cancelled() => {}
                        }
                    }
                }
                () = stop.cancelled(), if stopping.is_none() => {
                    stopping = Some(Stopping::new(&leadership, self.clock.now()));
                    self.handle_input(&mut leadership, HoldInput::Stop);
                }
            }
            if let Some(stopping) = &stopping
                && self.may_end(&leadership, stopping)
            {
                return;
            }
        }
    }

    /// Returns whether a leader that is told to stop may end, and logs if so what it
    /// leaves.
    fn may_end(&self, leadership: &Leadership, stopping: &Stopping) -> bool {
        let pending = leadership.switch.pending_hold();
        let took = self.clock.now().saturating_duration_since(stopping.since);
        let limit = RELEASE_TIMEOUT.min(self.settings.bounds.grace / 2);
        if pending.is_some() && took < limit {
            return false;
        }
        let category = match pending {
            None => EventCategory::State,
            Some(_) => EventCategory::Failure,
        };
        let fields = json!({
            "group": leadership.group,
            "hold_at_stop": stopping.hold.map(hold_name),
            "hold_left": pending.map(hold_name),
            "took_ms": took.as_micros() as f64 / 1000.0,
        });
        self.log.line(category, "leader_stopped", fields);
        true
    }

    /// Handles a new state of this agent's own rank.
    fn update_own(&self, leadership: &mut Leadership, own: &OwnRank) {
        if let Some(experts) = &own.experts {
            leadership.experts[0] = Some(experts.clone());
        }
        self.publish_load(leadership, own);
        self.handle_input(leadership, HoldInput::View(0, own.state.view.clone()));
    }

    fn handle_event(&self, leadership: &mut Leadership, event: PeerEvent) {
        match event {
            PeerEvent::Up {
                rank,
                runner,
                orders,
            } if rank < leadership.size => {
                leadership.links.insert(rank, MemberLink { orders });
                leadership.set_runner(rank, runner);
            }
            PeerEvent::Up { .. } => {}
            PeerEvent::Down { rank } => {
                leadership.links.remove(&rank);
                self.handle_input(leadership, HoldInput::Lost(rank));
            }
            PeerEvent::ArmedDirectly { rank, view } => {
                leadership.arming_directly.remove(&rank);
                // The report may be older than one that a new link has brought.
                if let Some(view) = view
                    && !leadership.links.contains_key(&rank)
                {
                    self.handle_input(leadership, HoldInput::View(rank, view));
                }
            }
            PeerEvent::Message { rank, message } => match message {
                MemberMessage::View(view) => {
                    self.handle_input(leadership, HoldInput::View(rank, view.into()));
                }
                MemberMessage::Load(load) => {
                    if let Some(known) = leadership.loads.get_mut(rank) {
                        *known = load;
                    }
                }
                MemberMessage::Experts(experts) => {
                    if let Some(known) = leadership.experts.get_mut(rank) {
                        *known = Some(experts);
                    }
                }
                MemberMessage::Counts(reading) => {
                    leadership
                        .counts
                        .add(reading.epoch, reading.pass, reading.chosen);
                }
                MemberMessage::Position(_) => {}
            },
        }
    }

    /// Passes an input to the switch and executes its outputs.
    fn handle_input(&self, leadership: &mut Leadership, input: HoldInput) {
        let mut out = Vec::new();
        leadership.switch.handle(self.clock.now(), input, &mut out);
        for output in out {
            self.execute(leadership, output);
        }
    }

    fn execute(&self, leadership: &mut Leadership, output: HoldOutput) {
        match output {
            HoldOutput::Order { rank, epoch, order } => {
                self.send_order(leadership, rank, EpochOrder { epoch, order })
            }
            HoldOutput::Switched { number, held } => {
                counter!(telemetry::MAP_SWITCHES).increment(1);
                histogram!(telemetry::HELD_SECONDS).record(held.as_secs_f64());
                let fields = json!({
                    "group": leadership.group,
                    "map": number.0,
                    "held_ms": held.as_micros() as f64 / 1000.0,
                });
                self.log.line(EventCategory::State, "map_switched", fields);
            }
            HoldOutput::GaveUp { number, reason } => self.log.line(
                EventCategory::Failure,
                "map_given_up",
                json!({"group": leadership.group, "map": number.0, "reason": reason}),
            ),
            HoldOutput::FoundHold { pass, number } => self.log.line(
                EventCategory::Failure,
                "hold_found",
                json!({
                    "group": leadership.group,
                    "pass": pass,
                    "map": number.map(|number| number.0),
                }),
            ),
        }
    }

    fn send_order(&self, leadership: &mut Leadership, rank: usize, order: EpochOrder) {
        if rank == 0 {
            // If the queue is full, earlier orders are under way; the switch
            // sends this one again.
            let _ = self.member.orders.try_send(order);
            return;
        }
        match leadership.links.get(&rank) {
            Some(link) => {
                link.orders.send_replace(Some(order));
            }
            None => self.arm_directly(leadership, rank, order),
        }
    }

    /// Arms a rank whose agent is not linked, so that a held group can continue, and
    /// reports its state. Ignores other orders, and all orders during an attempt.
    fn arm_directly(&self, leadership: &mut Leadership, rank: usize, order: EpochOrder) {
        let Some(runner) = leadership.runners[rank] else {
            return;
        };
        let EpochOrder { epoch, order } = order;
        if !matches!(order, RankOrder::Arm { .. }) || !leadership.arming_directly.insert(rank) {
            return;
        }
        let log = self.log.clone();
        let events = leadership.events.clone();
        let group = leadership.group.clone();
        tokio::spawn(async move {
            let mut api = RunnerApi::new(runner);
            let mut view = None;
            let on_state = |state: &EngineState| {
                // The runner at this address may have another position by now.
                let own = state.rank.as_ref();
                view = own
                    .filter(|own| own.rank == rank && own.group == group)
                    .map(|own| own.view.clone());
            };
            let outcome = execute_order(&mut api, epoch, &order, on_state).await;
            let fields = json!({"rank": rank, "result": format!("{outcome:?}")});
            log.line(EventCategory::Failure, "armed_without_agent", fields);
            // This fails only if the leader has ended.
            let _ = events.send(PeerEvent::ArmedDirectly { rank, view }).await;
        });
    }

    /// Publishes the group's load for entries.
    fn publish_load(&self, leadership: &mut Leadership, own: &OwnRank) {
        leadership.loads[0] = LoadWire::from(&own.load);
        let view = &own.state.view;
        leadership.passes.record(self.clock.now(), view.pass);
        self.load.send_replace(Some(GroupLoad {
            is_open: view.is_open,
            pass_us: leadership.passes.mean_us(),
            runners: leadership.runners.as_slice().into(),
            ranks: leadership.loads.clone(),
        }));
    }

    /// Reads the store if that is due and no order is urgent.
    async fn refresh(&mut self, leadership: &mut Leadership, links_end: &CancellationToken) {
        let now = self.clock.now();
        let due = leadership
            .refreshed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REFRESH_INTERVAL);
        if !due || leadership.switch.is_urgent() {
            return;
        }
        leadership.refreshed_at = Some(now);
        if let Err(e) = self.read_store(leadership, links_end).await {
            let fields = json!({"error": e.to_string()});
            self.log.line(EventCategory::Failure, "store_lost", fields);
        }
    }

    /// Reads the expert layout, and dials the agents of the service's runners while
    /// members are missing.
    async fn read_store(
        &mut self,
        leadership: &mut Leadership,
        links_end: &CancellationToken,
    ) -> Result<(), wisteriawick_platform::StoreError> {
        if self.layout.is_none() {
            counter!(telemetry::STORE_CALLS, "for" => "layout").increment(1);
            let listing = self.store.declaration(STORE_TIMEOUT).await?;
            let declaration = listing.items.into_iter().next();
            let service = self.settings.service.as_ref();
            if let Some((declaration, service)) = declaration.as_ref().zip(service) {
                let engine = declaration
                    .service(service)
                    .and_then(|target| target.engine.as_ref());
                self.layout = engine.and_then(|engine| engine.experts);
                self.max_event_gap = declaration.tightest_event_gap(service);
                if let Some(layout) = &self.layout {
                    let intervals = leadership.set_layout(layout);
                    self.member.set_count_interval(intervals.counts);
                }
            }
        }
        if leadership.links.len() + 1 < leadership.size {
            counter!(telemetry::STORE_CALLS, "for" => "members").increment(1);
            let listing = self
                .store
                .runners(Freshness::MayBeStale, STORE_TIMEOUT)
                .await?;
            let service = self.settings.service.as_ref();
            for runner in listing.items {
                if Some(&runner.service) == service && Some(runner.address) != self.settings.runner
                {
                    self.dial(leadership, runner.address, links_end);
                }
            }
        }
        Ok(())
    }

    /// Starts a task that keeps up the link to the agent beside a runner.
    fn dial(&self, leadership: &mut Leadership, runner: SocketAddr, links_end: &CancellationToken) {
        if leadership.dialers.contains_key(&runner) {
            return;
        }
        let stop = links_end.child_token();
        leadership.dialers.insert(runner, stop.clone());
        let agent = SocketAddr::new(runner.ip(), link_port(self.settings.link_ports));
        let dialer = PeerDialer {
            agent,
            runner,
            group: leadership.group.clone(),
            events: leadership.events.clone(),
            news: leadership.news(),
            log: self.log.clone(),
        };
        tokio::spawn(dialer.run(stop));
    }
}
