//! The runners of a group and the messages between them.

use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::MapNumber;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::StepNumber;
use wisteriawick_core::ledger::WriteResult;
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

const RUNNERS: usize = 3;
/// Time of a message, of an engine's answer, and of staging.
const HOP: Duration = Duration::from_millis(1);
const ENGINE: Duration = Duration::from_millis(2);
const STAGING: Duration = Duration::from_millis(30);
/// Time of a step of the group.
const STEP: Duration = Duration::from_millis(20);
/// Time that a dead engine takes to come back.
const ENGINE_RESTART: Duration = Duration::from_millis(500);
/// Pause between two tries to propose while a map is under way.
const PROPOSE_AGAIN: Duration = Duration::from_secs(1);
/// Steps of one run; more means that something does not come to rest.
const MAX_STEPS: usize = 20_000;

#[derive(Clone, Debug)]
enum Event {
    GroupStep,
    Propose(usize, u64),
    Message {
        from: usize,
        life: Incarnation,
        to: usize,
        message: Message,
    },
    Order {
        runner: usize,
        life: Incarnation,
        order: EngineOrder,
    },
    Report {
        runner: usize,
        life: Incarnation,
        report: EngineReport,
    },
    EngineUp(usize),
    StoreRead(usize, Incarnation),
    StoreWrite(usize, Incarnation, u64, GroupSnapshot),
    StoreAnswer(usize, Incarnation, LeaderInput),
    Replace(usize),
}

struct Runner {
    up: bool,
    life: Incarnation,
    paused_until: Option<Instant>,
    switch: VotingSwitch,
    leader: Leader,
}

/// Everything.
pub(crate) struct World {
    queue: EventQueue<Event>,
    mutation: Option<Mutation>,
    runners: Vec<Runner>,
    engines: Vec<Engine>,
    step: StepNumber,
    /// Steps in which not every runner used the same map.
    mixed: Vec<String>,
    object: Option<GroupSnapshot>,
    version: u64,
    store: StoreHealth,
    silence: LinkSilence,
    pub(crate) injector: FaultInjector,
    next_life: u64,
    checks_fencing: bool,
}

impl World {
    pub(crate) fn new(faults: &[Fault], mutation: Option<Mutation>, checks_fencing: bool) -> Self {
        let first = Some(MapNumber(0));
        let mut world = Self {
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
            next_life: 0,
            checks_fencing,
        };
        for index in 0..RUNNERS {
            let runner = world.new_runner(index);
            world.runners.push(runner);
        }
        for index in 0..RUNNERS {
            world.switch(index, VotingInput::Start);
        }
        world.queue.schedule(STEP, Event::GroupStep);
        world
    }

    fn new_runner(&mut self, index: usize) -> Runner {
        // Lives that end with an engine lie between.
        self.next_life += 1_000;
        let life = Incarnation(self.next_life);
        let committed = self.object.as_ref().map_or(MapNumber(0), |o| o.committed);
        Runner {
            up: true,
            life,
            paused_until: None,
            switch: VotingSwitch::new(index, RUNNERS, life, committed),
            leader: Leader::new(ProcessId::new(format!("runner-{index}")), RUNNERS),
        }
    }

    pub(crate) fn propose(&mut self, at: Duration, runner: usize, map: u64) {
        self.queue.schedule(at, Event::Propose(runner, map));
    }

    /// Returns the steps in which maps differed.
    pub(crate) fn mixed_steps(&self) -> Vec<String> {
        self.mixed.clone()
    }

    /// Returns whether a leader still works on a proposal of its own.
    pub(crate) fn is_leader_stuck(&self) -> bool {
        self.runners.iter().any(|runner| runner.leader.is_busy())
    }

    /// Returns whether every engine runs a map, or one after it.
    pub(crate) fn runs_map(&self, map: u64) -> bool {
        let runs = |engine: &Engine| engine.active.is_some_and(|active| active.0 >= map);
        self.engines.iter().all(runs)
    }

    pub(crate) fn describe(&self) -> String {
        let ready: Vec<bool> = self.runners.iter().map(|r| r.switch.is_ready()).collect();
        let busy: Vec<bool> = self.runners.iter().map(|r| r.leader.is_busy()).collect();
        let (step, engines) = (self.step, &self.engines);
        format!("step {step}, ready {ready:?}, leading {busy:?}, engines {engines:?}")
    }

