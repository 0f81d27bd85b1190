//! The leader of a group: the agent of rank 0 gathers, plans and switches.

mod reign;

use std::net::SocketAddr;
use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gateway::ExpertLayout;
use wisteriawick_core::hosting::HostSettings;
use wisteriawick_core::maps::CopyBounds;
use wisteriawick_core::maps::HeldInput;
use wisteriawick_core::maps::HeldOutput;
use wisteriawick_core::maps::MapNumber;
use wisteriawick_core::maps::PlanEffort;
use wisteriawick_core::maps::RankOrder;
use wisteriawick_core::maps::plan_copies;
use wisteriawick_core::time::SharedClock;
use wisteriawick_core::time::unix_millis;
use wisteriawick_platform::Freshness;
use wisteriawick_platform::RunnerApi;
use wisteriawick_platform::Store;

use crate::eventlog::EventLog;
use crate::eventlog::Weight;
use crate::rank::api::carry_out;
use crate::rank::lead::reign::PeerLink;
use crate::rank::lead::reign::Reign;
use crate::rank::member::MemberHandle;
use crate::rank::member::OwnRank;
use crate::rank::peers::Dialer;
use crate::rank::peers::PeerEvent;
use crate::rank::wire::GroupLoadWire;
use crate::rank::wire::LeaderMessage;
use crate::rank::wire::LoadWire;
use crate::rank::wire::MemberMessage;
use crate::rank::wire::OrderMessage;
use crate::rank::wire::RankLoadWire;
use crate::rank::wire::link_port;
use crate::telemetry;

/// Time between two looks at whether a plan pays.
const PLAN_EVERY: Duration = Duration::from_millis(100);
/// Time between two log lines of a group's pace.
const PACE_EVERY: Duration = Duration::from_secs(1);
/// Time between two steps of the switch without news.
const TICK: Duration = Duration::from_millis(20);
/// Time between two looks at who is there and how groups are shaped.
const REFRESH_EVERY: Duration = Duration::from_secs(4);
/// Longest wait for the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Copies that one rank takes for a plan at most, of about 0.15 s each: the
/// first copies after a shift save most, and the next plan makes the others.
/// With three, plans came half a second later.
const COPIES_PER_RANK: usize = 1;
/// Least choices of experts in the window for a plan, for each expert of each
/// set; fewer are noise.
const MIN_CHOICES: f64 = 30.0;
/// Messages of members that wait.
const QUEUE: usize = 256;
/// Bits of a map's number that are drawn, so that a leader that starts anew
/// never gives a number twice.
const DRAWN_BITS: u32 = 8;

/// The task's state.
pub(crate) struct Lead {
    settings: HostSettings,
    clock: SharedClock,
    log: EventLog,
    member: MemberHandle,
    store: Store,
    layout: Option<ExpertLayout>,
    /// Longest pause between events that streams of the group's service allow.
    pause: Option<Duration>,
    /// The group's load, for entries.
    load: watch::Sender<Option<GroupLoadWire>>,
}

impl Lead {
    pub(crate) fn new(
        settings: HostSettings,
        clock: SharedClock,
        log: EventLog,
        member: MemberHandle,
        load: watch::Sender<Option<GroupLoadWire>>,
    ) -> Self {
        Self {
            store: Store::new(settings.store),
            settings,
            clock,
            log,
            member,
            layout: None,
            pause: None,
            load,
        }
    }

