//! The simulation of a group: its runners and engines, the messages between them, and
//! the loop that delivers events and fires timers in time order.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::MapNumber;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::StepNumber;
use wisteriawick_core::ledger::WriteResult;
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

use crate::fault::Fault;
use crate::fault::FaultKind;
use crate::fault::MESSAGE_DELAY;
use crate::fault::Mutation;
use crate::fault::PROCESS_PAUSE;
use crate::fault::REORDER_DELAY;
use crate::fault::REPLACE_DELAY;
use crate::fault::StepClass;
use crate::injection::FaultInjector;
use crate::injection::LinkSilence;
use crate::injection::STORE_TIMEOUT;
use crate::injection::StoreHealth;
use crate::maps::engine::Engine;
use crate::queue::EventQueue;
use crate::queue::Next;

/// Number of runners, each with one engine.
const RUNNERS: usize = 3;
/// Delivery time of a message without faults, and of an engine's report.
const MESSAGE_LATENCY: Duration = Duration::from_millis(1);
/// Time until an engine executes an order, unless the order stages a map.
const ENGINE_ORDER_DELAY: Duration = Duration::from_millis(2);
/// Time until an engine executes an order that stages a map.
const STAGING_DURATION: Duration = Duration::from_millis(30);
/// Time between two steps of the group.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the crash of an engine to its restart.
const ENGINE_RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time after which a map is proposed again, if the leader was busy or dead, or
/// aborted the previous proposal.
const PROPOSE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Limit of the numbered steps of one run (events and timers, not the group's steps), so
/// that a run that never settles still ends.
const MAX_STEPS: usize = 20_000;

/// An event. Runners are given by index.
#[derive(Clone, Debug)]
enum Event {
    /// The group tries to run its next step.
    GroupStep,
    /// A runner is to lead and propose a map.
    Propose(usize, u64),
    /// A message between runners arrives.
    Message {
        from: usize,
        incarnation: Incarnation,
        to: usize,
        message: Message,
    },
    /// An order of a runner reaches its engine.
    Order {
        runner: usize,
        incarnation: Incarnation,
        order: EngineOrder,
    },
    /// A report of an engine reaches the runner that sent the order.
    Report {
        runner: usize,
        incarnation: Incarnation,
        report: EngineReport,
    },
    /// A crashed engine has restarted.
    EngineUp(usize),
    /// A read by a leader reaches the store.
    StoreRead(usize, Incarnation),
    /// A write by a leader, conditional on a version, reaches the store.
    StoreWrite(usize, Incarnation, u64, GroupImage),
    /// A response of the store reaches a leader.
    StoreResponse(usize, Incarnation, LeaderInput),
    /// The platform replaces a runner that was killed.
    Replace(usize),
}

/// A runner: a process with a voting switch and a leader.
struct Runner {
    up: bool,
    incarnation: Incarnation,
    paused_until: Option<Instant>,
    switch: VotingSwitch,
    leader: Leader,
}

/// The state of a run.
pub(crate) struct Simulation {
    queue: EventQueue<Event>,
    mutation: Option<Mutation>,
    runners: Vec<Runner>,
    engines: Vec<Engine>,
    /// Last step that the group ran. It is not a numbered step of the run.
    step: StepNumber,
    /// Descriptions of the steps in which the engines used different maps.
    mixed: Vec<String>,
    /// The group's object in the store; `None` if it is missing.
    object: Option<GroupImage>,
    /// Version of that object; zero if it is missing.
    version: u64,
    store: StoreHealth,
    silence: LinkSilence,
    pub(crate) injector: FaultInjector,
    last_incarnation: u64,
    checks_fencing: bool,
}

impl Simulation {
    pub(crate) fn new(faults: &[Fault], mutation: Option<Mutation>, checks_fencing: bool) -> Self {
        let first = Some(MapNumber(0));
        let mut sim = Self {
            queue: EventQueue::new(),
            mutation,
            runners: Vec::new(),
            engines: vec![Engine::new(first, checks_fencing); RUNNERS],
            step: StepNumber(0),
            mixed: Vec::new(),
            object: None,
            version: 0,
            store: StoreHealth::default(),
            silence: LinkSilence::default(),
            injector: FaultInjector::new(faults),
            last_incarnation: 0,
            checks_fencing,
        };
        for index in 0..RUNNERS {
            let runner = sim.new_runner(index);
            sim.runners.push(runner);
        }
        for index in 0..RUNNERS {
            sim.drive_switch(index, VotingInput::Start);
        }
        sim.queue.schedule(STEP_INTERVAL, Event::GroupStep);
        sim
    }

    fn new_runner(&mut self, index: usize) -> Runner {
        // The switch counts its own incarnation up when its engine loses its state,
        // so incarnations of different processes are far apart.
        self.last_incarnation += 1_000;
        let incarnation = Incarnation(self.last_incarnation);
        let committed = self.object.as_ref().map_or(MapNumber(0), |o| o.committed);
        Runner {
            up: true,
            incarnation,
            paused_until: None,
            switch: VotingSwitch::new(index, RUNNERS, incarnation, committed),
            leader: Leader::new(ProcessId::new(format!("runner-{index}")), RUNNERS),
        }
    }

    /// Schedules the proposal of a map by a runner.
    pub(crate) fn propose(&mut self, at: Duration, runner: usize, map: u64) {
        self.queue.schedule(at, Event::Propose(runner, map));
    }

    /// Returns descriptions of the steps in which the engines used different maps.
    pub(crate) fn mixed_steps(&self) -> Vec<String> {
        self.mixed.clone()
    }

    /// Returns whether a leader still has a proposal in progress.
    pub(crate) fn is_any_leader_busy(&self) -> bool {
        self.runners.iter().any(|runner| runner.leader.is_busy())
    }

    /// Returns whether every engine runs this map or one with a higher number.
    pub(crate) fn all_run_map(&self, map: u64) -> bool {
        let runs = |engine: &Engine| engine.active.is_some_and(|active| active.0 >= map);
        self.engines.iter().all(runs)
    }

    /// Describes the state of the group, for people to read.
    pub(crate) fn describe(&self) -> String {
        let ready: Vec<bool> = self.runners.iter().map(|r| r.switch.is_ready()).collect();
        let busy: Vec<bool> = self.runners.iter().map(|r| r.leader.is_busy()).collect();
        let (step, engines) = (self.step, &self.engines);
        format!("step {step}, ready {ready:?}, leading {busy:?}, engines {engines:?}")
    }

    /// Runs up to a time, or to the limit of steps.
    pub(crate) fn run(&mut self, end: Duration) {
        while self.queue.elapsed() < end && self.injector.steps.len() < MAX_STEPS {
            let timer = self.next_timer();
            match self.queue.pop(timer.map(|(at, _)| at)) {
                Some(Next::Event(event)) => self.step(event),
                Some(Next::Timer) => {
                    let Some((_, runner)) = timer else {
                        continue;
                    };
                    if self.begin_step(StepClass::Local, Some(runner), None) {
                        self.drive_switch(runner, VotingInput::Tick);
                        self.drive_leader(runner, LeaderInput::Tick);
                    }
                }
                None => return,
            }
        }
    }

    fn next_timer(&self) -> Option<(Instant, usize)> {
        let runners = self.runners.iter().enumerate().filter(|(_, r)| r.up);
        let due = runners.filter_map(|(index, runner)| {
            let switch = runner.switch.next_deadline();
            let due = switch
                .into_iter()
                .chain(runner.leader.next_deadline())
                .min()?;
            // The timers of a paused process fire when it resumes.
            let due = runner.paused_until.map_or(due, |until| due.max(until));
            Some((due, index))
        });
        due.min_by_key(|(due, _)| *due)
    }

    fn step(&mut self, event: Event) {
        if let Event::GroupStep = event {
            self.run_group_step();
            return;
        }
        let (class, runner) = classify(&event);
        if let Some(until) = runner.and_then(|runner| self.runners[runner].paused_until)
            && self.queue.now() < until
        {
            self.queue.schedule(until - self.queue.now(), event);
            return;
        }
        if self.begin_step(class, runner, Some(&event)) {
            self.deliver(event);
        }
    }

    /// Records a step and injects its faults; returns whether the step still takes
    /// place now.
    fn begin_step(
        &mut self,
        class: StepClass,
        runner: Option<usize>,
        event: Option<&Event>,
    ) -> bool {
        let due = self.injector.begin_step(class, self.queue.elapsed());
        let mut takes_place = true;
        for kind in due {
            takes_place &= self.inject(kind, runner, event);
        }
        takes_place
    }

    /// Injects a fault at a step; returns whether the step still takes place now.
    fn inject(&mut self, kind: FaultKind, runner: Option<usize>, event: Option<&Event>) -> bool {
        let now = self.queue.now();
        match (kind, event) {
            (FaultKind::Lost, Some(_)) => return false,
            (FaultKind::Duplicated, Some(event)) => {
                self.queue.schedule(MESSAGE_LATENCY, event.clone())
            }
            (FaultKind::Delayed, Some(event)) => {
                self.queue.schedule(MESSAGE_DELAY, event.clone());
                return false;
            }
            (FaultKind::Reordered, Some(event)) => {
                self.queue.schedule(REORDER_DELAY, event.clone());
                return false;
            }
            (FaultKind::SilentOneWay | FaultKind::SilentBothWays, Some(event)) => {
                if let Event::Message { from, to, .. } = event {
                    let both = kind == FaultKind::SilentBothWays;
                    self.silence.start(now, *from, *to, both);
                }
                return false;
            }
            (FaultKind::Killed, _) => {
                if let Some(runner) = runner {
                    self.runners[runner].up = false;
                    self.queue.schedule(REPLACE_DELAY, Event::Replace(runner));
                    return false;
                }
            }
            (FaultKind::Paused, _) => {
                if let Some(runner) = runner {
                    self.runners[runner].paused_until = Some(now + PROCESS_PAUSE);
                    if let Some(event) = event {
                        self.queue.schedule(PROCESS_PAUSE, event.clone());
                    }
                    return false;
                }
            }
            (FaultKind::StoreDown, _) => self.store.go_down(now),
            (FaultKind::StoreSlow, _) => self.store.go_slow(now),
            (
                FaultKind::ResponseLost,
                Some(Event::StoreWrite(runner, incarnation, version, image)),
            ) => {
                self.write(*version, image);
                let unknown = LeaderInput::Written(WriteResult::Unknown);
                let response = Event::StoreResponse(*runner, *incarnation, unknown);
                self.queue.schedule(STORE_TIMEOUT, response);
                return false;
            }
            (FaultKind::OperatorRace, _) => {
                // Another runner is ordered to lead and propose a map at the same time.
                let other = runner.map_or(2, |runner| (runner + 1) % RUNNERS);
                self.queue
                    .schedule(MESSAGE_LATENCY, Event::Propose(other, 3));
            }
            (FaultKind::EndpointCrash, _) => self.crash_engine(runner.unwrap_or(0)),
            _ => {}
        }
        true
    }

    fn crash_engine(&mut self, runner: usize) {
        let mut engine = Engine::new(None, self.checks_fencing);
        engine.up = false;
        self.engines[runner] = engine;
        self.queue
            .schedule(ENGINE_RESTART_DELAY, Event::EngineUp(runner));
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::GroupStep => {}
            Event::Propose(runner, map) => self.start_proposal(runner, map),
            Event::Message {
                from,
                incarnation,
                to,
                message,
            } => self.deliver_message(from, incarnation, to, message),
            Event::Order {
                runner,
                incarnation,
                order,
            } => {
                // The engine executes an order even if the runner that sent it has died.
                let report = self.engines[runner].execute(order, self.step);
                let event = Event::Report {
                    runner,
                    incarnation,
                    report,
                };
                self.queue.schedule(MESSAGE_LATENCY, event);
            }
            Event::Report {
                runner,
                incarnation,
                report,
            } => {
                if self.is_current(runner, incarnation) {
                    self.drive_switch(runner, VotingInput::Engine(report));
                }
            }
            Event::EngineUp(runner) => {
                self.engines[runner].up = true;
                if self.runners[runner].up {
                    let view = self.engines[runner].view(self.step);
                    let report = EngineReport::State(view);
                    self.drive_switch(runner, VotingInput::Engine(report));
                }
            }
            Event::StoreRead(runner, incarnation) => self.handle_store_read(runner, incarnation),
            Event::StoreWrite(runner, incarnation, version, image) => {
                self.handle_store_write(runner, incarnation, version, &image);
            }
            Event::StoreResponse(runner, incarnation, input) => {
                if self.is_current(runner, incarnation) {
                    self.drive_leader(runner, input);
                }
            }
            Event::Replace(runner) => {
                if !self.runners[runner].up {
                    self.runners[runner] = self.new_runner(runner);
                    self.drive_switch(runner, VotingInput::Start);
                }
            }
        }
    }

    /// Returns whether this incarnation of a runner still runs.
    fn is_current(&self, runner: usize, incarnation: Incarnation) -> bool {
        self.runners[runner].up && self.runners[runner].incarnation == incarnation
    }

    /// Has a runner propose a map now, or later if it is dead or has a proposal in
    /// progress.
    fn start_proposal(&mut self, runner: usize, map: u64) {
        let busy = !self.runners[runner].up || self.runners[runner].leader.is_busy();
        if busy {
            let retry = Event::Propose(runner, map);
            self.queue.schedule(PROPOSE_RETRY_DELAY, retry);
            return;
        }
        self.drive_leader(runner, LeaderInput::Propose(MapNumber(map)));
    }

    fn deliver_message(
        &mut self,
        from: usize,
        incarnation: Incarnation,
        to: usize,
        message: Message,
    ) {
        let silent = self.silence.is_silent(self.queue.now(), from, to);
        if silent || !self.runners[to].up {
            return;
        }
        if let Message::Staged { map, step } = message {
            let staged = LeaderInput::Staged {
                from,
                incarnation,
                map,
                step,
            };
            self.drive_leader(to, staged);
            return;
        }
        if let Message::Superseded(term) = message {
            self.drive_leader(to, LeaderInput::Superseded(term));
            return;
        }
        let input = VotingInput::Peer {
            from,
            incarnation,
            message,
        };
        self.drive_switch(to, input);
    }

    /// Passes an input to a runner's switch and executes its outputs.
    fn drive_switch(&mut self, runner: usize, input: VotingInput) {
        let now = self.queue.now();
        let mut out = Vec::new();
        self.runners[runner].switch.handle(now, input, &mut out);
        for output in out {
            match output {
                VotingOutput::Send(_, Message::Query(ballot))
                    if self.mutation == Some(Mutation::GoWithoutDecision) =>
                {
                    self.send_order(runner, EngineOrder::Go(ballot));
                }
                VotingOutput::Send(to, message) => self.send(runner, to, message),
                VotingOutput::Order(order) => self.send_order(runner, order),
                VotingOutput::Decided(ballot, decision) => {
                    self.drive_leader(runner, LeaderInput::Decided(ballot, decision));
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let incarnation = self.runners[from].switch.incarnation();
        let event = Event::Message {
            from,
            incarnation,
            to,
            message,
        };
        self.queue.schedule(MESSAGE_LATENCY, event);
    }

    fn send_order(&mut self, runner: usize, order: EngineOrder) {
        let delay = match order {
            EngineOrder::Stage(..) => STAGING_DURATION,
            _ => ENGINE_ORDER_DELAY,
        };
        let event = Event::Order {
            runner,
            incarnation: self.runners[runner].incarnation,
            order,
        };
        self.queue.schedule(delay, event);
    }

    /// Passes an input to a runner's leader and executes its outputs.
    fn drive_leader(&mut self, runner: usize, input: LeaderInput) {
        let now = self.queue.now();
        let mut out = Vec::new();
        self.runners[runner].leader.handle(now, input, &mut out);
        let incarnation = self.runners[runner].incarnation;
        for output in out {
            match output {
                LeaderOutput::Read => self
                    .queue
                    .schedule(MESSAGE_LATENCY, Event::StoreRead(runner, incarnation)),
                LeaderOutput::Write(version, image) => {
                    let write = Event::StoreWrite(runner, incarnation, version, image);
                    self.queue.schedule(MESSAGE_LATENCY, write);
                }
                LeaderOutput::SendAll(message) => {
                    for to in 0..RUNNERS {
                        self.send(runner, to, message.clone());
                    }
                }
                LeaderOutput::Finished(_) => {}
                LeaderOutput::Aborted(map) => {
                    // As in production, the planner proposes another map later.
                    let next = Event::Propose(runner, map.0 + 1);
                    self.queue.schedule(PROPOSE_RETRY_DELAY, next);
                }
            }
        }
    }

    fn handle_store_read(&mut self, runner: usize, incarnation: Incarnation) {
        let (delay, input) = match self.store.response_delay(self.queue.now()) {
            Some(delay) => {
                let input = LeaderInput::Read(self.version, self.object.clone());
                (delay, input)
            }
            None => (STORE_TIMEOUT, LeaderInput::ReadFailed),
        };
        let response = Event::StoreResponse(runner, incarnation, input);
        self.queue.schedule(delay, response);
    }

    fn handle_store_write(
        &mut self,
        runner: usize,
        incarnation: Incarnation,
        if_version: u64,
        image: &GroupImage,
    ) {
        let (delay, result) = match self.store.response_delay(self.queue.now()) {
            Some(delay) => (delay, self.write(if_version, image)),
            None => (STORE_TIMEOUT, WriteResult::Unknown),
        };
        let response = Event::StoreResponse(runner, incarnation, LeaderInput::Written(result));
        self.queue.schedule(delay, response);
    }

    /// Writes the group's object if its version is `if_version`.
    fn write(&mut self, if_version: u64, image: &GroupImage) -> WriteResult {
        if if_version != self.version {
            return WriteResult::Conflict;
        }
        self.version += 1;
        self.object = Some(image.clone());
        WriteResult::Written(self.version)
    }

    /// Runs the next step of the group if every engine may run it.
    fn run_group_step(&mut self) {
        self.queue.schedule(STEP_INTERVAL, Event::GroupStep);
        let step = self.step.next();
        if !self.engines.iter().all(|engine| engine.may_run(step)) {
            return;
        }
        let maps: Vec<Option<MapNumber>> = self
            .engines
            .iter_mut()
            .map(|engine| engine.run_step(step))
            .collect();
        self.step = step;
        if maps.iter().any(|map| *map != maps[0]) {
            self.mixed.push(format!("step {step} ran with {maps:?}"));
        }
    }
}

/// Returns the class of the step that an event is, and the runner that takes it.
fn classify(event: &Event) -> (StepClass, Option<usize>) {
    match event {
        Event::GroupStep | Event::Propose(..) | Event::EngineUp(_) | Event::Replace(_) => {
            (StepClass::External, None)
        }
        Event::Message { to, .. } => (StepClass::Message, Some(*to)),
        // Killing or pausing the runner does not affect an order that it has sent.
        Event::Order { .. } => (StepClass::Local, None),
        Event::Report { runner, .. } => (StepClass::Local, Some(*runner)),
        Event::StoreRead(..) => (StepClass::Store, None),
        Event::StoreWrite(..) => (StepClass::StoreWrite, None),
        Event::StoreResponse(runner, ..) => (StepClass::Store, Some(*runner)),
    }
}