    pub(crate) fn run(&mut self, end: Duration) {
        while self.queue.elapsed() < end && self.injector.steps.len() < MAX_STEPS {
            let timer = self.next_timer();
            match self.queue.pop(timer.map(|(at, _)| at)) {
                Some(Next::Event(event)) => self.take(event),
                Some(Next::Timer) => {
                    let Some((_, runner)) = timer else {
                        continue;
                    };
                    if self.begin_step(StepClass::Local, Some(runner), None) {
                        self.switch(runner, VotingInput::Tick);
                        self.leader(runner, LeaderInput::Tick);
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
            let due = runner.paused_until.map_or(due, |until| due.max(until));
            Some((due, index))
        });
        due.min_by_key(|(due, _)| *due)
    }

    fn take(&mut self, event: Event) {
        if let Event::GroupStep = event {
            self.group_step();
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

    fn begin_step(
        &mut self,
        class: StepClass,
        runner: Option<usize>,
        event: Option<&Event>,
    ) -> bool {
        let due = self.injector.begin_step(class, self.queue.elapsed());
        let mut takes_place = true;
        for kind in due {
            takes_place &= self.apply(kind, runner, event);
        }
        takes_place
    }

    fn apply(&mut self, kind: FaultKind, runner: Option<usize>, event: Option<&Event>) -> bool {
        let now = self.queue.now();
        match (kind, event) {
            (FaultKind::Lost, Some(_)) => return false,
            (FaultKind::Duplicated, Some(event)) => self.queue.schedule(HOP, event.clone()),
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
            (FaultKind::ResponseLost, Some(Event::StoreWrite(runner, life, version, image))) => {
                self.write(*version, image);
                let unknown = LeaderInput::Written(WriteResult::Unknown);
                let answer = Event::StoreAnswer(*runner, *life, unknown);
                self.queue.schedule(STORE_TIMEOUT, answer);
                return false;
            }
            (FaultKind::OperatorRace, _) => {
                // Another runner is told to lead at the same time.
                let other = runner.map_or(2, |runner| (runner + 1) % RUNNERS);
                self.queue.schedule(HOP, Event::Propose(other, 3));
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
        self.queue.schedule(ENGINE_RESTART, Event::EngineUp(runner));
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::GroupStep => {}
            Event::Propose(runner, map) => self.propose_now(runner, map),
            Event::Message {
                from,
                life,
                to,
                message,
            } => self.message(from, life, to, message),
            Event::Order {
                runner,
                life,
                order,
            } => {
                // An order on its way is carried out whoever sent it.
                let report = self.engines[runner].order(order, self.step);
                let event = Event::Report {
                    runner,
                    life,
                    report,
                };
                self.queue.schedule(HOP, event);
            }
            Event::Report {
                runner,
                life,
                report,
            } => {
                if self.lives(runner, life) {
                    self.switch(runner, VotingInput::Engine(report));
                }
            }
            Event::EngineUp(runner) => {
                self.engines[runner].up = true;
                if self.runners[runner].up {
                    let view = self.engines[runner].view(self.step);
                    let report = EngineReport::State(view);
                    self.switch(runner, VotingInput::Engine(report));
                }
            }
            Event::StoreRead(runner, life) => self.store_read(runner, life),
            Event::StoreWrite(runner, life, version, image) => {
                self.store_write(runner, life, version, &image);
            }
            Event::StoreAnswer(runner, life, input) => {
                if self.lives(runner, life) {
                    self.leader(runner, input);
                }
            }
            Event::Replace(runner) => {
                if !self.runners[runner].up {
                    self.runners[runner] = self.new_runner(runner);
                    self.switch(runner, VotingInput::Start);
                }
            }
        }
    }

    fn lives(&self, runner: usize, life: Incarnation) -> bool {
        self.runners[runner].up && self.runners[runner].life == life
    }

    fn propose_now(&mut self, runner: usize, map: u64) {
        let busy = !self.runners[runner].up || self.runners[runner].leader.is_busy();
        if busy {
            let again = Event::Propose(runner, map);
            self.queue.schedule(PROPOSE_AGAIN, again);
            return;
        }
        self.leader(runner, LeaderInput::Propose(MapNumber(map)));
    }

    fn message(&mut self, from: usize, life: Incarnation, to: usize, message: Message) {
        let silent = self.silence.is_silent(self.queue.now(), from, to);
        if silent || !self.runners[to].up {
            return;
        }
        if let Message::Staged { map, step } = message {
            let staged = LeaderInput::Staged {
                from,
                incarnation: life,
                map,
                step,
            };
            self.leader(to, staged);
            return;
        }
        if let Message::Superseded(term) = message {
            self.leader(to, LeaderInput::Superseded(term));
            return;
        }
        let input = VotingInput::Peer {
            from,
            incarnation: life,
            message,
        };
        self.switch(to, input);
    }

    fn switch(&mut self, runner: usize, input: VotingInput) {
        let now = self.queue.now();
        let mut out = Vec::new();
        self.runners[runner].switch.handle(now, input, &mut out);
        for output in out {
            match output {
                VotingOutput::Send(_, Message::Query(ballot))
                    if self.mutation == Some(Mutation::GoWithoutDecision) =>
                {
                    self.order(runner, EngineOrder::Go(ballot));
                }
                VotingOutput::Send(to, message) => self.send(runner, to, message),
                VotingOutput::Order(order) => self.order(runner, order),
                VotingOutput::Decided(ballot, decision) => {
                    self.leader(runner, LeaderInput::Decided(ballot, decision));
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let life = self.runners[from].switch.incarnation();
        let event = Event::Message {
            from,
            life,
            to,
            message,
        };
        self.queue.schedule(HOP, event);
    }

    fn order(&mut self, runner: usize, order: EngineOrder) {
        let pause = match order {
            EngineOrder::Stage(..) => STAGING,
            _ => ENGINE,
        };
        let event = Event::Order {
            runner,
            life: self.runners[runner].life,
            order,
        };
        self.queue.schedule(pause, event);
    }

    fn leader(&mut self, runner: usize, input: LeaderInput) {
        let now = self.queue.now();
        let mut out = Vec::new();
        self.runners[runner].leader.handle(now, input, &mut out);
        let life = self.runners[runner].life;
        for output in out {
            match output {
                LeaderOutput::Read => self.queue.schedule(HOP, Event::StoreRead(runner, life)),
                LeaderOutput::Write(version, image) => {
                    let write = Event::StoreWrite(runner, life, version, image);
                    self.queue.schedule(HOP, write);
                }
                LeaderOutput::SendAll(message) => {
                    for to in 0..RUNNERS {
                        self.send(runner, to, message.clone());
                    }
                }
                LeaderOutput::Finished(_) => {}
                LeaderOutput::Aborted(map) => {
                    // The planner proposes again later.
                    let again = Event::Propose(runner, map.0 + 1);
                    self.queue.schedule(PROPOSE_AGAIN, again);
                }
            }
        }
    }

    fn store_read(&mut self, runner: usize, life: Incarnation) {
        let (pause, input) = match self.store.response_delay(self.queue.now()) {
            Some(pause) => {
                let input = LeaderInput::Read(self.version, self.object.clone());
                (pause, input)
            }
            None => (STORE_TIMEOUT, LeaderInput::ReadFailed),
        };
        let answer = Event::StoreAnswer(runner, life, input);
        self.queue.schedule(pause, answer);
    }

    fn store_write(
        &mut self,
        runner: usize,
        life: Incarnation,
        if_version: u64,
        image: &GroupSnapshot,
    ) {
        let (pause, result) = match self.store.response_delay(self.queue.now()) {
            Some(pause) => (pause, self.write(if_version, image)),
            None => (STORE_TIMEOUT, WriteResult::Unknown),
        };
        let answer = Event::StoreAnswer(runner, life, LeaderInput::Written(result));
        self.queue.schedule(pause, answer);
    }

    fn write(&mut self, if_version: u64, image: &GroupSnapshot) -> WriteResult {
        if if_version != self.version {
            return WriteResult::Conflict;
        }
        self.version += 1;
        self.object = Some(image.clone());
        WriteResult::Written(self.version)
    }

    /// Runs the next step of the group if every engine may.
    fn group_step(&mut self) {
        self.queue.schedule(STEP, Event::GroupStep);
        let step = self.step.next();
        if !self.engines.iter().all(|engine| engine.may_run(step)) {
            return;
        }
        let maps: Vec<Option<MapNumber>> = self
            .engines
            .iter_mut()
            .map(|engine| engine.run(step))
            .collect();
        self.step = step;
        if maps.iter().any(|map| *map != maps[0]) {
            self.mixed.push(format!("step {step} ran with {maps:?}"));
        }
    }
}

fn classify(event: &Event) -> (StepClass, Option<usize>) {
    match event {
        Event::GroupStep | Event::Propose(..) | Event::EngineUp(_) | Event::Replace(_) => {
            (StepClass::External, None)
        }
        Event::Message { to, .. } => (StepClass::Message, Some(*to)),
        // An order on its way does not wait for the agent that sent it.
        Event::Order { .. } => (StepClass::Local, None),
        Event::Report { runner, .. } => (StepClass::Local, Some(*runner)),
        Event::StoreRead(..) => (StepClass::Store, None),
        Event::StoreWrite(..) => (StepClass::StoreWrite, None),
        Event::StoreAnswer(runner, ..) => (StepClass::Store, Some(*runner)),
    }
}