    /// Leads whenever this agent's runner is rank 0.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        loop {
            let own = self.member.own.borrow_and_update().clone();
            if let Some(own) = own
                && own.state.rank == 0
                && own.state.size > 1
            {
                let fields = json!({"group": own.state.group, "size": own.state.size});
                self.log.line(Weight::State, "leads", fields);
                let until = stop.child_token();
                self.reign(own, until.clone()).await;
                until.cancel();
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

    /// Leads until this agent's rank changes or it stops.
    async fn reign(&mut self, own: OwnRank, stop: CancellationToken) {
        let (events_tx, mut events) = mpsc::channel(QUEUE);
        let mut counts = self.member.counts();
        let mut reign = Reign::new(&own, self.settings.runner, self.clock.now());
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.take_own(&mut reign, &own);
        loop {
            tokio::select! {
                changed = self.member.own.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let own = self.member.own.borrow_and_update().clone();
                    match own {
                        Some(own) if reign.is_of(&own) => self.take_own(&mut reign, &own),
                        _ => return,
                    }
                }
                event = events.recv() => {
                    if let Some(event) = event {
                        self.take_event(&mut reign, event);
                    }
                }
                reading = counts.recv() => {
                    if let Ok(reading) = reading {
                        reign.counts.add(self.clock.now(), reading.chosen);
                    }
                }
                _ = ticks.tick() => {
                    self.feed(&mut reign, HeldInput::Tick);
                    self.plan(&mut reign);
                    self.log_pace(&mut reign);
                    self.refresh(&mut reign, &events_tx, &stop).await;
                }
                () = stop.cancelled() => return,
            }
        }
    }

    fn take_own(&self, reign: &mut Reign, own: &OwnRank) {
        if let Some(experts) = &own.experts {
            reign.experts[0] = Some(experts.clone());
        }
        self.publish_load(reign, own);
        self.feed(reign, HeldInput::View(0, own.state.view.clone()));
    }

    fn take_event(&self, reign: &mut Reign, event: PeerEvent) {
        match event {
            PeerEvent::Up {
                rank,
                runner,
                orders,
            } if rank < reign.size => {
                reign.runners[rank] = Some(runner);
                reign.links.insert(rank, PeerLink { orders });
                reign.tell_runners();
            }
            PeerEvent::Up { .. } => {}
            PeerEvent::Down { rank } => {
                reign.links.remove(&rank);
                self.feed(reign, HeldInput::Lost(rank));
            }
            PeerEvent::Message { rank, message } => match message {
                MemberMessage::View(view) => {
                    self.feed(reign, HeldInput::View(rank, view.into()));
                }
                MemberMessage::Load(load) => {
                    if let Some(held) = reign.loads.get_mut(rank) {
                        *held = load;
                    }
                }
                MemberMessage::Experts(experts) => {
                    if let Some(held) = reign.experts.get_mut(rank) {
                        *held = Some(experts);
                    }
                }
                MemberMessage::Counts(reading) => {
                    reign.counts.add(self.clock.now(), reading.chosen);
                }
                MemberMessage::Place(_) => {}
            },
        }
    }

    /// Feeds the core and carries out what it wants.
    fn feed(&self, reign: &mut Reign, input: HeldInput) {
        let mut out = Vec::new();
        reign.switch.handle(self.clock.now(), input, &mut out);
        for output in out {
            self.carry_out(reign, output);
        }
    }

    fn carry_out(&self, reign: &mut Reign, output: HeldOutput) {
        match output {
            HeldOutput::Order { rank, epoch, order } => {
                self.order(reign, rank, OrderMessage::new(epoch, &order))
            }
            HeldOutput::Switched { number, held } => {
                counter!(telemetry::MAP_SWITCHES).increment(1);
                histogram!(telemetry::HELD_SECONDS).record(held.as_secs_f64());
                let fields = json!({
                    "group": reign.group,
                    "map": number.0,
                    "held_ms": held.as_micros() as f64 / 1000.0,
                });
                self.log.line(Weight::State, "map_switched", fields);
            }
            HeldOutput::GaveUp { number, reason } => self.log.line(
                Weight::Failure,
                "map_given_up",
                json!({"group": reign.group, "map": number.0, "reason": reason}),
            ),
            HeldOutput::FoundHold { pass, number } => self.log.line(
                Weight::Failure,
                "hold_found",
                json!({
                    "group": reign.group,
                    "pass": pass,
                    "map": number.map(|number| number.0),
                }),
            ),
        }
    }

    fn order(&self, reign: &Reign, rank: usize, message: OrderMessage) {
        if rank == 0 {
            // A full queue means that earlier orders are under way; the core
            // gives this one again.
            let _ = self.member.orders.try_send(message);
            return;
        }
        match reign.links.get(&rank) {
            Some(link) => {
                let _ = link.orders.try_send(LeaderMessage::Order(message));
            }
            None => self.order_directly(reign, rank, message),
        }
    }

    /// Arms a rank whose agent is away, so that a held group goes on.
    fn order_directly(&self, reign: &Reign, rank: usize, message: OrderMessage) {
        let Some(runner) = reign.runners[rank] else {
            return;
        };
        let epoch = message.epoch;
        let order = RankOrder::from(message);
        if !matches!(order, RankOrder::Arm { .. }) {
            return;
        }
        let log = self.log.clone();
        tokio::spawn(async move {
            let mut api = RunnerApi::new(runner);
            let done = carry_out(&mut api, epoch, &order, |_| {}).await;
            let fields = json!({"rank": rank, "result": format!("{done:?}")});
            log.line(Weight::Failure, "armed_without_agent", fields);
        });
    }

    /// Logs the group's pace every second while it works, so that late streams
    /// can be traced to a slow rank, a long queue or a skewed map.
    fn log_pace(&self, reign: &mut Reign) {
        let now = self.clock.now();
        if now.saturating_duration_since(reign.paced_at) < PACE_EVERY {
            return;
        }
        reign.paced_at = now;
        let running: u32 = reign.loads.iter().map(|load| u32::from(load.running)).sum();
        let waiting: u32 = reign.loads.iter().map(|load| u32::from(load.waiting)).sum();
        if running == 0 {
            return;
        }
        let fullest = reign.loads.iter().map(|load| load.running).max();
        let slowest = reign.loads.iter().enumerate();
        let slowest = slowest.max_by_key(|(_, load)| load.pace_milli);
        let fields = json!({
            "group": reign.group,
            "pass_ms": f64::from(reign.passes.mean_us()) / 1000.0,
            "running": running,
            "fullest": fullest,
            "waiting": waiting,
            "slowest_rank": slowest.map(|(rank, _)| rank),
            "slowest_pace": slowest.map(|(_, load)| f64::from(load.pace_milli) / 1000.0),
        });
        self.log.line(Weight::State, "group_pace", fields);
    }

    /// Publishes the group's load for entries.
    fn publish_load(&self, reign: &mut Reign, own: &OwnRank) {
        reign.loads[0] = LoadWire::from(&own.load);
        let view = &own.state.view;
        reign.passes.see(self.clock.now(), view.pass);
        let ranks = reign
            .runners
            .iter()
            .zip(&reign.loads)
            .filter_map(|(runner, load)| {
                Some(RankLoadWire {
                    runner: (*runner)?,
                    running: load.running,
                    waiting: load.waiting,
                    pace_milli: load.pace_milli,
                })
            })
            .collect();
        self.load.send_replace(Some(GroupLoadWire {
            is_open: view.is_open,
            pass_us: reign.passes.mean_us(),
            ranks,
        }));
    }

    fn plan(&self, reign: &mut Reign) {
        let now = self.clock.now();
        if now.saturating_duration_since(reign.planned_at) < PLAN_EVERY {
            return;
        }
        reign.planned_at = now;
        let Some(layout) = self.layout else {
            return;
        };
        let Some((epoch, number)) = reign.switch.idle_map() else {
            return;
        };
        let Some(current) = reign.current_map(epoch, number) else {
            return;
        };
        if reign.switch.needs_map() {
            // The same content under a new number, so that the held pass can
            // begin; nothing is copied.
            let next = self.next_number(number);
            self.feed(reign, HeldInput::Propose(next, current));
            return;
        }
        let Some(loads) = reign.counts.loads(now, layout.sets, layout.experts) else {
            return;
        };
        let choices: f64 = loads.iter().flatten().sum();
        if choices < MIN_CHOICES * (layout.sets * layout.experts) as f64 {
            return;
        }
        let pass = Duration::from_micros(reign.passes.mean_us().into());
        let effort = PlanEffort::new(pass, self.pause);
        let bounds = CopyBounds {
            experts: layout.experts,
            places: layout.places,
            new_per_set: layout.new_per_set,
            new_per_rank: COPIES_PER_RANK,
            min_saving: effort.each_copy(reign.size),
        };
        let Some(plan) = plan_copies(&current, &loads, &bounds) else {
            return;
        };
        if plan.skew.0 - plan.skew.1 < effort.gain {
            return;
        }
        gauge!(telemetry::SKEW).set(plan.skew.0);
        let next = self.next_number(number);
        self.log.line(
            Weight::State,
            "map_planned",
            json!({
                "group": reign.group,
                "map": next.0,
                "from": number.0,
                "skew": plan.skew.0,
                "skew_after": plan.skew.1,
                "copies": plan.copies,
                "most_copies": plan.most_copies,
                "choices": choices,
                "took_us": (self.clock.now() - now).as_micros() as u64,
            }),
        );
        self.feed(reign, HeldInput::Propose(next, plan.map));
    }

    /// Returns a number above all others, drawn so that none comes twice.
    fn next_number(&self, current: MapNumber) -> MapNumber {
        let millis = unix_millis(self.clock.wall());
        let drawn = u64::from(rand::random::<u8>());
        let number = (millis << DRAWN_BITS) | drawn;
        MapNumber(number.max(current.0 + 1 + drawn))
    }

    /// Looks up the group's shape and its members' addresses.
    async fn refresh(
        &mut self,
        reign: &mut Reign,
        events: &mpsc::Sender<PeerEvent>,
        stop: &CancellationToken,
    ) {
        let now = self.clock.now();
        let due = reign
            .refreshed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REFRESH_EVERY);
        if !due || reign.switch.is_urgent() {
            return;
        }
        reign.refreshed_at = Some(now);
        if let Err(e) = self.read_store(reign, events, stop).await {
            let fields = json!({"error": e.to_string()});
            self.log.line(Weight::Failure, "store_lost", fields);
        }
    }

    async fn read_store(
        &mut self,
        reign: &mut Reign,
        events: &mpsc::Sender<PeerEvent>,
        stop: &CancellationToken,
    ) -> Result<(), wisteriawick_platform::StoreError> {
        if self.layout.is_none() {
            let listing = self.store.declaration(STORE_TIMEOUT).await?;
            let declaration = listing.items.into_iter().next();
            let service = self.settings.service.as_ref();
            if let Some((declaration, service)) = declaration.as_ref().zip(service) {
                let engine = declaration
                    .service(service)
                    .and_then(|target| target.engine.as_ref());
                self.layout = engine.and_then(|engine| engine.experts);
                self.pause = declaration.tightest_event_gap(service);
            }
        }
        if reign.links.len() + 1 < reign.size {
            let listing = self
                .store
                .runners(Freshness::MayBeOld, STORE_TIMEOUT)
                .await?;
            let service = self.settings.service.as_ref();
            for runner in listing.items {
                if Some(&runner.service) == service && Some(runner.address) != self.settings.runner
                {
                    self.dial(reign, runner.address, events, stop);
                }
            }
        }
        Ok(())
    }

    fn dial(
        &self,
        reign: &mut Reign,
        runner: SocketAddr,
        events: &mpsc::Sender<PeerEvent>,
        stop: &CancellationToken,
    ) {
        if reign.dialers.contains_key(&runner) {
            return;
        }
        let stop = stop.child_token();
        reign.dialers.insert(runner, stop.clone());
        let agent = SocketAddr::new(runner.ip(), link_port(self.settings.link_ports));
        let dialer = Dialer {
            agent,
            runner,
            group: reign.group.clone(),
            events: events.clone(),
            log: self.log.clone(),
        };
        tokio::spawn(dialer.run(stop));
    }
}
